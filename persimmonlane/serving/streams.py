"""Streams.

Buffered input from callers, in place of cheroot's own, which is slower.
"""

import io
import socket

import cheroot.makefile


class CallerReader(io.BufferedReader):
    """Buffered input from a caller's socket.

    Attributes:
        bytes_read: Bytes read so far, which cheroot's statistics ask for.
    """

    def __init__(self, sock, mode, size_bytes):
        super().__init__(socket.SocketIO(sock, mode), size_bytes)
        self.bytes_read = 0
        self._socket = sock

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
