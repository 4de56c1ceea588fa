"""Gate.

Hands the slots of the backend server beside the node to requests. Answers the load
of a burst: more requests than slots, some of which can't be answered in time.
"""

import heapq
import itertools

from ..errors import Refusal

RETRY_AFTER_LEAST_S = 0.05
# A request that runs longer than all but this share is not counted on to end.
STUCK_SURVIVAL = 0.01
# Seconds for which less urgent requests leave a slot to more urgent ones, after one of
# these had to wait or was refused.
YIELD_S = 1.0
# A request waits at most this many times the patience it came with.
PATIENCE_FACTOR = 1.2
PATIENCE_LEAST_S = 0.05
# A request that has less than this share of its usual work time left is not begun.
LEAST_WORK_SHARE = 0.5


class Ticket:
    """A request at the gate.

    Attributes:
        times: The `LatencyModel` of its route.
        rank: Urgency; 0 is the most urgent.
        deadline: Seconds by which it must be answered.
        patience_s: Longest estimated wait that it accepts.
        waits_until: Seconds at which it gives up waiting.
        granted_at: Seconds at which it got its slot, or None.
        refusal: The `Refusal` that ended its wait, or None.
        wake: Called once its wait has ended.
    """

    __slots__ = (
        "times",
        "rank",
        "deadline",
        "patience_s",
        "waits_until",
        "granted_at",
        "refusal",
        "wake",
    )

    def __init__(self, times, rank, deadline, patience_s, wake):
        self.times = times
        self.rank = rank
        self.deadline = deadline
        self.patience_s = patience_s
        self.waits_until = deadline
        self.granted_at = None
        self.refusal = None
        self.wake = wake


class AdmissionQueue:
    """Slots and waiting requests of one backend server; not thread-safe.

    Attributes:
        slots: Requests that the backend server runs at a time; 0 closes the gate.
    """

    __slots__ = ("slots", "_clock", "_running", "_waiting", "_order", "_pressed")

    def __init__(self, clock):
        self.slots = 0
        self._clock = clock
        self._running = set()
        self._waiting = []
        self._order = itertools.count()
        self._pressed = {}

    @property
    def running(self):
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def enter(self, ticket):
        """Give a request a slot or a place in the queue.

        Raises:
            Refusal: Not run, if the gate is closed or it would wait too long.
        """
        if self.check_admission(ticket):
            self._grant(ticket)
            return
        longest_s = max(PATIENCE_LEAST_S, ticket.patience_s * PATIENCE_FACTOR)
        ticket.waits_until = min(ticket.deadline, self._clock.now() + longest_s)
        heapq.heappush(self._waiting, (ticket.rank, next(self._order), ticket))

    def check_admission(self, ticket):
        """Return whether a request would get a slot at once.

        Raises:
            Refusal: Not run, if the gate is closed or it would wait too long.
        """
        if self.slots <= 0:
            raise refuse("server-leaving", 0.0)
        free = self.slots - self.running - self._count_yielded(ticket.rank)
        if free > 0 and not self._waiting:
            return True
        now = self._clock.now()
        self._pressed[ticket.rank] = now
        wait_s = self.estimate_wait(ticket.rank)
        need_s = ticket.times.estimate_mean() * LEAST_WORK_SHARE
        left_s = ticket.deadline - now
        if wait_s > ticket.patience_s or wait_s + need_s > left_s:
            raise refuse("server-busy", wait_s)
        return False

    def leave(self, ticket):
        """Take a request's slot or place back, and let the next one in."""
        if ticket.granted_at is None:
            self._waiting = [row for row in self._waiting if row[2] is not ticket]
            heapq.heapify(self._waiting)
            return
        self._running.discard(ticket)
        self.admit_waiting()

    def resize(self, slots):
        """Set the number of slots; 0 refuses all that waits, as not run."""
        self.slots = slots
        if slots > 0:
            self.admit_waiting()
        else:
            self.turn_away("server-leaving")

    def turn_away(self, code):
        """Refuse all that waits, as not run, with a code."""
        waiting, self._waiting = self._waiting, []
        for _, _, ticket in sorted(waiting, key=lambda row: row[:2]):
            self._refuse(ticket, refuse(code, 0.0))

    def admit_waiting(self):
        """Give free slots to those that wait; refuse those that can't make it."""
        while self._waiting and self.running < self.slots:
            _, _, ticket = heapq.heappop(self._waiting)
            need_s = ticket.times.estimate_mean() * LEAST_WORK_SHARE
            if ticket.deadline - self._clock.now() < need_s:
                self._refuse(ticket, refuse("server-busy", self.estimate_wait(0)))
                continue
            self._grant(ticket)
            ticket.wake()

    def estimate_wait(self, rank):
        """Return the seconds until a request of a rank is likely to get a slot.

        With every end of a running request one of those that wait gets its slot, so
        the first of them waits for the first end and not for an average one.
        """
        if self.slots <= 0:
            return 0.0
        if self.running < self.slots and not self._waiting:
            return 0.0
        ahead = [row[2] for row in self._waiting if row[0] <= rank]
        now = self._clock.now()
        moving = [
            ticket
            for ticket in self._running
            if ticket.times.find_survival(now - ticket.granted_at) >= STUCK_SURVIVAL
        ]
        free = max(0, self.slots - self.running)
        if not moving and not free:
            return min(ticket.deadline for ticket in self._running) - now
        work_s = sum(ticket.times.estimate_mean() for ticket in ahead)
        if moving:
            work_s += sum(item.times.estimate_mean() for item in moving) / len(moving)
        return work_s / (len(moving) + free)

    def list_running(self):
        """Return the `Ticket`s that hold a slot."""
        return list(self._running)

    def _count_yielded(self, rank):
        """Return the slots that a request leaves to more urgent ones."""
        since = self._clock.now() - YIELD_S
        pressed = any(at > since for other, at in self._pressed.items() if other < rank)
        return 1 if pressed else 0

    def _grant(self, ticket):
        ticket.granted_at = self._clock.now()
        self._running.add(ticket)

    def _refuse(self, ticket, refusal):
        ticket.refusal = refusal
        ticket.wake()


def refuse(code, wait_s):
    """Return the refusal of a request that never reached the backend server."""
    return Refusal(
        503,
        code,
        "the backend server takes no more requests",
        retry_after=max(RETRY_AFTER_LEAST_S, wait_s),
    )
