import socket
from unittest import mock

import testtools

from ...addresses import split_address
from ...tests.crowds import build_head
from ...tests.test_sitenode import Site, wait_until
from ..gateways import CallerGateway

TIMEOUT_S = 30.0
FIRST_PART = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh"


class BrokenAnswerTests(testtools.TestCase):
    """After a part of an answer, no bytes of another one may follow."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))

    def read_all(self):
        """Return all bytes that a caller of the first node gets."""
        _, settings = self.site.nodes["near"]
        address = split_address(settings.caller_address)
        data = b""
        with socket.create_connection(address, TIMEOUT_S) as sock:
            sock.sendall(build_head("GET"))
            while piece := sock.recv(65536):
                data += piece
        return data

    def test_answer_that_fails_halfway_is_followed_by_nothing(self):
        write = CallerGateway.write
        writes = []

        def break_first(gateway, *args, **fields):
            writes.append(args)
            if len(writes) > 1:
                write(gateway, *args, **fields)
                return
            gateway.req.sent_headers = True
            gateway.req.conn.socket.sendall(FIRST_PART)
            raise TimeoutError("timed out")

        with mock.patch.object(CallerGateway, "write", break_first):
            self.assertEqual(FIRST_PART, self.read_all())
