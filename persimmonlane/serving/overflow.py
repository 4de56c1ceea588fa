"""Whether a request leaves its data centre, and where it goes.

All nodes of a data centre see about the same announced state and decide at the same
moment. Each sends a share of the requests, so that together they send away what is too
much for the servers nearby. The functions here decide from what they are given, without
I/O, clock or randomness. See docs/design/regions.md.
"""

from ..localities import Locality
from ..owner.health import HealthState
from .placement import COLD_START_WEIGHT, admits, estimate_concurrency

# Time from a decision until the announced state shows its effect.
EFFECT_S = 1.0
# Part of the time left beyond the mean processing time that a request may wait nearby.
# The rest covers processing times above the mean.
PATIENCE_SHARE = 0.6
# Least and most wait that is accepted, in seconds.
MIN_PATIENCE_S = 0.05
MAX_PATIENCE_S = 5.0
# Part of that wait from which on leaving pays, by the locality of the receiver. It
# stands for the price: a byte to another region costs seven times as much.
MARGIN_SHARES = {Locality.REGION: 0.3, Locality.ELSEWHERE: 0.7}
# Round trip times that are assumed before one was measured, in seconds.
ROUND_TRIPS_S = {Locality.REGION: 0.005, Locality.ELSEWHERE: 0.04}
# A receiver's servers are filled up to this part of their slots.
FILL_RATIO = 0.85
# A receiver has at least so much less load per slot than the sender, so that two data
# centres never send to each other at once.
LOAD_GAP = 0.25
# Information of this age counts for nothing, and of half this age for one half.
MAX_AGE_S = 6.0
# After so many rejections in a data centre another one is tried.
MAX_REJECTIONS = 2


class Demand:
    """What the decision needs to know of a request.

    Attributes:
        idempotent: Whether it may run more than once.
        body_bytes: Length of its body.
        mean_s: Mean processing time of such requests, in seconds.
        left_s: Time that its objective leaves it, in seconds.
    """

    __slots__ = ("idempotent", "body_bytes", "mean_s", "left_s")

    def __init__(self, idempotent, body_bytes, mean_s, left_s):
        self.idempotent = idempotent
        self.body_bytes = body_bytes
        self.mean_s = mean_s
        self.left_s = left_s


class DataCentreLoad:
    """Load of the servers of one service in one data centre.

    Attributes:
        name: Name of the data centre.
        region: Name of its region.
        locality: Its `Locality`, as seen from this node.
        slots: Number of requests that its usable servers can run at the same time.
        busy: Number of requests that run or wait there.
        age_s: Mean age of the information, in seconds.
        path_s: Time that a request and its response take on the way, in seconds.
        is_reachable: Whether requests may be sent there now.
    """

    __slots__ = (
        "name",
        "region",
        "locality",
        "slots",
        "busy",
        "age_s",
        "path_s",
        "is_reachable",
    )

    def __init__(self, name, region, locality, path_s=0.0, is_reachable=True):
        self.name = name
        self.region = region
        self.locality = locality
        self.slots = 0.0
        self.busy = 0.0
        self.age_s = 0.0
        self.path_s = path_s
        self.is_reachable = is_reachable

    def add(self, slots, busy, age_s):
        """Add a server; the arguments are as the attributes."""
        self.slots += slots
        self.busy += busy
        if self.slots > 0.0:
            self.age_s += (age_s - self.age_s) * slots / self.slots

    @property
    def ratio(self):
        """Requests per usable slot; infinite without such slots."""
        return self.busy / self.slots if self.slots > 0.0 else float("inf")

    def has_free_slot(self):
        """Return whether the servers have a slot for one request more."""
        return self.busy + 1.0 <= self.slots

    def estimate_wait_s(self, mean_s):
        """Return the expected wait of a new request for a slot, in seconds."""
        if self.slots <= 0.0:
            return float("inf")
        return max(0.0, self.busy + 1.0 - self.slots) * mean_s / self.slots


class OverflowPlan:
    """Probabilities with which a request goes to other data centres.

    Attributes:
        shares: Dict of the probabilities by name of the data centre. What is missing to
            1 is the probability of staying.
    """

    __slots__ = ("shares",)

    def __init__(self, shares):
        self.shares = shares

    @property
    def leaving(self):
        """Probability of leaving the data centre."""
        return sum(self.shares.values())

    def find_target(self, draw):
        """Return the name of the chosen data centre, or None to stay.

        Args:
            draw: Random number from 0 to 1, excluding 1.
        """
        for name, share in self.shares.items():
            draw -= share
            if draw < 0.0:
                return name
        return None


def compute_patience_s(demand):
    """Return the longest wait for a slot after which a request is still in time."""
    spare_s = (demand.left_s - demand.mean_s) * PATIENCE_SHARE
    return min(MAX_PATIENCE_S, max(MIN_PATIENCE_S, spare_s))


def measure_server(candidate, demand, cold_rate):
    """Return the usable slots of a server and the requests that occupy these.

    Args:
        candidate: The `Candidate`.
        demand: The `Demand`.
        cold_rate: Requests per second that a cold server takes, or None.
    """
    server = candidate.server
    if not admits(candidate, demand.idempotent):
        return 0.0, 0.0
    if server.standing == HealthState.HALF_OPEN.value:
        return 1.0, 0.0
    if server.suspect and not demand.idempotent:
        return 0.0, 0.0
    in_flight = candidate.peer.in_flight if candidate.peer is not None else 0
    busy = max(server.running + server.waiting, in_flight)
    slots = estimate_concurrency(server, demand.mean_s)
    if server.cold_s > 0.0:
        slots *= COLD_START_WEIGHT
        if cold_rate is not None:
            slots = min(slots, cold_rate * demand.mean_s)
    # Of a server that fails at times, this part is expected to be served.
    sound = 1.0 - server.risk
    return slots * sound, busy * sound


