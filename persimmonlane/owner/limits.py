"""Rate limit that a backend server names in its answers.

Every request to the server passes through its owner, wherever it began and whether it
is a first attempt, a retry or a hedge. So the owner alone keeps the sum.
"""

import logging

from ..quotas.buckets import Bucket

log = logging.getLogger("persimmonlane.owner")

# Requests that may be sent at once after a pause, as the time in which the limit
# allows them.
BURST_S = 1.0
# A server that takes nothing still gets a request now and then, whose answer tells
# whether the limit holds on.
MIN_RATE = 0.25
INITIAL_TOKENS = 1.0


class ServerLimit:
    """The limit of one backend server, and what is left of it; not thread-safe.

    Attributes:
        rate: Requests per second that the server takes, or None without a limit.
    """

    __slots__ = ("rate", "_clock", "_bucket", "_has_answer")

    def __init__(self, clock):
        self._clock = clock
        self.reset()

    def reset(self):
        """Forget the limit, since another process of the server has started."""
        self.rate = None
        self._bucket = None
        self._has_answer = False

    def apply_answer(self, metadata):
        """Apply what the newest answer says; return whether the limit has changed.

        A limit that can't be read is no sign that there is none.

        Args:
            metadata: The `AnswerMetadata` of an answer of the server's own.
        """
        if metadata.is_limit_malformed:
            log.warning("Owner: the backend server names a malformed limit.")
            return False
        before = self.rate
        self._has_answer = True
        self._set(metadata.limit)
        if self.rate == before:
            return False
        log.info("Owner: the limit is %s requests a second.", self.rate)
        return True

    def adopt(self, rate):
        """Apply what another node has seen, until there is an answer of this process.

        Args:
            rate: Requests per second, or None if that node knows of no limit.
        """
        if self._has_answer or rate is None:
            return
        if self.rate is None or rate < self.rate:
            self._set(rate)

    def get_wait_s(self, ahead=0):
        """Return the seconds until the limit allows a request, 0 if it does now.

        Args:
            ahead: Number of requests that go first.
        """
        if self.rate is None:
            return 0.0
        self._bucket.refill(self._clock.now())
        missing = ahead + 1.0 - self._bucket.tokens
        return max(0.0, missing / self._bucket.rate)

    def take(self):
        """Count a request that is sent to the server."""
        if self.rate is not None:
            self._bucket.take(self._clock.now())

    def _set(self, rate):
        self.rate = rate
        if rate is None:
            return
        refill = max(MIN_RATE, rate)
        burst = max(1.0, refill * BURST_S)
        now = self._clock.now()
        if self._bucket is None:
            self._bucket = Bucket(refill, burst, INITIAL_TOKENS, now)
        else:
            self._bucket.set_rate(refill, burst, now)
