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

PATIENCE_S = 30.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
GATED = b"GET /gated HTTP/1.1\r\nHost: x\r\n\r\n"


def await_true(question):
    ends = time.monotonic() + PATIENCE_S
    while time.monotonic() < ends:
        if question():
            return True
        time.sleep(0.005)
    return False


def is_closed(sock):
    """Return whether the other end has closed, with or without a reset."""
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except ConnectionResetError:
        return True


def receive(sock, exactly=False):
    """Return the status of one answer, or None if the connection ends before.

    Bytes after the answer stay unread if `exactly` is true.
    """
    data = b""
    while b"\r\n\r\nok" not in data:
        try:
            piece = sock.recv(1 if exactly else 65536)
        except ConnectionResetError:
            return None
        if not piece:
            return None
        data += piece
    return int(data.split(b" ")[1])


def has_delivered(sock):
    """Return whether all that was sent has reached the other end's socket."""
    unsent = array.array("i", [0])
    fcntl.ioctl(sock, termios.TIOCOUTQ, unsent)
    return unsent[0] == 0


def send_whole(sock, data):
    """Send bytes and wait until they are in the other end's buffer."""
    sock.sendall(data)
    while not has_delivered(sock):
        time.sleep(0.0001)


class ServerTestCase(testtools.TestCase):
    """Base of tests on a server whose requests for /gated wait for a gate."""

    def setUp(self):
        super().setUp()
        self.gate = threading.Event()
        self.running = threading.Semaphore(0)
        self.taken = []
        self.finished = []
        self.ended = []

    def start_server(self, threads):
        server = NodeHTTPServer("127.0.0.1:0", self.build_gateway, threads)
        server.timeout = PATIENCE_S
        server.header_timeout_s = PATIENCE_S
        server.start_in_background()
        self.addCleanup(server.stop)
        self.addCleanup(self.gate.set)
        return server

    def build_gateway(self, request):
        gateway = cheroot.server.Gateway(request)
        gateway.respond = lambda: self.respond(request)
        return gateway

    def respond(self, request):
        self.taken.append(request.uri)
        self.running.release()
        if request.uri == b"/gated":
            self.gate.wait(PATIENCE_S)
            if (
                request.conn.socket
                in select.select([request.conn.socket], [], [], 0)[0]
            ):
                self.ended.append(request.uri)
        request.status = b"200 OK"
        request.outheaders = [(b"Content-Length", b"2")]
        request.ensure_headers_sent()
        request.write(b"ok")
        self.finished.append(request.uri)

    def connect(self, server, data=b""):
        sock = socket.create_connection(server.bind_addr, PATIENCE_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock


class IdleTests(ServerTestCase):
    """Connections on which no request has come."""

    def test_silent_connections_hold_no_worker(self):
        server = self.start_server(2)
        for _ in range(20):
            self.connect(server)
        self.assertEqual(200, receive(self.connect(server, REQUEST)))

    def test_request_is_served_on_a_connection_that_was_silent(self):
        server = self.start_server(2)
        socks = [self.connect(server) for _ in range(20)]
        for sock in socks:
            sock.sendall(REQUEST)
            self.assertEqual(200, receive(sock))

    def test_request_in_pieces_is_served(self):
        sock = self.connect(self.start_server(1), REQUEST[:1])
        for number in range(1, len(REQUEST)):
            sock.sendall(REQUEST[number : number + 1])
        self.assertEqual(200, receive(sock))

    def test_silent_connections_are_closed_after_the_idle_timeout(self):
        server = self.start_server(1)
        unused = self.connect(server)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive(kept))
        server.timeout = 0.01
        self.assertTrue(is_closed(unused))
        self.assertTrue(is_closed(kept))

    def test_kept_connections_serve_one_request_after_another(self):
        server = self.start_server(2)
        socks = [self.connect(server) for _ in range(5)]
        for _ in range(20):
            for sock in socks:
                sock.sendall(REQUEST)
            for sock in socks:
                self.assertEqual(200, receive(sock))
        self.assertEqual(100, len(self.taken))

    def test_requests_in_one_go_are_all_served(self):
        server = self.start_server(2)
        sock = self.connect(server, REQUEST * 5)
        self.assertTrue(await_true(lambda: len(self.taken) == 5))
        data = b""
        while data.count(b"200 OK") < 5:
            data += sock.recv(65536)

    def test_connection_that_ends_takes_no_worker(self):
        server = self.start_server(1)
        self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=PATIENCE_S))
        for _ in range(5):
            sock = self.connect(server)
            sock.shutdown(socket.SHUT_WR)
            self.assertTrue(is_closed(sock))

    def test_most_silent_connections_leave_room_for_kept_ones(self):
        server = self.start_server(2)
        server.keep_alive_conn_limit = 4
        socks = [self.connect(server) for _ in range(10)]
        # The ones that came first are closed in favour of those that came last.
        for sock in socks[:6]:
            self.assertTrue(is_closed(sock))
        for _ in range(3):
            for sock in socks[6:]:
                sock.sendall(REQUEST)
                self.assertEqual(200, receive(sock))
        readable, _, _ = select.select(socks[6:], [], [], 0)
        self.assertEqual([], readable)

    def test_answer_beyond_the_most_kept_connections_closes(self):
        server = self.start_server(2)
        server.keep_alive_conn_limit = 2
        for _ in range(3):
            sock = self.connect(server, REQUEST)
            self.assertEqual(200, receive(sock))
            self.assertTrue(await_true(lambda: server.count_active() == 0))
        self.assertTrue(is_closed(sock))


