"""Schedule.

Calls in the order of their times, on a clock that moves with them.
"""

import heapq
import itertools

from ..clocks import ManualClock


class Schedule:
    """Calls that are due at set times.

    Attributes:
        clock: Clock that shows the time of the call that runs.
    """

    __slots__ = ("clock", "_calls", "_numbers")

    def __init__(self):
        self.clock = ManualClock()
        self._calls = []
        self._numbers = itertools.count()

    def call_later(self, delay_s, function, *arguments):
        """Call a function after a delay in seconds."""
        at = self.clock.seconds + delay_s
        heapq.heappush(self._calls, (at, next(self._numbers), function, arguments))

    def call_every(self, interval_s, function, offset_s=0.0):
        """Call a function at a fixed interval in seconds."""

        def repeat():
            function()
            self.call_later(interval_s, repeat)

        self.call_later(offset_s or interval_s, repeat)

    def run(self, until_s):
        """Make all calls up to a time in seconds."""
        while self._calls and self._calls[0][0] <= until_s:
            at, _, function, arguments = heapq.heappop(self._calls)
            self.clock.seconds = at
            function(*arguments)
        self.clock.seconds = until_s


class SkewedClock:
    """The clock of one node: another start, and slightly another pace."""

    __slots__ = ("_clock", "_offset", "_pace")

    def __init__(self, clock, offset_s, pace):
        self._clock = clock
        self._offset = offset_s
        self._pace = pace

    def now(self):
        """Return the node's monotonic seconds."""
        return self.read(self._clock.seconds)

    def read(self, at):
        """Return what it shows at a time of the schedule."""
        return self._offset + at * self._pace

    def find_time(self, reading):
        """Return the time of the schedule at which it shows a reading."""
        return (reading - self._offset) / self._pace
