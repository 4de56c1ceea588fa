"""Requests that have begun to arrive, in the receive buffers of their connections."""

import fcntl
import re
import socket
import struct
import termios

HEAD_END = b"\r\n\r\n"
LENGTH_RE = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,15})[ \t]*\r\n", re.I)
CHUNKED_RE = re.compile(rb"\r\ntransfer-encoding:", re.I)
EXPECT_RE = re.compile(rb"\r\nexpect:", re.I)
# Of what a receive buffer holds; a request that is longer is never whole in it.
PEEK_BYTES = 32 * 1024


class Arrival:
    """A request in the receive buffer of a connection; no byte of it has been read.

    Attributes:
        conn: The connection.
        is_whole: Whether all of it has arrived, or a worker must read what is there.
        is_long: Whether it can't be whole before a worker reads it.
        has_head: Whether its head has arrived.
        began_at: Time in seconds at which it was seen first.
        changed_at: Time in seconds at which bytes were seen to arrive last.
    """

    __slots__ = (
        "conn",
        "is_whole",
        "is_long",
        "has_head",
        "began_at",
        "changed_at",
        "_size",
        "_needed",
    )

    def __init__(self, conn, now):
        self.conn = conn
        self.is_whole = self.is_long = self.has_head = False
        self.began_at = self.changed_at = now
        self._size = 0
        # Size of the whole request in bytes; 0 before its head has arrived, and for a
        # body without a length.
        self._needed = 0
        self.update(now)

    def update(self, now):
        """Look at what has arrived by now.

        Args:
            now: Time in seconds.
        """
        size = count_available(self.conn.socket)
        if size == self._size:
            return
        self._size = size
        self.changed_at = now
        if not self._needed:
            self._examine()
        elif size >= self._needed:
            self.is_whole = True

    def _examine(self):
        try:
            data = self.conn.socket.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            self.is_whole = True
            return
        head, end, rest = data.partition(HEAD_END)
        if not end:
            self.is_whole = len(data) >= PEEK_BYTES
            return
        self.has_head = True
        lines = head + b"\r\n"
        length = LENGTH_RE.search(lines)
        if EXPECT_RE.search(lines):
            self.is_whole = True
        elif CHUNKED_RE.search(lines):
            self.is_whole = rest.endswith(HEAD_END)
            self.is_long = len(data) >= PEEK_BYTES
        elif length is None:
            self.is_whole = True
        else:
            self._needed = len(head) + len(end) + int(length[1])
            self.is_whole = self._size >= self._needed
            self.is_long = self._needed > PEEK_BYTES


def count_available(sock):
    """Return the number of bytes in a socket's receive buffer."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0]
