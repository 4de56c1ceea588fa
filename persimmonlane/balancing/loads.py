"""Loads.

What this node knows of the load of each backend server.
"""

from .averages import Average

REPORT_HALF_LIFE_S = 0.3
REPORT_LIMIT_S = 3.0
# All nodes act on the same report; a whole step on each makes them swing together.
REPORT_WEIGHT = 0.1


class Load:
    """The load of one backend server.

    Attributes:
        in_flight: Requests of this node that it runs.
        foreign: Requests of others, as reported, smoothed.
        reported_at: Monotonic seconds at which the report was read.
    """

    __slots__ = ("in_flight", "foreign", "reported_at")

    def __init__(self):
        self.in_flight = 0
        self.foreign = 0.0
        self.reported_at = 0.0

    def report(self, running, waiting, at):
        """Take in a load report; one older than the last is ignored."""
        if at < self.reported_at:
            return
        foreign = max(0, running + waiting - self.in_flight)
        self.foreign += REPORT_WEIGHT * (foreign - self.foreign)
        self.reported_at = at

    def estimate(self, now):
        """Return the requests that it probably runs; old reports count less."""
        if not self.foreign:
            return self.in_flight
        age_s = max(0.0, now - self.reported_at)
        if age_s > REPORT_LIMIT_S:
            return self.in_flight
        return self.in_flight + self.foreign * 0.5 ** (age_s / REPORT_HALF_LIFE_S)


class TimedLoad(Load):
    """The load of one backend server, with its recent latency.

    Attributes:
        latency: `Average` of its latency.
    """

    __slots__ = ("latency",)

    def __init__(self):
        super().__init__()
        self.latency = Average()
