"""Streams.

Buffered input from callers, in place of cheroot's own, which is slower.
"""

import io
import socket
import time

import cheroot.makefile


class DeadlineSocketIO(socket.SocketIO):
    """Unbuffered input from a socket, whose reads together may have a deadline.

    Attributes:
        deadline: Monotonic time at which reads stop waiting, or None to leave each
            read to the socket's own timeout.
    """

    def __init__(self, sock, mode):
        super().__init__(sock, mode)
        self.deadline = None
        self._socket = sock

    def readinto(self, buffer):
        """Read what has come, waiting for it until the deadline.

        Raises:
            TimeoutError: If nothing has come by then.
        """
        if self.deadline is None:
            return super().readinto(buffer)
        self._socket.settimeout(max(0.0, self.deadline - time.monotonic()))
        count = super().readinto(buffer)
        if count is None:
            # cheroot knows a timeout by these words.
            raise TimeoutError("timed out")
        return count


class CallerReader(io.BufferedReader):
    """Buffered input from a caller's socket.

    Attributes:
        bytes_read: Bytes read so far, which cheroot's statistics ask for.
    """

    def __init__(self, sock, mode, size_bytes):
        super().__init__(DeadlineSocketIO(sock, mode), size_bytes)
        self.bytes_read = 0
        self._socket = sock

    def set_deadline(self, deadline):
        """Set the monotonic time at which reads stop waiting; None for no such."""
        self.raw.deadline = deadline

    def has_data(self):
        """Return whether bytes have arrived that were not read yet."""
        timeout = self._socket.gettimeout()
        self._socket.setblocking(False)
        try:
            return bool(self.peek(1))
        except OSError:
            return False
        finally:
            self._socket.settimeout(timeout)


def open_stream(sock, mode="rb", size_bytes=io.DEFAULT_BUFFER_SIZE):
    """Return the file of a caller's socket for a mode, as cheroot asks for it."""
    if "r" in mode:
        return CallerReader(sock, "r", size_bytes)
    return cheroot.makefile.StreamWriter(sock, "w", size_bytes)
