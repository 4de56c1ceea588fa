"""Clocks.

Decision classes take their time in monotonic seconds from one of these.
"""

import time


class SystemClock:
    """The monotonic clock of the VM."""

    __slots__ = ()

    def now(self):
        """Return monotonic seconds."""
        return time.monotonic()


class ManualClock:
    """A clock that moves only when told to.

    Attributes:
        seconds: The present reading in seconds.
    """

    __slots__ = ("seconds",)

    def __init__(self, seconds=0.0):
        self.seconds = seconds

    def now(self):
        """Return the present reading in seconds."""
        return self.seconds

    def advance(self, seconds):
        """Move the clock forward by a number of seconds."""
        self.seconds += seconds


class BootClock:
    """Seconds since the VM's boot; time for which it was suspended counts."""

    __slots__ = ()

    def now(self):
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
