"""Input from the store, bounded in total time and in bytes.

A long document takes its time over a narrow link that others use as well.
"""

import io
import time

import urllib3.connection
import urllib3.connectionpool

from ..strictresponses import StrictResponse

# A value has at most 1 MiB, or 1.4 MiB as the store writes it; a page of a listing
# holds a hundred entries of nodes, and a watch some versions of the document.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Rate at which a long answer must arrive at least; its time grows with its bytes.
MIN_BYTES_PER_S = 128 * 1024


class BoundedInput(io.RawIOBase):
    """Input of one answer from a socket, with a deadline for all reads together.

    The deadline moves with what arrives, so that an answer may take the timeout of the
    call and the time that its length needs at the least rate.
    """

    def __init__(self, sock, max_bytes=MAX_ANSWER_BYTES, now=time.monotonic):
        """Create the input; the time starts now.

        Args:
            sock: The socket, whose timeout is the total time in seconds.
            max_bytes: Most bytes that are read.
            now: Callable that returns the time in seconds.
        """
        super().__init__()
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._remaining_bytes = max_bytes
        self._now = now
        timeout_s = sock.gettimeout()
        self._deadline = None if timeout_s is None else now() + timeout_s

    def readable(self):
        """Return True, as `io.BufferedReader` requires."""
        return True

    def readinto(self, buffer):
        """Receive data into a buffer; return the number of bytes.

        Raises:
            TimeoutError: If the answer has not ended in time.
            OSError: If the answer is too long, or the connection failed.
        """
        if self._deadline is not None:
            remaining_s = self._deadline - self._now()
            if remaining_s <= 0:
                raise TimeoutError("the answer has not ended in time")
            self._sock.settimeout(remaining_s)
        count = self._raw.readinto(buffer) or 0
        self._remaining_bytes -= count
        if self._deadline is not None:
            self._deadline += count / MIN_BYTES_PER_S
        if self._remaining_bytes < 0:
            raise OSError("the answer is too long")
        return count

    def close(self):
        """Close the input; the socket stays open."""
        self._raw.close()
        super().close()


class BoundedResponse(StrictResponse):
    """A response that is read through a `BoundedInput`."""

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self.fp = io.BufferedReader(BoundedInput(sock))

    def begin(self, *args, **fields):
        """Read the head.

        Raises:
            MalformedResponse: If it is no valid HTTP.
            OSError: If the answer is too long, or the connection failed.
        """
        super().begin(*args, **fields)
        check_size(self.length or 0)

    def _read_next_chunk_size(self):
        size = super()._read_next_chunk_size()
        check_size(size)
        return size


def check_size(size):
    """Check the number of bytes that an answer says are to come.

    A buffer of that size is allocated before they are read.

    Raises:
        OSError: If the answer is too long.
    """
    if size > MAX_ANSWER_BYTES:
        raise OSError("the answer is too long")


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection to the store."""

    response_class = BoundedResponse


class BoundedConnectionPool(urllib3.connectionpool.HTTPConnectionPool):
    """Connections to the store; the read timeout of a call limits its whole answer."""

    ConnectionCls = BoundedConnection
