"""Waiting for room in the account of memory."""

import collections
import enum
import threading
import time

from .memory import UNRESERVED_BYTES

# Of a request: long enough for a stalled upload to be found and closed, and shorter
# than a body stays unread between nodes (`connections.TCP_USER_TIMEOUT_MS`).
WAIT_S = 1.3
# Backend servers cut off responses that stay unread for some seconds, and their slots
# are in use meanwhile.
RESPONSE_WAIT_S = 2.0
POLL_INTERVAL_S = 0.05
# Requests that wait hold a worker each; further ones are refused at once.
MAX_WAITING_REQUESTS = 16
# While more responses of other nodes wait, or any of the local backend server, no
# request is dispatched whose response may be long.
MAX_PATIENT_RESPONSES = 8


class Waiting(enum.Enum):
    """What waits for room."""

    REQUEST = "request"
    RESPONSE = "response"
    PATIENT_RESPONSE = "patient-response"


class RoomWaiter:
    """Waits for room, and has stalled connections closed meanwhile. Thread-safe."""

    __slots__ = ("_stalls", "_now", "_sleep", "_lock", "_waiting")

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
        # Numbers by kind: requests, responses that wait for as long as they are
        # awaited, and other responses.
        self._waiting = collections.Counter()

    def is_crowded(self):
        """Return whether so many responses wait that no more are to be caused."""
        return (
            self._waiting[Waiting.RESPONSE] > 0
            or self._waiting[Waiting.PATIENT_RESPONSE] > MAX_PATIENT_RESPONSES
        )

    def wait(self, reserve, is_request, check=None):
        """Wait until room can be reserved, for a limited time without a `check`.

        Args:
            reserve: Callable that tries to reserve it and returns whether it could.
            is_request: Whether it is for a request, which can be refused instead.
            check: Callable that raises once a response is not awaited any longer, or
                None if the backend server's slot is in use until it is read.

        Returns:
            Whether it was reserved.
        """
        kind = Waiting.REQUEST if is_request else Waiting.RESPONSE
        if check is not None:
            kind = Waiting.PATIENT_RESPONSE
        if not self._begin(kind):
            return False
        try:
            wait_s = WAIT_S if is_request else RESPONSE_WAIT_S
            return self._poll(reserve, check, wait_s)
        finally:
            with self._lock:
                self._waiting[kind] -= 1

    def _poll(self, reserve, check, wait_s):
        ends_at = self._now() + wait_s
        while check is not None or self._now() < ends_at:
            if check is not None:
                check()
            self._stalls.close_longest(min_held_bytes=UNRESERVED_BYTES + 1)
            self._sleep(POLL_INTERVAL_S)
            if reserve():
                return True
        return False

    def _begin(self, kind):
        with self._lock:
            count = self._waiting[kind]
            if kind is Waiting.REQUEST and count >= MAX_WAITING_REQUESTS:
                return False
            self._waiting[kind] += 1
            return True
