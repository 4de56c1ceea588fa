import io
import socket
import threading

import testtools

from ...clocks import SystemClock
from ...ejection.outcome import Kind
from ...keys import Header
from ...verdicts import Verdict
from ..bodies import RequestBody
from ..callers import CallerLeft, CallerWatch
from ..connections import ConnectionPool
from ..exchange import Attempt, AttemptError, Exchange
from .scripted import ScriptedServer, answer

REQUEST_ID = "request-1"


class ExchangeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = SystemClock()
        self.pool = ConnectionPool(self.clock)
        self.caller, near = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(near.close)
        self.watch = CallerWatch(near)
        self.silences = []

    def serve(self, *scripts):
        server = ScriptedServer(scripts)
        self.addCleanup(server.stop)
        return server

    def create(self, server, **changes):
        fields = {
            "address": server if isinstance(server, str) else server.address,
            "method": "GET",
            "target": "/prices",
            "headers": [Header("Host", "shop")],
            "body": RequestBody(io.BytesIO(), 0),
            "request_id": REQUEST_ID,
            "idempotent": True,
            "deadline": self.clock.now() + 5.0,
            "connect_timeout_s": 1.0,
            "response_timeout_s": 2.0,
            "silence_s": 60.0,
            "on_silence": lambda: self.silences.append(1),
        }
        fields.update(changes)
        return Exchange(Attempt(**fields), self.pool, self.clock, self.watch)

    def read(self, exchange):
        return b"".join(exchange.run().pieces())

    def assert_fails(self, exchange, kind, verdict):
        error = self.assertRaises(AttemptError, self.read, exchange)
        self.assertEqual((kind, verdict), (error.kind, error.verdict))

    def test_whole_answer_is_read_and_connection_kept(self):
        server = self.serve([answer(b"one")], [answer(b"two")])
        self.assertEqual(b"one", self.read(self.create(server)))
        second = self.create(server)
        self.assertEqual(b"two", self.read(second))
        self.assertTrue(second.reused)
        self.assertEqual(1, server.connections)

    def test_chunked_answer_is_read(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = self.serve([head + b"3\r\nabc\r\n0\r\n\r\n"])
        self.assertEqual(b"abc", self.read(self.create(server)))

    def test_head_and_bodiless_answers_keep_the_connection(self):
        server = self.serve(
            [answer(b"", length=40)], [b"HTTP/1.1 204 None\r\n\r\n"], [answer(b"x")]
        )
        self.assertEqual(b"", self.read(self.create(server, method="HEAD")))
        self.assertEqual(b"", self.read(self.create(server)))
        self.assertEqual(b"x", self.read(self.create(server)))
        self.assertEqual(1, server.connections)

    def test_connection_with_bytes_after_a_chunked_answer_is_not_kept(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        surplus = head + b"3\r\nabc\r\n0\r\n\r\n" + answer(b"surplus")
        server = self.serve([surplus], [answer(b"own")])
        self.assertEqual(b"abc", self.read(self.create(server)))
        self.assertEqual(b"own", self.read(self.create(server)))
        self.assertEqual(2, server.connections)

    def test_answer_before_the_end_of_the_connection_is_whole(self):
        for headers in ((), ("Connection: close",)):
            server = self.serve([answer(headers=headers), ScriptedServer.CLOSE])
            exchange = self.create(server)
            running = exchange.run()
            self.assertTrue(server.closed.wait(10))
            self.assertEqual(b"whole", b"".join(running.pieces()))

    def test_short_answer_is_an_error(self):
        server = self.serve([answer(b"half", length=9), ScriptedServer.CLOSE])
        self.assert_fails(self.create(server), Kind.SHORT, Verdict.MAY_HAVE_RUN)

    def test_short_chunked_answer_is_an_error(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = self.serve([head + b"9\r\nabc", ScriptedServer.CLOSE])
        self.assert_fails(self.create(server), Kind.SHORT, Verdict.MAY_HAVE_RUN)

    def test_chunked_answer_without_end_is_an_error(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = self.serve([head + b"3\r\nabc\r\n", ScriptedServer.CLOSE])
        self.assert_fails(self.create(server), Kind.SHORT, Verdict.MAY_HAVE_RUN)

    def test_over_long_answer_is_an_error(self):
        server = self.serve([answer(b"whole and more", length=5)])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_answer_of_another_request_is_an_error(self):
        server = self.serve([answer(headers=["Persimmon-Request-Id: request-0"])])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_answer_without_length_is_an_error(self):
        server = self.serve([b"HTTP/1.1 200 OK\r\n\r\nwhole?", ScriptedServer.CLOSE])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_answer_with_two_lengths_is_an_error(self):
        server = self.serve([answer(headers=["Content-Length: 3"])])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_answer_that_is_not_http_is_an_error(self):
        server = self.serve([b"who knows\r\n\r\n"])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_refused_connection_has_not_run(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        self.assert_fails(self.create(address), Kind.CONNECT, Verdict.NOT_RUN)

    def test_no_answer_in_time_may_have_run(self):
        exchange = self.create(self.serve(None), response_timeout_s=0.05)
        self.assert_fails(exchange, Kind.TIMEOUT, Verdict.MAY_HAVE_RUN)

    def test_broken_new_connection_is_an_error_of_the_server(self):
        exchange = self.create(self.serve([ScriptedServer.CLOSE]))
        self.assert_fails(exchange, Kind.ERROR, Verdict.MAY_HAVE_RUN)

    def test_broken_kept_connection_is_stale(self):
        server = self.serve([answer()], [ScriptedServer.CLOSE])
        self.read(self.create(server))
        self.assert_fails(self.create(server), Kind.STALE, Verdict.MAY_HAVE_RUN)

    def test_late_answer_does_not_reach_the_next_request(self):
        gate, sent = threading.Event(), threading.Event()
        server = self.serve(
            [answer(b"first"), gate.wait, answer(b"late"), sent.set],
            [answer(b"second")],
        )
        self.read(self.create(server))
        gate.set()
        self.assertTrue(sent.wait(10))
        self.assertEqual(b"second", self.read(self.create(server)))
        self.assertEqual(2, server.connections)

    def test_caller_that_leaves_cancels(self):
        server = self.serve(None)
        self.caller.close()
        self.assertRaises(CallerLeft, self.read, self.create(server))
        self.assertTrue(server.closed.wait(10))

    def test_silent_kept_connection_is_left_at_once_if_idempotent(self):
        server = self.serve([answer()], None)
        self.read(self.create(server))
        self.assert_fails(
            self.create(server, silence_s=0.02), Kind.STALE, Verdict.MAY_HAVE_RUN
        )
        self.assertEqual([1], self.silences)

    def test_silent_kept_connection_does_not_repeat_other_requests(self):
        server = self.serve([answer()], None)
        self.read(self.create(server))
        exchange = self.create(
            server, idempotent=False, silence_s=0.02, response_timeout_s=0.1
        )
        self.assert_fails(exchange, Kind.STALE, Verdict.MAY_HAVE_RUN)
        self.assertEqual([1], self.silences)

    def test_slow_server_is_not_taken_for_dead_connections_twice(self):
        server = self.serve([answer()], None, [answer()], None)
        self.read(self.create(server))
        self.assertRaises(AttemptError, self.read, self.create(server, silence_s=0.02))
        self.read(self.create(server))
        exchange = self.create(server, silence_s=0.02, response_timeout_s=0.1)
        self.assert_fails(exchange, Kind.TIMEOUT, Verdict.MAY_HAVE_RUN)
