"""Streams.

Buffered input and output of sockets. They save system calls, each of which hands
the interpreter to another thread.
"""

import io
import socket


class CountingSocket(socket.SocketIO):
    """Raw input that counts what has arrived.

    Attributes:
        received_bytes: Bytes taken from the socket so far.
    """

    def __init__(self, sock):
        super().__init__(sock, "r")
        self.received_bytes = 0

    def readinto(self, buffer):
        """Read into a buffer and count."""
        size = super().readinto(buffer)
        self.received_bytes += size or 0
        return size


class CountingReader(io.BufferedReader):
    """Buffered input that knows whether bytes wait in its buffer.

    Attributes:
        bytes_read: Bytes handed out so far; cheroot's statistics ask for it too.
    """

    def __init__(self, sock, size_bytes=io.DEFAULT_BUFFER_SIZE):
        super().__init__(CountingSocket(sock), size_bytes)
        self.bytes_read = 0

    def read(self, size=-1):
        """Read up to a number of bytes."""
        return self._count(super().read(size))

    def read1(self, size=-1):
        """Read what is there, with one call of the system at most."""
        return self._count(super().read1(size))

    def readline(self, size=-1):
        """Read one line."""
        return self._count(super().readline(size))

    def readinto(self, buffer):
        """Read into a buffer."""
        size = super().readinto(buffer)
        self.bytes_read += size or 0
        return size

    def has_data(self):
        """Return whether bytes have arrived that were not handed out."""
        return self.raw.received_bytes > self.bytes_read

    def _count(self, data):
        self.bytes_read += len(data or b"")
        return data


class CallerWriter:
    """Output to a caller; what is held goes out in one piece.

    Attributes:
        bytes_written: Bytes taken so far, which cheroot's statistics ask for.
    """

    __slots__ = ("bytes_written", "_socket", "_held", "_holding")

    def __init__(self, sock):
        self.bytes_written = 0
        self._socket = sock
        self._held = []
        self._holding = False

    def hold(self):
        """Keep what is written until `flush`."""
        self._holding = True

    def write(self, data):
        """Write bytes, at once unless they are held."""
        self.bytes_written += len(data)
        self._held.append(data)
        if not self._holding:
            self.flush()
        return len(data)

    def flush(self):
        """Send what is held, and hold no more."""
        self._holding = False
        held, self._held = self._held, []
        if held:
            self._socket.sendall(b"".join(held))


def open_stream(sock, mode="rb", size_bytes=io.DEFAULT_BUFFER_SIZE):
    """Return the file of a caller's socket for a mode, as cheroot asks for it."""
    if "r" in mode:
        return CountingReader(sock, size_bytes)
    return CallerWriter(sock)
