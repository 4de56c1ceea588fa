"""Standing.

Tells from the requests at one backend server whether it fails. Answers a server that
hangs, errs or resets most requests for some seconds while its health looks good.
"""

import enum
import math

# Share of failed requests of a sound server, and of one that should be ejected.
SOUND_FAILURES = 0.02
GRAY_FAILURES = 0.5
FAILURE_SCORE = math.log(GRAY_FAILURES / SOUND_FAILURES)
SUCCESS_SCORE = math.log((1 - GRAY_FAILURES) / (1 - SOUND_FAILURES))
# Two failures in a row eject a server; two with a success between do not.
EJECTION_SCORE = 6.0
FIRST_EJECTION_S = 1.2
EJECTION_GROWTH = 1.5
LONGEST_EJECTION_S = 4.0
# Successes on trial after which a server is sound again.
TRIAL_SUCCESSES = 2
FORGIVEN_AFTER_S = 10.0


class Standing(enum.Enum):
    """What the owner thinks of its backend server."""

    SOUND = "sound"
    EJECTED = "ejected"
    TRIAL = "trial"


class ServerRecord:
    """Evidence on one backend server, and the standing that follows.

    Attributes:
        standing: The `Standing`.
        since: Seconds at which it last changed.
    """

    __slots__ = ("standing", "since", "_clock", "_score", "_ejection_s", "_successes")

    def __init__(self, clock):
        self.standing = Standing.SOUND
        self.since = clock.now()
        self._clock = clock
        self._score = 0.0
        self._ejection_s = FIRST_EJECTION_S
        self._successes = 0

    def reset(self):
        """Forget the evidence: another incarnation has begun."""
        self._score = 0.0
        self._ejection_s = FIRST_EJECTION_S
        self._change(Standing.SOUND)

    def note_success(self):
        """Count a request that the server answered soundly."""
        if self.standing is Standing.SOUND:
            self._score = max(0.0, self._score + SUCCESS_SCORE)
            if self._clock.now() - self.since > FORGIVEN_AFTER_S:
                self._ejection_s = FIRST_EJECTION_S
            return
        if self.standing is Standing.TRIAL:
            self._successes += 1
            if self._successes >= TRIAL_SUCCESSES:
                self._score = 0.0
                self._change(Standing.SOUND)

    def note_failure(self, weight=1.0):
        """Count a request that failed, or that takes far longer than usual.

        Args:
            weight: How surely the failure is the server's own, 0 to 1.
        """
        if self.standing is Standing.EJECTED:
            return
        if self.standing is Standing.TRIAL:
            self._eject()
            return
        self._score += FAILURE_SCORE * weight
        if self._score >= EJECTION_SCORE:
            self._eject()

    def tick(self):
        """End an ejection whose time is over; return whether that happened."""
        if self.standing is not Standing.EJECTED:
            return False
        if self._clock.now() - self.since < self._ejection_s:
            return False
        self._change(Standing.TRIAL)
        return True

    def _eject(self):
        if self.standing is Standing.TRIAL:
            longer_s = self._ejection_s * EJECTION_GROWTH
            self._ejection_s = min(LONGEST_EJECTION_S, longer_s)
        self._change(Standing.EJECTED)

    def _change(self, standing):
        self.standing = standing
        self.since = self._clock.now()
        self._successes = 0
