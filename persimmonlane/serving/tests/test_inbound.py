import array
import fcntl
import select
import socket
import termios
import threading
import time

import cheroot.server
import testtools

from ..servers import NodeHTTPServer
from ..stalls import MIN_STALL_S

TIMEOUT_S = 30.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
GATED = b"GET /gated HTTP/1.1\r\nHost: x\r\n\r\n"


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.005)
    return False


def is_closed(sock):
    """Return whether the peer closed the connection, with or without a reset."""
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except ConnectionResetError:
        return True


def receive_status(sock, one_answer_only=False):
    """Return the status of an answer, or None if the connection is closed before it.

    Args:
        sock: The client's socket.
        one_answer_only: Whether bytes after the answer are left unread.
    """
    data = b""
    while b"\r\n\r\nok" not in data:
        try:
            piece = sock.recv(1 if one_answer_only else 65536)
        except ConnectionResetError:
            return None
        if not piece:
            return None
        data += piece
    return int(data.split(b" ")[1])


def has_delivered(sock):
    """Return whether the peer's kernel has acknowledged all sent bytes."""
    unsent = array.array("i", [0])
    fcntl.ioctl(sock, termios.TIOCOUTQ, unsent)
    return unsent[0] == 0


def send_and_await_delivery(sock, data):
    """Send bytes and wait until they are in the peer's receive buffer."""
    sock.sendall(data)
    while not has_delivered(sock):
        time.sleep(0.0001)


class ServerTestCase(testtools.TestCase):
    """Base of tests with a server whose /gated requests block until `gate` is set."""

    def setUp(self):
        super().setUp()
        self.gate = threading.Event()
        self.running = threading.Semaphore(0)
        self.started = []
        self.finished = []
        self.readable_while_gated = []

    def start_server(self, threads):
        server = NodeHTTPServer("127.0.0.1:0", self.build_gateway, threads)
        server.timeout = TIMEOUT_S
        server.header_timeout_s = TIMEOUT_S
        server.start_in_background()
        self.addCleanup(server.stop)
        self.addCleanup(self.gate.set)
        return server

    def build_gateway(self, request):
        gateway = cheroot.server.Gateway(request)
        gateway.respond = lambda: self.respond(request)
        return gateway

    def respond(self, request):
        self.started.append(request.uri)
        self.running.release()
        if request.uri == b"/gated":
            self.gate.wait(TIMEOUT_S)
            if (
                request.conn.socket
                in select.select([request.conn.socket], [], [], 0)[0]
            ):
                self.readable_while_gated.append(request.uri)
        request.status = b"200 OK"
        request.outheaders = [(b"Content-Length", b"2")]
        request.ensure_headers_sent()
        request.write(b"ok")
        self.finished.append(request.uri)

    def connect(self, server, data=b""):
        sock = socket.create_connection(server.bind_addr, TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock


class IdleTests(ServerTestCase):
    """Idle connections, and how they become active."""

    def test_idle_connections_occupy_no_worker(self):
        server = self.start_server(2)
        for _ in range(20):
            self.connect(server)
        self.assertEqual(200, receive_status(self.connect(server, REQUEST)))

    def test_idle_connections_serve_a_later_request(self):
        server = self.start_server(2)
        socks = [self.connect(server) for _ in range(20)]
        for sock in socks:
            sock.sendall(REQUEST)
            self.assertEqual(200, receive_status(sock))

    def test_request_that_arrives_byte_by_byte_is_served(self):
        sock = self.connect(self.start_server(1), REQUEST[:1])
        for number in range(1, len(REQUEST)):
            sock.sendall(REQUEST[number : number + 1])
        self.assertEqual(200, receive_status(sock))

    def test_idle_connections_are_closed_after_the_timeout(self):
        server = self.start_server(1)
        unused = self.connect(server)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(kept))
        server.timeout = 0.01
        self.assertTrue(is_closed(unused))
        self.assertTrue(is_closed(kept))

    def test_keep_alive_connections_serve_successive_requests(self):
        server = self.start_server(2)
        socks = [self.connect(server) for _ in range(5)]
        for _ in range(20):
            for sock in socks:
                sock.sendall(REQUEST)
            for sock in socks:
                self.assertEqual(200, receive_status(sock))
        self.assertEqual(100, len(self.started))

    def test_pipelined_requests_are_all_served(self):
        server = self.start_server(2)
        sock = self.connect(server, REQUEST * 5)
        self.assertTrue(wait_until(lambda: len(self.started) == 5))
        data = b""
        while data.count(b"200 OK") < 5:
            data += sock.recv(65536)

    def test_closed_connection_occupies_no_worker(self):
        server = self.start_server(1)
        self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=TIMEOUT_S))
        for _ in range(5):
            sock = self.connect(server)
            sock.shutdown(socket.SHUT_WR)
            self.assertTrue(is_closed(sock))

    def test_idle_connections_beyond_the_limit_are_closed_oldest_first(self):
        server = self.start_server(2)
        server.keep_alive_conn_limit = 4
        socks = [self.connect(server) for _ in range(10)]
        # The oldest connections are closed to make room for the newest.
        for sock in socks[:6]:
            self.assertTrue(is_closed(sock))
        for _ in range(3):
            for sock in socks[6:]:
                sock.sendall(REQUEST)
                self.assertEqual(200, receive_status(sock))
        readable, _, _ = select.select(socks[6:], [], [], 0)
        self.assertEqual([], readable)

    def test_connection_beyond_the_keep_alive_limit_is_closed(self):
        server = self.start_server(2)
        server.keep_alive_conn_limit = 2
        for _ in range(3):
            sock = self.connect(server, REQUEST)
            self.assertEqual(200, receive_status(sock))
            self.assertTrue(wait_until(lambda: server.count_active() == 0))
        self.assertTrue(is_closed(sock))


