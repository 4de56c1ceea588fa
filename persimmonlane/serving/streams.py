"""Streams of inbound connections.

Replaces the readers of cheroot, which are slower, and its blocking writers.
"""

import io
import socket
import time

from .outputs import ConnectionOutput


class DeadlineSocketIO(socket.SocketIO):
    """Unbuffered socket input with an optional deadline for all reads together.

    Attributes:
        deadline: Monotonic time, in seconds, at which reads stop waiting, or None to
            apply the socket's own timeout to each read.
        transfer: The `Transfer` that is told of what was read.
    """

    def __init__(self, sock, mode):
        super().__init__(sock, mode)
        self.deadline = None
        self.transfer = None
        self._socket = sock

    def readinto(self, buffer):
        """Receive data into a buffer, waiting for it until the deadline.

        Raises:
            TimeoutError: If no data has arrived by then.
        """
        count = self._receive(buffer)
        if self.transfer is not None and count:
            self.transfer.note(count)
        return count

    def _receive(self, buffer):
        if self.deadline is None:
            return super().readinto(buffer)
        self._socket.settimeout(max(0.0, self.deadline - time.monotonic()))
        count = super().readinto(buffer)
        if count is None:
            # cheroot recognises a timeout by this message.
            raise TimeoutError("timed out")
        return count


class InboundReader(io.BufferedReader):
    """Buffered input from the socket of an inbound connection.

    Attributes:
        bytes_read: Bytes read so far, required by cheroot's statistics.
    """

    def __init__(self, sock, mode, size_bytes):
        super().__init__(DeadlineSocketIO(sock, mode), size_bytes)
        self.bytes_read = 0
        self._socket = sock

    def report_to(self, transfer):
        """Set the `Transfer` that is told of what is read."""
        self.raw.transfer = transfer

    def set_deadline(self, deadline):
        """Set the monotonic time at which reads stop waiting; None for no deadline."""
        self.raw.deadline = deadline

    def peek_arrived(self):
        """Return bytes that have arrived and were not read yet, without waiting."""
        timeout = self._socket.gettimeout()
        self._socket.setblocking(False)
        try:
            return self.peek(1)
        except OSError:
            return b""
        finally:
            self._socket.settimeout(timeout)


def open_stream(sock, mode="rb", size_bytes=io.DEFAULT_BUFFER_SIZE):
    """Return the reader or writer of a socket for a mode, as cheroot's `MakeFile`."""
    if "r" in mode:
        return InboundReader(sock, "r", size_bytes)
    return ConnectionOutput(sock)
