"""Connections.

Kept connections to backend servers and other nodes.
"""

import http.client
import io
import socket
import threading

import urllib3.connection
import urllib3.util

from ..settings import split_address
from .inputs import ExchangeInput
from .memory import AnswerMemory

KEPT_PER_ADDRESS = 64
IDLE_LIMIT_S = 4.0
# Milliseconds after which the system gives up on bytes that are not confirmed.
UNCONFIRMED_MS = 1500


class SharedResponse(http.client.HTTPResponse):
    """A response that leaves its connection's buffer open for the next one."""

    def _close_conn(self):
        self.fp = None

    def _read_next_chunk_size(self):
        size = super()._read_next_chunk_size()
        if size < 0:
            raise ValueError("a chunk has a negative size")
        return size


class KeptConnection(urllib3.connection.HTTPConnection):
    """A connection that serves one request after another.

    Attributes:
        address: Address of the other side.
        opened_at: Seconds at which it was opened.
        used_at: Seconds of its last use, or None.
        idle_limit_s: Seconds for which it may be idle and used again.
        input: The `ExchangeInput`.
        reader: Buffered input, shared by all its responses.

    The socket is non-blocking except while a request is sent.
    """

    def __init__(self, address, timeout_s, opened_at):
        host, port = split_address(address)
        super().__init__(host, port, timeout=timeout_s)
        self.address = address
        self.opened_at = opened_at
        self.used_at = None
        self.idle_limit_s = IDLE_LIMIT_S
        self.input = None
        self.reader = None

    def connect(self):
        """Open the connection."""
        super().connect()
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNCONFIRMED_MS
        )
        self.sock.setblocking(False)
        self.input = ExchangeInput(self.sock)
        self.reader = io.BufferedReader(self.input)

    def makefile(self, mode):
        """Return the shared input, as a response asks its socket for a file."""
        return self.reader

    def read_response(self, method):
        """Return the next `SharedResponse`, whose head has arrived."""
        response = SharedResponse(self, method=method)
        response.begin()
        return response

    def close(self):
        """Close the socket and end what its exchange holds."""
        if self.input is not None:
            self.input.end()
        super().close()

    def finish(self):
        """Make ready for the next request; the socket stays open."""
        self.input.end()
        sock, self.sock = self.sock, None
        # Without a socket this only ends the present request.
        http.client.HTTPConnection.close(self)
        self.sock = sock

    def has_input(self):
        """Return whether bytes are waiting to be read, or the end."""
        try:
            return bool(self.reader.peek(1)) or self._is_readable()
        except (OSError, ValueError):
            return True

    def _is_readable(self):
        return urllib3.util.wait_for_read(self.sock, timeout=0.0)


class ConnectionPool:
    """Idle connections by address; may be used from any thread.

    Attributes:
        memory: The `AnswerMemory` of what comes over the connections.
    """

    __slots__ = ("memory", "_clock", "_idle", "_lock")

    def __init__(self, clock, memory=None):
        self.memory = memory or AnswerMemory()
        self._clock = clock
        self._idle = {}
        self._lock = threading.Lock()

    def take(self, address):
        """Return the connection to an address that was used last, or None."""
        while True:
            connection = self._pop(address)
            if connection is None or self._is_usable(connection):
                return connection
            connection.close()

    def put(self, connection):
        """Keep a connection whose last exchange is complete."""
        connection.used_at = self._clock.now()
        with self._lock:
            connections = self._idle.setdefault(connection.address, [])
            connections.append(connection)
            surplus = (
                connections.pop(0) if len(connections) > KEPT_PER_ADDRESS else None
            )
        if surplus is not None:
            surplus.close()

    def _pop(self, address):
        with self._lock:
            connections = self._idle.get(address)
            return connections.pop() if connections else None

    def _is_usable(self, connection):
        idle_s = self._clock.now() - connection.used_at
        if connection.sock is None or idle_s > connection.idle_limit_s:
            return False
        # One that can be read was closed, or holds bytes that belong to no request.
        return not connection.has_input()
