import select
import socket
import threading
import time

import cheroot.server
import testtools

from ..servers import SiteServer

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


def receive(sock):
    """Return the status of one answer, or None if the connection ends before."""
    data = b""
    while b"\r\n\r\nok" not in data:
        try:
            piece = sock.recv(65536)
        except ConnectionResetError:
            return None
        if not piece:
            return None
        data += piece
    return int(data.split(b" ")[1])


class ServerTestCase(testtools.TestCase):
    """Base of tests on a server whose requests for /gated wait for a gate."""

    def setUp(self):
        super().setUp()
        self.gate = threading.Event()
        self.running = threading.Semaphore(0)
        self.taken = []

    def start_server(self, threads):
        server = SiteServer("127.0.0.1:0", self.build_gateway, threads)
        server.timeout = PATIENCE_S
        server.header_timeout_s = PATIENCE_S
        server.begin()
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
        request.status = b"200 OK"
        request.outheaders = [(b"Content-Length", b"2")]
        request.ensure_headers_sent()
        request.write(b"ok")

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
        socks = [self.connect(server, REQUEST) for _ in range(3)]
        for sock in socks:
            self.assertEqual(200, receive(sock))
        self.assertTrue(is_closed(socks[2]))
