"""Waiting for room in the account of memory."""

import threading
import time

from .memory import UNRESERVED_BYTES

# Long enough for a stalled upload to be found and closed.
WAIT_S = 2.0
POLL_INTERVAL_S = 0.05
# Requests that wait hold a worker each; further ones are refused at once.
MAX_WAITING_REQUESTS = 16
# While more responses wait, no request is dispatched whose response may be long.
MAX_WAITING_RESPONSES = 8


class RoomWaiter:
    """Waits for room, and has stalled connections closed meanwhile. Thread-safe."""

    __slots__ = (
        "_stalls",
        "_now",
        "_sleep",
        "_lock",
        "_waiting_requests",
        "_waiting_responses",
    )

    def __init__(self, stalls, now=time.monotonic, sleep=time.sleep):
        """Create the waiter.

        Args:
            stalls: The `StallTracker`.
            now: Callable that returns the time in seconds.
            sleep: Callable that pauses for a number of seconds.
        """
        self._stalls = stalls
        self._now = now
        self._sleep = sleep
        self._lock = threading.Lock()
        self._waiting_requests = 0
        self._waiting_responses = 0

    def is_crowded(self):
        """Return whether so many responses wait that no more are to be caused."""
        return self._waiting_responses > MAX_WAITING_RESPONSES

    def wait(self, reserve, is_request, check=None):
        """Wait until room can be reserved.

        Args:
            reserve: Callable that tries to reserve it and returns whether it could.
            is_request: Whether it is for a request, which can be refused instead and
                waits for at most `WAIT_S`.
            check: Callable that raises once a response is not awaited any longer, or
                None if it waits no longer than a request.

        Returns:
            Whether it was reserved.
        """
        if not self._begin(is_request):
            return False
        try:
            return self._poll(reserve, check)
        finally:
            self._end(is_request)

    def _poll(self, reserve, check):
        ends_at = self._now() + WAIT_S
        while check is not None or self._now() < ends_at:
            if check is not None:
                check()
            self._stalls.close_longest(min_held_bytes=UNRESERVED_BYTES + 1)
            self._sleep(POLL_INTERVAL_S)
            if reserve():
                return True
        return False

    def _begin(self, is_request):
        with self._lock:
            if not is_request:
                self._waiting_responses += 1
                return True
            if self._waiting_requests >= MAX_WAITING_REQUESTS:
                return False
            self._waiting_requests += 1
            return True

    def _end(self, is_request):
        with self._lock:
            if is_request:
                self._waiting_requests -= 1
            else:
                self._waiting_responses -= 1
