import socket
import time

import cheroot.server
import testtools

from ..servers import NodeHTTPServer
from .scripted import read_all

TIMEOUT_S = 30.0
PAUSE_S = 0.3
WORKERS = 2
READERS = 5
# Longer than what the kernel takes of an answer that is not read.
LONG_BYTES = 8 * 1024 * 1024
PATTERN = bytes(range(256))
LONG_BODY = PATTERN * (LONG_BYTES // len(PATTERN))


class LongGateway(cheroot.server.Gateway):
    """Answers /long with a long body, everything else with a short one."""

    def respond(self):
        body = LONG_BODY if self.req.uri == b"/long" else b"ok"
        self.req.status = b"200 OK"
        self.req.outheaders = [(b"Content-Length", str(len(body)).encode())]
        self.req.conn.transfer.begin_answer(len(body))
        self.req.ensure_headers_sent()
        self.req.write(body)


class OutputTests(testtools.TestCase):
    """Callers that do not read their answers must not keep workers from others."""

    def setUp(self):
        super().setUp()
        self.server = NodeHTTPServer("127.0.0.1:0", LongGateway, WORKERS)
        self.server.start_in_background()
        self.addCleanup(self.server.stop)

    def send(self, target, *headers):
        sock = socket.create_connection(self.server.bind_addr, TIMEOUT_S)
        self.addCleanup(sock.close)
        lines = [f"GET {target} HTTP/1.1", "Host: x", *headers, "", ""]
        sock.sendall("\r\n".join(lines).encode())
        return sock

    def test_answers_that_are_not_read_take_no_workers(self):
        readers = [self.send("/long", "Connection: close") for _ in range(READERS)]
        time.sleep(PAUSE_S)
        short = read_all(self.send("/short", "Connection: close"))
        self.assertTrue(short.endswith(b"\r\n\r\nok"))
        for sock in readers:
            self.assertEqual(LONG_BODY, read_all(sock).partition(b"\r\n\r\n")[2])

    def test_requests_that_follow_an_unread_answer_are_answered_in_order(self):
        sock = self.send("/long")
        request = b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n"
        last = request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        sock.sendall(request + last)
        time.sleep(PAUSE_S)
        head, _, rest = read_all(sock).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 OK"))
        self.assertEqual(LONG_BODY, rest[:LONG_BYTES])
        self.assertEqual(2, rest[LONG_BYTES:].count(b"\r\n\r\nok"))

    def test_answer_that_is_never_read_ends_with_its_connection(self):
        self.server.timeout = 0.2
        sock = self.send("/long")
        time.sleep(PAUSE_S)
        deadline = time.monotonic() + TIMEOUT_S
        while self.server.count_open() and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertEqual(0, self.server.count_open())
        body = read_all(sock).partition(b"\r\n\r\n")[2]
        self.assertEqual(LONG_BODY[: len(body)], body)
        self.assertLess(len(body), LONG_BYTES)
