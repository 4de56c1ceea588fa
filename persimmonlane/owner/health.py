"""Passive health detection for the local backend server.

Detects failures from the outcome and duration of requests. This catches a server that
hangs, returns errors or resets most connections for some seconds while its own health
reports stay good.

The server is modelled as healthy, failing by errors, or hanging. Each outcome changes
the probabilities of these states by Bayes' rule; without outcomes they drift towards
what is usual for the service, since an old outcome says little about now.
"""

import enum
import math

# Fraction of requests that a failing server answers with errors, or leaves unanswered.
FAILING_RATIO = 0.75
# Fractions of a healthy server's requests that end in an error answer, in a broken
# connection or an invalid answer, or that it turns away itself.
HEALTHY_ERROR_RATIO = 0.02
HEALTHY_BREAK_RATIO = 0.005
HEALTHY_SHED_RATIO = 0.2
SUCCESS_EVIDENCE = math.log((1.0 - FAILING_RATIO) / (1.0 - HEALTHY_ERROR_RATIO))
ANSWERED_EVIDENCE = math.log(1.0 - FAILING_RATIO)
# Caps the evidence of a single unanswered request, however long it runs: a healthy
# server has requests, too, that take far longer than the others.
MAX_HANG_EVIDENCE = 3.5
# Keeps the evidence of many requests within the range of floats.
MAX_EVIDENCE = 50.0
# An answer slower than all but this fraction of healthy requests is not a success.
SLOW_SURVIVAL = 0.02
# Typical duration of a failure, in seconds.
EPISODE_S = 9.0
# Probabilities of failing above which a server is ejected, and gets no requests that
# are not idempotent; and below which a half-open server is healthy again.
EJECTION_RISK = 0.95
SUSPECT_RISK = 0.5
RECOVERY_RISK = 0.4
# Evidence of the running requests alone from which on others that are not idempotent
# are held back, until the overdue ones are answered.
SUSPECT_EVIDENCE = 2.0
# Evidence from which on the probes of a half-open server have failed.
PROBE_EVIDENCE = 1.6
INITIAL_EJECTION_S = 1.0
EJECTION_BACKOFF = 1.3
MAX_EJECTION_S = 2.0
# The first success after this long in the healthy state resets the ejection time.
EJECTION_RESET_S = 10.0
# Bounds of the prior probability of each kind of failure.
MIN_PRIOR = 0.01
MAX_PRIOR = 0.25
# Weight of what the other servers of the service show in the prior; below 1, so that
# suspicions of one another don't keep themselves alive.
FLEET_WEIGHT = 0.8
PERCENT = 100


class HealthState(enum.Enum):
    """State of a backend server according to its `FailureDetector`.

    Nodes send the values to each other and write them to the log.
    """

    HEALTHY = "sound"
    EJECTED = "ejected"
    HALF_OPEN = "trial"


class FailureRisk:
    """Probabilities that a backend server fails, by the kind of failure.

    Attributes:
        errors: Probability that it answers most requests with errors.
        hangs: Probability that it leaves most requests unanswered.
    """

    __slots__ = ("errors", "hangs")

    def __init__(self, errors, hangs):
        self.errors = errors
        self.hangs = hangs

    @property
    def total(self):
        """Probability that it fails in either way."""
        return self.errors + self.hangs

    @property
    def error_percent(self):
        """The same of `errors`, in whole percent."""
        return round(self.errors * PERCENT)

    @property
    def hang_percent(self):
        """The same of `hangs`, in whole percent."""
        return round(self.hangs * PERCENT)

    def update(self, error_evidence, hang_evidence):
        """Return the `FailureRisk` after an observation.

        Args:
            error_evidence: Logarithm of how much likelier the observation is on a
                server that fails by errors than on a healthy one.
            hang_evidence: The same for a server that hangs.
        """
        errors = self.errors * math.exp(min(error_evidence, MAX_EVIDENCE))
        hangs = self.hangs * math.exp(min(hang_evidence, MAX_EVIDENCE))
        total = errors + hangs + max(0.0, 1.0 - self.total)
        return FailureRisk(errors / total, hangs / total)

    def drift(self, prior, seconds):
        """Return the `FailureRisk` after a time without observations.

        Args:
            prior: The `FailureRisk` towards which it drifts.
            seconds: The time in seconds.
        """
        kept = math.exp(-max(0.0, seconds) / EPISODE_S)
        return FailureRisk(
            prior.errors + (self.errors - prior.errors) * kept,
            prior.hangs + (self.hangs - prior.hangs) * kept,
        )


def estimate_prior(risks):
    """Return the prior `FailureRisk` of a server from those of its service's others.

    Args:
        risks: The `FailureRisk`s of the other servers; may be empty.
    """
    count = max(1, len(risks))
    errors = sum(risk.errors for risk in risks) / count
    hangs = sum(risk.hangs for risk in risks) / count
    return FailureRisk(limit_prior(errors), limit_prior(hangs))


def limit_prior(mean_risk):
    """Return the prior probability of a kind of failure from its mean in the fleet."""
    return min(MAX_PRIOR, MIN_PRIOR + FLEET_WEIGHT * mean_risk)


