import select
import socket
import time

import cheroot.server
import testtools

from ..servers import NodeHTTPServer
from .scripted import read_all

PATIENCE_S = 30.0
LIMIT_S = 0.5
DRIP_S = 0.02
PIECE = b"a" * 1024
MOST_PIECES = 4096


class HeadTests(testtools.TestCase):
    """Heads that come slowly or without end."""

    def setUp(self):
        super().setUp()
        self.server = NodeHTTPServer("127.0.0.1:0", self.build_gateway, 1)
        self.server.header_timeout_s = LIMIT_S
        self.server.start_in_background()
        self.addCleanup(self.server.stop)

    def build_gateway(self, request):
        gateway = cheroot.server.Gateway(request)
        gateway.respond = lambda: self.respond(request)
        return gateway

    def respond(self, request):
        body = request.rfile.read()
        request.status = b"200 OK"
        request.outheaders = [(b"Content-Length", str(len(body)).encode())]
        request.ensure_headers_sent()
        request.write(body)

    def connect(self, data=b""):
        sock = socket.create_connection(self.server.bind_addr, PATIENCE_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def assert_late(self, sock):
        data = read_all(sock)
        self.assertTrue(data.startswith(b"HTTP/1.1 408 "), data)
        self.assertIn(b"Persimmon-Verdict: not-run", data)

    def drip(self, sock, piece, pause_s, most):
        """Send pieces until an answer comes; return whether one came."""
        for _ in range(most):
            if select.select([sock], [], [], pause_s)[0]:
                return True
            try:
                sock.sendall(piece)
            except ConnectionError:
                return True
        return False

    def test_head_that_comes_byte_by_byte_is_late(self):
        sock = self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\nA: ")
        self.assertTrue(self.drip(sock, b"b", DRIP_S, int(PATIENCE_S / DRIP_S)))
        self.assert_late(sock)

    def test_request_line_that_comes_byte_by_byte_is_late(self):
        sock = self.connect(b"GET /")
        self.assertTrue(self.drip(sock, b"a", DRIP_S, int(PATIENCE_S / DRIP_S)))
        self.assert_late(sock)

    def test_part_of_a_head_is_answered(self):
        for part in (b"G", b"GET /a HTTP/1.1\r\n", b"GET /a HTTP/1.1\r\nHost: x\r\n"):
            self.assert_late(self.connect(part))

    def test_worker_serves_others_after_a_late_head(self):
        late = self.connect(b"GET /a HTTP/1.1\r\n")
        other = self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        self.assertTrue(read_all(other).startswith(b"HTTP/1.1 200 "))
        self.assert_late(late)

    def test_limit_holds_for_each_head_and_for_no_body(self):
        sock = self.connect()
        for _ in range(2):
            sock.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
            time.sleep(LIMIT_S * 2)
            sock.sendall(b"ok")
            data = b""
            while not data.endswith(b"\r\n\r\nok"):
                data += sock.recv(65536)
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data)

    def test_head_that_is_whole_is_served_however_late_it_is_read(self):
        self.server.header_timeout_s = 0.0
        sock = self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 200 "))

    def test_endless_line_is_refused(self):
        self.server.header_timeout_s = PATIENCE_S
        for start, status in (
            (b"GET /", b"414"),
            (b"GET /a HTTP/1.1\r\nA: ", b"413"),
        ):
            sock = self.connect(start)
            self.assertTrue(self.drip(sock, PIECE, 0, MOST_PIECES))
            self.assertEqual(status, read_all(sock).split(b" ")[1])
