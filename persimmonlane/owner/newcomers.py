"""Processes of the local backend server that a node does not use yet.

A node that has just started does not know whether its last process has acknowledged
that the backend server leaves, and a heartbeat of before that may still arrive. So it
first asks the store and the other nodes what is known of departures, and the backend
server itself: a departure may have been acknowledged while the store was away, and all
that remembered it may have ended since.
"""

import enum

from .incarnations import MIN_HEARTBEATS, MIN_INTERVALS, is_same_incarnation

# The store answers within milliseconds, unless it fails.
STORE_PATIENCE_S = 1.0
# The same for the backend server.
STATEMENT_PATIENCE_S = 0.5
# The wait for a process of which nothing at all can be learned.
BLIND_PATIENCE_S = 3.0
# Between two status checks.
CHECK_INTERVAL_S = 0.5


class Condition(enum.Enum):
    """What a backend server says of itself: `ILL` if it fails or leaves.

    `ABSENT` stands for a service without a status check.
    """

    WELL = "well"
    ILL = "ill"
    UNKNOWN = "unknown"
    ABSENT = "absent"


FINAL_CONDITIONS = (Condition.WELL, Condition.ABSENT)


class ServerStatement:
    """Answer to a status check.

    Attributes:
        server_id: Identifier of the backend server that answered; empty if none did.
        condition: The `Condition`.
        cold_s: Seconds for which it remains cold, None if it does not say.
        is_cold_malformed: Whether it says that in a form that can't be read.
    """

    __slots__ = ("server_id", "condition", "cold_s", "is_cold_malformed")

    def __init__(self, server_id, condition, cold_s=None, is_cold_malformed=False):
        self.server_id = server_id
        self.condition = condition
        self.cold_s = cold_s
        self.is_cold_malformed = is_cold_malformed


class Newcomers:
    """Holds back processes until it is known whether they have departed.

    Attributes:
        held: The newest `Heartbeat` of the process that is held back, or None.
    """

    __slots__ = (
        "held",
        "_clock",
        "_span_s",
        "_knows_departures",
        "_held_at",
        "_count",
        "_is_doubted",
        "_condition",
        "_checked_at",
    )

    def __init__(self, heartbeat_s, clock):
        """Create it without a process.

        Args:
            heartbeat_s: Interval of heartbeats, in seconds.
            clock: Clock in seconds.
        """
        self.held = None
        self._clock = clock
        self._span_s = heartbeat_s * MIN_INTERVALS
        self._knows_departures = False
        self._held_at = None
        self._count = 0
        self._is_doubted = False
        self._condition = None
        self._checked_at = None

    def note_departures_read(self):
        """Note that the departures which the store holds are known."""
        self._knows_departures = True

    def hold(self, heartbeat, is_doubted=False):
        """Hold back the process of a `Heartbeat`, unless a newer one is held back.

        Args:
            heartbeat: The `Heartbeat`.
            is_doubted: Whether a departure may have meant this process.
        """
        held = self.held
        if held is None or held.born < heartbeat.born:
            self._held_at = self._clock.now()
            self._count = 0
            self._condition = None
            self._checked_at = None
        elif (
            not is_same_incarnation(held, heartbeat)
            or held.sequence >= heartbeat.sequence
        ):
            return
        self.held = heartbeat
        self._is_doubted = is_doubted
        self._count += 1

    def begin_check(self):
        """Return the `Heartbeat` of the process to ask for its status now, or None."""
        now = self._clock.now()
        if self.held is None or self._condition in FINAL_CONDITIONS:
            return None
        if self._checked_at is not None and now - self._checked_at < CHECK_INTERVAL_S:
            return None
        self._checked_at = now
        return self.held

    def note_statement(self, heartbeat, statement):
        """Note what was answered to a status check.

        Args:
            heartbeat: A `Heartbeat` of the process that was asked.
            statement: The `ServerStatement`.
        """
        held = self.held
        if held is None or not is_same_incarnation(held, heartbeat):
            return
        if statement.server_id and statement.server_id != held.server_id:
            # That process has ended: another one answers at its address.
            self.held = None
            return
        self._condition = statement.condition

    def release(self):
        """Return the `Heartbeat` of the process that may be used now, or None."""
        held = self.held
        if held is None or not self._is_cleared():
            return None
        self.held = None
        return held

    def drop(self):
        """Forget the process that is held back."""
        self.held = None

    def _is_cleared(self):
        held_s = self._clock.now() - self._held_at
        if self._is_doubted:
            return self._condition is Condition.WELL and self._has_gone_on(held_s)
        if self._condition is Condition.ILL:
            # A sound server may say so as well, but one that leaves sends no more.
            return self._has_gone_on(held_s)
        if self._condition is Condition.WELL:
            return self._knows_departures or held_s >= STORE_PATIENCE_S
        if not self._knows_departures:
            return held_s >= BLIND_PATIENCE_S
        return self._condition is Condition.ABSENT or held_s >= STATEMENT_PATIENCE_S

    def _has_gone_on(self, held_s):
        return self._count >= MIN_HEARTBEATS and held_s >= self._span_s
