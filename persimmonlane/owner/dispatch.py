"""Log of dispatched and cancelled requests.

When the connection between two nodes breaks, the ingress node can't tell whether its
request has run. This log lets it cancel a request that was not dispatched yet. A
request that is not found counts as not dispatched, so each is kept for as long as its
ingress node may ask.
"""

import heapq

from ..identifiers import abbreviate

# Added to the deadline: ingress nodes don't trust a confirmation that arrives after it,
# but a query or an order may be delayed on its way here.
RETENTION_S = 60.0
# The cancellation of a request with more time left is not confirmed: it would have to
# be remembered for longer.
MAX_TIME_LEFT_S = 3600.0


class RequestMemory:
    """Request identifiers that are each kept until a time; not thread-safe."""

    __slots__ = ("_until", "_queue")

    def __init__(self):
        # Clock seconds by identifier, and each identifier once with a time at which it
        # may have to be dropped, the earliest first.
        self._until = {}
        self._queue = []

    def __contains__(self, request_id):
        return request_id in self._until

    def __len__(self):
        return len(self._until)

    def keep(self, request_id, until):
        """Keep an identifier at least until a time.

        Args:
            request_id: The identifier.
            until: Clock seconds.
        """
        before = self._until.get(request_id)
        if before is None:
            heapq.heappush(self._queue, (until, request_id))
        self._until[request_id] = until if before is None else max(before, until)

    def drop_expired(self, now, is_kept):
        """Drop the identifiers whose time is over.

        Args:
            now: Clock time in seconds.
            is_kept: Callable that returns whether an identifier is kept nevertheless.
        """
        while self._queue and self._queue[0][0] < now:
            _, request_id = heapq.heappop(self._queue)
            until = self._until[request_id]
            if until < now and is_kept(request_id):
                until = self._until[request_id] = now + RETENTION_S
            if until < now:
                del self._until[request_id]
            else:
                heapq.heappush(self._queue, (until, request_id))


class DispatchLog:
    """Dispatched and cancelled requests; not thread-safe."""

    __slots__ = ("_clock", "_dispatched", "_cancelled", "_running")

    def __init__(self, clock):
        self._clock = clock
        self._dispatched = RequestMemory()
        self._cancelled = RequestMemory()
        # Number of running requests by identifier: callers may use one twice.
        self._running = {}

    def mark_dispatched(self, request_id, deadline):
        """Record that a request is about to be sent to the backend server.

        It is remembered while it runs, and at least until its deadline.

        Args:
            request_id: Identifier of the request.
            deadline: Clock seconds by which it must be answered.

        Returns:
            Whether it may be sent; a cancelled request may not.
        """
        self._drop_expired()
        request_id = abbreviate(request_id)
        if request_id in self._cancelled:
            return False
        self._keep(self._dispatched, request_id, deadline)
        self._running[request_id] = self._running.get(request_id, 0) + 1
        return True

    def mark_ended(self, request_id):
        """Record that a dispatched request runs no longer."""
        request_id = abbreviate(request_id)
        self._keep(self._dispatched, request_id, self._clock.now())
        self._running[request_id] -= 1
        if not self._running[request_id]:
            del self._running[request_id]

    def cancel(self, request_id, time_left_s=0.0):
        """Cancel a request unless it was already dispatched.

        Args:
            request_id: Identifier of the request.
            time_left_s: Seconds until its deadline.

        Returns:
            Whether it was not dispatched yet; it will then never run.
        """
        self._drop_expired()
        # Requests without an identifier can't be told from each other.
        if not request_id or time_left_s > MAX_TIME_LEFT_S:
            return False
        request_id = abbreviate(request_id)
        if request_id in self._dispatched:
            return False
        self._keep(self._cancelled, request_id, self._clock.now() + time_left_s)
        return True

    def _keep(self, memory, request_id, until):
        memory.keep(request_id, max(until, self._clock.now()) + RETENTION_S)

    def _drop_expired(self):
        now = self._clock.now()
        self._dispatched.drop_expired(now, self._running.__contains__)
        self._cancelled.drop_expired(now, lambda request_id: False)
