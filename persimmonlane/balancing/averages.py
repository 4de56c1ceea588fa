"""Averages.

Moving averages of latency that fade with time.
"""

import math

FADE_S = 5.0
# Weight of the belief that a backend server is as fast as the others, in samples.
PRIOR_SAMPLES = 1.0


class Average:
    """An exponentially fading average of latency.

    Attributes:
        weight: Weight of the samples, faded.
        total: Sum of the samples in seconds, faded.
        at: Monotonic seconds of the last sample.
    """

    __slots__ = ("weight", "total", "at")

    def __init__(self):
        self.weight = 0.0
        self.total = 0.0
        self.at = 0.0

    def record(self, latency_s, now):
        """Take in one latency."""
        fade = self._fade(now)
        self.weight = self.weight * fade + 1
        self.total = self.total * fade + latency_s
        self.at = now

    def read(self, now):
        """Return the average in seconds, 0 without samples."""
        return self.total / self.weight if self.weight else 0.0

    def compare(self, typical, now):
        """Return this average as a multiple of another one.

        With few or old samples it tends to 1.
        """
        usual_s = typical.read(now)
        if not usual_s:
            return 1.0
        fade = self._fade(now)
        total = self.total * fade + PRIOR_SAMPLES * usual_s
        return total / (self.weight * fade + PRIOR_SAMPLES) / usual_s

    def _fade(self, now):
        return math.exp((self.at - now) / FADE_S)