class HeldPool:
    """Holds the thread that hands the first connection over until a gate opens."""

    def __init__(self, pool):
        self.pool = pool
        self.entered = threading.Event()
        self.gate = threading.Event()

    def put(self, conn):
        if not self.entered.is_set():
            self.entered.set()
            self.gate.wait(PATIENCE_S)
        self.pool.put(conn)

    def __getattr__(self, name):
        return getattr(self.pool, name)


class HeldTests(ServerTestCase):
    """What comes while the thread of the selector is held up."""

    def setUp(self):
        super().setUp()
        self.server = self.start_server(4)
        self.unused = self.connect(self.server)
        socks = [self.connect(self.server, REQUEST) for _ in range(3)]
        for sock in socks:
            self.assertEqual(200, receive(sock))
        self.first, self.kept, self.silent = socks
        self.assertTrue(await_true(lambda: self.server.count_active() == 0))
        self.server.requests = self.pool = HeldPool(self.server.requests)
        self.addCleanup(self.pool.gate.set)
        self.first.sendall(REQUEST)
        self.assertTrue(self.pool.entered.wait(PATIENCE_S))

    def test_request_counts_before_a_worker_can_have_it(self):
        self.assertEqual(1, self.server.count_active())
        send_whole(self.kept, REQUEST)
        self.assertEqual(2, self.server.count_active())
        send_whole(self.unused, REQUEST[:1])
        self.assertEqual(3, self.server.count_active())
        self.pool.gate.set()
        self.unused.sendall(REQUEST[1:])
        for sock in (self.first, self.kept, self.unused):
            self.assertEqual(200, receive(sock))

    def test_kept_connection_with_a_request_is_not_closed(self):
        send_whole(self.kept, REQUEST)
        self.server.close_idle()
        self.assertTrue(is_closed(self.silent))
        self.pool.gate.set()
        for sock in (self.first, self.kept):
            self.assertEqual(200, receive(sock))

    def test_expiry_does_not_close_a_connection_with_a_request(self):
        send_whole(self.kept, REQUEST)
        self.server.timeout = 0.0
        self.pool.gate.set()
        for sock in (self.first, self.kept):
            self.assertEqual(200, receive(sock))

    def test_connections_that_wait_are_served_after_the_listener_closes(self):
        socks = [self.connect(self.server, REQUEST) for _ in range(3)]
        silent = self.connect(self.server)
        self.server.stop_accepting()
        self.assertRaises(ConnectionRefusedError, self.connect, self.server)
        for sock in socks:
            self.assertEqual(200, receive(sock))
        self.pool.gate.set()
        silent.sendall(REQUEST)
        for sock in (silent, self.first):
            self.assertEqual(200, receive(sock))


