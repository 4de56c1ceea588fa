"""Budgets.

A retry budget that the threads of one node share.
"""

import threading

from ..retries import RetryBudget


class SharedBudget:
    """A `RetryBudget` for use from many threads."""

    __slots__ = ("_budget", "_lock")

    def __init__(self, policy, clock):
        self._budget = RetryBudget(policy, clock)
        self._lock = threading.Lock()

    def set_policy(self, policy):
        """Take another `RetryPolicy` into force."""
        with self._lock:
            self._budget.set_policy(policy)

    def note_request(self):
        """Count a request's first attempt."""
        with self._lock:
            self._budget.note_request()

    def may_retry(self):
        """Return whether a retry is allowed, and count it if so."""
        with self._lock:
            return self._budget.may_retry()
