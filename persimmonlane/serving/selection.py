"""Selection of the data centre for a request, where leaving it is weighed.

Gathers the state of the servers for the decisions of `overflow`, and narrows the
candidates to one data centre. `placement` then chooses among these servers.
"""

import threading

from ..localities import Locality
from .linkbudget import LinkBudget
from .overflow import (
    LOAD_GAP,
    MAX_REJECTIONS,
    ROUND_TRIPS_S,
    DataCentreLoad,
    Demand,
    build_plan,
    compute_patience_s,
    measure_server,
)
from .placement import admits

# Accepted waits of the first attempts in a data centre that has free slots, by the
# number of rejections there. The announced state of single servers is up to a second
# old, so that another one is likely to be free at once.
QUICK_WAITS_S = (0.05, 0.15)
# Part of the accepted wait that remains where a request was sent for a free slot.
REMOTE_WAIT_SHARE = 0.5
# Bytes of a request's headers and of a typical response, added to its body.
EXCHANGE_BYTES = 4096


class Reason:
    """Why a data centre was selected; written into log lines.

    Attributes:
        NEARBY: The servers of this data centre are used.
        OVERFLOW: Too much for the servers nearby, by their announced state.
        REFUSED: The servers tried before refused the request.
    """

    NEARBY = "nearby"
    OVERFLOW = "overflow"
    REFUSED = "refused"


class Selection:
    """Candidates of one data centre, and the conditions of an attempt there.

    Attributes:
        candidates: The `Candidate`s, not tried yet; none if there is no choice left.
        max_wait_s: Longest accepted wait for a slot, in seconds.
        reason: The `Reason`.
    """

    __slots__ = ("candidates", "max_wait_s", "reason")

    def __init__(self, candidates, max_wait_s, reason):
        self.candidates = candidates
        self.max_wait_s = max_wait_s
        self.reason = reason


