"""Waiting for room in the account of memory."""

import threading
import time

from .memory import UNRESERVED_BYTES

# Long enough for a stalled connection to be found and closed. Backend servers cut off
# responses that stay unread for some seconds.
WAIT_S = 2.0
POLL_INTERVAL_S = 0.05
# Requests that wait hold a worker each; further ones are refused at once.
MAX_WAITING_REQUESTS = 16


class RoomWaiter:
    """Waits for room, and has stalled connections closed meanwhile. Thread-safe."""

    __slots__ = ("_stalls", "_now", "_sleep", "_lock", "_waiting_requests")

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

    def wait(self, reserve, is_request):
        """Wait until room can be reserved, for at most `WAIT_S`.

        Args:
            reserve: Callable that tries to reserve it and returns whether it could.
            is_request: Whether it is for a request, which can be refused instead.

        Returns:
            Whether it was reserved.
        """
        if is_request and not self._begin():
            return False
        try:
            return self._poll(reserve)
        finally:
            if is_request:
                self._end()

    def _poll(self, reserve):
        ends_at = self._now() + WAIT_S
        while self._now() < ends_at:
            self._stalls.close_longest(min_held_bytes=UNRESERVED_BYTES + 1)
            self._sleep(POLL_INTERVAL_S)
            if reserve():
                return True
        return False

    def _begin(self):
        with self._lock:
            if self._waiting_requests >= MAX_WAITING_REQUESTS:
                return False
            self._waiting_requests += 1
            return True

    def _end(self):
        with self._lock:
            self._waiting_requests -= 1
