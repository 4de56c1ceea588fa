"""Service queue.

Holds the requests that wait for a backend server and shares the service
between organisations.
"""

import collections

from ..errors import Refusal

MIN_QUANTUM = 0.05
FIRST_CREDIT = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
SERVICE_TIME_SMOOTHING = 0.1
DEVIATIONS = 3.0


class QueuedRequest:
    """A request that waits.

    Attributes:
        organisation: Name of its organisation.
        deadline: Monotonic seconds by which it must be answered.
        cost: Work that it stands for; 1 is a usual request.
        payload: What the caller of the queue wants back.
    """

    __slots__ = ("organisation", "deadline", "cost", "payload")

    def __init__(self, organisation, deadline, cost=1.0, payload=None):
        self.organisation = organisation
        self.deadline = deadline
        self.cost = cost
        self.payload = payload


class Flow:
    """The waiting requests of one organisation.

    It begins with enough credit for one usual request, so that an organisation with
    few requests waits for one round at most.
    """

    __slots__ = ("organisation", "requests", "cost", "deficit")

    def __init__(self, organisation):
        self.organisation = organisation
        self.requests = collections.deque()
        self.cost = 0.0
        self.deficit = FIRST_CREDIT


class ServiceQueue:
    """Bounded queue of one service, shared by deficit round robin.

    Organisations take turns; each turn adds a quantum weighted by the
    organisation's rate. When the queue is full, the organisation that holds most
    of it for its weight gives up its newest request. A request that could not
    be answered by its deadline is refused rather than run in vain.
    """

    __slots__ = (
        "_service",
        "_clock",
        "_weights",
        "_flows",
        "_turns",
        "_mean_weight",
        "_size",
        "_evicted",
        "_typical_s",
        "_deviation_s",
        "_interval_s",
        "_taken_at",
    )

    def __init__(self, service, clock, weights):
        """Begin with an empty queue.

        Args:
            service: The `config.model.Service`.
            clock: Clock in monotonic seconds.
            weights: Callable from an organisation's name to its rate.
        """
        self._service = service
        self._clock = clock
        self._weights = weights
        self._flows = {}
        self._turns = collections.deque()
        self._mean_weight = 1.0
        self._size = 0
        self._evicted = []
        self._typical_s = 0.0
        self._deviation_s = 0.0
        self._interval_s = 0.0
        self._taken_at = None

    def __len__(self):
        return self._size

    def set_service(self, service):
        """Take another version of the service's policy into force."""
        self._service = service

    def note_latency(self, latency_s):
        """Take the latency of an answer, to tell which deadlines can be met."""
        change = latency_s - self._typical_s
        self._typical_s += SERVICE_TIME_SMOOTHING * change
        spread = abs(change) - self._deviation_s
        self._deviation_s += SERVICE_TIME_SMOOTHING * spread

    def offer(self, request):
        """Take a request that has to wait.

        A full queue makes room by giving up the newest request of the
        organisation that holds most for its weight; `expire` returns it.

        Raises:
            Refusal: If the deadline can't be met, or the organisation itself holds
                most of a full queue.
        """
        if request.deadline - self._clock.now() <= self._typical_s:
            raise self.refuse("deadline-too-short")
        flow = self._flows.get(request.organisation)
        if flow is None:
            flow = self._add_flow(request.organisation)
        if self._size >= self._service.queue_limit:
            self._make_room(flow, request)
        flow.requests.append(request)
        flow.cost += request.cost
        self._size += 1

    def take(self):
        """Return the next request to run, or None."""
        now = self._clock.now()
        while self._turns:
            flow = self._turns[0]
            if not flow.requests:
                self._drop_flow(flow)
                continue
            request = flow.requests[0]
            if self._is_hopeless(request, now):
                self._evicted.append(self._pop(flow))
                continue
            if flow.deficit < request.cost:
                flow.deficit += self._find_quantum(flow)
                self._turns.rotate(-1)
                continue
            flow.deficit -= request.cost
            self._pop(flow)
            self._note_taken(now)
            return request
        return None

    def put_back(self, request):
        """Return a request, just taken, that no backend server could take.

        It keeps its place and its organisation's turn.
        """
        flow = self._flows.get(request.organisation)
        if flow is None:
            flow = self._add_flow(request.organisation)
        flow.requests.appendleft(request)
        flow.cost += request.cost
        flow.deficit += request.cost
        self._size += 1

    def expire(self):
        """Return the requests to refuse: given up, or too late to be answered."""
        now = self._clock.now()
        for flow in self._flows.values():
            kept = [r for r in flow.requests if not self._is_hopeless(r, now)]
            if len(kept) == len(flow.requests):
                continue
            self._evicted += [r for r in flow.requests if self._is_hopeless(r, now)]
            self._size -= len(flow.requests) - len(kept)
            flow.requests = collections.deque(kept)
            flow.cost = sum(r.cost for r in kept)
        evicted = self._evicted
        self._evicted = []
        return evicted

    def refuse(self, code="overloaded"):
        """Return the refusal of a request that waited here and did not run."""
        return Refusal(
            503,
            code,
            f"service {self._service.name} is overloaded",
            retry_after=self._estimate_wait(),
        )

    def _estimate_wait(self):
        wait_s = self._size * self._interval_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _note_taken(self, now):
        if self._taken_at is not None:
            change = now - self._taken_at - self._interval_s
            self._interval_s += SERVICE_TIME_SMOOTHING * change
        self._taken_at = now if self._size else None

    def _is_hopeless(self, request, now):
        """Return whether a request can hardly be answered by its deadline.

        The fuller the queue, the surer an answer in time has to be, since others
        with more time left wait for the same slot.
        """
        fullness = self._size / self._service.queue_limit
        margin_s = DEVIATIONS * self._deviation_s * fullness
        return request.deadline - now <= self._typical_s + margin_s

    def _add_flow(self, organisation):
        flow = self._flows[organisation] = Flow(organisation)
        self._turns.append(flow)
        self._measure_weights()
        return flow

    def _drop_flow(self, flow):
        self._turns.remove(flow)
        del self._flows[flow.organisation]
        if self._flows:
            self._measure_weights()

    def _measure_weights(self):
        total = sum(self._weights(name) for name in self._flows)
        self._mean_weight = max(total / len(self._flows), 1e-9)

    def _find_quantum(self, flow):
        share = self._weights(flow.organisation) / self._mean_weight
        return max(share, MIN_QUANTUM)

    def _pop(self, flow, newest=False):
        request = flow.requests.pop() if newest else flow.requests.popleft()
        flow.cost -= request.cost
        self._size -= 1
        return request

    def _make_room(self, flow, request):
        greediest = max(self._flows.values(), key=self._find_excess)
        own = (flow.cost + request.cost) / self._find_quantum(flow)
        if greediest is flow or own > self._find_excess(greediest):
            raise self.refuse()
        self._evicted.append(self._pop(greediest, newest=True))

    def _find_excess(self, flow):
        return flow.cost / self._find_quantum(flow)
