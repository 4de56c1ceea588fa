"""Departure.

What a node that was told to stop may still begin, and until when. Answers planned
stops: a request is begun only if it can be answered before the process ends.
"""

from ..errors import Refusal
from ..signals import Signal
from ..verdicts import Verdict

# By then callers have learnt that the node is leaving.
NOTICE_S = 2.8
# Shares of the grace time: when requests count as late at the latest, when nothing is
# handed to a backend server any more, and when waits for answers end.
NOTICE_SHARE = 0.5
START_SHARE = 0.7
END_SHARE = 11 / 12
# A node is back about so long after it has ended.
RESTART_S = 0.8


class NodeShutdown(Exception):
    """The node ends before the answer has come."""


class Shutdown:
    """The planned end of a node; may be used from any thread.

    Attributes:
        closed: A `Signal` that is set once nothing may be begun any more.
        ended: A `Signal` that is set once waits for answers have to end.
    """

    __slots__ = ("closed", "ended", "_clock", "_began_at", "_grace_s", "_is_closed")

    def __init__(self, clock):
        self.closed = Signal()
        self.ended = Signal()
        self._clock = clock
        self._began_at = None
        self._grace_s = 0.0
        self._is_closed = False

    def begin(self, grace_s):
        """Note that the node was told to stop.

        Args:
            grace_s: Seconds after which the process is killed.
        """
        if self._began_at is None:
            self._grace_s = grace_s
            self._began_at = self._clock.now()

    def is_shutting_down(self):
        """Return whether the node was told to stop."""
        return self._began_at is not None

    def get_elapsed_s(self):
        """Return the seconds since the node was told to stop, -1 if it was not."""
        if not self.is_shutting_down():
            return -1.0
        return self._clock.now() - self._began_at

    def get_remaining_s(self):
        """Return the seconds until waits for answers end."""
        return self._grace_s * END_SHARE - self.get_elapsed_s()

    def may_dispatch(self):
        """Return whether a request may still be handed to a backend server."""
        if not self.is_shutting_down():
            return True
        return (
            not self._is_closed and self.get_elapsed_s() < self._grace_s * START_SHARE
        )

    def limit_wait(self, max_wait_s):
        """Return how long a request may wait for a slot.

        Args:
            max_wait_s: Seconds that it would wait if the node did not leave.
        """
        if not self.is_shutting_down():
            return max_wait_s
        return max(
            0.0, min(max_wait_s, self._grace_s * START_SHARE - self.get_elapsed_s())
        )

    def check(self, arrived, deadline):
        """Refuse a request that might not be answered before the node ends.

        Args:
            arrived: Seconds at which its head had been read.
            deadline: Seconds by which it must be answered.

        Raises:
            Refusal: Not run, with code `node-leaving`.
        """
        if not self.is_shutting_down():
            return
        late_s = min(NOTICE_S, self._grace_s * NOTICE_SHARE)
        is_late = arrived - self._began_at > late_s
        ends_at = self._began_at + self._grace_s * END_SHARE
        if not self.may_dispatch() or (is_late and deadline > ends_at):
            raise self.build_refusal()

    def build_refusal(self):
        """Return the `Refusal` of a request that the node can't begin any more."""
        return Refusal(
            503,
            "node-leaving",
            "the node stops before it could answer",
            retry_after=max(0.0, self.get_remaining_s()) + RESTART_S,
        )

    def close(self):
        """Let nothing be begun any more, and wake those that wait."""
        self._is_closed = True
        self.closed.set()

    def end(self):
        """End all waits for answers."""
        self.ended.set()


def build_shutdown_refusal(begun):
    """Return the `Refusal` of a request that was not answered before the node's end.

    Args:
        begun: Whether it may have been handed to a backend server.
    """
    return Refusal(
        504 if begun else 503,
        "node-ending",
        "the node stopped before the answer came",
        verdict=Verdict.MAY_HAVE_RUN if begun else Verdict.NOT_RUN,
        retry_after=RESTART_S,
    )
