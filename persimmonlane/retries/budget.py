"""Retry budget.

Keeps retries to a share of recent requests.
"""

WINDOW_S = 1.0
SPARE_RETRIES = 2.0


class RetryBudget:
    """Retries allowed to one service on this node.

    Requests and retries are counted with exponential decay, so that the share
    holds over any longer time. A few spare retries serve a service that has
    little traffic.
    """

    __slots__ = ("_clock", "_policy", "_requests", "_retries", "_updated")

    def __init__(self, policy, clock):
        self._policy = policy
        self._clock = clock
        self._requests = 0.0
        self._retries = 0.0
        self._updated = clock.now()

    def set_policy(self, policy):
        """Take another `RetryPolicy` into force."""
        self._policy = policy

    def note_request(self):
        """Count a request's first attempt."""
        self._decay()
        self._requests += 1.0

    def may_retry(self):
        """Return whether a retry is allowed, and count it if so."""
        self._decay()
        allowed = max(SPARE_RETRIES, self._requests * self._policy.budget)
        if self._retries + 1.0 > allowed:
            return False
        self._retries += 1.0
        return True

    def _decay(self):
        now = self._clock.now()
        elapsed = now - self._updated
        if elapsed <= 0.0:
            return
        self._updated = now
        factor = max(0.0, 1.0 - elapsed / WINDOW_S)
        self._requests *= factor
        self._retries *= factor
