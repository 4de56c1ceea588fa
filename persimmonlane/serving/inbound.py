"""Inbound connections.

The connection manager of an HTTP server. Idle connections are watched by a selector;
connections with a request are in the worker pool.
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

from .arrivals import ArrivalQueue

log = logging.getLogger("persimmonlane.serving")

# Pause after a failed accept, so that a lasting error causes no busy loop.
ACCEPT_PAUSE_S = 0.05
ACCEPT_LOG_INTERVAL_S = 5.0
ARRIVAL_CHECK_INTERVAL_S = 0.05
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class PeekResult(enum.Enum):
    """What a read from an idle connection's socket would return.

    Attributes:
        NOTHING: No data yet.
        BYTES: Data.
        END: End of the stream, or an error.
    """

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


class ConnectionLimitError(OSError):
    """As many connections are open as the process may have."""


class InboundConnections:
    """The connections of a server; replaces cheroot's `ConnectionManager`.

    A connection is either idle or active. An idle one is registered with the selector,
    and no byte of its next request has been read. It is unused before its first
    request and kept alive between requests. An active one is in the workers' queue or
    handled by a worker; or it takes no worker, while its request still arrives or its
    answer is sent as the caller reads it. The state changes only under the lock.
    """

    __slots__ = (
        "_server",
        "_lock",
        "_selector",
        "_listener",
        "_wake_sender",
        "_wake_receiver",
        "_unused",
        "_keep_alive",
        "_active",
        "_answering",
        "_arriving",
        "_stopped",
        "_next_expiry_at",
        "_next_accept_log_at",
    )

    def __init__(self, server):
        self._server = server
        self._lock = threading.RLock()
        self._listener = server.socket
        self._listener.setblocking(False)
        self._wake_sender, self._wake_receiver = socket.socketpair()
        # Idle connections before their first request and between requests; both dicts
        # are in the order in which the connections became idle.
        self._unused = {}
        self._keep_alive = {}
        self._active = set()
        # Active connections whose answers are being sent, each with whether it is kept
        # alive afterwards.
        self._answering = {}
        # Active connections whose requests get no worker yet.
        self._arriving = ArrivalQueue(server, self.finish)
        self._stopped = False
        self._next_expiry_at = 0.0
        self._next_accept_log_at = float("-inf")
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, self._listener)
        self._selector.register(
            self._wake_receiver, selectors.EVENT_READ, self._wake_receiver
        )

    @property
    def can_add_keepalive_connection(self):
        """Whether one more connection may be kept alive after its answer."""
        return len(self._keep_alive) < self._server.keep_alive_conn_limit

    def run(self, interval_s):
        """Dispatch connections with requests to the workers until `stop` is called.

        Args:
            interval_s: Seconds between two checks for connections whose idle timeout
                has passed.
        """
        while not self._stopped:
            timeout_s = ARRIVAL_CHECK_INTERVAL_S if self._arriving else interval_s
            for key, _ in self._selector.select(timeout_s):
                self._handle(key.data)
            self._arriving.check()
            if time.monotonic() >= self._next_expiry_at:
                self._close_expired()
                self._server.requests.grow()
                self._relieve_workers()
                self._next_expiry_at = time.monotonic() + interval_s
        self._close_selector()

    def put(self, conn):
        """Make an active connection idle after an answer.

        Returns:
            Whether its next request has begun to arrive and may have the worker.
        """
        conn.socket.settimeout(0)
        if first := conn.rfile.peek_arrived():
            return self._stopped or self._arriving.admit(conn, first)
        with self._lock:
            if not self._stopped:
                self._register(conn, self._keep_alive)
                self._active.discard(conn)
                return False
        self.finish(conn)
        return False

    def finish_answer(self, conn, is_kept):
        """Send the rest of an answer as the caller reads it.

        Args:
            conn: An active connection.
            is_kept: Whether it is kept alive afterwards.
        """
        conn.transfer.has_worker = False
        with self._lock:
            if not self._stopped:
                conn.last_used = time.monotonic()
                self._answering[conn] = is_kept
                self._selector.register(conn.socket, selectors.EVENT_WRITE, conn)
                return
        self.finish(conn)

    def finish(self, conn):
        """Close an active connection."""
        with contextlib.suppress(OSError):
            conn.close()
        with self._lock:
            self._active.discard(conn)

    def count_open(self):
        """Return the number of open connections."""
        return len(self._active) + len(self._unused) + len(self._keep_alive)

    def count_active(self):
        """Return the number of connections with an unfinished request.

        A connection counts from the arrival of the first byte of a request in its
        socket's receive buffer until the answer is in the send buffer or the connection
        is closed: while it waits for a worker, and while the request is read and served
        and the answer is written. A connection that changes its state is never missed,
        as the lock is held here. Idle connections without data are not counted, nor are
        connections that have not been accepted yet; after `stop_accepting` there are
        none of the latter.
        """
        with self._lock:
            return len(self._active) + self._count_with_data()

    def stop_accepting(self):
        """Accept the connections in the backlog, then close the listener."""
        with self._lock:
            if self._listener is None:
                return
            ready, _ = self._accept_backlog()
            self._close_listener()
        for conn in ready:
            self._server.requests.put(conn)

    def close_idle(self):
        """Close keep-alive connections without unread data; unused ones stay open."""
        with self._lock:
            for conn in list(self._keep_alive):
                self._close_if_no_data(conn)

    def stop(self):
        """End `run`, close the listener and all idle connections.

        Active connections are closed after their answers.
        """
        with self._lock:
            self._stopped = True
            if self._listener is not None:
                self._close_listener()
            for conn in [*self._unused, *self._keep_alive, *self._answering]:
                self._close(conn)
            self._arriving.close()
            self._wake_sender.send(b"x")

    def _close_selector(self):
        with self._lock:
            self._selector.close()
            self._wake_sender.close()
            self._wake_receiver.close()

    def _count_with_data(self):
        """Return the number of idle connections with unread data."""
        poll = select.poll()
        conns = {}
        for conn in itertools.chain(self._unused, self._keep_alive):
            conns[conn.socket.fileno()] = conn
            poll.register(conn.socket, select.POLLIN)
        events = poll.poll(0)
        return sum(peek(conns[number]) is PeekResult.BYTES for number, _ in events)

    def _close_listener(self):
        self._selector.unregister(self._listener)
        self._listener.close()
        self._listener = None

    def _handle(self, source):
        if source is self._listener:
            self._accept()
        elif source in self._answering:
            self._send_pending(source)
        elif source is not self._wake_receiver:
            self._dispatch(source)

    def _accept(self):
        with self._lock:
            if self._listener is None:
                return
            ready, error = self._accept_backlog()
        for conn in ready:
            self._arriving.begin(conn)
        if error is not None:
            self._log_failed_accept(error)
            time.sleep(ACCEPT_PAUSE_S)

    def _log_failed_accept(self, error):
        if time.monotonic() < self._next_accept_log_at:
            return
        self._next_accept_log_at = time.monotonic() + ACCEPT_LOG_INTERVAL_S
        log.error(
            "Serving: accepting a connection failed: %s.",
            error,
            extra={"event": "accept-failed"},
        )

    def _accept_backlog(self):
        """Accept all connections in the backlog.

        Returns:
            The connections on which a request has begun to arrive, and the error that
            stopped accepting, or None.
        """
        ready = []
        while True:
            if not self._make_room():
                limit = self._server.max_connections
                return ready, ConnectionLimitError(
                    f"the limit of {limit} open connections is reached"
                )
            try:
                sock, address = self._listener.accept()
            except BlockingIOError:
                return ready, None
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno in RESOURCE_ERRNOS and self._close_oldest():
                    continue
                return ready, error
            if conn := self._add(sock, address):
                ready.append(conn)

    def _make_room(self):
        """Return whether one more connection may be open; close an idle one if need be.

        Others stay in the backlog meanwhile.
        """
        if self.count_open() < self._server.max_connections:
            return True
        return self._close_oldest() or self._arriving.refuse_stalled()

    def _relieve_workers(self):
        """Close stalled connections while requests wait for a worker in vain."""
        requests = self._server.requests
        waiting = self._arriving.count_long()
        if requests.size >= requests.max:
            waiting += requests.qsize
        for _ in range(waiting):
            if not self._server.stalls.close_longest(group=self._server):
                return

    def _add(self, sock, address):
        """Add a new connection; return it if a request has begun to arrive."""
        sock.setblocking(False)
        conn = self._server.ConnectionClass(self._server, sock)
        conn.remote_addr, conn.remote_port = address[:2]
        if peek(conn) is PeekResult.BYTES:
            self._active.add(conn)
            return conn
        if len(self._unused) >= self._server.keep_alive_conn_limit:
            self._close_oldest()
        self._register(conn, self._unused)
        return None

    def _dispatch(self, conn):
        """Hand an idle connection to the workers if a request has begun to arrive."""
        with self._lock:
            # Since the select it may have been closed, and its descriptor reused.
            if conn not in self._unused and conn not in self._keep_alive:
                return
            result = peek(conn)
            if result is PeekResult.NOTHING:
                return
            if result is PeekResult.END:
                self._close(conn)
                return
            self._unregister(conn)
            self._active.add(conn)
        self._arriving.begin(conn)

    def _send_pending(self, conn):
        """Send more of an answer; the connection goes on once it is complete."""
        try:
            conn.wfile.send_pending()
        except OSError as error:
            log.info("Serving: an answer was not sent: %s.", error)
            self._end_answer(conn)
            self.finish(conn)
            return
        conn.last_used = time.monotonic()
        if conn.wfile.is_pending:
            return
        is_kept = self._end_answer(conn)
        conn.transfer.end()
        if not is_kept:
            self.finish(conn)
        elif self.put(conn):
            self._server.requests.put(conn)

    def _end_answer(self, conn):
        """Stop sending an answer; return whether its connection is kept alive."""
        with self._lock:
            if conn not in self._answering:
                return False
            self._selector.unregister(conn.socket)
            return self._answering.pop(conn)

    def _close_expired(self):
        """Close connections that have been idle longer than the server's timeout.

        An answer of which the caller takes nothing for as long is ended.
        """
        limit = time.monotonic() - self._server.timeout
        for conn in [c for c in self._answering if c.last_used < limit]:
            log.info("Serving: the caller did not read its answer.")
            self._end_answer(conn)
            self.finish(conn)
        with self._lock:
            for conns in (self._unused, self._keep_alive):
                expired = itertools.takewhile(lambda c: c.last_used < limit, conns)
                for conn in list(expired):
                    self._close_if_no_data(conn)

    def _close_oldest(self):
        """Close the connection that has been idle longest, unused ones first.

        Returns:
            Whether one was closed.
        """
        for conn in itertools.chain(self._unused, self._keep_alive):
            if self._close_if_no_data(conn):
                return True
        return False

    def _close_if_no_data(self, conn):
        """Close an idle connection if it has no unread data; return whether it was."""
        if peek(conn) is PeekResult.BYTES:
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
        self._keep_alive.pop(conn, None)
        self._answering.pop(conn, None)


def peek(conn):
    """Return the `PeekResult` of an idle connection; its socket is non-blocking."""
    try:
        data = conn.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return PeekResult.NOTHING
    except OSError:
        return PeekResult.END
    return PeekResult.BYTES if data else PeekResult.END
