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
# What is thought before answers have come weighs as much as so many of them.
FIRST_WEIGHT = 4
# Answers on other routes from which the time of a new one is guessed.
LEAST_ANSWERS = 10
FASTEST_S = 0.001
COMMON_OBJECTIVE_S = 1.0


class LatencyModel:
    """Times of one route's requests.

    Attributes:
        mean: Mean of the times' logarithms.
        variance: Variance of the times' logarithms.
        answers: Number of answers that it was learned from.
    """

    __slots__ = ("mean", "variance", "answers", "_common")

    def __init__(self, objective_s, common=None):
        """Begin with a guess.

        Args:
            objective_s: Latency objective of the route, in seconds.
            common: The `LatencyModel` of all routes, which learns too, or None.
        """
        self.mean = math.log(max(FASTEST_S, objective_s * FIRST_MEDIAN_SHARE))
        self.variance = FIRST_DEVIATION**2
        self.answers = 0
        self._common = common
        if common is not None and common.answers >= LEAST_ANSWERS:
            self.mean = min(self.mean, common.mean)

    def learn(self, seconds):
        """Take the time of an answer."""
        weight = max(SMOOTHING, 1.0 / (self.answers + FIRST_WEIGHT))
        change = math.log(max(FASTEST_S, seconds)) - self.mean
        self.answers += 1
        self.mean += weight * change
        self.variance += weight * (change * change - self.variance)
        if self._common is not None:
            self._common.learn(seconds)

    def find_survival(self, seconds):
        """Return the share of sound requests that run longer than this."""
        deviation = max(LEAST_DEVIATION, math.sqrt(self.variance))
        score = (math.log(max(FASTEST_S, seconds)) - self.mean) / deviation
        return 0.5 * math.erfc(score / math.sqrt(2.0))

    def estimate_mean(self):
        """Return the mean time in seconds."""
        return math.exp(self.mean + self.variance / 2.0)


class LatencyModels:
    """Times by route; not thread-safe."""

    __slots__ = ("_routes", "_common")

    def __init__(self):
        self._routes = {}
        self._common = LatencyModel(COMMON_OBJECTIVE_S)

    def find(self, route, objective_s):
        """Return the `LatencyModel` of a route.

        Args:
            route: Name of the route.
            objective_s: Its latency objective in seconds.
        """
        times = self._routes.get(route)
        if times is None:
            times = self._routes[route] = LatencyModel(objective_s, self._common)
        return times
