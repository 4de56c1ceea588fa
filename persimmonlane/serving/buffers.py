"""Buffers that hold a body in one copy."""

import mmap

from ..errors import PersimmonError
from .memory import BYTES_PER_MIB, UNRESERVED_BYTES

# A body of unknown length gets room in steps of this size.
STEP_BYTES = BYTES_PER_MIB
PRIVATE_FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class MemoryLimitError(PersimmonError):
    """The bodies in this process would exceed their common memory limit."""

    code = "answers-too-long"


class MappedBody(mmap.mmap):
    """Memory of a long body.

    It is mapped by itself, as memory from the heap is copied when it grows, and not all
    of it is returned when it is freed.

    Attributes:
        reservation: The `MemoryReservation`, which ends with the last reference to the
            memory.
    """


class BodyBuffer:
    """Buffer that a body is read into.

    Attributes:
        size: Bytes of the body so far.
    """

    __slots__ = ("size", "_reservation", "_expected_size", "_short", "_mapped")

    def __init__(self, reservation, expected_size=None):
        """Create a buffer.

        Args:
            reservation: The `MemoryReservation` of the body.
            expected_size: Length of the body in bytes, or None if it is not known.

        Raises:
            MemoryLimitError: If there is no room for the expected size.
        """
        self.size = 0
        self._reservation = reservation
        self._expected_size = expected_size
        self._short = bytearray()
        self._mapped = None
        if expected_size is not None and expected_size > UNRESERVED_BYTES:
            self._map(expected_size, expected_size)

    def append(self, data):
        """Append a block of the body.

        Raises:
            MemoryLimitError: If there is no room for it.
        """
        self._make_room(len(data))
        if self._mapped is None:
            self._short += data
        else:
            self._mapped[self.size : self.size + len(data)] = data
        self.size += len(data)

    def read(self, readinto, max_size):
        """Append what a callable reads.

        Args:
            readinto: Callable that reads into a writable buffer and returns the number
                of bytes.
            max_size: Size of that buffer in bytes.

        Returns:
            The number of bytes that were read.

        Raises:
            MemoryLimitError: If there is no room for so many bytes.
        """
        if self._mapped is None and self.size + max_size > UNRESERVED_BYTES:
            max_size = max(1, UNRESERVED_BYTES - self.size)
        self._make_room(max_size)
        if self._mapped is None:
            block = bytearray(max_size)
            count = readinto(block)
            self._short += block[:count]
        else:
            end = self.size + max_size
            with memoryview(self._mapped) as whole, whole[self.size : end] as block:
                count = readinto(block)
        self.size += count
        return count

    def finish(self):
        """Return the body: bytes if it is short, else a view of the only copy."""
        if self._mapped is None:
            body = bytes(self._short)
            self._short.clear()
            return body
        if self.size < len(self._mapped):
            self._mapped.resize(self.size)
        return memoryview(self._mapped).toreadonly()

    def clear(self):
        """Release the memory of a body that is not needed."""
        self._short.clear()
        if self._mapped is not None:
            self._mapped.close()
            self._mapped = None
        self._reservation.release()

    def _make_room(self, count):
        size = self.size + count
        if self._mapped is None and size <= UNRESERVED_BYTES:
            return
        if self._mapped is None:
            self._map(size, size + STEP_BYTES)
            self._mapped[: self.size] = bytes(self._short)
            self._short.clear()
        elif self._expected_size is None:
            self._reserve(size)
            if size > len(self._mapped):
                self._mapped.resize(size + STEP_BYTES)

    def _map(self, size, capacity):
        """Map memory; pages that were never written to take none."""
        self._reserve(size)
        self._mapped = MappedBody(-1, capacity, flags=PRIVATE_FLAGS)
        self._mapped.reservation = self._reservation

    def _reserve(self, size):
        if not self._reservation.await_room(size):
            raise MemoryLimitError("the memory for bodies is exhausted")
