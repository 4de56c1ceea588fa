"""Plan of a soak run.

Draws the site, the callers and the events of a run from a seed. The order of the
random draws must not change: a seed has to give the same plan each time.
"""

import enum
import random

SERVICES = ("prices", "baskets", "orders")
# Numbers of services and of zones; there is one VM for each pair.
SITE_SHAPES = ((1, 2), (1, 3), (2, 2), (2, 2), (1, 4), (2, 3), (3, 2))
LARGE_SITE_SHAPES = ((2, 4), (3, 3))
LARGE_SITE_SHARE = 0.15
TIMEOUTS_S = (3.0, 8.0)
CALLER_TIMEOUTS_S = (2.0, 5.0, 9.0)
WORKS_S = ((0.0, 0.05), (0.2, 0.8), (0.6, 1.3), (0.8, 2.5), (0.0, 2.5))
HANGS_S = (3.5, 6.0)
HANG_SHARES = (0.0, 0.0, 0.03)
PAUSES_S = ((0.0, 0.05), (0.0, 0.6), (0.5, 3.0))
CALLERS_PER_VM = (3, 12)
ANSWER_BYTES = (5, 2000, 150_000)
BODY_BYTES = (200, 200, 60_000)
FIRST_EVENT_S = 1.5
# No events are planned in the last part of a run, so that the last node can stop.
TAIL_S = 7.0
SIGNAL_INTERVAL_S = (0.05, 4.5)


class Action(enum.Enum):
    """Action on a VM or on the site."""

    STOP = "SIGTERM"
    RELOAD = "SIGHUP"
    RESTART = "restart"
    PUBLISH = "publish"
    DRAIN_SERVER = "drain server"


class Event:
    """A planned action.

    Attributes:
        at_s: Time of the action, in seconds since the start of the load.
        action: The `Action`.
        vm: Index of the VM; unused for `PUBLISH`.
    """

    __slots__ = ("at_s", "action", "vm")

    def __init__(self, at_s, action, vm=0):
        self.at_s = at_s
        self.action = action
        self.vm = vm


class CallerStyle:
    """Behaviour of a caller.

    Attributes:
        vm: Index of its VM.
        keeps_alive: Whether it reuses its connection for further requests.
        delays_body: Whether it pauses between the headers and the body.
        slow_reader: Whether it reads responses in small pieces.
        avoids_unready: Whether it opens new connections to another VM while its
            own is not ready.
        pause_s: Shortest and longest pause between requests, in seconds.
    """

    __slots__ = (
        "vm",
        "keeps_alive",
        "delays_body",
        "slow_reader",
        "avoids_unready",
        "pause_s",
    )

    def __init__(self, rng, vm, avoids_unready):
        self.vm = vm
        self.keeps_alive = rng.random() < 0.75
        self.delays_body = rng.random() < 0.2
        self.slow_reader = rng.random() < 0.15
        self.avoids_unready = avoids_unready
        self.pause_s = rng.choice(PAUSES_S)


class Request:
    """A request to be sent by a caller.

    Attributes:
        method: HTTP method.
        service: Name of the service.
        unsafe: Whether it may be executed at most once.
        body_bytes: Length of its body.
        chunked: Whether the body is sent with chunked encoding.
        caller_timeout_s: Time limit that the caller sets, in seconds.
        work_s: Processing time at a backend server in seconds.
    """

    __slots__ = (
        "method",
        "service",
        "unsafe",
        "body_bytes",
        "chunked",
        "caller_timeout_s",
        "work_s",
    )

    def describe(self):
        """Return a short description for the report."""
        kind = "unsafe" if self.unsafe else "safe"
        body = f" {self.body_bytes} B" if self.body_bytes else ""
        chunked = " chunked" if self.chunked else ""
        return f"{kind} {self.method}{body}{chunked} work {self.work_s:.1f} s"