class PressureTests(ServerTestCase):
    """Guards against connections that use up the descriptors or the workers."""

    def test_connections_beyond_the_limit_replace_the_oldest_idle_ones(self):
        server = self.start_server(2)
        server.max_connections = 4
        socks = [self.connect(server) for _ in range(10)]
        for sock in socks[:6]:
            self.assertTrue(is_closed(sock))
        socks[-1].sendall(REQUEST)
        self.assertEqual(200, receive_status(socks[-1]))

    def test_half_heads_beyond_the_limit_wait_and_requests_are_served(self):
        server = self.start_server(2)
        server.max_connections = 4
        server.header_timeout_s = TIMEOUT_S
        for _ in range(10):
            self.connect(server, REQUEST[:-2])
        sock = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(sock))

    def test_half_heads_are_left_alone_while_workers_are_free(self):
        server = self.start_server(2)
        server.header_timeout_s = TIMEOUT_S
        slow = self.connect(server, REQUEST[:-2])
        # Longer than a transfer is left alone under pressure.
        time.sleep(2 * MIN_STALL_S)
        self.assertEqual(200, receive_status(self.connect(server, REQUEST)))
        slow.sendall(REQUEST[-2:])
        self.assertEqual(200, receive_status(slow))


class BlockingPool:
    """Wraps a pool; blocks the thread that puts the first connection until `gate`."""

    def __init__(self, pool):
        self.pool = pool
        self.entered = threading.Event()
        self.gate = threading.Event()

    def put(self, conn):
        if not self.entered.is_set():
            self.entered.set()
            self.gate.wait(TIMEOUT_S)
        self.pool.put(conn)

    def __getattr__(self, name):
        return getattr(self.pool, name)


class BlockedSelectorTests(ServerTestCase):
    """Requests that arrive while the selector's thread is blocked."""

    def setUp(self):
        super().setUp()
        self.server = self.start_server(4)
        self.unused = self.connect(self.server)
        socks = [self.connect(self.server, REQUEST) for _ in range(3)]
        for sock in socks:
            self.assertEqual(200, receive_status(sock))
        self.first, self.kept, self.idle = socks
        self.assertTrue(wait_until(lambda: self.server.count_active() == 0))
        self.server.requests = self.pool = BlockingPool(self.server.requests)
        self.addCleanup(self.pool.gate.set)
        self.first.sendall(REQUEST)
        self.assertTrue(self.pool.entered.wait(TIMEOUT_S))

    def test_request_counts_before_it_is_dispatched(self):
        self.assertEqual(1, self.server.count_active())
        send_and_await_delivery(self.kept, REQUEST)
        self.assertEqual(2, self.server.count_active())
        send_and_await_delivery(self.unused, REQUEST[:1])
        self.assertEqual(3, self.server.count_active())
        self.pool.gate.set()
        self.unused.sendall(REQUEST[1:])
        for sock in (self.first, self.kept, self.unused):
            self.assertEqual(200, receive_status(sock))

    def test_close_idle_spares_a_connection_with_a_request(self):
        send_and_await_delivery(self.kept, REQUEST)
        self.server.close_idle()
        self.assertTrue(is_closed(self.idle))
        self.pool.gate.set()
        for sock in (self.first, self.kept):
            self.assertEqual(200, receive_status(sock))

    def test_expiry_does_not_close_a_connection_with_a_request(self):
        send_and_await_delivery(self.kept, REQUEST)
        self.server.timeout = 0.0
        self.pool.gate.set()
        for sock in (self.first, self.kept):
            self.assertEqual(200, receive_status(sock))

    def test_backlog_is_served_after_the_listener_closes(self):
        socks = [self.connect(self.server, REQUEST) for _ in range(3)]
        idle = self.connect(self.server)
        self.server.stop_accepting()
        self.assertRaises(ConnectionRefusedError, self.connect, self.server)
        for sock in socks:
            self.assertEqual(200, receive_status(sock))
        self.pool.gate.set()
        idle.sendall(REQUEST)
        for sock in (idle, self.first):
            self.assertEqual(200, receive_status(sock))


