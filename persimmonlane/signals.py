"""Signals.

Flags that a thread can wait for beside sockets.
"""

import os
import threading


class PollableEvent:
    """A flag that can be polled like a socket."""

    __slots__ = ("_number", "_lock", "_set")

    def __init__(self):
        self._number = os.eventfd(0, os.EFD_NONBLOCK)
        self._lock = threading.Lock()
        self._set = False

    def fileno(self):
        """Return the descriptor that is readable once the flag is set."""
        return self._number

    def set(self):
        """Set the flag."""
        with self._lock:
            self._set = True
            if self._number is not None:
                os.eventfd_write(self._number, 1)

    def is_set(self):
        """Return whether the flag is set."""
        return self._set

    def close(self):
        """Release the descriptor."""
        with self._lock:
            os.close(self._number)
            self._number = None
