import socket

import cheroot.server
import msgspec
import testtools

from ..answers import ErrorBody
from ..servers import NodeHTTPServer
from .scripted import read_all

INVALID_REQUESTS = {
    "both lengths": (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "framing-refused",
    ),
    "two lengths": (
        b"POST /a HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
        "framing-refused",
    ),
    "signed length": (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
        "framing-refused",
    ),
    "length with separator": (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1_0\r\n\r\n0123456789",
        "framing-refused",
    ),
    "chunked twice": (
        b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
        "framing-refused",
    ),
    "no host": (b"GET /a HTTP/1.1\r\n\r\n", "host-refused"),
    "two hosts": (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "host-refused"),
    "folded header": (
        b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
        "request-malformed",
    ),
    "line of blanks": (
        b"GET /a HTTP/1.1\r\nHost: x\r\n \r\n\r\n",
        "request-malformed",
    ),
    "carriage return behind a value": (
        b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\r\n\r\n",
        "request-malformed",
    ),
    "control byte in name": (
        b"GET /a HTTP/1.1\r\nHost: x\r\nA\x01B: b\r\n\r\n",
        "request-malformed",
    ),
    "space in name": (
        b"GET /a HTTP/1.1\r\nHost: x\r\nX-Persimmon-Key : b\r\n\r\n",
        "request-malformed",
    ),
    "old version": (b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n", "version-refused"),
    "large headers": (
        b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 40000 + b"\r\n\r\n",
        "headers-too-large",
    ),
    "long target": (
        b"GET /" + b"a" * 40000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
        "target-too-long",
    ),
}


class StrictnessTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.accepted = []
        self.server = NodeHTTPServer("127.0.0.1:0", self.build_gateway, 2)
        self.server.max_request_header_size = 32 * 1024
        self.server.start_in_background()
        self.addCleanup(self.server.stop)

    def build_gateway(self, request):
        gateway = cheroot.server.Gateway(request)
        gateway.respond = lambda: self.accept(request)
        return gateway

    def accept(self, request):
        self.accepted.append(request.uri)
        request.status = b"200 OK"
        request.ensure_headers_sent()

    def send(self, data):
        with socket.create_connection(self.server.bind_addr, 10) as sock:
            sock.sendall(data)
            return read_all(sock)

    def test_invalid_requests_are_refused_as_not_run(self):
        for name, (data, code) in INVALID_REQUESTS.items():
            head, _, body = self.send(data).partition(b"\r\n\r\n")
            explanation = msgspec.json.decode(body, type=ErrorBody)
            self.assertEqual((name, code), (name, explanation.code))
            self.assertIn(b"Persimmon-Verdict: not-run", head, name)
            self.assertEqual(b"4", head.split(b" ")[1][:1].replace(b"5", b"4"), name)
        self.assertEqual([], self.accepted)

    def test_valid_request_is_accepted(self):
        data = self.send(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)
        self.assertEqual([b"/a"], self.accepted)
