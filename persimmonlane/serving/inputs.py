"""Inputs.

Raw input of connections, under the limits of the exchange in progress.
"""

import io


class ExchangeInput(io.RawIOBase):
    """Raw input of a non-blocking socket.

    Outside of an exchange a read returns at once, with or without bytes.

    Attributes:
        left_bytes: Bytes that may still arrive in the exchange.
        ended: Whether the other side has ended the connection.
    """

    def __init__(self, sock):
        super().__init__()
        self._sock = sock
        self._wait = None
        self.left_bytes = 0
        self.ended = False

    def begin(self, wait):
        """Let reads wait for bytes.

        Args:
            wait: Callable that returns once the socket is readable, and raises if the
                exchange ends before.
        """
        self._wait = wait

    def end(self):
        """Let reads return at once again."""
        self._wait = None

    def readable(self):
        """Return True, as `io.BufferedReader` asks."""
        return True

    def readinto(self, buffer):
        """Receive into a buffer; return the number of bytes, 0 at the end.

        Returns None outside of an exchange if no bytes have arrived.

        Raises:
            ValueError: If more bytes have arrived than may.
        """
        if self._wait is None:
            return self._receive(buffer)
        while True:
            self._wait()
            size = self._receive(buffer)
            if size is not None:
                break
        self.ended = not size
        self.left_bytes -= size
        if self.left_bytes < 0:
            raise ValueError("too many bytes arrived")
        return size

    def _receive(self, buffer):
        try:
            return self._sock.recv_into(buffer)
        except BlockingIOError:
            return None
