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
# Weight of an owner's figures in the model of a node that knows nothing itself.
ADOPTION_WEIGHT = 0.5
MS_PER_S = 1000.0
PERCENT = 100.0


class LatencyFigures:
    """What a latency model tells other nodes.

    Attributes:
        median_ms: Median in milliseconds, 0 if there is no model.
        deviation_percent: Standard deviation of the logarithms, in percent.
        answers: Number of answers learned from.
    """

    __slots__ = ("median_ms", "deviation_percent", "answers")

    def __init__(self, median_ms=0, deviation_percent=0, answers=0):
        self.median_ms = median_ms
        self.deviation_percent = deviation_percent
        self.answers = answers


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

    def adopt(self, figures):
        """Move towards what an owner has learned, if it knows more.

        Args:
            figures: The `LatencyFigures`.
        """
        if not figures.median_ms or figures.answers <= self.answers:
            return
        weight = ADOPTION_WEIGHT * (1.0 - self.answers / figures.answers)
        mean = math.log(figures.median_ms / MS_PER_S)
        variance = (figures.deviation_percent / PERCENT) ** 2
        self.mean += weight * (mean - self.mean)
        self.variance += weight * (variance - self.variance)

    def describe(self):
        """Return the `LatencyFigures` of the model."""
        return LatencyFigures(
            max(1, round(math.exp(self.mean) * MS_PER_S)),
            round(math.sqrt(self.variance) * PERCENT),
            self.answers,
        )

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

    def describe(self, route):
        """Return the `LatencyFigures` of a route."""
        model = self._models.get(route)
        return model.describe() if model is not None else LatencyFigures()
