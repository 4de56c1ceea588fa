"""Requests that have begun to arrive, in the receive buffers of their connections."""

import contextlib
import fcntl
import logging
import re
import select
import socket
import struct
import termios
import time

from ..errors import Refusal
from .answers import ROOM_RETRY_AFTER_S, encode_refusal
from .stalls import MIN_STALL_S

log = logging.getLogger("persimmonlane.serving")

HEAD_END = b"\r\n\r\n"
LENGTH_RE = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,15})[ \t]*\r\n", re.I)
CHUNKED_RE = re.compile(rb"\r\ntransfer-encoding:", re.I)
EXPECT_RE = re.compile(rb"\r\nexpect:", re.I)
# Matches all lines that the reader of chunked bodies accepts.
CHUNK_LINE_RE = re.compile(rb"\s*([0-9A-Fa-f]{1,16})[^\n]*\n")
# The line end behind the data of a chunk.
CHUNK_END_BYTES = 2
# Of what a receive buffer holds; a request that is longer is never whole in it.
PEEK_BYTES = 32 * 1024
# While more of the workers are busy, only requests that are whole get one.
WHOLE_ONLY_LOAD = 0.5
# The same for requests that are too long to be whole in a receive buffer.
LONG_LOAD = 0.75
# More than a receive buffer holds.
MAX_DROPPED_READS = 8


