"""Budget.

Second attempts that this node may make, as its part of the fleet's budget.
"""

from ..quotas.buckets import Bucket

# Second attempts make calls of their own, which count as second attempts too.
SAFETY = 0.6


class RetryBudget:
    """Tokens for second attempts by service; not thread-safe."""

    __slots__ = ("_clock", "_ratio", "_slack", "_window_s", "_buckets")

    def __init__(self, ratio, slack, window_s, clock):
        self._clock = clock
        self._ratio = ratio * SAFETY
        self._slack = slack * SAFETY
        self._window_s = window_s
        self._buckets = {}

    def note_request(self, service, members):
        """Count a request for a service."""
        bucket = self._find(service, members)
        bucket.tokens = min(bucket.burst, bucket.tokens + self._ratio)

    def has_token(self, service, members):
        """Return whether a second attempt may be made."""
        bucket = self._find(service, members)
        bucket.fill(self._clock.now())
        return bucket.tokens >= 1.0

    def take(self, service, members):
        """Take a token; return whether there was one."""
        return self._find(service, members).take(self._clock.now()) <= 0.0

    def _find(self, service, members):
        """Return the bucket of a service.

        Half of the slack comes back over a window; the other half is the most that
        can be saved up.
        """
        share = self._slack / members / 2.0
        bucket = self._buckets.get(service)
        if bucket is None:
            now = self._clock.now()
            rate = share / self._window_s
            bucket = Bucket(rate, 1.0 + share, 1.0, now)
            self._buckets[service] = bucket
        return bucket
