"""Graceful shutdown of a node.

During a planned stop, a request is dispatched to a backend server only if it can be
answered before the process ends.
"""

from ..errors import Refusal
from ..signals import PollableEvent
from ..verdicts import Verdict

# Callers know by then that the node is shutting down; later requests count as late.
MAX_NOTICE_S = 2.8
# Shares of the grace period: after which requests count as late at the latest, after
# which no request is dispatched to a backend server, and after which waits for answers
# end.
MAX_NOTICE_SHARE = 0.5
DISPATCH_SHARE = 0.7
ANSWER_SHARE = 11 / 12
# Approximate time from the end of a node until it serves again.
RESTART_TIME_S = 0.8


class NodeShutdown(Exception):
    """The node stops before the answer has arrived."""


class Shutdown:
    """State of a node's graceful shutdown; thread-safe.

    Attributes:
        closed: A `PollableEvent`, set once no request may be dispatched any more.
        ended: A `PollableEvent` that is set once waits for answers must end.
    """

    __slots__ = ("closed", "ended", "_clock", "_started_at", "_grace_s", "_is_closed")

    def __init__(self, clock):
        self.closed = PollableEvent()
        self.ended = PollableEvent()
        self._clock = clock
        self._started_at = None
        self._grace_s = 0.0
        self._is_closed = False

    def begin(self, grace_s):
        """Start the shutdown; further calls have no effect.

        Args:
            grace_s: Seconds from now after which the process is killed.
        """
        if self._started_at is None:
            self._grace_s = grace_s
            self._started_at = self._clock.now()

    def is_shutting_down(self):
        """Return whether the shutdown has started."""
        return self._started_at is not None

    def get_elapsed_s(self):
        """Return the seconds since the shutdown started, or -1 if it has not."""
        if not self.is_shutting_down():
            return -1.0
        return self._clock.now() - self._started_at

    def get_remaining_s(self):
        """Return the seconds until waits for answers end."""
        return self._grace_s * ANSWER_SHARE - self.get_elapsed_s()

    def may_dispatch(self):
        """Return whether a request may still be dispatched to a backend server."""
        if not self.is_shutting_down():
            return True
        return (
            not self._is_closed
            and self.get_elapsed_s() < self._grace_s * DISPATCH_SHARE
        )

    def limit_wait(self, max_wait_s):
        """Return how long a request may wait for a slot, in seconds.

        Args:
            max_wait_s: Longest wait in seconds if the node does not shut down.
        """
        if not self.is_shutting_down():
            return max_wait_s
        return max(
            0.0, min(max_wait_s, self._grace_s * DISPATCH_SHARE - self.get_elapsed_s())
        )

    def check(self, arrived_at, deadline):
        """Refuse a request that may not be answered before the node stops.

        Args:
            arrived_at: Time in seconds at which the request head had been read.
            deadline: Time in seconds by which the request must be answered.

        Raises:
            Refusal: Not run, with code `node-leaving`.
        """
        if not self.is_shutting_down():
            return
        notice_s = min(MAX_NOTICE_S, self._grace_s * MAX_NOTICE_SHARE)
        is_late = arrived_at - self._started_at > notice_s
        ends_at = self._started_at + self._grace_s * ANSWER_SHARE
        if not self.may_dispatch() or (is_late and deadline > ends_at):
            raise self.build_refusal()

    def build_refusal(self):
        """Return the `Refusal` of a request that can no longer be dispatched."""
        return Refusal(
            503,
            "node-leaving",
            "the node stops before it could answer",
            retry_after=max(0.0, self.get_remaining_s()) + RESTART_TIME_S,
        )

    def close(self):
        """Allow no further dispatches, and wake the threads that wait for answers."""
        self._is_closed = True
        self.closed.set()

    def end(self):
        """End all waits for answers with `NodeShutdown`."""
        self.ended.set()


def build_shutdown_refusal(dispatched):
    """Return the `Refusal` of a request that was not answered before the node stopped.

    Args:
        dispatched: Whether it may have been dispatched to a backend server.
    """
    return Refusal(
        504 if dispatched else 503,
        "node-ending",
        "the node stopped before the answer came",
        verdict=Verdict.MAY_HAVE_RUN if dispatched else Verdict.NOT_RUN,
        retry_after=RESTART_TIME_S,
    )
