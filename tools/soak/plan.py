"""Plan.

Draws from a seed what a run consists of.
"""

import enum
import random

SERVICES = ("prices", "baskets", "orders")
# Services and zones; a VM for each pair.
SHAPES = ((1, 2), (1, 3), (2, 2), (2, 2), (1, 4), (2, 3), (3, 2))
BIG_SHAPES = ((2, 4), (3, 3))
BIG_SHARE = 0.15
TIMEOUTS_S = (3.0, 8.0)
TIME_LIMITS_S = (2.0, 5.0, 9.0)
WORKS_S = ((0.0, 0.05), (0.2, 0.8), (0.6, 1.3), (0.8, 2.5), (0.0, 2.5))
HANGS_S = (3.5, 6.0)
HANG_SHARES = (0.0, 0.0, 0.03)
PAUSES_S = ((0.0, 0.05), (0.0, 0.6), (0.5, 3.0))
CALLERS = (3, 12)
ANSWER_BYTES = (5, 2000, 150_000)
BODY_BYTES = (200, 200, 60_000)
FIRST_EVENT_S = 1.5
# Time at the end of a run without new events, for the last node to stop.
TAIL_S = 7.0
SIGNALS_APART_S = (0.05, 4.5)


class Action(enum.Enum):
    """What is done to a VM or to the site."""

    STOP = "SIGTERM"
    RELOAD = "SIGHUP"
    RESTART = "restart"
    PUBLISH = "publish"
    DRAIN_SERVER = "drain server"


class Event:
    """Something that is done at a time.

    Attributes:
        at_s: Seconds since the start of the load.
        action: The `Action`.
        vm: Index of the VM.
    """

    __slots__ = ("at_s", "action", "vm")

    def __init__(self, at_s, action, vm=0):
        self.at_s = at_s
        self.action = action
        self.vm = vm


class CallerStyle:
    """How a caller behaves.

    Attributes:
        vm: Index of its VM.
        keeps: Whether it keeps its connection.
        splits: Whether it pauses between head and body.
        reads_slowly: Whether it reads answers in small pieces.
        follows: Whether it leaves a VM that is not ready for new connections.
        pause_s: Least and longest pause between requests, in seconds.
    """

    __slots__ = ("vm", "keeps", "splits", "reads_slowly", "follows", "pause_s")

    def __init__(self, rng, vm, follows):
        self.vm = vm
        self.keeps = rng.random() < 0.75
        self.splits = rng.random() < 0.2
        self.reads_slowly = rng.random() < 0.15
        self.follows = follows
        self.pause_s = rng.choice(PAUSES_S)


class Request:
    """A request that a caller is to send.

    Attributes:
        method: HTTP method.
        service: Name of the service.
        unsafe: Whether it may run at most once.
        body_bytes: Length of its body.
        chunked: Whether the body has no length.
        limit_s: Its time limit in seconds.
        work_s: Seconds that it takes at a backend server.
    """

    __slots__ = (
        "method",
        "service",
        "unsafe",
        "body_bytes",
        "chunked",
        "limit_s",
        "work_s",
    )

    def describe(self):
        """Return a short text for the report."""
        kind = "unsafe" if self.unsafe else "safe"
        body = f" {self.body_bytes} B" if self.body_bytes else ""
        chunked = " chunked" if self.chunked else ""
        return f"{kind} {self.method}{body}{chunked} work {self.work_s:.1f} s"