def build_plan(loads, demand):
    """Return the `OverflowPlan` of a request.

    The servers of this data centre are used until the wait there exceeds what another
    path takes. What is too much fills the free slots of the region first, then those of
    other regions. Data centres that have too much at the same time share the free
    slots in proportion to it, so that together they do not send more than fits.

    Args:
        loads: The `DataCentreLoad`s of the service.
        demand: The `Demand`.
    """
    own = next((it for it in loads if it.locality is Locality.DATA_CENTRE), None)
    if own is None or own.slots <= 0.0:
        return build_plan_without_servers(loads)
    amounts = {}
    sent = fill_free_slots(loads, own, demand, Locality.REGION, 0.0, amounts)
    fill_free_slots(loads, own, demand, Locality.ELSEWHERE, sent, amounts)
    arrivals = estimate_arrivals(own, demand.mean_s)
    scale = 1.0 / max(arrivals, sum(amounts.values()), 1.0)
    return OverflowPlan({name: count * scale for name, count in amounts.items()})


def build_plan_without_servers(loads):
    """Return the `OverflowPlan` where this data centre has no usable server."""
    usable = [
        item
        for item in loads
        if item.slots > 0.0
        and item.is_reachable
        and item.locality is not Locality.DATA_CENTRE
    ]
    for locality in (Locality.REGION, Locality.ELSEWHERE):
        nearest = [item for item in usable if item.locality is locality]
        free_slots = {
            item.name: FILL_RATIO * item.slots - item.busy for item in nearest
        }
        free_slots = {name: free for name, free in free_slots.items() if free > 0.0}
        if free_slots:
            total = sum(free_slots.values())
            return OverflowPlan(
                {name: free / total for name, free in free_slots.items()}
            )
    nearest = min((item.locality for item in usable), default=None)
    slots = {item.name: item.slots for item in usable if item.locality is nearest}
    total = sum(slots.values())
    return OverflowPlan({name: count / total for name, count in slots.items()})


def fill_free_slots(loads, own, demand, locality, sent, amounts):
    """Fill the free slots of one locality; return the requests that this takes.

    Args:
        loads: The `DataCentreLoad`s of the service.
        own: That of this data centre.
        demand: The `Demand`.
        locality: `Locality` of the receivers.
        sent: Requests that nearer receivers take.
        amounts: Dict of requests by name of the receiver, to add to.
    """
    free_slots = {
        item.name: free
        for item in loads
        if item.locality is locality
        and (free := count_free(item, own, demand, loads)) > 0.0
    }
    if not free_slots:
        return 0.0
    path_s = min(item.path_s for item in loads if item.name in free_slots)
    excess = count_excess(own, demand, locality, path_s) - sent
    if excess <= 0.0:
        return 0.0
    total_excess = sum(
        count_excess(item, demand, locality, path_s)
        for item in loads
        if locality is Locality.ELSEWHERE or item.region == own.region
    )
    total_free = sum(free_slots.values())
    count = excess * min(1.0, total_free / max(total_excess, excess))
    for name, free in free_slots.items():
        amounts[name] = count * free / total_free
    return count


def count_excess(load, demand, locality, path_s):
    """Return the number of requests that are too many in a data centre.

    Args:
        load: Its `DataCentreLoad`.
        demand: The `Demand`.
        locality: `Locality` to which they would be sent.
        path_s: Time on the way there, in seconds.
    """
    if load.slots <= 0.0:
        return 0.0
    accepted_s = path_s + compute_patience_s(demand) * MARGIN_SHARES[locality]
    accepted = load.slots * (1.0 + accepted_s / demand.mean_s)
    return max(0.0, load.busy - accepted)


def count_free(load, own, demand, loads):
    """Return the number of requests that a data centre takes until its state shows it.

    Args:
        load: Its `DataCentreLoad`.
        own: That of the sender.
        demand: The `Demand`.
        loads: Those of all data centres: what is too much in the receiver's region goes
            to its free slots first.
    """
    if not is_receiver(load, own):
        return 0.0
    free = FILL_RATIO * load.slots - load.busy
    if load.locality is Locality.ELSEWHERE:
        for item in loads:
            if item.region == load.region and item is not load:
                free -= max(0.0, item.busy - item.slots)
    fresh = max(0.0, 1.0 - load.age_s / MAX_AGE_S)
    return max(0.0, free) * fresh * max(1.0, EFFECT_S / demand.mean_s)


def is_receiver(load, own):
    """Return whether a data centre is clearly less loaded than the sender's."""
    return (
        load.slots > 0.0
        and load.is_reachable
        and load.ratio < FILL_RATIO
        and load.ratio + LOAD_GAP <= own.ratio
    )


def estimate_arrivals(load, mean_s):
    """Return the requests that arrive until the state shows an effect.

    Servers finish as many requests as arrive while they have free slots, and not many
    fewer than that in an overload which the next state corrects.
    """
    finished_per_s = min(load.busy, load.slots) / mean_s
    return finished_per_s * (EFFECT_S + load.age_s)
