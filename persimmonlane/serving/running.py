"""Running.

The requests that a node serves now, and what each of them waits for.
"""

import contextlib
import threading


class RunningRequests:
    """Counts and lists what runs; may be used from any thread."""

    __slots__ = ("_lock", "_requests")

    def __init__(self):
        self._lock = threading.Lock()
        self._requests = {}

    @property
    def count(self):
        """Number of requests that run."""
        return len(self._requests)

    @contextlib.contextmanager
    def track(self, request):
        """Count a request while the block runs.

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
        """Return the requests of a class that run."""
        with self._lock:
            return [row for row in self._requests.values() if isinstance(row, cls)]