class FailureDetector:
    """Detects failures of one backend server and ejects it for a time.

    An ejected server becomes half-open when its ejection time is over. Failures while
    half-open eject it again for longer; it is healthy once its risk has become small,
    by successes or because the typical duration of a failure is over.

    Attributes:
        state: The `HealthState`.
        since: Clock time of the last state change, in seconds.
        risk: The `FailureRisk` at the last evaluation, including running requests.
        prior: The `FailureRisk` that is usual for the service.
    """

    __slots__ = (
        "state",
        "since",
        "risk",
        "prior",
        "_running_evidence",
        "_clock",
        "_may_eject",
        "_recorded",
        "_recorded_at",
        "_ejection_s",
    )

    def __init__(self, clock, may_eject=lambda: True):
        """Start in the healthy state.

        Args:
            clock: Clock in seconds.
            may_eject: Callable that returns whether enough other servers are left.
        """
        self.state = HealthState.HEALTHY
        self.since = clock.now()
        self.prior = FailureRisk(MIN_PRIOR, MIN_PRIOR)
        self.risk = self.prior
        self._running_evidence = 0.0
        self._clock = clock
        self._may_eject = may_eject
        self._recorded = self.prior
        self._recorded_at = self.since
        self._ejection_s = INITIAL_EJECTION_S

    def reset(self):
        """Forget all outcomes, for a new server incarnation."""
        self._ejection_s = INITIAL_EJECTION_S
        self._recorded = self.risk = self.prior
        self._recorded_at = self._clock.now()
        self._set_state(HealthState.HEALTHY)

    def is_suspect(self):
        """Return whether the server may well be failing."""
        return (
            self.risk.total > SUSPECT_RISK or self._running_evidence > SUSPECT_EVIDENCE
        )

    def record_success(self, survival):
        """Record a request that the server answered without an error.

        Args:
            survival: Fraction of healthy requests that take longer than this one took.
        """
        if survival < SLOW_SURVIVAL:
            return
        self._record(SUCCESS_EVIDENCE, ANSWERED_EVIDENCE)
        now = self._clock.now()
        if self.state is HealthState.HEALTHY and now - self.since > EJECTION_RESET_S:
            self._ejection_s = INITIAL_EJECTION_S

    def record_failure(self, healthy_ratio=HEALTHY_BREAK_RATIO):
        """Record a failed request.

        Args:
            healthy_ratio: Fraction of a healthy server's requests that end so.
        """
        # A server that hangs is no likelier to end a request so than a healthy one.
        evidence = math.log(FAILING_RATIO / healthy_ratio)
        self._record(evidence, ANSWERED_EVIDENCE)

    def record_unanswered(self, started_at, survival):
        """Record a request that timed out or was cancelled before its answer.

        Args:
            started_at: Clock time at which the server received it, in seconds.
            survival: Fraction of healthy requests that take longer than this one ran.
        """
        if started_at >= self.since:
            self._record(0.0, compute_hang_evidence(survival))

    def evaluate_running(self, running):
        """Update the risk from running requests; eject the server if it is too large.

        Args:
            running: Pairs of the clock time at which a request started, in seconds, and
                the fraction of healthy requests that run longer than it has so far.
        """
        evidence = sum(
            compute_hang_evidence(survival)
            for started_at, survival in running
            if started_at >= self.since
        )
        self._running_evidence = evidence
        self._advance()
        self._apply_risk(self._recorded.update(0.0, evidence))

    def tick(self):
        """Leave the ejected state when its time is over.

        Returns:
            Whether the state changed.
        """
        age_s = self._clock.now() - self.since
        if self.state is HealthState.EJECTED and age_s >= self._ejection_s:
            self._set_state(HealthState.HALF_OPEN)
            return True
        return False

    def _record(self, error_evidence, hang_evidence):
        self._advance()
        self._recorded = self._recorded.update(error_evidence, hang_evidence)
        self._apply_risk(self._recorded)

    def _advance(self):
        now = self._clock.now()
        self._recorded = self._recorded.drift(self.prior, now - self._recorded_at)
        self._recorded_at = now

    def _apply_risk(self, risk):
        self.risk = risk
        if self.state is HealthState.EJECTED:
            return
        if self._has_failed(risk) and self._may_eject():
            self._eject()
        elif self.state is HealthState.HALF_OPEN and risk.total < RECOVERY_RISK:
            self._set_state(HealthState.HEALTHY)

    def _has_failed(self, risk):
        if self.state is HealthState.HALF_OPEN and (
            self._running_evidence > PROBE_EVIDENCE
        ):
            return True
        return risk.total >= EJECTION_RISK

    def _eject(self):
        if self.state is HealthState.HALF_OPEN:
            extended_s = self._ejection_s * EJECTION_BACKOFF
            self._ejection_s = min(MAX_EJECTION_S, extended_s)
        # The requests that run now count as evidence only once.
        self._recorded = self.risk
        self._set_state(HealthState.EJECTED)

    def _set_state(self, state):
        self.state = state
        self.since = self._clock.now()
        self._running_evidence = 0.0


def compute_hang_evidence(survival):
    """Return the log-likelihood ratio of a hang for one unanswered request.

    Args:
        survival: Fraction of healthy requests that run longer than it has.
    """
    if survival <= 0.0:
        return MAX_HANG_EVIDENCE
    likelihood = FAILING_RATIO + (1.0 - FAILING_RATIO) * survival
    return min(MAX_HANG_EVIDENCE, math.log(likelihood / survival))
