"""Passive health detection for the local backend server.

Detects failures from the outcome and duration of requests. This catches a server that
hangs, returns errors or resets most connections for some seconds while its own health
reports stay good. Scores are log-likelihood ratios of failing against healthy.
"""

import enum
import math

# Fraction of requests that a hanging server leaves unanswered.
HANG_RATIO = 0.75
RESPONSE_SCORE = math.log(1.0 - HANG_RATIO)
# Caps the score of a single request, however long it runs, so that it takes three
# unanswered requests to reach the threshold of a hang.
MAX_REQUEST_SCORE = 3.5
HANG_THRESHOLD = 10.5
# Fractions of failed requests that are expected of a failing and a healthy server.
FAILING_ERROR_RATIO = 0.5
HEALTHY_ERROR_RATIO = 0.02
FAILURE_SCORE = math.log(FAILING_ERROR_RATIO / HEALTHY_ERROR_RATIO)
SUCCESS_SCORE = math.log((1 - FAILING_ERROR_RATIO) / (1 - HEALTHY_ERROR_RATIO))
FAILURE_THRESHOLD = 5.0
# An answer slower than all but this fraction of healthy requests is not a success.
SLOW_SURVIVAL = 0.02
# Above this score, a server gets no non-idempotent requests.
SUSPECT_THRESHOLD = 2.0
INITIAL_EJECTION_S = 1.0
EJECTION_BACKOFF = 1.3
MAX_EJECTION_S = 2.0
# A half-open server is healthy again after this many successes, or this many seconds
# without a failure.
HALF_OPEN_SUCCESSES = 2
HALF_OPEN_S = 5.0
# A request to a half-open server has failed once it runs longer than all but this
# fraction of healthy requests.
HALF_OPEN_SURVIVAL = 0.15
HALF_OPEN_THRESHOLD = 1.5
# The first success after this long in the healthy state resets the ejection time.
EJECTION_RESET_S = 10.0


class HealthState(enum.Enum):
    """State of a backend server according to its `FailureDetector`.

    Nodes send the values to each other and write them to the log.
    """

    HEALTHY = "sound"
    EJECTED = "ejected"
    HALF_OPEN = "trial"


class FailureDetector:
    """Detects failures of one backend server and ejects it for a time.

    An ejected server becomes half-open when its ejection time is over. Failures while
    half-open eject it again for longer.

    Attributes:
        state: The `HealthState`.
        since: Clock time of the last state change, in seconds.
        suspicion_score: Hang score at the last evaluation, including running requests;
            0 if nothing points to a hang.
    """

    __slots__ = (
        "state",
        "since",
        "suspicion_score",
        "_clock",
        "_may_eject",
        "_hang_score",
        "_failure_score",
        "_ejection_s",
        "_successes",
    )

    def __init__(self, clock, may_eject=lambda: True):
        """Start in the healthy state.

        Args:
            clock: Clock in seconds.
            may_eject: Callable that returns whether enough other servers are left.
        """
        self.state = HealthState.HEALTHY
        self.since = clock.now()
        self.suspicion_score = 0.0
        self._clock = clock
        self._may_eject = may_eject
        self._hang_score = 0.0
        self._failure_score = 0.0
        self._ejection_s = INITIAL_EJECTION_S
        self._successes = 0

    def reset(self):
        """Reset all scores and the ejection time for a new server incarnation."""
        self._ejection_s = INITIAL_EJECTION_S
        self._set_state(HealthState.HEALTHY)

    def record_success(self, survival):
        """Record a request that the server answered without an error.

        Args:
            survival: Fraction of healthy requests that take longer than this one took.
        """
        if survival < SLOW_SURVIVAL:
            return
        if self.state is HealthState.HEALTHY:
            self._failure_score = max(0.0, self._failure_score + SUCCESS_SCORE)
            self._hang_score = max(0.0, self._hang_score + RESPONSE_SCORE)
            if self._clock.now() - self.since > EJECTION_RESET_S:
                self._ejection_s = INITIAL_EJECTION_S
        elif self.state is HealthState.HALF_OPEN:
            self._successes += 1
            if self._successes >= HALF_OPEN_SUCCESSES:
                self._set_state(HealthState.HEALTHY)

    def record_failure(self, weight=1.0):
        """Record a failed request.

        Args:
            weight: Confidence that the server caused the failure, 0 to 1.
        """
        self._failure_score += FAILURE_SCORE * weight
        half_open = self.state is HealthState.HALF_OPEN
        self._eject_at(
            self._failure_score, FAILURE_SCORE if half_open else FAILURE_THRESHOLD
        )

    def record_unanswered(self, started_at, survival):
        """Record a request that timed out or was cancelled before its answer.

        Args:
            started_at: Clock time at which the server received it, in seconds.
            survival: Fraction of healthy requests that take longer than this one ran.
        """
        if started_at >= self.since:
            self._hang_score += compute_hang_score(survival)
            half_open = self.state is HealthState.HALF_OPEN
            self._eject_at(
                self._hang_score, HALF_OPEN_THRESHOLD if half_open else HANG_THRESHOLD
            )

    def evaluate_running(self, running):
        """Update the hang score from running requests; eject at the threshold.

        Args:
            running: Pairs of the clock time at which a request started, in seconds, and
                the fraction of healthy requests that run longer than it has so far.
        """
        recent = [
            survival for started_at, survival in running if started_at >= self.since
        ]
        if self.state is HealthState.HALF_OPEN:
            failed = any(survival < HALF_OPEN_SURVIVAL for survival in recent)
            if failed and self._may_eject():
                self._eject()
            return
        running_score = sum(compute_hang_score(survival) for survival in recent)
        self.suspicion_score = self._hang_score + running_score
        self._eject_at(self.suspicion_score, HANG_THRESHOLD)

    def tick(self):
        """Leave the ejected or half-open state when its time is over.

        Returns:
            Whether the state changed.
        """
        age_s = self._clock.now() - self.since
        if self.state is HealthState.EJECTED and age_s >= self._ejection_s:
            self._set_state(HealthState.HALF_OPEN)
            return True
        if self.state is HealthState.HALF_OPEN and age_s >= HALF_OPEN_S:
            self._set_state(HealthState.HEALTHY)
            return True
        return False

    def _eject_at(self, score, threshold):
        if self.state is HealthState.EJECTED:
            return
        if score >= threshold and self._may_eject():
            self._eject()

    def _eject(self):
        if self.state is HealthState.HALF_OPEN:
            extended_s = self._ejection_s * EJECTION_BACKOFF
            self._ejection_s = min(MAX_EJECTION_S, extended_s)
        self._set_state(HealthState.EJECTED)

    def _set_state(self, state):
        self.state = state
        self.since = self._clock.now()
        self._hang_score = 0.0
        self._failure_score = 0.0
        self.suspicion_score = 0.0
        self._successes = 0


def compute_hang_score(survival):
    """Return the log-likelihood ratio of a hang for one unanswered request.

    Args:
        survival: Fraction of healthy requests that run longer than it has.
    """
    if survival <= 0.0:
        return MAX_REQUEST_SCORE
    likelihood = HANG_RATIO + (1.0 - HANG_RATIO) * survival
    return min(MAX_REQUEST_SCORE, math.log(likelihood / survival))
