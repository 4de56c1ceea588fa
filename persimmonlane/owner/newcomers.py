"""Processes of the local backend server that a node does not use yet.

A node that has just started does not know whether its last process has acknowledged
that the backend server leaves, and a heartbeat of before that may still arrive. So it
first asks what is known of departures.
"""

# The store answers within milliseconds, unless it fails.
STORE_PATIENCE_S = 1.0


class Newcomers:
    """Holds back processes until it is known whether they have departed.

    Attributes:
        held: The newest `Heartbeat` of the process that is held back, or None.
    """

    __slots__ = ("held", "_clock", "_held_at", "_knows_departures")

    def __init__(self, clock):
        self.held = None
        self._clock = clock
        self._held_at = None
        self._knows_departures = False

    def note_departures_read(self):
        """Note that the departures which the store holds are known."""
        self._knows_departures = True

    def hold(self, heartbeat):
        """Hold back the process of a `Heartbeat`, unless a newer one is held back."""
        held = self.held
        if held is None or held.born < heartbeat.born:
            self._held_at = self._clock.now()
        elif held.born > heartbeat.born or held.sequence >= heartbeat.sequence:
            return
        self.held = heartbeat

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
        if self._knows_departures:
            return True
        return self._clock.now() - self._held_at >= STORE_PATIENCE_S
