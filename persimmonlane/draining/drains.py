"""Drains.

Takes a node through a planned stop, stage by stage.
"""

import enum

from ..invariants import check_invariant

GRACE_S = 1.0
MS_PER_S = 1000


class Stage(enum.Enum):
    """Where a node stands in a planned stop.

    In `NOTICE` the node has said that it leaves and still serves, until no node
    can send it or its backend servers new work. In `FINISHING` it takes no new
    work and finishes what runs.
    """

    SERVING = "serving"
    NOTICE = "notice"
    FINISHING = "finishing"
    DONE = "done"


class Drain:
    """The planned stop of one node.

    The notice lasts one announcement lease: after that no table lists the node's
    backend servers, whatever message was lost. What runs then has at most the
    longest deadline left.

    Attributes:
        stage: The present `Stage`.
    """

    __slots__ = ("stage", "_clock", "_lease_s", "_deadline_s", "_since")

    def __init__(self, clock, lease_s, deadline_s):
        """Create a drain that has not begun.

        Args:
            clock: Clock in monotonic seconds.
            lease_s: Time an announcement stands without renewal, in seconds.
            deadline_s: Longest time that a request may run, in seconds.
        """
        self.stage = Stage.SERVING
        self._clock = clock
        self._lease_s = lease_s
        self._deadline_s = deadline_s
        self._since = clock.now()

    @property
    def accepts(self):
        """Whether new requests are taken."""
        return self.stage in (Stage.SERVING, Stage.NOTICE)

    @property
    def closes(self):
        """Whether answers ask callers to close their connections."""
        return self.stage is not Stage.SERVING

    def begin(self):
        """Note that the node has announced that it leaves."""
        if self.stage is Stage.SERVING:
            self._enter(Stage.NOTICE)

    def observe(self, running, hosted=0):
        """Move on as far as what runs allows; return the `Stage`.

        Args:
            running: Requests of callers that this node runs; each is counted
                before it asks whether it is accepted.
            hosted: Requests that its backend servers say they run; a hint, which
                delays the end by no more than the longest deadline.
        """
        if self.stage is Stage.NOTICE:
            self._end_notice()
        elif self.stage is Stage.FINISHING and self._may_end(running, hosted):
            self._end(running)
        return self.stage

    def _end_notice(self):
        # What runs has to be counted anew: a request may have been accepted
        # since it was counted.
        if self._has_passed(self._lease_s):
            self._enter(Stage.FINISHING)

    def _may_end(self, running, hosted):
        if not running and not hosted:
            return True
        return self._has_passed(self._deadline_s + GRACE_S)

    def _end(self, running):
        self._enter(Stage.DONE)
        check_invariant(
            "graceful",
            running == 0,
            f"{running} requests ran beyond the longest deadline",
        )

    def _enter(self, stage):
        self.stage = stage
        self._since = self._clock.now()

    def _has_passed(self, seconds):
        return self._clock.now() - self._since >= seconds


def create_drain(document, clock):
    """Return the drain that a document calls for.

    Args:
        document: The `Document` in force.
        clock: Clock in monotonic seconds.
    """
    deadlines_ms = [route.deadline_ms for route in document.routes]
    deadline_s = max(deadlines_ms, default=0) / MS_PER_S
    return Drain(clock, document.fleet.announcement_lease_s, deadline_s)
