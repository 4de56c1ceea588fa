"""Signals.

Events that a thread can wait for together with sockets.
"""

import os
import threading


class PollableEvent:
    """A thread-safe event with a file descriptor for `poll`."""

    __slots__ = ("_fd", "_lock", "_set")

    def __init__(self):
        self._fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._lock = threading.Lock()
        self._set = False

    def fileno(self):
        """Return the file descriptor, which is readable once the event is set."""
        return self._fd

    def set(self):
        """Set the event; the call has no effect on the descriptor after `close`."""
        with self._lock:
            self._set = True
            if self._fd is not None:
                os.eventfd_write(self._fd, 1)

    def is_set(self):
        """Return whether the event is set."""
        return self._set

    def close(self):
        """Close the file descriptor."""
        with self._lock:
            os.close(self._fd)
            self._fd = None
