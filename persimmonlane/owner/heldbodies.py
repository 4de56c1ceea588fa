"""Limit on the request bodies that the backend server holds at once."""

import collections

from ..serving.memory import UNRESERVED_BYTES

# A backend server that hangs keeps a body for some seconds after its node has given
# the request up.
ABANDONED_S = 5.0
RETRY_AFTER_S = 1.0


class HeldBodies:
    """Bytes of the bodies at the backend server; the caller holds a lock.

    Short bodies always have room: the server's slots bound them.
    """

    __slots__ = ("_clock", "_limit_bytes", "_held_bytes", "_abandoned")

    def __init__(self, clock, limit_bytes):
        """Create the limit.

        Args:
            clock: Clock in seconds.
            limit_bytes: Bytes that the backend server may hold of long bodies.
        """
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        # Times until which bodies count, and their sizes.
        self._abandoned = collections.deque()

    def add(self, size):
        """Count a body that is to be sent; return whether there is room for it.

        Args:
            size: Size of the body in bytes.
        """
        if size <= UNRESERVED_BYTES:
            return True
        self._drop_abandoned()
        if self._held_bytes and self._held_bytes + size > self._limit_bytes:
            return False
        self._held_bytes += size
        return True

    def remove(self, size, is_answered):
        """Stop counting a body for which `add` had room.

        Args:
            size: Size of the body in bytes.
            is_answered: Whether the server has answered the request; if not, it may
                hold the body for a while.
        """
        if size <= UNRESERVED_BYTES:
            return
        if is_answered:
            self._held_bytes -= size
        else:
            self._abandoned.append((self._clock.now() + ABANDONED_S, size))

    def _drop_abandoned(self):
        now = self._clock.now()
        while self._abandoned and self._abandoned[0][0] <= now:
            self._held_bytes -= self._abandoned.popleft()[1]
