"""Admission queue of the local backend server.

Assigns the server's slots to requests by priority. In a burst there are more requests
than slots; those that can't be answered in time are refused early.
"""

import itertools

from ..errors import Refusal
from .coldstart import ColdStartLimit
from .fairness import create_order
from .limits import ServerLimit

MIN_RETRY_AFTER_S = 0.05
# A request that has run longer than all but this fraction of healthy requests counts as
# stuck; wait estimates don't rely on its end.
STUCK_SURVIVAL = 0.01
# Less urgent requests leave one slot free for this long after a more urgent request had
# to wait or was refused.
RESERVE_S = 1.0
# A request is refused after waiting this many times its accepted wait.
WAIT_TIMEOUT_FACTOR = 1.2
MIN_WAIT_TIMEOUT_S = 0.05
# A request with less than this fraction of its mean processing time left is refused.
MIN_PROCESSING_RATIO = 0.5
# Least share of the slots that is left to an organisation, in estimates of its wait.
MIN_OWN_SHARE = 0.05


class Ticket:
    """A request in the admission queue.

    Attributes:
        latency: The `LatencyModel` of its route.
        priority: Its priority; 0 is the most urgent.
        deadline: Clock time by which it must be answered, in seconds.
        max_wait_s: Longest estimated wait that it accepts.
        alone: Whether nothing else may run on the server meanwhile.
        organisation: Name of its organisation, or an empty string.
        number: Number that rises with the arrivals in the queue.
        wait_deadline: Clock time at which its wait times out, in seconds.
        granted_at: Clock time at which it got its slot, in seconds, or None.
        refusal: The `Refusal` that ended its wait, or None.
        wake: Called when its wait has ended.
    """

    __slots__ = (
        "latency",
        "priority",
        "deadline",
        "max_wait_s",
        "alone",
        "organisation",
        "number",
        "wait_deadline",
        "granted_at",
        "refusal",
        "wake",
        "_cost",
    )

    def __init__(
        self,
        latency,
        priority,
        deadline,
        max_wait_s,
        wake,
        alone=False,
        organisation="",
    ):
        self.latency = latency
        self.priority = priority
        self.deadline = deadline
        self.max_wait_s = max_wait_s
        self.alone = alone
        self.organisation = organisation
        self.number = 0
        self.wait_deadline = deadline
        self.granted_at = None
        self.refusal = None
        self.wake = wake
        self._cost = None

    def estimate_cost(self):
        """Return the processing time expected when this was first called, in s."""
        if self._cost is None:
            self._cost = self.latency.estimate_mean()
        return self._cost


