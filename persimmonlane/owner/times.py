"""Times.

How long requests of a route usually take, as a log-normal distribution that is learned
from answers. Answers the question whether a running request takes suspiciously long.
"""

import math

# Before answers have come, a request is thought to take this share of its route's
# latency objective at the median.
FIRST_MEDIAN_SHARE = 0.35
FIRST_DEVIATION = 0.7
LEAST_DEVIATION = 0.5
SMOOTHING = 0.05
FASTEST_S = 0.001


class RouteTimes:
    """Times of one route's requests.

    Attributes:
        mean: Mean of the times' logarithms.
        variance: Variance of the times' logarithms.
    """

    __slots__ = ("mean", "variance")

    def __init__(self, objective_s):
        self.mean = math.log(max(FASTEST_S, objective_s * FIRST_MEDIAN_SHARE))
        self.variance = FIRST_DEVIATION**2

    def learn(self, seconds):
        """Take the time of an answer."""
        change = math.log(max(FASTEST_S, seconds)) - self.mean
        self.mean += SMOOTHING * change
        self.variance += SMOOTHING * (change * change - self.variance)

    def find_survival(self, seconds):
        """Return the share of sound requests that run longer than this."""
        deviation = max(LEAST_DEVIATION, math.sqrt(self.variance))
        score = (math.log(max(FASTEST_S, seconds)) - self.mean) / deviation
        return 0.5 * math.erfc(score / math.sqrt(2.0))

    def find_typical(self):
        """Return the mean time in seconds."""
        return math.exp(self.mean + self.variance / 2.0)


class WorkTimes:
    """Times by route; not thread-safe."""

    __slots__ = ("_routes",)

    def __init__(self):
        self._routes = {}

    def find(self, route, objective_s):
        """Return the `RouteTimes` of a route.

        Args:
            route: Name of the route.
            objective_s: Its latency objective in seconds.
        """
        times = self._routes.get(route)
        if times is None:
            times = self._routes[route] = RouteTimes(objective_s)
        return times
