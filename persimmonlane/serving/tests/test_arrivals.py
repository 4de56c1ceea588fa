import socket
import time

import cheroot.server
import testtools

from ...tests.test_sitenode import wait_until
from ..arrivals import PEEK_BYTES, Arrival
from ..servers import NodeHTTPServer
from .scripted import read_all

TIMEOUT_S = 30.0
# Longer than a transfer without progress is left alone under pressure.
PAUSE_S = 2.5
WORKERS = 4
# More than the workers.
SLOW_CLIENTS = 12
FIRST_REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"


class Connection:
    def __init__(self, sock):
        self.socket = sock


class ArrivalTests(testtools.TestCase):
    """Which requests are there as a whole, by what lies in a receive buffer."""

    def setUp(self):
        super().setUp()
        self.client, sock = socket.socketpair()
        self.addCleanup(self.client.close)
        self.addCleanup(sock.close)
        self.conn = Connection(sock)
        sock.setblocking(False)

    def see(self, data):
        self.client.sendall(data)
        return Arrival(self.conn, 5.0)

    def test_request_without_a_body_is_whole_with_its_head(self):
        arrival = self.see(HEAD + b"\r")
        self.assertFalse(arrival.is_whole or arrival.has_head)
        self.client.sendall(b"\n")
        arrival.update(6.0)
        self.assertTrue(arrival.is_whole)

    def test_body_with_a_length_is_whole_with_its_last_byte(self):
        arrival = self.see(HEAD + b"content-LENGTH: 3\r\n\r\nab")
        self.assertTrue(arrival.has_head)
        self.assertFalse(arrival.is_whole)
        arrival.update(7.0)
        self.assertEqual(5.0, arrival.changed_at)
        self.client.sendall(b"c")
        arrival.update(8.0)
        self.assertTrue(arrival.is_whole)
        self.assertEqual(8.0, arrival.changed_at)

    def test_chunked_body_is_whole_with_its_last_chunk(self):
        arrival = self.see(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
        self.assertFalse(arrival.is_whole)
        self.client.sendall(b"0\r\n\r\n")
        arrival.update(6.0)
        self.assertTrue(arrival.is_whole)

    def test_chunks_are_not_whole_because_their_data_ends_like_a_body(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for data in (b"4\r\n\r\n\r\n\r\n", b"9\r\n0\r\n\r\n", b"0;x=\r\nA: b\r\n"):
            self.assertFalse(self.see(head + data).is_whole, data)
            self.conn.socket.recv(PEEK_BYTES)

    def test_chunked_body_with_trailers_is_whole_with_its_empty_line(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        arrival = self.see(head + b"3 ; x\r\nabc\r\n0\r\nA: b\r\n")
        self.assertFalse(arrival.is_whole)
        self.client.sendall(b"\r\n")
        arrival.update(6.0)
        self.assertTrue(arrival.is_whole)

    def test_malformed_chunk_is_left_to_a_worker(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertTrue(self.see(head + b"x\r\n").is_whole)

    def test_chunk_that_no_buffer_holds_is_long(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        arrival = self.see(head + b"fffff\r\n")
        self.assertTrue(arrival.is_long)
        self.assertFalse(arrival.is_whole)

    def test_body_that_awaits_a_first_answer_counts_as_long(self):
        # It never is whole before a worker asks for it, and any client can send such.
        lines = b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
        arrival = self.see(HEAD + lines)
        self.assertTrue(arrival.is_long)
        self.assertFalse(arrival.is_whole)
        self.client.sendall(b"abc")
        arrival.update(6.0)
        self.assertTrue(arrival.is_whole)

    def test_head_that_no_buffer_holds_is_long(self):
        arrival = self.see(HEAD + b"A: " + b"a" * PEEK_BYTES)
        self.assertTrue(arrival.is_long)
        self.assertFalse(arrival.is_whole)

    def test_request_that_was_read_in_part_behind_another_one(self):
        self.client.sendall(b"Content-Length: 3\r\n\r\nab")
        arrival = Arrival(self.conn, 5.0, HEAD)
        self.assertTrue(arrival.has_head)
        self.assertFalse(arrival.is_whole)
        self.client.sendall(b"c")
        arrival.update(6.0)
        self.assertTrue(arrival.is_whole)

    def test_request_that_was_read_as_a_whole_behind_another_one(self):
        self.assertTrue(Arrival(self.conn, 5.0, HEAD + b"\r\n").is_whole)

    def test_connection_that_has_failed_is_left_to_a_worker(self):
        arrival = self.see(HEAD)
        self.conn.socket.close()
        arrival.update(6.0)
        self.assertTrue(arrival.is_whole)

    def test_long_body_is_never_whole_before_it_is_read(self):
        arrival = self.see(HEAD + b"Content-Length: %d\r\n\r\n" % PEEK_BYTES)
        self.assertTrue(arrival.is_long)
        self.assertFalse(arrival.is_whole)


class EchoGateway(cheroot.server.Gateway):
    """Answers with the body of the request."""

    def respond(self):
        body = self.req.rfile.read()
        self.req.status = b"200 OK"
        self.req.outheaders = [(b"Content-Length", str(len(body)).encode())]
        self.req.ensure_headers_sent()
        self.req.write(body)


class SlowArrivalTests(testtools.TestCase):
    """Requests that come slowly must not keep workers from those that are there."""

    def setUp(self):
        super().setUp()
        self.server = NodeHTTPServer("127.0.0.1:0", EchoGateway, WORKERS)
        self.server.start_in_background()
        self.addCleanup(self.server.stop)

    def connect(self, data):
        sock = socket.create_connection(self.server.bind_addr, TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def test_callers_that_pause_are_served_beside_others(self):
        start = HEAD + b"Content-Length: 3\r\n\r\nab"
        slow = [self.connect(start) for _ in range(SLOW_CLIENTS)]
        time.sleep(PAUSE_S)
        whole = read_all(self.connect(start + b"c"))
        self.assertTrue(whole.endswith(b"\r\n\r\nabc"))
        for sock in slow:
            sock.sendall(b"d")
            self.assertTrue(read_all(sock).endswith(b"\r\n\r\nabd"))

    def test_callers_that_pause_behind_a_whole_request_are_served_beside_others(self):
        start = HEAD + b"Content-Length: 3\r\n\r\nab"
        slow = [self.connect(FIRST_REQUEST + start) for _ in range(SLOW_CLIENTS)]
        time.sleep(PAUSE_S)
        whole = read_all(self.connect(start + b"c"))
        self.assertTrue(whole.endswith(b"\r\n\r\nabc"))
        for sock in slow:
            sock.sendall(b"d")
            answers = read_all(sock)
            self.assertEqual(2, answers.count(b" 200 OK"))
            self.assertTrue(answers.endswith(b"\r\n\r\nabd"))

    def test_callers_that_leave_within_a_body_keep_no_connection(self):
        # No byte arrives with the end, so that nobody looked at the connection.
        self.server.timeout = 10 * TIMEOUT_S
        start = HEAD + b"Content-Length: 3\r\n\r\nab"
        stay = [self.connect(start) for _ in range(WORKERS // 2)]
        self.assertTrue(wait_until(lambda: self.server.requests.load >= 0.5))
        leave = [self.connect(start) for _ in range(SLOW_CLIENTS)]
        count = len(stay) + len(leave)
        self.assertTrue(wait_until(lambda: self.server.count_open() == count))
        for sock in leave:
            sock.close()
        self.assertTrue(wait_until(lambda: self.server.count_open() == len(stay)))

    def test_request_whose_head_does_not_come_is_refused(self):
        self.server.header_timeout_s = 0.3
        slow = [self.connect(HEAD) for _ in range(SLOW_CLIENTS)]
        for sock in slow:
            self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 408 "))

    def test_connections_beyond_the_limit_take_the_place_of_stalled_ones(self):
        self.server.max_connections = SLOW_CLIENTS
        slow = [self.connect(HEAD) for _ in range(SLOW_CLIENTS)]
        whole = read_all(self.connect(HEAD + b"Content-Length: 1\r\n\r\na"))
        self.assertTrue(whole.endswith(b"\r\n\r\na"))
        self.assertLessEqual(self.server.count_open(), len(slow))
