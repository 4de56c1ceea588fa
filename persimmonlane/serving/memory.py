"""Memory.

Bounds what all answers that a process reads or passes on hold together.
"""

import collections
import threading

HELD_LIMIT_BYTES = 32 * 1024 * 1024
# Bytes of each answer that need no share, so that long answers keep out no short ones.
FREE_BYTES = 64 * 1024


class AnswerMemory:
    """Bytes that answers may hold; may be used from any thread."""

    __slots__ = ("_limit_bytes", "_held_bytes", "_returned", "_lock")

    def __init__(self, limit_bytes=HELD_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._returned = collections.deque()
        self._lock = threading.Lock()

    def take(self, size):
        """Take a number of bytes; return whether they were left."""
        with self._lock:
            while self._returned:
                self._held_bytes -= self._returned.popleft()
            if self._held_bytes + size > self._limit_bytes:
                return False
            self._held_bytes += size
        return True

    def give_back(self, size):
        """Give bytes back; needs no lock, as finalisers run anywhere."""
        self._returned.append(size)


class AnswerShare:
    """What one answer holds of an `AnswerMemory`, until the answer is dropped."""

    __slots__ = ("_memory", "_size")

    def __init__(self, memory):
        self._memory = memory
        self._size = 0

    def __del__(self):
        self.release()

    def cover(self, size):
        """Hold enough for an answer of a size in bytes; return whether it was left."""
        wanted = size - FREE_BYTES - self._size
        if wanted <= 0:
            return True
        if not self._memory.take(wanted):
            return False
        self._size += wanted
        return True

    def release(self):
        """Give back what is held."""
        if self._size:
            self._memory.give_back(self._size)
            self._size = 0
