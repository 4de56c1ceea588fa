"""Tracking of the requests in progress on a node."""

import contextlib
import threading


class RunningRequests:
    """Counts and lists the requests in progress. Thread-safe."""

    __slots__ = ("_lock", "_requests")

    def __init__(self):
        self._lock = threading.Lock()
        self._requests = {}

    @property
    def count(self):
        """Number of requests in progress."""
        return len(self._requests)

    @contextlib.contextmanager
    def track(self, request):
        """Count a request as in progress while the `with` block runs.

        Args:
            request: The `IngressRequest`, or the `Order` of another node.
        """
        with self._lock:
            self._requests[id(request)] = request
        try:
            yield
        finally:
            with self._lock:
                del self._requests[id(request)]

    def list(self, cls):
        """Return the requests in progress that are instances of `cls`."""
        with self._lock:
            return [row for row in self._requests.values() if isinstance(row, cls)]