class CountTests(ServerTestCase):
    """The number of active connections."""

    def test_idle_connections_are_not_counted(self):
        server = self.start_server(2)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(kept))
        unused = self.connect(server)
        self.assertTrue(wait_until(lambda: server.count_active() == 0))
        for sock in (kept, unused):
            sock.sendall(REQUEST)
            self.assertEqual(200, receive_status(sock))
            self.assertTrue(wait_until(lambda: server.count_active() == 0))

    def test_closed_connection_is_not_counted(self):
        server = self.start_server(2)
        sock = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(sock))
        sock.shutdown(socket.SHUT_WR)
        self.assertTrue(is_closed(sock))
        self.assertEqual(0, server.count_active())

    def test_requests_count_while_they_are_read_served_and_queued(self):
        server = self.start_server(2)
        reading = self.connect(server, REQUEST[:1])
        self.assertTrue(wait_until(lambda: server.count_active() == 1))
        served = self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=TIMEOUT_S))
        self.assertEqual(2, server.count_active())
        queued = [self.connect(server, REQUEST) for _ in range(3)]
        self.assertTrue(wait_until(lambda: server.count_active() == 5))
        reading.sendall(REQUEST[1:])
        self.assertEqual(200, receive_status(reading))
        self.gate.set()
        for sock in (served, *queued):
            self.assertEqual(200, receive_status(sock))
        self.assertTrue(wait_until(lambda: server.count_active() == 0))

    def test_delivered_request_counts_until_it_is_answered(self):
        server = self.start_server(3)
        for _ in range(10):
            self.assertEqual(200, receive_status(self.connect(server, REQUEST)))
        sock = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(sock))
        for number in range(500):
            self.assertTrue(wait_until(lambda: server.count_active() == 0))
            del self.finished[:]
            pipelined = 1 + number % 2
            send_and_await_delivery(sock, REQUEST * pipelined)
            while server.count_active():
                pass
            self.assertEqual(pipelined, len(self.finished))
            for _ in range(pipelined):
                self.assertEqual(200, receive_status(sock, one_answer_only=True))


class StopTests(ServerTestCase):
    """Stopping a server while requests are in flight."""

    def test_new_connections_are_refused_while_existing_ones_are_served(self):
        server = self.start_server(2)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(kept))
        unused = self.connect(server)
        served = self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=TIMEOUT_S))
        server.stop_accepting()
        self.assertRaises(ConnectionRefusedError, self.connect, server)
        server.stop_accepting()
        for sock in (kept, unused):
            sock.sendall(REQUEST)
            self.assertEqual(200, receive_status(sock))
        self.gate.set()
        self.assertEqual(200, receive_status(served))

    def test_connection_made_before_the_listener_closes_is_served(self):
        for _ in range(30):
            server = self.start_server(2)
            socks = [self.connect(server, REQUEST) for _ in range(3)]
            server.stop_accepting()
            for sock in socks:
                self.assertEqual(200, receive_status(sock))

    def test_close_idle_closes_kept_connections_but_not_unused_ones(self):
        server = self.start_server(2)
        kept = self.connect(server, REQUEST)
        unused = self.connect(server)
        self.assertEqual(200, receive_status(kept))
        self.assertTrue(wait_until(lambda: server.count_active() == 0))
        server.close_idle()
        self.assertTrue(is_closed(kept))
        unused.sendall(REQUEST)
        self.assertEqual(200, receive_status(unused))

    def test_delivered_request_is_served_despite_close_idle(self):
        server = self.start_server(2)
        for _ in range(200):
            sock = self.connect(server, REQUEST)
            self.assertEqual(200, receive_status(sock))
            send_and_await_delivery(sock, REQUEST)
            server.close_idle()
            self.assertEqual(200, receive_status(sock))

    def test_request_in_flight_is_answered_after_stop(self):
        server = self.start_server(3)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive_status(kept))
        self.assertTrue(self.running.acquire(timeout=TIMEOUT_S))
        served = self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=TIMEOUT_S))
        stopper = threading.Thread(target=server.stop, daemon=True)
        stopper.start()
        stopper.join(TIMEOUT_S)
        self.assertFalse(stopper.is_alive())
        self.assertTrue(is_closed(kept))
        self.assertRaises(ConnectionRefusedError, self.connect, server)
        self.assertEqual(1, server.count_active())
        self.gate.set()
        self.assertEqual(200, receive_status(served))
        self.assertTrue(is_closed(served))
        self.assertTrue(wait_until(lambda: server.count_active() == 0))
        self.assertEqual([], self.readable_while_gated)

    def test_stop_ends_all_threads(self):
        server = self.start_server(3)
        self.assertEqual(200, receive_status(self.connect(server, REQUEST)))
        server.stop()
        self.assertTrue(wait_until(lambda: server.requests.size == 0))
        server.stop()
