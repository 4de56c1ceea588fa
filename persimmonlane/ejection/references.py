"""References.

What is usual for the other backend servers of the same service. Medians over
the others keep one failing server, or a few, out of the reference; slowness that
all share raises it.
"""

import math

from .symptoms import LEAST_RATES, TRIALS


class LeaveOneOut:
    """The median of all values but one, for each of them."""

    __slots__ = ("_values",)

    def __init__(self, values):
        self._values = sorted(values)

    def find_median(self, own):
        """Return the lower median of the values without `own`, or None."""
        values = self._values
        count = len(values) - 1
        if count < 1:
            return None
        middle = (count - 1) // 2
        if own <= values[middle]:
            return values[middle + 1]
        return values[middle]


class Reference:
    """Failure rates and typical latencies of the active backend servers."""

    __slots__ = ("_short", "_long", "_latencies", "_groups")

    def __init__(self, tracks):
        self._short = [
            LeaveOneOut([t.short.find_rate(trial) for t in tracks])
            for trial in range(TRIALS)
        ]
        self._long = [
            LeaveOneOut([t.long.find_rate(trial) for t in tracks])
            for trial in range(TRIALS)
        ]
        known = [t for t in tracks if t.log_typical is not None]
        self._latencies = LeaveOneOut([t.log_typical for t in known])
        groups = {}
        for track in known:
            groups.setdefault(track.server.data_centre, []).append(track.log_typical)
        self._groups = {
            name: LeaveOneOut(values)
            for name, values in groups.items()
            if len(values) >= 3
        }

    def find_rates(self, track):
        """Return the failure rate of each trial among the others."""
        return [self._find_rate(track, trial) for trial in range(TRIALS)]

    def find_latency(self, track):
        """Return the typical latency of the others in seconds, or None.

        Backend servers in the same data centre go first, because they lie at the
        same distance.
        """
        latencies = self._groups.get(track.server.data_centre, self._latencies)
        own = track.log_typical
        value = latencies.find_median(-math.inf if own is None else own)
        return None if value is None else math.exp(value)

    def _find_rate(self, track, trial):
        short = self._short[trial].find_median(track.short.find_rate(trial))
        long = self._long[trial].find_median(track.long.find_rate(trial))
        return max(LEAST_RATES[trial], short or 0.0, long or 0.0)