class Plan:
    """What a run consists of.

    Attributes:
        seed: The seed.
        services: Names of the services.
        zones: Names of the zones; each service has a VM in each.
        seconds: Length of the load.
        timeout_s: Timeout of the routes.
        work_s: Least and longest work of a request, in seconds.
        hang_share: Share of requests that hang for a while.
        answer_bytes: Length of the backend servers' answers.
        callers: The `CallerStyle`s.
        events: The `Event`s in order of time.
    """

    __slots__ = (
        "seed",
        "services",
        "zones",
        "seconds",
        "timeout_s",
        "work_s",
        "hang_share",
        "answer_bytes",
        "callers",
        "events",
    )

    def draw_request(self, rng):
        """Return a `Request`."""
        request = Request()
        request.method = rng.choice(("GET", "POST", "POST"))
        request.service = rng.choice(self.services)
        request.unsafe = rng.random() < 0.5
        is_post = request.method == "POST"
        request.body_bytes = rng.choice(BODY_BYTES) if is_post else 0
        request.chunked = is_post and rng.random() < 0.3
        request.limit_s = rng.choice(TIME_LIMITS_S)
        hangs = rng.random() < self.hang_share
        request.work_s = rng.uniform(*(HANGS_S if hangs else self.work_s))
        return request


def draw_plan(seed, seconds, vms=None):
    """Return the `Plan` of a seed.

    Args:
        seed: The seed.
        seconds: Length of the load.
        vms: Number of VMs, or None to draw it.
    """
    rng = random.Random(seed)
    plan = Plan()
    plan.seed = seed
    plan.seconds = seconds
    services, zones = draw_shape(rng, vms)
    plan.services = SERVICES[:services]
    plan.zones = [f"zone-{number}" for number in range(zones)]
    plan.timeout_s = rng.choice(TIMEOUTS_S)
    plan.work_s = rng.choice(WORKS_S)
    plan.hang_share = rng.choice(HANG_SHARES)
    plan.answer_bytes = rng.choice(ANSWER_BYTES)
    plan.callers = draw_callers(rng, services * zones)
    plan.events = draw_events(rng, services * zones, seconds)
    return plan


def draw_shape(rng, vms):
    """Return the numbers of services and of zones."""
    shape = rng.choice(BIG_SHAPES if rng.random() < BIG_SHARE else SHAPES)
    if vms is None:
        return shape
    services = 2 if vms % 2 == 0 and vms > 2 else 1
    return services, vms // services


def draw_callers(rng, vms):
    """Return the `CallerStyle`s of all VMs."""
    follows = rng.choice((0.0, 0.5, 1.0))
    most = rng.randint(*CALLERS)
    return [
        CallerStyle(rng, vm, rng.random() < follows)
        for vm in range(vms)
        for _ in range(rng.randint(CALLERS[0], most))
    ]


def draw_events(rng, vms, seconds):
    """Return the `Event`s in order of time."""
    last_s = max(FIRST_EVENT_S, seconds - TAIL_S)
    most_repeats = rng.choice((0, 2))
    events = []
    for _ in range(rng.randint(1, 3)):
        at_s = rng.uniform(FIRST_EVENT_S, last_s)
        count = rng.choice((1, 1, max(1, vms // 2), vms - 1))
        for vm in rng.sample(range(vms), count):
            events += draw_stop(rng, vm, at_s, most_repeats)
            at_s += rng.uniform(0.0, 0.8)
    for _ in range(rng.randint(0, 4)):
        events.append(Event(rng.uniform(0.3, last_s + 2.0), Action.PUBLISH))
    if rng.random() < 0.4:
        at_s = rng.uniform(0.3, last_s)
        events.append(Event(at_s, Action.DRAIN_SERVER, rng.randrange(vms)))
    return sorted(events, key=lambda event: event.at_s)


def draw_stop(rng, vm, at_s, most_repeats):
    """Return the `Event`s around the stop of one VM.

    Args:
        rng: The random numbers.
        vm: Index of the VM.
        at_s: Time of the first SIGTERM.
        most_repeats: Largest number of further ones.
    """
    events = [Event(at_s, Action.STOP, vm)]
    for _ in range(rng.randint(0, most_repeats)):
        again_s = at_s + rng.uniform(*SIGNALS_APART_S)
        events.append(Event(again_s, Action.STOP, vm))
    if rng.random() < 0.4:
        events.append(Event(at_s + rng.uniform(-1.0, 3.0), Action.RELOAD, vm))
    if rng.random() < 0.7:
        events.append(Event(at_s + rng.uniform(0.1, 7.0), Action.RESTART, vm))
    return events
