"""Limit on the memory that a process uses for response bodies.

It covers the responses that are being read and those that are being passed on.
"""

import collections
import threading

MAX_RESERVED_BYTES = 32 * 1024 * 1024
# The first bytes of each response need no reservation, so that long responses can't
# block short ones.
UNRESERVED_BYTES = 64 * 1024


class ResponseMemory:
    """Thread-safe count of the bytes that responses have reserved."""

    __slots__ = ("_limit_bytes", "_reserved_bytes", "_released", "_lock")

    def __init__(self, limit_bytes=MAX_RESERVED_BYTES):
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0
        self._released = collections.deque()
        self._lock = threading.Lock()

    def reserve(self, size):
        """Reserve a number of bytes; return whether that many were free."""
        with self._lock:
            while self._released:
                self._reserved_bytes -= self._released.popleft()
            if self._reserved_bytes + size > self._limit_bytes:
                return False
            self._reserved_bytes += size
        return True

    def release(self, size):
        """Release a number of bytes.

        Takes no lock: finalisers call this, and they may run in any thread at any
        point.
        """
        self._released.append(size)


class MemoryReservation:
    """Bytes of a `ResponseMemory` reserved for one response.

    They are released at the latest when the reservation is garbage-collected.
    """

    __slots__ = ("_memory", "_size")

    def __init__(self, memory):
        self._memory = memory
        self._size = 0

    def __del__(self):
        self.release()

    def extend_to(self, size):
        """Reserve enough for a response of a size in bytes.

        Returns:
            Whether enough memory was free.
        """
        missing = size - UNRESERVED_BYTES - self._size
        if missing <= 0:
            return True
        if not self._memory.reserve(missing):
            return False
        self._size += missing
        return True

    def release(self):
        """Release all reserved bytes."""
        if self._size:
            self._memory.release(self._size)
            self._size = 0