class DataCentreSelector:
    """Selects the data centre for each attempt of a request; thread-safe.

    Attributes:
        budget: The `LinkBudget` of the links to other regions.
    """

    __slots__ = (
        "budget",
        "_regions",
        "_clock",
        "_rng",
        "_find_cold_rate",
        "_reasons",
        "_lock",
    )

    def __init__(self, regions, clock, rng, budget, find_cold_rate):
        """Create the selector.

        Args:
            regions: The `RegionMap`.
            clock: Clock in seconds.
            rng: The `random.Random` to draw with.
            budget: The `LinkBudget`.
            find_cold_rate: Callable that returns the requests per second that a cold
                server of a service takes, or None.
        """
        self.budget = budget
        self._regions = regions
        self._clock = clock
        self._rng = rng
        self._find_cold_rate = find_cold_rate
        self._reasons = {}
        self._lock = threading.Lock()

    def select(self, request, service, candidates, rejections, tried, mean_s):
        """Return the `Selection` for the next attempt of a request.

        Args:
            request: The `IngressRequest`.
            service: Name of the service.
            candidates: All `Candidate`s of the service.
            rejections: Rejected `Attempt`s by identifier of the backend server.
            tried: Identifiers of the backend servers that were tried.
            mean_s: Mean processing time of such requests, in seconds.
        """
        demand = self._build_demand(request, mean_s)
        by_data_centre = self._group(candidates)
        patience_s = compute_patience_s(demand)
        near = self._measure_nearby(service, by_data_centre, demand)
        if not tried and near.slots > 0.0 and near.busy <= near.slots:
            # The plan would be to stay; most requests are decided here.
            wait_s = choose_wait_s(patience_s, near.has_free_slot(), 0)
            return Selection(by_data_centre[near.name], wait_s, Reason.NEARBY)
        loads = self._measure(service, by_data_centre, demand)
        target = self._find_target(request, loads, demand)
        refused = {
            name: sum(item.server.server_id in rejections for item in group)
            for name, group in by_data_centre.items()
        }
        free = {item.name for item in loads if item.has_free_slot()}
        for name in self._list_names(target, loads):
            if refused.get(name, 0) >= MAX_REJECTIONS:
                continue
            usable = [
                item
                for item in by_data_centre.get(name, ())
                if item.server.server_id not in tried
                and admits(item, request.route.idempotent)
            ]
            if usable:
                is_near = name == self._regions.data_centre
                share = 1.0 if is_near else REMOTE_WAIT_SHARE
                reason = choose_reason(is_near, name == target)
                wait_s = choose_wait_s(
                    patience_s * share, name in free, refused.get(name, 0)
                )
                return Selection(usable, wait_s, reason)
        return Selection([], patience_s, Reason.REFUSED)

    def keep_in_region(self, request, candidates):
        """Return those of some `Candidate`s that are in this region.

        Without any, those in other regions that the link budget allows. This applies to
        last resorts, as free slots elsewhere were tried before, and to requests that
        run alone: these go to idle servers, however far away.
        """
        inside = [it for it in candidates if it.locality is not Locality.ELSEWHERE]
        if inside:
            return inside
        return [item for item in candidates if self._is_reachable(item, request.body)]

    def note_chosen(self, candidate, reason):
        """Count an attempt by locality and reason."""
        key = (candidate.locality.name.lower(), reason)
        with self._lock:
            self._reasons[key] = self._reasons.get(key, 0) + 1

    def drain(self):
        """Return the counts of attempts since the last drain, as log fields."""
        with self._lock:
            counts, self._reasons = self._reasons, {}
        return [
            {"locality": locality, "reason": reason, "attempts": count}
            for (locality, reason), count in sorted(counts.items())
        ]

    def _build_demand(self, request, mean_s):
        now = self._clock.now()
        left_s = request.arrived_at + request.route.objective_s - now
        left_s = max(0.0, min(left_s, request.deadline - now))
        return Demand(request.route.idempotent, len(request.body), mean_s, left_s)

    def _group(self, candidates):
        groups = {}
        for item in candidates:
            groups.setdefault(self._get_data_centre(item), []).append(item)
        return groups

    def _get_data_centre(self, candidate):
        peer = candidate.peer
        return self._regions.data_centre if peer is None else peer.data_centre

    def _measure_nearby(self, service, by_data_centre, demand):
        """Return the `DataCentreLoad` of this data centre."""
        own = self._regions.data_centre
        groups = {own: by_data_centre.get(own, ())}
        return self._measure(service, groups, demand)[0]

    def _measure(self, service, by_data_centre, demand):
        """Return the `DataCentreLoad`s of a service."""
        cold_rate = self._find_cold_rate(service)
        now = self._clock.now()
        loads = []
        for name, group in by_data_centre.items():
            load = self._create_load(name, demand)
            for item in group:
                age_s = 0.0
                if item.peer is not None and item.peer.heard_at is not None:
                    age_s = max(0.0, now - item.peer.heard_at)
                load.add(*measure_server(item, demand, cold_rate), age_s)
            loads.append(load)
        return loads

    def _create_load(self, name, demand):
        locality = self._regions.locate(name)
        region = self._regions.find_region(name)
        if locality is Locality.DATA_CENTRE:
            return DataCentreLoad(name, region, locality)
        path_s = ROUND_TRIPS_S[locality]
        if locality is Locality.REGION:
            return DataCentreLoad(name, region, locality, path_s)
        size = demand.body_bytes + EXCHANGE_BYTES
        path_s = self.budget.get_round_trip_s(region) or path_s
        path_s += size / max(1.0, self.budget.get_rate(region))
        is_reachable = self.budget.allows(region, size)
        return DataCentreLoad(name, region, locality, path_s, is_reachable)

    def _find_target(self, request, loads, demand):
        """Return the name of the data centre that a request goes to first.

        The number is drawn once for a request: drawing it for each attempt would send
        more away than the plan says.
        """
        if request.overflow_draw is None:
            request.overflow_draw = self._rng.random()
        target = build_plan(loads, demand).find_target(request.overflow_draw)
        return target if target is not None else self._regions.data_centre

    def _list_names(self, target, loads):
        """Return the names of the data centres to try, the first choice first.

        After the target come this data centre and those that are clearly less loaded,
        the nearest of these first.
        """
        own = self._regions.data_centre
        near = next((item for item in loads if item.name == own), None)
        others = [
            item
            for item in loads
            if item.name not in (own, target) and is_alternative(item, near)
        ]
        others.sort(key=lambda item: (item.locality, item.ratio))
        return dict.fromkeys([target, own, *(item.name for item in others)])

    def _is_reachable(self, candidate, body):
        region = self._regions.find_region(self._get_data_centre(candidate))
        return self.budget.allows(region, len(body) + EXCHANGE_BYTES)


def build_selector(settings, clock, rng, find_cold_rate):
    """Return the `DataCentreSelector` of a node, or None where none is needed.

    Args:
        settings: The `FleetSettings`.
        clock: Clock in seconds.
        rng: The `random.Random` to draw with.
        find_cold_rate: Callable that returns the requests per second that a cold
            server of a service takes, or None.
    """
    regions = settings.build_region_map()
    if not (settings.has_overload or regions.spans_regions()):
        return None
    budget = LinkBudget(settings.link_bytes_per_s, clock)
    return DataCentreSelector(regions, clock, rng, budget, find_cold_rate)


def choose_wait_s(patience_s, has_free_slot, rejection_count):
    """Return the longest accepted wait of an attempt, in seconds.

    Args:
        patience_s: Longest wait after which the request is still in time, in seconds.
        has_free_slot: Whether the servers of the data centre have a free slot.
        rejection_count: Number of servers there that have rejected the request.
    """
    if not has_free_slot or rejection_count >= len(QUICK_WAITS_S):
        return patience_s
    return min(patience_s, QUICK_WAITS_S[rejection_count])


def is_alternative(load, near):
    """Return whether a request may go to a data centre that is not its target.

    The servers nearby have refused it by then, and being refused costs its caller more
    than a longer path does.

    Args:
        load: The `DataCentreLoad`.
        near: That of this node's data centre, or None.
    """
    if not load.is_reachable or load.slots <= 0.0:
        return False
    if near is None or near.slots <= 0.0:
        return True
    return load.ratio + LOAD_GAP <= near.ratio


def choose_reason(is_near, is_target):
    """Return the `Reason` for which a data centre was selected."""
    if not is_target:
        return Reason.REFUSED
    return Reason.NEARBY if is_near else Reason.OVERFLOW
