"""Order of the heartbeats of the local backend server.

Heartbeats may be late and may outlive the process that sent them, so that a newer one
supersedes an older one. Now and then one comes from another writer, and its numbers
would make all later ones of the backend server look old. A process whose numbers are
odd is therefore believed only if it goes on while the current one is silent.
"""

import logging

log = logging.getLogger("persimmonlane.owner")

# Clocks of different VMs differ by seconds, and a clock may jump by seconds.
MAX_CLOCK_ERROR_S = 60.0
# A sender that gets no answer sends its next heartbeat at once, but not this often.
MAX_SEQUENCE_STEP = 1000
# Heartbeats, one after the other, by which a process shows that it goes on; and the
# intervals from the first to the last. Late ones arrive together.
MIN_HEARTBEATS = 3
MIN_INTERVALS = 1.8
MS_PER_S = 1000.0


class IncarnationOrder:
    """Decides which heartbeats supersede the current one."""

    __slots__ = ("_span_s", "_clock", "_wall_clock", "_rival", "_count", "_since")

    def __init__(self, heartbeat_s, clock, wall_clock):
        """Create the order.

        Args:
            heartbeat_s: Interval of heartbeats, in seconds.
            clock: Clock in seconds.
            wall_clock: Clock in seconds of Unix time.
        """
        self._span_s = heartbeat_s * MIN_INTERVALS
        self._clock = clock
        self._wall_clock = wall_clock
        # The last heartbeat of a process that is not believed yet.
        self._rival = None
        self._count = 0
        self._since = 0.0

    def supersedes(self, current, heartbeat, departed_born=None):
        """Return whether a heartbeat takes the place of the current one.

        Args:
            current: The current `Heartbeat`, or None.
            heartbeat: The `Heartbeat` that was received.
            departed_born: Unix milliseconds of the start of the newest process that
                has departed, or None.
        """
        if self._is_next(current, heartbeat, departed_born):
            self._rival = None
            return True
        if current is not None and is_repetition(current, heartbeat):
            return False
        return self._has_gone_on(heartbeat)

    def is_in_future(self, born):
        """Return whether a start time in Unix milliseconds can't be true yet."""
        return born / MS_PER_S > self._wall_clock.now() + MAX_CLOCK_ERROR_S

    def _is_next(self, current, heartbeat, departed_born):
        if current is not None and is_same_incarnation(current, heartbeat):
            return is_next_sequence(current, heartbeat)
        if self.is_in_future(heartbeat.born):
            return False
        last_born = departed_born if current is None else current.born
        return last_born is None or heartbeat.born > last_born

    def _has_gone_on(self, heartbeat):
        """Return whether a process has gone on while the current one was silent."""
        rival = self._rival
        if rival is None or not is_same_incarnation(rival, heartbeat):
            log.warning(
                "Owner: a heartbeat of %s is old or odd.",
                heartbeat.server_id,
                extra={"event": "heartbeat-out-of-order"},
            )
            self._watch(heartbeat)
            return False
        if heartbeat.sequence <= rival.sequence:
            return False
        if not is_next_sequence(rival, heartbeat):
            self._watch(heartbeat)
            return False
        self._rival = heartbeat
        self._count += 1
        age_s = self._clock.now() - self._since
        if self._count < MIN_HEARTBEATS or age_s < self._span_s:
            return False
        self._rival = None
        return True

    def _watch(self, heartbeat):
        self._rival = heartbeat
        self._count = 1
        self._since = self._clock.now()


def is_same_incarnation(one, other):
    """Return whether two `Heartbeat`s are of the same process."""
    return one.server_id == other.server_id and one.born == other.born


def is_next_sequence(before, heartbeat):
    """Return whether a `Heartbeat` of a process can follow another one."""
    return 0 < heartbeat.sequence - before.sequence <= MAX_SEQUENCE_STEP


def is_repetition(one, other):
    """Return whether two `Heartbeat`s are the same one."""
    return is_same_incarnation(one, other) and one.sequence == other.sequence
