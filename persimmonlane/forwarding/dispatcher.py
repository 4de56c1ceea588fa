"""Dispatcher.

Decides for one service where a request goes now, or that it waits.
"""

import collections

from ..balancing import create_balancer
from ..balancing.choices import Choice
from ..ejection import create_ejector
from ..ejection.outcome import Kind
from ..ejection.standing import State
from ..errors import Refusal
from ..invariants import check_invariant
from ..membership.servers import BackendServer
from ..overload import QueuedRequest, ServiceQueue
from .plans import Plan

RETRY_AFTER_S = 1.0
BLOCKED_LIMIT = 8
SILENCE_MIN_S = 0.25
SILENCE_FACTOR = 8.0
LATENCY_SMOOTHING = 0.05
# Ends that say nothing of the backend server.
SILENT_KINDS = frozenset({Kind.STALE, Kind.CANCELLED})


class Placement:
    """A waiting arrival for which there is a backend server now.

    Attributes:
        arrival: The `Arrival`.
        plan: Its `Plan`.
    """

    __slots__ = ("arrival", "plan")

    def __init__(self, arrival, plan):
        self.arrival = arrival
        self.plan = plan


class Rejection:
    """A waiting arrival that is to be refused.

    Attributes:
        arrival: The `Arrival`.
        refusal: Its `Refusal`.
    """

    __slots__ = ("arrival", "refusal")

    def __init__(self, arrival, refusal):
        self.arrival = arrival
        self.refusal = refusal


class Makers:
    """Creates the decision classes of a service."""

    __slots__ = ()

    create_ejector = staticmethod(create_ejector)
    create_balancer = staticmethod(create_balancer)


