"""Overload.

Shares a service between organisations when requests have to wait.
"""

from .queue import QueuedRequest, ServiceQueue

__all__ = ["QueuedRequest", "ServiceQueue"]
