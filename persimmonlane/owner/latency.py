"""Latency models of routes.

Models the processing time of a route's requests as a log-normal distribution, learned
from answers. This shows whether a running request is taking unusually long.
"""

import math

# Initial median, as a fraction of the route's latency objective.
INITIAL_MEDIAN_RATIO = 0.35
INITIAL_DEVIATION = 0.7
MIN_DEVIATION = 0.5
MIN_WEIGHT = 0.05
# Number of answers that the initial estimate weighs as much as.
PRIOR_WEIGHT = 4
# Number of answers on all routes after which they initialise the model of a new route.
MIN_COMMON_ANSWERS = 10
MIN_DURATION_S = 0.001
COMMON_OBJECTIVE_S = 1.0


class LatencyModel:
    """Log-normal model of one route's processing times.

    Attributes:
        mean: Mean of the logarithms of the times in seconds.
        variance: Variance of these logarithms.
        answers: Number of answers learned from.
    """

    __slots__ = ("mean", "variance", "answers", "_common")

    def __init__(self, objective_s, common=None):
        """Start with an estimate from the objective and the common model.

        The estimate is never slower than what the objective implies.

        Args:
            objective_s: Latency objective of the route, in seconds.
            common: The `LatencyModel` of all routes, which learns as well, or None.
        """
        self.mean = math.log(max(MIN_DURATION_S, objective_s * INITIAL_MEDIAN_RATIO))
        self.variance = INITIAL_DEVIATION**2
        self.answers = 0
        self._common = common
        if common is not None and common.answers >= MIN_COMMON_ANSWERS:
            self.mean = min(self.mean, common.mean)

    def learn(self, duration_s):
        """Update the model with the processing time of an answer, in seconds."""
        weight = max(MIN_WEIGHT, 1.0 / (self.answers + PRIOR_WEIGHT))
        delta = math.log(max(MIN_DURATION_S, duration_s)) - self.mean
        self.answers += 1
        self.mean += weight * delta
        self.variance += weight * (delta * delta - self.variance)
        if self._common is not None:
            self._common.learn(duration_s)

    def compute_survival(self, duration_s):
        """Return the fraction of healthy requests that run longer than this."""
        deviation = max(MIN_DEVIATION, math.sqrt(self.variance))
        score = (math.log(max(MIN_DURATION_S, duration_s)) - self.mean) / deviation
        return 0.5 * math.erfc(score / math.sqrt(2.0))

    def estimate_mean(self):
        """Return the mean processing time in seconds."""
        return math.exp(self.mean + self.variance / 2.0)


class LatencyModels:
    """Latency models by route; not thread-safe."""

    __slots__ = ("_models", "_common")

    def __init__(self):
        self._models = {}
        self._common = LatencyModel(COMMON_OBJECTIVE_S)

    def get_model(self, route, objective_s):
        """Return the `LatencyModel` of a route.

        Args:
            route: Name of the route.
            objective_s: Its latency objective in seconds.
        """
        model = self._models.get(route)
        if model is None:
            model = self._models[route] = LatencyModel(objective_s, self._common)
        return model