class CountTests(ServerTestCase):
    """Count of the connections with a request."""

    def test_idle_connections_are_not_counted(self):
        server = self.start_server(2)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive(kept))
        unused = self.connect(server)
        self.assertTrue(await_true(lambda: server.count_active() == 0))
        for sock in (kept, unused):
            sock.sendall(REQUEST)
            self.assertEqual(200, receive(sock))
            self.assertTrue(await_true(lambda: server.count_active() == 0))

    def test_ended_connection_is_not_counted(self):
        server = self.start_server(2)
        sock = self.connect(server, REQUEST)
        self.assertEqual(200, receive(sock))
        sock.shutdown(socket.SHUT_WR)
        self.assertTrue(is_closed(sock))
        self.assertEqual(0, server.count_active())

    def test_requests_count_while_they_are_read_served_and_queued(self):
        server = self.start_server(2)
        reading = self.connect(server, REQUEST[:1])
        self.assertTrue(await_true(lambda: server.count_active() == 1))
        served = self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=PATIENCE_S))
        self.assertEqual(2, server.count_active())
        queued = [self.connect(server, REQUEST) for _ in range(3)]
        self.assertTrue(await_true(lambda: server.count_active() == 5))
        reading.sendall(REQUEST[1:])
        self.assertEqual(200, receive(reading))
        self.gate.set()
        for sock in (served, *queued):
            self.assertEqual(200, receive(sock))
        self.assertTrue(await_true(lambda: server.count_active() == 0))

    def test_request_that_was_delivered_counts_until_it_is_answered(self):
        server = self.start_server(3)
        for _ in range(10):
            self.assertEqual(200, receive(self.connect(server, REQUEST)))
        sock = self.connect(server, REQUEST)
        self.assertEqual(200, receive(sock))
        for number in range(500):
            self.assertTrue(await_true(lambda: server.count_active() == 0))
            del self.finished[:]
            pipelined = 1 + number % 2
            send_whole(sock, REQUEST * pipelined)
            while server.count_active():
                pass
            self.assertEqual(pipelined, len(self.finished))
            for _ in range(pipelined):
                self.assertEqual(200, receive(sock, exactly=True))


class StopTests(ServerTestCase):
    """Ways to stop a server while requests run."""

    def test_new_connections_are_refused_while_others_go_on(self):
        server = self.start_server(2)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive(kept))
        unused = self.connect(server)
        served = self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=PATIENCE_S))
        server.stop_accepting()
        self.assertRaises(ConnectionRefusedError, self.connect, server)
        server.stop_accepting()
        for sock in (kept, unused):
            sock.sendall(REQUEST)
            self.assertEqual(200, receive(sock))
        self.gate.set()
        self.assertEqual(200, receive(served))

    def test_connection_that_was_made_before_is_served(self):
        for _ in range(30):
            server = self.start_server(2)
            socks = [self.connect(server, REQUEST) for _ in range(3)]
            server.stop_accepting()
            for sock in socks:
                self.assertEqual(200, receive(sock))

    def test_kept_connections_are_closed_and_unused_ones_stay(self):
        server = self.start_server(2)
        kept = self.connect(server, REQUEST)
        unused = self.connect(server)
        self.assertEqual(200, receive(kept))
        self.assertTrue(await_true(lambda: server.count_active() == 0))
        server.close_idle()
        self.assertTrue(is_closed(kept))
        unused.sendall(REQUEST)
        self.assertEqual(200, receive(unused))

    def test_request_that_was_delivered_is_served_though_idle_ones_close(self):
        server = self.start_server(2)
        for _ in range(200):
            sock = self.connect(server, REQUEST)
            self.assertEqual(200, receive(sock))
            send_whole(sock, REQUEST)
            server.close_idle()
            self.assertEqual(200, receive(sock))

    def test_request_in_flight_is_answered_after_stop(self):
        server = self.start_server(3)
        kept = self.connect(server, REQUEST)
        self.assertEqual(200, receive(kept))
        self.assertTrue(self.running.acquire(timeout=PATIENCE_S))
        served = self.connect(server, GATED)
        self.assertTrue(self.running.acquire(timeout=PATIENCE_S))
        stopper = threading.Thread(target=server.stop, daemon=True)
        stopper.start()
        stopper.join(PATIENCE_S)
        self.assertFalse(stopper.is_alive())
        self.assertTrue(is_closed(kept))
        self.assertRaises(ConnectionRefusedError, self.connect, server)
        self.assertEqual(1, server.count_active())
        self.gate.set()
        self.assertEqual(200, receive(served))
        self.assertTrue(is_closed(served))
        self.assertTrue(await_true(lambda: server.count_active() == 0))
        self.assertEqual([], self.ended)

    def test_stop_ends_all_threads(self):
        server = self.start_server(3)
        self.assertEqual(200, receive(self.connect(server, REQUEST)))
        server.stop()
        self.assertTrue(await_true(lambda: server.requests.size == 0))
        server.stop()
