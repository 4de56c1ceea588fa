"""Standing.

Tells from the requests at one backend server whether it fails. Answers a server that
hangs, errs or resets most requests for some seconds while its health looks good.
"""

import enum
import math

# A hanging server leaves this share of its requests without an answer.
HUNG_SHARE = 0.75
ANSWER_SCORE = math.log(1.0 - HUNG_SHARE)
# One request alone, however long it runs, is this much evidence; a hang is certain
# with three.
SUSPICION_LIMIT = 3.5
HANG_SCORE = 10.5
# A server that errs fails this share of its requests, a sound one much fewer.
FAILING_SHARE = 0.5
SOUND_SHARE = 0.02
FAILURE_SCORE = math.log(FAILING_SHARE / SOUND_SHARE)
SUCCESS_SCORE = math.log((1 - FAILING_SHARE) / (1 - SOUND_SHARE))
FAILING_SCORE = 5.0
LATE_SURVIVAL = 0.02
# Beyond this, a server gets no request that can't be repeated.
DOUBT_SCORE = 2.0
FIRST_EJECTION_S = 1.0
EJECTION_GROWTH = 1.3
LONGEST_EJECTION_S = 2.0
# Successes on trial, or seconds without a failure, after which a server is sound again.
TRIAL_SUCCESSES = 2
TRIAL_S = 5.0
# A request on trial that only this share of sound requests outlasts has failed.
TRIAL_SURVIVAL = 0.15
TRIAL_SCORE = 1.5
FORGIVEN_AFTER_S = 10.0


class HealthState(enum.Enum):
    """What the owner thinks of its backend server."""

    HEALTHY = "sound"
    EJECTED = "ejected"
    HALF_OPEN = "trial"


class FailureDetector:
    """Evidence on one backend server, and the standing that follows.

    Attributes:
        state: The `HealthState`.
        since: Seconds at which it last changed.
        suspicion: Evidence against the server at the last look, 0 if there is none.
    """

    __slots__ = (
        "state",
        "since",
        "suspicion",
        "_clock",
        "_may_eject",
        "_hang_score",
        "_failure_score",
        "_ejection_s",
        "_successes",
    )

    def __init__(self, clock, may_eject=lambda: True):
        """Begin with a sound server.

        Args:
            clock: Clock in seconds.
            may_eject: Callable that tells whether enough other servers are left.
        """
        self.state = HealthState.HEALTHY
        self.since = clock.now()
        self.suspicion = 0.0
        self._clock = clock
        self._may_eject = may_eject
        self._hang_score = 0.0
        self._failure_score = 0.0
        self._ejection_s = FIRST_EJECTION_S
        self._successes = 0

    def reset(self):
        """Forget the evidence: another incarnation has begun."""
        self._ejection_s = FIRST_EJECTION_S
        self._change(HealthState.HEALTHY)

    def note_success(self, survival):
        """Count a request that the server answered soundly.

        Args:
            survival: Share of sound requests that take longer than it took.
        """
        if survival < LATE_SURVIVAL:
            return
        if self.state is HealthState.HEALTHY:
            self._failure_score = max(0.0, self._failure_score + SUCCESS_SCORE)
            self._hang_score = max(0.0, self._hang_score + ANSWER_SCORE)
            if self._clock.now() - self.since > FORGIVEN_AFTER_S:
                self._ejection_s = FIRST_EJECTION_S
        elif self.state is HealthState.HALF_OPEN:
            self._successes += 1
            if self._successes >= TRIAL_SUCCESSES:
                self._change(HealthState.HEALTHY)

    def note_failure(self, weight=1.0):
        """Count a request that failed.

        Args:
            weight: How surely the failure is the server's own, 0 to 1.
        """
        self._failure_score += FAILURE_SCORE * weight
        on_trial = self.state is HealthState.HALF_OPEN
        self._decide(self._failure_score, FAILURE_SCORE if on_trial else FAILING_SCORE)

    def note_abandoned(self, began, survival):
        """Count a request that ended without an answer before its time.

        Args:
            began: Seconds at which the server got it.
            survival: Share of sound requests that take longer than it ran.
        """
        if began >= self.since:
            self._hang_score += suspect(survival)
            on_trial = self.state is HealthState.HALF_OPEN
            self._decide(self._hang_score, TRIAL_SCORE if on_trial else HANG_SCORE)

    def weigh_running(self, running):
        """Weigh the requests that run now.

        Args:
            running: Pairs of the seconds at which one began and the share of sound
                requests that run longer than it has.
        """
        fresh = [survival for began, survival in running if began >= self.since]
        if self.state is HealthState.HALF_OPEN:
            failed = any(survival < TRIAL_SURVIVAL for survival in fresh)
            if failed and self._may_eject():
                self._eject()
            return
        running_score = sum(suspect(survival) for survival in fresh)
        self.suspicion = self._hang_score + running_score
        self._decide(self.suspicion, HANG_SCORE)

    def tick(self):
        """End an ejection or trial whose time is over; return whether one did."""
        age_s = self._clock.now() - self.since
        if self.state is HealthState.EJECTED and age_s >= self._ejection_s:
            self._change(HealthState.HALF_OPEN)
            return True
        if self.state is HealthState.HALF_OPEN and age_s >= TRIAL_S:
            self._change(HealthState.HEALTHY)
            return True
        return False

    def _decide(self, score, limit):
        if self.state is HealthState.EJECTED:
            return
        if score >= limit and self._may_eject():
            self._eject()

    def _eject(self):
        if self.state is HealthState.HALF_OPEN:
            longer_s = self._ejection_s * EJECTION_GROWTH
            self._ejection_s = min(LONGEST_EJECTION_S, longer_s)
        self._change(HealthState.EJECTED)

    def _change(self, state):
        self.state = state
        self.since = self._clock.now()
        self._hang_score = 0.0
        self._failure_score = 0.0
        self.suspicion = 0.0
        self._successes = 0


def suspect(survival):
    """Return the evidence of one request that is not answered yet.

    Args:
        survival: Share of sound requests that run longer than it has.
    """
    if survival <= 0.0:
        return SUSPICION_LIMIT
    hanging = HUNG_SHARE + (1.0 - HUNG_SHARE) * survival
    return min(SUSPICION_LIMIT, math.log(hanging / survival))