class Dispatcher:
    """The requests of one service on this node.

    Attributes:
        service: Policy of the service.
        ejector: The service's ejector.
        balancer: The service's balancer.
    """

    __slots__ = (
        "service",
        "ejector",
        "balancer",
        "_clock",
        "_rng",
        "_data_centre",
        "_servers",
        "_running",
        "_queue",
        "_latency_s",
        "_has_kept",
        "_makers",
    )

    def __init__(
        self, service, data_centre, weights, clock, rng, has_kept, makers=None
    ):
        """Begin without backend servers.

        Args:
            service: The `config.model.Service`.
            data_centre: Name of this node's data centre.
            weights: Callable from an organisation's name to its rate.
            clock: Clock in monotonic seconds.
            rng: A `random.Random`.
            has_kept: Callable that tells whether there is a kept connection to
                an address.
            makers: Creates the ejector and the balancer; a `traces.Recorder`
                records what they are given.
        """
        self.service = service
        self._makers = makers or Makers()
        self.ejector = self._makers.create_ejector(service, clock, rng)
        self.balancer = self._makers.create_balancer(service, data_centre, clock, rng)
        self._clock = clock
        self._rng = rng
        self._data_centre = data_centre
        self._servers = {}
        self._running = collections.Counter()
        self._queue = ServiceQueue(service, clock, weights)
        self._latency_s = 0.0
        self._has_kept = has_kept

    def set_service(self, service):
        """Take another policy into force; what still holds is kept."""
        if service == self.service:
            return
        if service.balancing != self.service.balancing:
            self.balancer = self._makers.create_balancer(
                service, self._data_centre, self._clock, self._rng
            )
        self.service = service
        self.balancer.set_service(service)
        self.ejector.set_service(service)
        self._queue.set_service(service)

    def update_servers(self, servers):
        """Take the backend servers of the service that take new work."""
        servers = [fill_slots(server, self.service) for server in servers]
        self._servers = {server.address: server for server in servers}
        self.balancer.forget(servers)
        self.ejector.update_servers(servers)

    def place(self, arrival):
        """Return the `Plan` for a request, or None if it has been queued.

        Raises:
            Refusal: With code `no-backend-server`, or the queue's.
        """
        if not arrival.retry and len(self._queue):
            return self._enqueue(arrival)
        plan = self._choose(arrival)
        if plan is not None:
            return plan
        return self._enqueue(arrival)

    def place_queued(self):
        """Yield a `Placement` for each waiting arrival that can go now.

        One that no free server may take keeps its place, and lets others pass.
        """
        blocked = []
        while self._has_room() and len(blocked) < BLOCKED_LIMIT:
            request = self._queue.take()
            if request is None:
                break
            if request.payload.abandoned:
                continue
            plan = self._choose(request.payload)
            if plan is None:
                blocked.append(request)
            else:
                yield Placement(request.payload, plan)
        for request in reversed(blocked):
            self._queue.put_back(request)

    def dismiss(self):
        """Yield the arrivals that wait, since the service is removed."""
        while True:
            request = self._queue.take()
            if request is None:
                break
            yield request.payload
        for rejection in self.expire():
            yield rejection.arrival

    def expire(self):
        """Yield a `Rejection` for each waiting arrival that is to be refused."""
        for request in self._queue.expire():
            yield Rejection(request.payload, self._queue.refuse())

    def is_idle(self):
        """Return whether nothing runs, waits or is due."""
        return not self._running and not len(self._queue) and self.ejector.is_idle()

    def running(self):
        """Return the addresses at which attempts run."""
        return list(self._running)

    def end(self, outcome):
        """Take the end of an attempt."""
        self._running[outcome.address] -= 1
        if self._running[outcome.address] <= 0:
            del self._running[outcome.address]
        is_telling = outcome.kind not in SILENT_KINDS
        latency_s = outcome.latency_s if is_telling else None
        self.balancer.finish(outcome.address, latency_s, outcome.kind is Kind.OK)
        self.ejector.observe(outcome)
        if outcome.kind is Kind.OK:
            self._note_latency(outcome.latency_s)

    def _enqueue(self, arrival):
        if not self._has_candidate(arrival):
            raise Refusal(
                503,
                "no-backend-server",
                "no backend server takes new work",
                retry_after=RETRY_AFTER_S,
            )
        self._queue.offer(
            QueuedRequest(arrival.organisation, arrival.deadline, payload=arrival)
        )

    def _choose(self, arrival):
        free = [server for server in self._candidates(arrival) if self._is_free(server)]
        if not free:
            return None
        choice = Choice(arrival.idempotent, arrival.excluded, self.ejector.standing)
        server = self.balancer.choose(free, choice)
        if server is None:
            return None
        check_invariant(
            "leaving",
            server.address in self._servers,
            f"{server.address} was chosen though it takes no new work",
        )
        return self._begin(server)

    def _begin(self, server):
        self._running[server.address] += 1
        self.balancer.start(server.address)
        pooled = self._has_kept(server.address)
        attempt = self.ejector.start(server.address, pooled)
        silence_s = max(SILENCE_MIN_S, SILENCE_FACTOR * self._latency_s)
        return Plan(server.address, attempt, silence_s)

    def _candidates(self, arrival):
        return [
            server
            for server in self._servers.values()
            if server.address not in arrival.excluded
        ]

    def _has_candidate(self, arrival):
        for server in self._candidates(arrival):
            standing = self.ejector.standing(server.address)
            barred = standing.idempotent_only and not arrival.idempotent
            if standing.state is not State.EJECTED and not barred:
                return True
        return False

    def _has_room(self):
        return any(self._is_free(server) for server in self._servers.values())

    def _is_free(self, server):
        return self._running[server.address] < server.slots

    def _note_latency(self, latency_s):
        if not self._latency_s:
            self._latency_s = latency_s
        self._latency_s += LATENCY_SMOOTHING * (latency_s - self._latency_s)


def fill_slots(server, service):
    """Return a backend server with the service's slots if it announced none."""
    if server.slots:
        return server
    return BackendServer(
        server.address,
        server.service,
        server.data_centre,
        service.slots,
        server.incarnation,
        server.since,
    )