class Arrival:
    """A request in the buffers of a connection, which no worker has begun to read.

    Attributes:
        conn: The connection.
        is_whole: Whether all of it has arrived, or a worker can refuse what is there.
        is_long: Whether it can't be whole before a worker reads it or asks for it.
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
        "_first",
        "_size",
        "_needed",
        "_chunk_at",
        "_is_full",
    )

    def __init__(self, conn, now, first=b""):
        """Create an `Arrival` and look at what has arrived.

        Args:
            conn: The connection.
            now: Time in seconds.
            first: First bytes of the request, which were read behind another one.
        """
        self.conn = conn
        self.is_whole = self.is_long = self.has_head = False
        self.began_at = self.changed_at = now
        self._first = first
        self._size = 0
        # Position behind the chunks that have arrived; 0 before the head has arrived.
        self._chunk_at = 0
        # Whether as much has arrived as is looked at.
        self._is_full = False
        # Size of the whole request in bytes; 0 before its head has arrived, and for a
        # body without a length.
        self._needed = 0
        self.update(now)

    def update(self, now):
        """Look at what has arrived by now.

        Args:
            now: Time in seconds.
        """
        try:
            size = len(self._first) + count_available(self.conn.socket)
        except (OSError, ValueError):
            # The connection has failed or was closed; a worker ends it.
            self.is_whole = True
            return
        if size == self._size:
            return
        self._size = size
        self.changed_at = now
        if self._needed:
            self.is_whole = size >= self._needed
        elif not self._is_full:
            self._examine()

    def _examine(self):
        try:
            received = self.conn.socket.recv(PEEK_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            received = b""
        except OSError:
            self.is_whole = True
            return
        data = self._first + received
        self._is_full = len(received) >= PEEK_BYTES
        head, end, _ = data.partition(HEAD_END)
        if not end:
            self.is_long = self._is_full
            return
        self.has_head = True
        lines = head + b"\r\n"
        length = LENGTH_RE.search(lines)
        if CHUNKED_RE.search(lines):
            self._chunk_at = self._chunk_at or len(head) + len(end)
            self.is_whole = self._follow_chunks(data)
            limit = len(self._first) + PEEK_BYTES
            self.is_long = self._is_full or self._chunk_at > limit
        elif length is not None:
            self._needed = len(head) + len(end) + int(length[1])
            self.is_whole = self._size >= self._needed
            self.is_long = self._needed > len(self._first) + PEEK_BYTES
        else:
            self.is_whole = True
        if EXPECT_RE.search(lines):
            self.is_long = True

    def _follow_chunks(self, data):
        """Go on to the first chunk that is not there; return whether there is none.

        Malformed chunks count as whole, since a worker refuses them at once.

        Args:
            data: All bytes that have arrived.
        """
        while self._chunk_at < len(data):
            line = CHUNK_LINE_RE.match(data, self._chunk_at)
            if line is None:
                return b"\n" in data[self._chunk_at :]
            size = int(line[1], 16)
            if not size:
                # The trailers end with an empty line, which may follow at once.
                return data.find(HEAD_END, line.end() - CHUNK_END_BYTES) >= 0
            self._chunk_at = line.end() + size + CHUNK_END_BYTES
        return False


class ArrivalQueue:
    """Connections whose requests have begun to arrive and get no worker yet.

    A request that comes slowly would keep a worker from those that are there.
    """

    __slots__ = ("_server", "_finish", "_arrivals")

    def __init__(self, server, finish):
        """Create an empty queue.

        Args:
            server: The `NodeHTTPServer`.
            finish: Callable that closes an active connection.
        """
        self._server = server
        self._finish = finish
        # The `Arrival`s by connection.
        self._arrivals = {}

    def __len__(self):
        return len(self._arrivals)

    def count_long(self):
        """Return the number of requests that need a worker to arrive as a whole."""
        return sum(arrival.is_long for arrival in list(self._arrivals.values()))

    def begin(self, conn):
        """Hand a connection to the workers, or wait until its request is whole."""
        if self.admit(conn):
            self._server.requests.put(conn)

    def admit(self, conn, first=b""):
        """Return whether a connection may have a worker; if not, it waits here.

        Args:
            conn: The connection.
            first: First bytes of its request, which were read behind another one.
        """
        if self._server.requests.load < WHOLE_ONLY_LOAD:
            return True
        arrival = Arrival(conn, time.monotonic(), first)
        if self._is_due(arrival):
            return True
        self._arrivals[conn] = arrival
        return False

    def check(self):
        """Hand over the requests that are due, and refuse those that are late."""
        now = time.monotonic()
        ended = self._find_ended()
        for conn, arrival in list(self._arrivals.items()):
            arrival.update(now)
            if conn in ended:
                # A worker finds what is missing, and ends the connection at once.
                arrival.is_whole = True
            if self._is_due(arrival):
                if self._arrivals.pop(conn, None) is not None:
                    self._server.requests.put(conn)
            elif self._is_late(arrival, now):
                refusal = Refusal(408, "request-timeout", "the request came too late")
                self._refuse(arrival, refusal)

    def refuse_stalled(self):
        """Refuse the request without progress for longest, if it is for a second.

        Returns:
            Whether one was refused.
        """
        arrivals = list(self._arrivals.values())
        longest = min(arrivals, key=lambda item: item.changed_at, default=None)
        if longest is None or time.monotonic() - longest.changed_at < MIN_STALL_S:
            return False
        refusal = Refusal(
            503,
            "transfer-stalled",
            "the request made no progress while others waited",
            retry_after=ROOM_RETRY_AFTER_S,
        )
        self._refuse(longest, refusal)
        return True

    def close(self):
        """Close all connections of the queue."""
        for conn in list(self._arrivals):
            conn.close()

    def _find_ended(self):
        """Return the connections whose callers have left or send nothing more."""
        poll = select.poll()
        conns = {}
        for conn in list(self._arrivals):
            number = conn.socket.fileno()
            if number >= 0:
                conns[number] = conn
                poll.register(number, select.POLLRDHUP)
        return {conns[number] for number, _ in poll.poll(0)}

    def _is_due(self, arrival):
        limit = LONG_LOAD if arrival.is_long else WHOLE_ONLY_LOAD
        return arrival.is_whole or self._server.requests.load < limit

    def _is_late(self, arrival, now):
        if not arrival.has_head:
            return now - arrival.began_at > self._server.header_timeout_s
        return now - arrival.changed_at > self._server.timeout

    def _refuse(self, arrival, refusal):
        """Answer a request of which nothing was read, and close its connection."""
        conn = arrival.conn
        if self._arrivals.pop(conn, None) is None:
            return
        log.warning(
            "Serving: refused a request that did not arrive: %s.",
            refusal.message,
            extra={"event": refusal.code},
        )
        with contextlib.suppress(OSError):
            conn.wfile.write(encode_refusal(refusal))
            # Bytes that are left unread would reset the connection before the caller
            # has read the refusal.
            for _ in range(MAX_DROPPED_READS):
                if not conn.socket.recv(PEEK_BYTES):
                    break
        self._finish(conn)


def count_available(sock):
    """Return the number of bytes in a socket's receive buffer."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0]
