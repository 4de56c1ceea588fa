"""Raw socket input for connections, bounded by the exchange in progress."""

import io


class ExchangeInput(io.RawIOBase):
    """Raw input of a non-blocking socket.

    During an exchange, reads wait for data. Otherwise they return at once, whether
    or not data has arrived.

    Attributes:
        remaining_bytes: Bytes that may still arrive in the exchange.
    """

    def __init__(self, sock):
        super().__init__()
        self._sock = sock
        self._wait_readable = None
        self.remaining_bytes = 0

    def begin_exchange(self, wait_readable):
        """Make reads wait for data.

        Args:
            wait_readable: Callable that returns once the socket is readable, and
                raises if the exchange ends first.
        """
        self._wait_readable = wait_readable

    def end_exchange(self):
        """Make reads return at once again."""
        self._wait_readable = None

    def readable(self):
        """Return True, as `io.BufferedReader` requires."""
        return True

    def readinto(self, buffer):
        """Receive data into a buffer.

        Returns:
            The number of bytes, 0 at the end of the input. Outside an exchange, None
            if no data has arrived.

        Raises:
            ValueError: If more than `remaining_bytes` have arrived.
        """
        if self._wait_readable is None:
            return self._receive(buffer)
        while True:
            self._wait_readable()
            size = self._receive(buffer)
            if size is not None:
                break
        self.remaining_bytes -= size
        if self.remaining_bytes < 0:
            raise ValueError("the response exceeds its size limit")
        return size

    def _receive(self, buffer):
        try:
            return self._sock.recv_into(buffer)
        except BlockingIOError:
            return None