class AdmissionQueue:
    """Slots and waiting requests of one backend server; not thread-safe.

    Attributes:
        slots: Concurrency limit of the backend server; 0 refuses all new requests.
        limit: The `ServerLimit` of the backend server.
        cold: Its `ColdStartLimit`.
        granted_at: Clock time at which the last request got a slot, in seconds.
    """

    __slots__ = (
        "slots",
        "limit",
        "cold",
        "granted_at",
        "_clock",
        "_running",
        "_waiting",
        "_sequence",
        "_last_contention",
    )

    def __init__(self, clock, settings=None):
        """Create it without slots.

        Args:
            clock: Clock in seconds.
            settings: The `FleetSettings`, or None for their defaults.
        """
        self.slots = 0
        self.limit = ServerLimit(clock)
        self.cold = ColdStartLimit(clock, settings)
        self.granted_at = clock.now()
        self._clock = clock
        self._running = set()
        self._waiting = create_order(settings, clock)
        self._sequence = itertools.count()
        self._last_contention = {}

    @property
    def running(self):
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def admit(self, ticket):
        """Grant a request a slot, or enqueue it.

        Raises:
            Refusal: Not run, if there are no slots or it would wait too long.
        """
        if self.check_admission(ticket):
            self._grant(ticket)
            return
        timeout_s = max(MIN_WAIT_TIMEOUT_S, ticket.max_wait_s * WAIT_TIMEOUT_FACTOR)
        ticket.wait_deadline = min(ticket.deadline, self._clock.now() + timeout_s)
        ticket.number = next(self._sequence)
        self._waiting.push(ticket)

    def check_admission(self, ticket):
        """Return whether a request would get a slot at once.

        Raises:
            Refusal: Not run, if there are no slots or it would wait too long.
        """
        if self.slots <= 0:
            raise build_refusal("server-leaving", 0.0)
        free = self._count_free(ticket)
        ahead = len(self._waiting.list_ahead(ticket.priority, ticket.organisation))
        limit_wait_s = self.limit.get_wait_s(ahead)
        cold_wait_s = self.cold.get_wait_s(ahead)
        rate_wait_s = max(limit_wait_s, cold_wait_s)
        if free > 0 and not self._waiting and rate_wait_s <= 0.0:
            return True
        now = self._clock.now()
        if free <= 0:
            self._last_contention[ticket.priority] = now
        slot_wait_s = self.estimate_wait(ticket.priority, ticket.organisation)
        if ticket.alone or self._runs_alone():
            slot_wait_s = max(slot_wait_s, self._estimate_drain())
        wait_s = max(slot_wait_s, rate_wait_s)
        processing_s = ticket.latency.estimate_mean() * MIN_PROCESSING_RATIO
        left_s = ticket.deadline - now
        if wait_s > ticket.max_wait_s or wait_s + processing_s > left_s:
            code = "server-busy"
            if rate_wait_s > slot_wait_s:
                is_cold = cold_wait_s > limit_wait_s
                code = "server-cold" if is_cold else "server-limited"
            raise build_refusal(code, wait_s)
        return False

    def release(self, ticket):
        """Release a request's slot or queue entry, and admit waiting requests."""
        if ticket.granted_at is None:
            self._waiting.remove(ticket)
        self._running.discard(ticket)
        self.admit_waiting()

    def resize(self, slots):
        """Set the number of slots; 0 refuses all waiting requests as not run."""
        if slots > 0 and self.slots <= 0:
            self.cold.end_pause()
        elif slots <= 0:
            self.cold.begin_pause()
        self.slots = slots
        if slots > 0:
            self.admit_waiting()
        else:
            self.refuse_waiting("server-leaving")

    def refuse_waiting(self, code):
        """Refuse all waiting requests as not run, with a code."""
        refused = [self._waiting.pop() for _ in range(len(self._waiting))]
        for ticket in refused:
            self._refuse(ticket, build_refusal(code, 0.0))

    def admit_waiting(self):
        """Grant free slots to waiting requests, within the limit of the server.

        Requests with too little time are refused.
        """
        while self._waiting and self.running < self.slots:
            if self.limit.get_wait_s() > 0.0 or self.cold.get_wait_s() > 0.0:
                return
            if self._is_kept_apart():
                return
            ticket = self._waiting.pop()
            processing_s = ticket.latency.estimate_mean() * MIN_PROCESSING_RATIO
            if ticket.deadline - self._clock.now() < processing_s:
                self._refuse(
                    ticket, build_refusal("server-busy", self.estimate_wait(0))
                )
                continue
            self._grant(ticket)
            ticket.wake()

    def estimate_wait(self, priority, organisation=""):
        """Return the expected seconds until a request of a priority gets a slot.

        Each running request that ends frees a slot for the head of the queue, so the
        head waits for the first of them to end and not for an average one.
        """
        if self.slots <= 0:
            return 0.0
        if self.running < self.slots and not self._waiting:
            return 0.0
        ahead = self._waiting.list_ahead(priority, organisation)
        now = self._clock.now()
        progressing = [
            ticket
            for ticket in self._running
            if ticket.latency.compute_survival(now - ticket.granted_at)
            >= STUCK_SURVIVAL
        ]
        free = max(0, self.slots - self.running)
        if not progressing and not free:
            return min(ticket.deadline for ticket in self._running) - now
        work_s = sum(ticket.latency.estimate_mean() for ticket in ahead)
        if progressing:
            work_s += sum(item.latency.estimate_mean() for item in progressing) / len(
                progressing
            )
        usable = len(progressing) + free
        others = self._waiting.estimate_others(priority, organisation)
        return work_s / max(usable * MIN_OWN_SHARE, usable - others)

    def list_running(self):
        """Return the `Ticket`s that hold a slot."""
        return list(self._running)

    def _count_free(self, ticket):
        """Return the number of free slots that a new request may take."""
        if self._runs_alone():
            return 0
        if ticket.alone:
            return 0 if self._running else 1
        return self.slots - self.running - self._count_reserved(ticket.priority)

    def _is_kept_apart(self):
        """Return whether the head of the queue must not run beside what runs now."""
        head = self._waiting.peek()
        return bool(self._running) and (head.alone or self._runs_alone())

    def _runs_alone(self):
        """Return whether a request runs that nothing else may run beside."""
        return any(ticket.alone for ticket in self._running)

    def _estimate_drain(self):
        """Return the expected seconds until nothing runs any more."""
        now = self._clock.now()
        return max(
            (
                min(ticket.latency.estimate_mean(), ticket.deadline - now)
                for ticket in self._running
            ),
            default=0.0,
        )

    def _count_reserved(self, priority):
        """Return the number of slots reserved for requests of higher priority."""
        since = self._clock.now() - RESERVE_S
        contended = any(
            at > since
            for other, at in self._last_contention.items()
            if other < priority
        )
        return 1 if contended else 0

    def _grant(self, ticket):
        self.granted_at = ticket.granted_at = self._clock.now()
        self.limit.take()
        self.cold.take(ticket.granted_at)
        self._waiting.note_grant(ticket)
        self._running.add(ticket)

    def _refuse(self, ticket, refusal):
        ticket.refusal = refusal
        ticket.wake()


def build_refusal(code, wait_s):
    """Return the `Refusal` of a request that was not sent to the backend server."""
    return Refusal(
        503,
        code,
        "the backend server takes no more requests",
        retry_after=max(MIN_RETRY_AFTER_S, wait_s),
    )
