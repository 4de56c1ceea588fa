"""Retries.

Decides whether a request is sent again.
"""

from .attempts import RequestAttempts, decide_retry
from .budget import RetryBudget

__all__ = ["RequestAttempts", "RetryBudget", "decide_retry"]
