"""Departure.

How long a node that was told to stop has been leaving.
"""


class Departure:
    """The planned end of a node; may be used from any thread."""

    __slots__ = ("_clock", "_began_at")

    def __init__(self, clock):
        self._clock = clock
        self._began_at = None

    def begin(self):
        """Note that the node was told to stop."""
        if self._began_at is None:
            self._began_at = self._clock.now()

    def is_leaving(self):
        """Return whether the node was told to stop."""
        return self._began_at is not None

    def find_age(self):
        """Return the seconds since the node was told to stop, -1 if it was not."""
        if self._began_at is None:
            return -1.0
        return self._clock.now() - self._began_at
