"""Balancing policies.

Each chooses among the backend servers that a request may go to.
"""

import itertools

from ..registries import Registry
from .averages import Average
from .loads import Load, TimedLoad

balancers = Registry("balancing policy")

LEAST_RAMP_WEIGHT = 0.1
FAILURE_FACTOR = 5.0
REMOTE_FACTOR = 3.0


class Candidate:
    """A backend server that a request may go to.

    Attributes:
        server: The `BackendServer`.
        weight: Its slots, less while it ramps up or returns.
        is_local: Whether it is in this node's data centre.
    """

    __slots__ = ("server", "weight", "is_local")

    def __init__(self, server, weight, is_local):
        self.server = server
        self.weight = weight
        self.is_local = is_local


class Balancer:
    """Base of the balancing policies.

    Attributes:
        name: Name in the document.
        aliases: Other names in the document.
    """

    name = ""
    aliases = ()

    def __init__(self, service, data_centre, clock, rng):
        self._service = service
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._loads = {}

    def set_service(self, service):
        """Take another revision of the service's policy into force."""
        self._service = service

    def choose(self, servers, context):
        """Return the `BackendServer` for a request, or None if there is none.

        Args:
            servers: The backend servers of the service that take new work.
            context: The `Choice`.
        """
        now = self._clock.now()
        candidates = [
            candidate
            for server in servers
            if (candidate := self._consider(server, context, now)) is not None
        ]
        if not candidates:
            return None
        return self._pick(candidates, now).server

    def start(self, address):
        """Note that a request was sent to a backend server."""
        self._get_load(address).in_flight += 1

    def finish(self, address, latency_s, ok=True):
        """Note that a request has ended.

        Args:
            address: Address of the backend server.
            latency_s: Seconds from its start to its end; None if its end says
                nothing of the backend server, as when the caller went away.
            ok: Whether it was answered as it should be.
        """
        load = self._get_load(address)
        load.in_flight = max(0, load.in_flight - 1)

    def report_load(self, address, running, waiting, age_s):
        """Take in the load that a sidecar reports."""
        at = self._clock.now() - age_s
        self._get_load(address).report(running, waiting, at)

    def forget(self, servers):
        """Drop what is known of backend servers that are gone and idle."""
        present = {server.address for server in servers}
        for address, load in list(self._loads.items()):
            if address not in present and not load.in_flight:
                del self._loads[address]

    def _pick(self, candidates, now):
        raise NotImplementedError

    def _consider(self, server, context, now):
        if server.address in context.excluded:
            return None
        weight = self._compute_weight(server, now)
        if context.standings is not None:
            standing = context.standings(server.address)
            if standing.idempotent_only and not context.idempotent:
                return None
            weight *= standing.weight
        if weight <= 0:
            return None
        return Candidate(server, weight, server.data_centre == self._data_centre)

    def _compute_weight(self, server, now):
        slots = server.slots or self._service.slots
        age_s = now - server.since
        ramp_s = self._service.ramp_s
        if age_s >= ramp_s:
            return slots
        return slots * max(LEAST_RAMP_WEIGHT, age_s / ramp_s)

    def _get_load(self, address):
        load = self._loads.get(address)
        if load is None:
            load = self._loads[address] = self._create_load()
        return load

    def _create_load(self):
        return Load()


@balancers.register
class RandomBalancer(Balancer):
    """Chooses at random; a baseline."""

    name = "random"

    def _pick(self, candidates, now):
        return self._rng.choice(candidates)


@balancers.register
class RoundRobinBalancer(Balancer):
    """Chooses in turn; a baseline."""

    name = "round-robin"

    def __init__(self, *args):
        super().__init__(*args)
        self._turns = itertools.count()

    def _pick(self, candidates, now):
        return candidates[next(self._turns) % len(candidates)]


@balancers.register
class LeastLoadedBalancer(Balancer):
    """Chooses the less loaded of two that are drawn by weight.

    The own data centre goes first. Where none of its backend servers has a free
    slot, the others are considered too.
    """

    name = "least-loaded"

    def _pick(self, candidates, now):
        local = [candidate for candidate in candidates if candidate.is_local]
        if not local:
            return self._pick_of_two(candidates, now)
        best = self._pick_of_two(local, now)
        if self._has_free_slot(best, now):
            return best
        best = min(local, key=lambda candidate: self._score(candidate, now))
        if self._has_free_slot(best, now) or len(local) == len(candidates):
            return best
        remote = [candidate for candidate in candidates if not candidate.is_local]
        other = self._pick_of_two(remote, now)
        return min(best, other, key=lambda candidate: self._score(candidate, now))

    def _pick_of_two(self, candidates, now):
        if len(candidates) == 1:
            return candidates[0]
        first = self._draw(candidates)
        others = [candidate for candidate in candidates if candidate is not first]
        second = self._draw(others)
        return min(first, second, key=lambda candidate: self._score(candidate, now))

    def _draw(self, candidates):
        total = sum(candidate.weight for candidate in candidates)
        mark = self._rng.random() * total
        for candidate in candidates:
            mark -= candidate.weight
            if mark < 0:
                return candidate
        return candidates[-1]

    def _score(self, candidate, now):
        load = self._get_load(candidate.server.address)
        return (load.estimate(now) + 1) / candidate.weight

    def _has_free_slot(self, candidate, now):
        load = self._get_load(candidate.server.address)
        return load.estimate(now) + 1 <= max(1.0, candidate.weight)


@balancers.register
class LatencyBalancer(LeastLoadedBalancer):
    """Chooses the less loaded of two, with loads weighted by recent latency.

    Latency shows what in-flight requests of one node cannot: a slow backend
    server at low traffic, and the queues that other nodes have built up. Another
    data centre is taken only where it is better by far, or where the own one has
    no free slot.
    """

    name = "peak-ewma"
    aliases = ("latency",)

    def __init__(self, *args):
        super().__init__(*args)
        self._typical = Average()

    def finish(self, address, latency_s, ok=True):
        """Note that a request has ended, and how long it took."""
        super().finish(address, latency_s, ok)
        if latency_s is None:
            return
        now = self._clock.now()
        if not ok:
            latency_s = max(latency_s, FAILURE_FACTOR * self._typical.read(now))
        self._typical.record(latency_s, now)
        self._get_load(address).latency.record(latency_s, now)

    def report_load(self, address, running, waiting, age_s):
        """Ignore the report: latency tells of other nodes' requests, and sooner."""

    def _pick(self, candidates, now):
        local = [candidate for candidate in candidates if candidate.is_local]
        if not local or len(local) == len(candidates):
            return self._pick_of_two(candidates, now)
        best = self._pick_of_two(local, now)
        remote = [candidate for candidate in candidates if not candidate.is_local]
        other = self._pick_of_two(remote, now)
        factor = REMOTE_FACTOR if self._has_free_slot(best, now) else 1.0
        if factor * self._score(other, now) < self._score(best, now):
            return other
        return best

    def _create_load(self):
        return TimedLoad()

    def _score(self, candidate, now):
        load = self._get_load(candidate.server.address)
        factor = load.latency.compare(self._typical, now)
        return factor * (load.estimate(now) + 1) / candidate.weight


def create_balancer(service, data_centre, clock, rng):
    """Return the balancer that a service names.

    Args:
        service: The `Service` of the document.
        data_centre: Name of this node's data centre.
        clock: Clock in monotonic seconds.
        rng: A `random.Random`.

    Raises:
        InputError: With code `unknown-variant` if no policy has that name.
    """
    cls = balancers.get_by_name(service.balancing)
    return cls(service, data_centre, clock, rng)