class Plan:
    """Plan of one soak run.

    Attributes:
        seed: The seed.
        services: Names of the services.
        zones: Names of the zones; each service has a VM in each.
        seconds: Duration of the load in seconds.
        timeout_s: Timeout of the routes in seconds.
        work_s: Shortest and longest processing time of a request, in seconds.
        hang_share: Fraction of requests whose processing time is drawn from
            `HANGS_S`.
        answer_bytes: Length of the backend servers' response bodies.
        callers: The `CallerStyle`s.
        events: The `Event`s, sorted by time.
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
        """Draw a `Request` from the given generator."""
        request = Request()
        request.method = rng.choice(("GET", "POST", "POST"))
        request.service = rng.choice(self.services)
        request.unsafe = rng.random() < 0.5
        is_post = request.method == "POST"
        request.body_bytes = rng.choice(BODY_BYTES) if is_post else 0
        request.chunked = is_post and rng.random() < 0.3
        request.caller_timeout_s = rng.choice(CALLER_TIMEOUTS_S)
        hangs = rng.random() < self.hang_share
        request.work_s = rng.uniform(*(HANGS_S if hangs else self.work_s))
        return request


def draw_plan(seed, seconds, vms=None):
    """Draw the `Plan` of a seed.

    Args:
        seed: The seed.
        seconds: Duration of the load in seconds.
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
    """Draw the numbers of services and of zones."""
    shape = rng.choice(
        LARGE_SITE_SHAPES if rng.random() < LARGE_SITE_SHARE else SITE_SHAPES
    )
    if vms is None:
        return shape
    services = 2 if vms % 2 == 0 and vms > 2 else 1
    return services, vms // services


def draw_callers(rng, vms):
    """Draw the `CallerStyle`s of all VMs."""
    avoid_share = rng.choice((0.0, 0.5, 1.0))
    max_callers = rng.randint(*CALLERS_PER_VM)
    return [
        CallerStyle(rng, vm, rng.random() < avoid_share)
        for vm in range(vms)
        for _ in range(rng.randint(CALLERS_PER_VM[0], max_callers))
    ]


def draw_events(rng, vms, seconds):
    """Draw the `Event`s, sorted by time."""
    last_event_s = max(FIRST_EVENT_S, seconds - TAIL_S)
    max_repeats = rng.choice((0, 2))
    events = []
    for _ in range(rng.randint(1, 3)):
        at_s = rng.uniform(FIRST_EVENT_S, last_event_s)
        count = rng.choice((1, 1, max(1, vms // 2), vms - 1))
        for vm in rng.sample(range(vms), count):
            events += draw_stop(rng, vm, at_s, max_repeats)
            at_s += rng.uniform(0.0, 0.8)
    for _ in range(rng.randint(0, 4)):
        events.append(Event(rng.uniform(0.3, last_event_s + 2.0), Action.PUBLISH))
    if rng.random() < 0.4:
        at_s = rng.uniform(0.3, last_event_s)
        events.append(Event(at_s, Action.DRAIN_SERVER, rng.randrange(vms)))
    return sorted(events, key=lambda event: event.at_s)


def draw_stop(rng, vm, at_s, max_repeats):
    """Draw the `Event`s around the stop of one VM.

    Args:
        rng: The random number generator.
        vm: Index of the VM.
        at_s: Time of the first SIGTERM.
        max_repeats: Largest number of further SIGTERMs.
    """
    events = [Event(at_s, Action.STOP, vm)]
    for _ in range(rng.randint(0, max_repeats)):
        repeat_at_s = at_s + rng.uniform(*SIGNAL_INTERVAL_S)
        events.append(Event(repeat_at_s, Action.STOP, vm))
    if rng.random() < 0.4:
        events.append(Event(at_s + rng.uniform(-1.0, 3.0), Action.RELOAD, vm))
    if rng.random() < 0.7:
        events.append(Event(at_s + rng.uniform(0.1, 7.0), Action.RESTART, vm))
    return events
