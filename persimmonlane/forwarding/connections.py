"""Connections.

Kept connections to backend servers, with the time each was opened.
"""

import http.client
import threading

import urllib3.connection
import urllib3.util

IDLE_LIMIT_S = 30.0
KEPT_PER_ADDRESS = 64
SUSPICION_INTERVAL_S = 10.0


class CheckedResponse(http.client.HTTPResponse):
    """A response that notices bytes beyond its stated length.

    Attributes:
        excess: Whether the server sent more than the stated length.
    """

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.excess = False
        self._socket = sock

    def _close_conn(self):
        # The buffer is discarded with the file, so this is the last moment
        # at which bytes beyond the body can be seen.
        self.excess = has_excess(self._socket, self.fp)
        super()._close_conn()


class BackendConnection(urllib3.connection.HTTPConnection):
    """A connection to a backend server.

    Attributes:
        address: Address of the backend server.
        opened_at: Monotonic seconds at which it was opened.
        used_at: Monotonic seconds of its last use, or None if it is new.
    """

    response_class = CheckedResponse

    def __init__(self, address, host, port, opened_at):
        super().__init__(host, port)
        self.address = address
        self.opened_at = opened_at
        self.used_at = None


class ConnectionPool:
    """Idle connections by address; may be used from any thread."""

    __slots__ = ("_clock", "_idle", "_lock", "_not_before")

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}
        self._not_before = {}
        self._lock = threading.Lock()

    def take(self, address, idle_s=IDLE_LIMIT_S):
        """Return a connection to an address idle for at most `idle_s`, or None."""
        while True:
            connection = self._pop(address, self._clock.now() - idle_s)
            if connection is None or self._is_usable(connection):
                return connection
            connection.close()

    def put(self, connection):
        """Keep a connection whose last exchange is complete."""
        connection.used_at = self._clock.now()
        self._keep_or_close(connection)

    def _keep_or_close(self, connection):
        with self._lock:
            connections = self._idle.setdefault(connection.address, [])
            surplus = self._add(connections, connection)
        if surplus is not None:
            surplus.close()

    def purge(self, address):
        """Drop all connections to an address that were opened before now."""
        self.distrust(address, self._clock.now())

    def distrust(self, address, opened_before):
        """Drop connections to an address opened before a time; later calls add up.

        Args:
            address: Address of the backend server.
            opened_before: Monotonic seconds.
        """
        with self._lock:
            if opened_before <= self._not_before.get(address, 0.0):
                return
            self._not_before[address] = opened_before
            connections = self._idle.pop(address, [])
        for connection in connections:
            self._keep_or_close(connection)

    def has_kept(self, address):
        """Return whether there is a kept connection to an address."""
        return bool(self._idle.get(address))

    def may_suspect(self, connection):
        """Return whether a silent connection may be blamed rather than its server.

        After a purge the connections opened since then are trusted for a while,
        so that a slow server is not taken for a series of dead connections.
        """
        with self._lock:
            purged_at = self._not_before.get(connection.address)
        if purged_at is None or connection.opened_at <= purged_at:
            return True
        return self._clock.now() - purged_at > SUSPICION_INTERVAL_S

    def retain(self, addresses):
        """Drop connections to all addresses but these."""
        with self._lock:
            gone = [key for key in self._idle if key not in addresses]
            dropped = [item for key in gone for item in self._idle.pop(key)]
            for key in [key for key in self._not_before if key not in addresses]:
                del self._not_before[key]
        for connection in dropped:
            connection.close()

    def _add(self, connections, connection):
        if self._is_purged(connection):
            return connection
        connections.append(connection)
        return connections.pop(0) if len(connections) > KEPT_PER_ADDRESS else None

    def _pop(self, address, used_since):
        with self._lock:
            connections = self._idle.get(address)
            if not connections or connections[-1].used_at < used_since:
                return None
            return connections.pop()

    def _is_purged(self, connection):
        limit = self._not_before.get(connection.address)
        return limit is not None and connection.opened_at <= limit

    def _is_usable(self, connection):
        if connection.sock is None:
            return False
        # An idle connection that can be read was closed, or holds bytes that
        # belong to no request of ours.
        return not urllib3.util.wait_for_read(connection.sock, timeout=0.0)


def has_excess(sock, file):
    """Return whether bytes are waiting in a response's buffer or socket."""
    timeout = sock.gettimeout()
    try:
        sock.setblocking(False)
        return bool(file.peek(1))
    except (OSError, ValueError):
        return False
    finally:
        restore_timeout(sock, timeout)


def restore_timeout(sock, timeout):
    """Set a socket's time-out again; a closed socket is left as it is."""
    if sock.fileno() != -1:
        sock.settimeout(timeout)
