"""Log of dispatched and cancelled requests.

When the connection between two nodes breaks, the ingress node can't tell whether its
request has run. This log lets it cancel a request that was not dispatched yet.
"""

# Exceeds the longest duration of a request.
RETENTION_S = 60.0


class DispatchLog:
    """Recently dispatched and cancelled requests; not thread-safe."""

    __slots__ = ("_clock", "_dispatched", "_cancelled")

    def __init__(self, clock):
        self._clock = clock
        # Both map request identifiers to clock times in seconds, the oldest first.
        self._dispatched = {}
        self._cancelled = {}

    def mark_dispatched(self, request_id):
        """Record that a request is about to be sent to the backend server.

        Returns:
            Whether it may be sent; a cancelled request may not.
        """
        if request_id in self._cancelled:
            return False
        self._add(self._dispatched, request_id)
        return True

    def cancel(self, request_id):
        """Cancel a request unless it was already dispatched.

        Returns:
            Whether it was not dispatched yet; it will then never run.
        """
        if request_id in self._dispatched:
            return False
        self._add(self._cancelled, request_id)
        return True

    def _add(self, entries, request_id):
        now = self._clock.now()
        entries.pop(request_id, None)
        entries[request_id] = now
        while entries[oldest := next(iter(entries))] < now - RETENTION_S:
            del entries[oldest]
