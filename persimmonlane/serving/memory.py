"""Account of the memory that a process uses for the bodies of requests and responses.

It covers the bodies that are being read, those that are held until a request is
answered and those that are being passed on.
"""

import collections
import threading

from ..fleetsettings import BYTES_PER_MIB

BYTES_PER_KIB = 1024
# The first bytes of each body need no reservation, so that long bodies can't block
# short ones. The threads that read bodies bound what this amounts to.
UNRESERVED_BYTES = 64 * BYTES_PER_KIB
DEFAULT_LIMIT_BYTES = 32 * BYTES_PER_MIB
# Share of the process's memory for bodies. The rest is for the process itself: code,
# document, threads and what is not measured.
BODIES_SHARE = 0.5
# For the unreserved bytes: a request and a response in each of 112 threads.
SHORT_BODIES_BYTES = 14 * BYTES_PER_MIB
# Kept free of requests, so that a request that has run can get its answer: a response
# has at most so many bytes.
RESPONSES_BYTES = 16 * BYTES_PER_MIB


class MemoryAccount:
    """Thread-safe count of the bytes that bodies have reserved.

    Attributes:
        limit_bytes: Limit of all reservations together.
        request_limit_bytes: Bytes up to which requests may reserve.
        room: The `RoomWaiter` that waits for room, or None to fail at once.
    """

    __slots__ = (
        "limit_bytes",
        "request_limit_bytes",
        "room",
        "_reserved_bytes",
        "_peak_bytes",
        "_released",
        "_lock",
    )

    def __init__(self, limit_bytes=DEFAULT_LIMIT_BYTES, request_limit_bytes=None):
        """Create an account.

        Args:
            limit_bytes: Limit of all reservations together.
            request_limit_bytes: Limit for the reservation of a request, None for the
                same one.
        """
        if request_limit_bytes is None:
            request_limit_bytes = limit_bytes
        self.request_limit_bytes = request_limit_bytes
        self.room = None
        self.limit_bytes = limit_bytes
        self._reserved_bytes = 0
        self._peak_bytes = 0
        self._released = collections.deque()
        self._lock = threading.Lock()

    def reserve(self, size, is_request=False):
        """Reserve a number of bytes; return whether that many were free."""
        limit = self.request_limit_bytes if is_request else self.limit_bytes
        with self._lock:
            while self._released:
                self._reserved_bytes -= self._released.popleft()
            if self._reserved_bytes + size > limit:
                return False
            self._reserved_bytes += size
            self._peak_bytes = max(self._peak_bytes, self._reserved_bytes)
        return True

    def take_peak_bytes(self):
        """Return the most bytes that were reserved at once since the last call."""
        with self._lock:
            while self._released:
                self._reserved_bytes -= self._released.popleft()
            peak, self._peak_bytes = self._peak_bytes, self._reserved_bytes
        return peak

    def release(self, size):
        """Release a number of bytes.

        Takes no lock: finalisers call this, and they may run in any thread at any
        point.
        """
        self._released.append(size)


class MemoryReservation:
    """Bytes of a `MemoryAccount` reserved for one body.

    They are released at the latest when the reservation is garbage-collected.
    """

    __slots__ = ("_account", "_is_request", "_check", "_size")

    def __init__(self, account, is_request=False, check=None):
        """Create an empty reservation.

        Args:
            account: The `MemoryAccount`.
            is_request: Whether it is for a request.
            check: Callable that raises once a response is not awaited any longer.
        """
        self._account = account
        self._is_request = is_request
        self._check = check
        self._size = 0

    def __del__(self):
        self.release()

    def extend_to(self, size):
        """Reserve enough for a body of a size in bytes.

        Returns:
            Whether enough memory was free.
        """
        missing = size - UNRESERVED_BYTES - self._size
        if missing <= 0:
            return True
        if not self._account.reserve(missing, self._is_request):
            return False
        self._size += missing
        return True

    def await_room(self, size):
        """Reserve enough for a body of a size in bytes; wait if there is none.

        Returns:
            Whether enough memory was free.
        """
        if self.extend_to(size):
            return True
        room = self._account.room
        if room is None or self._exceeds_limit(size):
            return False
        return room.wait(lambda: self.extend_to(size), self._is_request, self._check)

    def settle(self):
        """Note that the body is whole: no more room is awaited.

        The check refers to the exchange and its request, and the reservation lives as
        long as the body.
        """
        self._check = None

    def _exceeds_limit(self, size):
        """Return whether a request is too large even if nothing else is held."""
        limit = self._account.request_limit_bytes
        return self._is_request and size - UNRESERVED_BYTES > limit

    def release(self):
        """Release all reserved bytes."""
        if self._size:
            self._account.release(self._size)
            self._size = 0


def create_memory_account(memory_bytes):
    """Return the `MemoryAccount` of a process that may use a number of bytes."""
    limit = int(memory_bytes * BODIES_SHARE) - SHORT_BODIES_BYTES
    limit = max(limit, RESPONSES_BYTES)
    return MemoryAccount(limit, limit - RESPONSES_BYTES)
