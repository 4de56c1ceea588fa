"""Clocks.

Clocks in seconds, passed to the classes whose decisions depend on time.
"""

import time


class SystemClock:
    """The monotonic clock of the VM; time in suspension doesn't count."""

    __slots__ = ()

    def now(self):
        """Return the current reading in seconds."""
        return time.monotonic()


class ManualClock:
    """A clock for tests, which stands still between calls of `advance`.

    Attributes:
        seconds: The current reading in seconds.
    """

    __slots__ = ("seconds",)

    def __init__(self, seconds=0.0):
        self.seconds = seconds

    def now(self):
        """Return the current reading in seconds."""
        return self.seconds

    def advance(self, seconds):
        """Move the clock forward by a number of seconds."""
        self.seconds += seconds


class BootClock:
    """The clock since the VM's boot; time in suspension counts."""

    __slots__ = ()

    def now(self):
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """The time of day of the VM, which may be wrong by seconds, and may jump."""

    __slots__ = ()

    def now(self):
        """Return the Unix time in seconds."""
        return time.time()
