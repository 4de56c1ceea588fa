import select
import socket
import time

import cheroot.server
import testtools

from ..servers import NodeHTTPServer
from .scripted import read_all

TIMEOUT_S = 30.0
HEADER_TIMEOUT_S = 0.5
SEND_INTERVAL_S = 0.02
PIECE = b"a" * 1024
MAX_PIECES = 4096


class HeadTests(testtools.TestCase):
    """Request heads that arrive slowly, incompletely or without end."""

    def setUp(self):
        super().setUp()
        self.server = NodeHTTPServer("127.0.0.1:0", self.build_gateway, 1)
        self.server.header_timeout_s = HEADER_TIMEOUT_S
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
        sock = socket.create_connection(self.server.bind_addr, TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def assert_timed_out(self, sock):
        data = read_all(sock)
        self.assertTrue(data.startswith(b"HTTP/1.1 408 "), data)
        self.assertIn(b"Persimmon-Verdict: not-run", data)

    def send_repeatedly(self, sock, piece, pause_s, max_pieces):
        """Send a piece again and again until the server answers or closes.

        Returns:
            Whether it did within `max_pieces` pieces.
        """
        for _ in range(max_pieces):
            if select.select([sock], [], [], pause_s)[0]:
                return True
            try:
                sock.sendall(piece)
            except ConnectionError:
                return True
        return False

    def test_head_that_arrives_byte_by_byte_times_out(self):
        sock = self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\nA: ")
        self.assertTrue(
            self.send_repeatedly(
                sock, b"b", SEND_INTERVAL_S, int(TIMEOUT_S / SEND_INTERVAL_S)
            )
        )
        self.assert_timed_out(sock)

    def test_request_line_that_arrives_byte_by_byte_times_out(self):
        sock = self.connect(b"GET /")
        self.assertTrue(
            self.send_repeatedly(
                sock, b"a", SEND_INTERVAL_S, int(TIMEOUT_S / SEND_INTERVAL_S)
            )
        )
        self.assert_timed_out(sock)

    def test_incomplete_head_times_out(self):
        for part in (b"G", b"GET /a HTTP/1.1\r\n", b"GET /a HTTP/1.1\r\nHost: x\r\n"):
            self.assert_timed_out(self.connect(part))

    def test_worker_serves_others_after_a_timeout(self):
        incomplete = self.connect(b"GET /a HTTP/1.1\r\n")
        other = self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        self.assertTrue(read_all(other).startswith(b"HTTP/1.1 200 "))
        self.assert_timed_out(incomplete)

    def test_limit_applies_to_each_head_and_not_to_bodies(self):
        sock = self.connect()
        for _ in range(2):
            sock.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
            time.sleep(HEADER_TIMEOUT_S * 2)
            sock.sendall(b"ok")
            data = b""
            while not data.endswith(b"\r\n\r\nok"):
                data += sock.recv(65536)
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data)

    def test_complete_head_is_served_even_if_it_is_read_late(self):
        self.server.header_timeout_s = 0.0
        sock = self.connect(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 200 "))

    def test_endless_line_is_refused(self):
        self.server.header_timeout_s = TIMEOUT_S
        for start, status in (
            (b"GET /", b"414"),
            (b"GET /a HTTP/1.1\r\nA: ", b"413"),
        ):
            sock = self.connect(start)
            self.assertTrue(self.send_repeatedly(sock, PIECE, 0, MAX_PIECES))
            self.assertEqual(status, read_all(sock).split(b" ")[1])
