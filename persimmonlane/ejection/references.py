"""References.

What is usual for the other backend servers of the same service. Medians over
the others keep one failing server, or a few, out of the reference; slowness that
all share raises it.
"""

import math

from .symptoms import LEAST_RATES

LEAST_GROUP = 3


class LeaveOneOut:
    """The lower median of all values but one, for each of them."""

    __slots__ = ("_low", "high")

    def __init__(self, values):
        """Take the values.

        Attributes:
            high: The highest median that leaving one out can give.
        """
        values = sorted(values)
        middle = max(0, (len(values) - 2) // 2)
        self._low = values[middle] if values else None
        self.high = values[middle + 1] if len(values) > 1 else None

    def find_median(self, own):
        """Return the median without `own`, or None if nothing is left."""
        if self.high is None or own <= self._low:
            return self.high
        return self._low


class Reference:
    """Failure rates and typical latencies of the active backend servers."""

    __slots__ = ("_short", "_long", "_latencies", "_groups")

    def __init__(self):
        self._short = {}
        self._long = {}
        self._latencies = LeaveOneOut(())
        self._groups = {}

    def update(self, tracks):
        """Take the rates of the last half second."""
        self._short = find_raised([track.short.rates for track in tracks])

    def update_slowly(self, tracks):
        """Take the rates of the last minute and the typical latencies."""
        self._long = find_raised([track.long.rates for track in tracks])
        known = [track for track in tracks if track.log_typical is not None]
        self._latencies = LeaveOneOut([track.log_typical for track in known])
        groups = {}
        for track in known:
            groups.setdefault(track.server.data_centre, []).append(track.log_typical)
        self._groups = {
            name: LeaveOneOut(values)
            for name, values in groups.items()
            if len(values) >= LEAST_GROUP
        }

    def find_rates(self, track):
        """Return the failure rate of each trial among the others."""
        if not self._short and not self._long:
            return LEAST_RATES
        rates = list(LEAST_RATES)
        for trial, values in self._short.items():
            rates[trial] = max(
                rates[trial], values.find_median(track.short.rates[trial])
            )
        for trial, values in self._long.items():
            rates[trial] = max(
                rates[trial], values.find_median(track.long.rates[trial])
            )
        return rates

    def find_latency(self, track):
        """Return the typical latency of the others in seconds, or None.

        Backend servers in the same data centre go first, because they lie at the
        same distance.
        """
        latencies = self._groups.get(track.server.data_centre, self._latencies)
        own = track.log_typical
        value = latencies.find_median(-math.inf if own is None else own)
        return None if value is None else math.exp(value)


def find_raised(rates):
    """Return the medians of those trials in which they may pass the least rate.

    Args:
        rates: The failure rates of each backend server, one for each trial.
    """
    raised = {}
    for trial, values in enumerate(zip(*rates, strict=True)):
        median = LeaveOneOut(values)
        if median.high is not None and median.high > LEAST_RATES[trial]:
            raised[trial] = median
    return raised
