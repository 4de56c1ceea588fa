"""Inbound connections.

Keeps the connections of an HTTP server: idle ones in a selector, the others with
the workers.
"""

import contextlib
import enum
import errno
import itertools
import logging
import select
import selectors
import socket
import threading
import time

log = logging.getLogger("persimmonlane.serving")

ACCEPT_PAUSE_S = 0.05
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Input(enum.Enum):
    """What waits in the socket of an idle connection."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


class InboundConnections:
    """The connections of a server, in place of cheroot's `ConnectionManager`.

    A connection is either idle or open. An idle one is in the selector: no byte of
    its next request has been read. An open one is in the workers' queue or with a
    worker. It changes from one to the other under a lock.
    """

    __slots__ = (
        "_server",
        "_lock",
        "_selector",
        "_listener",
        "_waker",
        "_woken",
        "_unused",
        "_kept",
        "_open",
        "_stopped",
        "_expire_at",
    )

    def __init__(self, server):
        self._server = server
        self._lock = threading.Lock()
        self._listener = server.socket
        self._listener.setblocking(False)
        self._waker, self._woken = socket.socketpair()
        # Both in the order in which the connections became idle.
        self._unused = {}
        self._kept = {}
        self._open = set()
        self._stopped = False
        self._expire_at = 0.0
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, self._listener)
        self._selector.register(self._woken, selectors.EVENT_READ, self._woken)

    @property
    def can_add_keepalive_connection(self):
        """Whether one more connection may be kept after its answer."""
        return len(self._kept) < self._server.keep_alive_conn_limit

    def run(self, interval_s):
        """Hand connections with requests to the workers until `stop` is called.

        Args:
            interval_s: Seconds between two searches for connections that were idle
                for too long.
        """
        while not self._stopped:
            for key, _ in self._selector.select(interval_s):
                self._handle(key.data)
            if time.monotonic() >= self._expire_at:
                self._close_expired()
                self._server.requests.grow()
                self._expire_at = time.monotonic() + interval_s
        self._release()

    def put(self, conn):
        """Make an open connection idle after an answer.

        Returns:
            Whether its next request has already come, so that it stays open.
        """
        conn.socket.settimeout(0)
        if conn.rfile.has_data():
            return True
        with self._lock:
            if not self._stopped:
                self._register(conn, self._kept)
                self._open.discard(conn)
                return False
        self.finish(conn)
        return False

    def finish(self, conn):
        """Close an open connection."""
        with contextlib.suppress(OSError):
            conn.close()
        with self._lock:
            self._open.discard(conn)

    def count_active(self):
        """Return how many connections have a request that is not finished.

        A connection counts from the moment at which a byte of a request is in its
        socket's buffer until its answer is in the socket's buffer or it is closed:
        while it waits for a worker, is read, served or written. It is counted in each
        state and between them, as it moves under the lock that is held here. Not
        counted are idle connections without a byte, and those that the kernel has not
        handed over yet; after `stop_accepting` there are none of the latter.
        """
        with self._lock:
            return len(self._open) + self._count_begun()

    def stop_accepting(self):
        """Take the connections that wait, then refuse new ones."""
        with self._lock:
            if self._listener is None:
                return
            ready, _ = self._accept_waiting()
            self._close_listener()
        for conn in ready:
            self._server.requests.put(conn)

    def close_idle(self):
        """Close kept connections on which no byte waits; unused ones stay."""
        with self._lock:
            for conn in list(self._kept):
                self._close_silent(conn)

    def stop(self):
        """End `run`, close the listener and all idle connections.

        Open connections go on, and are closed after their answers.
        """
        with self._lock:
            self._stopped = True
            if self._listener is not None:
                self._close_listener()
            for conn in [*self._unused, *self._kept]:
                self._close(conn)
            self._waker.send(b"x")

    def _release(self):
        with self._lock:
            self._selector.close()
            self._waker.close()
            self._woken.close()

    def _count_begun(self):
        """Return on how many idle connections a byte waits."""
        poll = select.poll()
        conns = {}
        for conn in itertools.chain(self._unused, self._kept):
            conns[conn.socket.fileno()] = conn
            poll.register(conn.socket, select.POLLIN)
        events = poll.poll(0)
        return sum(look(conns[number]) is Input.BYTES for number, _ in events)

    def _close_listener(self):
        self._selector.unregister(self._listener)
        self._listener.close()
        self._listener = None

    def _handle(self, source):
        if source is self._listener:
            self._accept()
        elif source is not self._woken:
            self._take(source)

    def _accept(self):
        with self._lock:
            if self._listener is None:
                return
            ready, error = self._accept_waiting()
        for conn in ready:
            self._server.requests.put(conn)
        if error is not None:
            log.error("Serving: no connection can be accepted: %s.", error)
            time.sleep(ACCEPT_PAUSE_S)

    def _accept_waiting(self):
        """Accept what waits; return those with bytes and the error that ended it."""
        ready = []
        while True:
            try:
                sock, address = self._listener.accept()
            except BlockingIOError:
                return ready, None
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno in NO_ROOM and self._close_oldest():
                    continue
                return ready, error
            if conn := self._add(sock, address):
                ready.append(conn)

    def _add(self, sock, address):
        """Add a new connection; return it if a request has already come."""
        sock.setblocking(False)
        conn = self._server.ConnectionClass(self._server, sock)
        conn.remote_addr, conn.remote_port = address[:2]
        if look(conn) is Input.BYTES:
            self._open.add(conn)
            return conn
        if len(self._unused) >= self._server.keep_alive_conn_limit:
            self._close_oldest()
        self._register(conn, self._unused)
        return None

    def _take(self, conn):
        """Hand an idle connection to the workers if a request has come."""
        with self._lock:
            # It may have been closed, or its descriptor used again, since the select.
            if conn not in self._unused and conn not in self._kept:
                return
            found = look(conn)
            if found is Input.NOTHING:
                return
            if found is Input.END:
                self._close(conn)
                return
            self._unregister(conn)
            self._open.add(conn)
        self._server.requests.put(conn)

    def _close_expired(self):
        """Close connections that were idle for too long."""
        limit = time.monotonic() - self._server.timeout
        with self._lock:
            for conns in (self._unused, self._kept):
                expired = itertools.takewhile(lambda c: c.last_used < limit, conns)
                for conn in list(expired):
                    self._close_silent(conn)

    def _close_oldest(self):
        """Close the connection that is idle for longest; return whether one was."""
        for conn in itertools.chain(self._unused, self._kept):
            if self._close_silent(conn):
                return True
        return False

    def _close_silent(self, conn):
        """Close an idle connection on which no byte waits; return whether it was."""
        if look(conn) is Input.BYTES:
            return False
        self._close(conn)
        return True

    def _close(self, conn):
        self._unregister(conn)
        with contextlib.suppress(OSError):
            conn.close()

    def _register(self, conn, conns):
        self._selector.register(conn.socket, selectors.EVENT_READ, conn)
        conn.last_used = time.monotonic()
        conns[conn] = None

    def _unregister(self, conn):
        self._selector.unregister(conn.socket)
        self._unused.pop(conn, None)
        self._kept.pop(conn, None)


def look(conn):
    """Return the `Input` of an idle connection, whose socket does not block."""
    try:
        data = conn.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return Input.NOTHING
    except OSError:
        return Input.END
    return Input.BYTES if data else Input.END
