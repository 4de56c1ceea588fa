"""Persistent connections to backend servers and other nodes, and their pool."""

import collections
import http.client
import io
import socket
import threading

import urllib3.connection
import urllib3.util

from ..addresses import split_address
from ..identifiers import abbreviate
from ..strictresponses import StrictResponse
from .memory import MemoryAccount
from .socketinput import ExchangeInput

MAX_IDLE_PER_ADDRESS = 64
# Idle connections to all addresses together: each takes a descriptor.
MAX_IDLE = 1024
# Of each outbound connection; the kernel would let it grow to tens of megabytes.
RECEIVE_BUFFER_BYTES = 128 * 1024
IDLE_TIMEOUT_S = 4.0
# Answered requests of which a connection may still deliver another copy of the answer.
MAX_ANSWERED = 64
# The kernel drops a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1500


SOCKET_OPTIONS = [
    *urllib3.connection.HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
]


class KeepAliveResponse(StrictResponse):
    """A response that leaves its connection's buffered input open for the next one."""

    def _close_conn(self):
        self.fp = None


class KeepAliveConnection(urllib3.connection.HTTPConnection):
    """A persistent connection, which serves one request after another.

    The socket is non-blocking except while a request is sent.

    Attributes:
        address: Address of the other side, as `host:port`.
        opened_at: Clock time, in seconds, at which it was opened.
        last_used_at: Clock time, in seconds, of its last use, or None.
        idle_timeout_s: Seconds for which it may be idle and still be reused.
        answered_ids: Identifiers of the requests that were answered on it last,
            abbreviated.
        raw_input: The `ExchangeInput`, or None before `connect`.
        buffered_input: Buffered reader on `raw_input`, shared by all responses, or
            None before `connect`.
    """

    def __init__(self, address, timeout_s, opened_at):
        host, port = split_address(address)
        super().__init__(host, port, timeout=timeout_s, socket_options=SOCKET_OPTIONS)
        self.address = address
        self.opened_at = opened_at
        self.last_used_at = None
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.answered_ids = collections.deque(maxlen=MAX_ANSWERED)
        self.raw_input = None
        self.buffered_input = None

    def connect(self):
        """Open the connection."""
        super().connect()
        self.limit_silence()
        self.sock.setblocking(False)
        self.raw_input = ExchangeInput(self.sock)
        self.buffered_input = io.BufferedReader(self.raw_input)

    def limit_silence(self, timeout_ms=TCP_USER_TIMEOUT_MS):
        """Set how long sent data may stay unacknowledged or unread.

        Args:
            timeout_ms: Milliseconds after which the kernel drops the connection.
        """
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def makefile(self, mode):
        """Return the shared buffered input.

        `http.client.HTTPResponse` calls this on what it takes for a socket.
        """
        return self.buffered_input

    def read_response(self, method):
        """Read the head of the next response and return the `KeepAliveResponse`."""
        response = KeepAliveResponse(self, method=method)
        response.begin()
        return response

    def close(self):
        """Close the socket and drop the reference to the exchange in progress."""
        if self.raw_input is not None:
            self.raw_input.end_exchange()
        super().close()

    def note_answered(self, request_id):
        """Remember that a request was answered on this connection."""
        self.answered_ids.append(abbreviate(request_id))

    def end_exchange(self):
        """Reset the state for the next request; the socket stays open."""
        self.raw_input.end_exchange()
        sock, self.sock = self.sock, None
        # Without a socket, close() only resets the state of the current request.
        http.client.HTTPConnection.close(self)
        self.sock = sock

    def has_unread_input(self):
        """Return whether data, end of file or an error is pending."""
        try:
            return bool(self.buffered_input.peek(1)) or self._is_readable()
        except (OSError, ValueError):
            return True

    def _is_readable(self):
        return urllib3.util.wait_for_read(self.sock, timeout=0.0)


class ConnectionPool:
    """Thread-safe pool of idle connections, by address.

    Attributes:
        memory: The `MemoryAccount` shared by the responses on all connections.
    """

    __slots__ = ("memory", "_clock", "_idle", "_idle_order", "_max_idle", "_lock")

    def __init__(self, clock, memory=None, max_idle=MAX_IDLE):
        """Create a pool.

        Args:
            clock: Clock in seconds.
            memory: The `MemoryAccount`, or None for one of its own.
            max_idle: Number of idle connections that are kept.
        """
        self.memory = memory or MemoryAccount()
        # The idle connections, in the order in which they became idle.
        self._idle_order = {}
        self._max_idle = max_idle
        self._clock = clock
        self._idle = {}
        self._lock = threading.Lock()

    def take(self, address, request_id):
        """Remove and return the last used connection to an address, or None.

        A connection on which the same request was answered before is left: a late copy
        of that answer could be taken for the answer to this one.

        Args:
            address: The address.
            request_id: Identifier of the request that is to be sent.
        """
        request_id = abbreviate(request_id)
        while True:
            connection = self._pop(address, request_id)
            if connection is None or self._is_usable(connection):
                return connection
            connection.close()

    def put(self, connection):
        """Add a connection whose last exchange is complete.

        Closes the oldest connection, to the same address or to any, if there are too
        many.
        """
        connection.last_used_at = self._clock.now()
        with self._lock:
            connections = self._idle.setdefault(connection.address, [])
            connections.append(connection)
            self._idle_order[connection] = None
            surplus = None
            if len(connections) > MAX_IDLE_PER_ADDRESS:
                surplus = connections[0]
            elif len(self._idle_order) > self._max_idle:
                surplus = next(iter(self._idle_order))
            if surplus is not None:
                self._remove(surplus)
        if surplus is not None:
            surplus.close()

    def _remove(self, connection):
        """Remove an idle connection; the caller holds the lock."""
        del self._idle_order[connection]
        connections = self._idle[connection.address]
        connections.remove(connection)
        if not connections:
            del self._idle[connection.address]

    def _pop(self, address, request_id):
        with self._lock:
            connections = self._idle.get(address, ())
            for connection in reversed(connections):
                if request_id not in connection.answered_ids:
                    self._remove(connection)
                    return connection
        return None

    def _is_usable(self, connection):
        idle_s = self._clock.now() - connection.last_used_at
        if connection.sock is None or idle_s > connection.idle_timeout_s:
            return False
        # Pending input means that the other side closed the connection or sent data
        # that belongs to no request.
        return not connection.has_unread_input()
