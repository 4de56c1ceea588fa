import socket
import threading

import testtools

from ...clocks import SystemClock
from ...headers import Header, find_values
from ...outcomes import Kind
from ...verdicts import Verdict
from ..callers import CallerLeft, CallerWatch
from ..connections import ConnectionPool
from ..departure import Shutdown
from ..exchange import Call, Exchange, ExchangeError
from ..hops import get_default_poll_s
from .scripted import ScriptedServer, answer

OWN = "X-Request-Id: one"
STRAY = "X-Request-Id: zero"


def find_id(headers):
    return "".join(find_values(headers, "x-request-id"))


class ExchangeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = SystemClock()
        self.pool = ConnectionPool(self.clock)
        self.caller, near = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(near.close)
        self.watch = CallerWatch(near, Shutdown(self.clock))

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
            "body": b"",
            "request_id": "one",
            "deadline": self.clock.now() + 20.0,
            "connect_s": 5.0,
            "find_id": find_id,
            "on_wait": get_default_poll_s,
        }
        fields.update(changes)
        return Exchange(Call(**fields), self.pool, self.clock, self.watch)

    def assert_fails(self, exchange, kind, verdict):
        error = self.assertRaises(ExchangeError, exchange.run)
        self.assertEqual((kind, verdict), (error.kind, error.verdict))

    def test_whole_answer_is_read_and_the_connection_is_used_again(self):
        server = self.serve(
            [answer(b"a", headers=[OWN])], [answer(b"b", headers=[OWN])]
        )
        bodies = [self.create(server).run().body for _ in range(2)]
        self.assertEqual(([b"a", b"b"], 1), (bodies, server.connections))

    def test_stray_answer_is_skipped_and_the_own_one_read(self):
        server = self.serve(
            [answer(b"stray", headers=[STRAY]) + answer(b"own", headers=[OWN])]
        )
        self.assertEqual(b"own", self.create(server).run().body)

    def test_answer_that_names_no_request_is_refused(self):
        server = self.serve([answer(b"whose")])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_second_answer_ends_the_use_of_its_connection(self):
        twice = answer(b"a", headers=[OWN]) * 2
        server = self.serve([twice], [answer(b"b", headers=[OWN])])
        bodies = [self.create(server).run().body for _ in range(2)]
        self.assertEqual(([b"a", b"b"], 2), (bodies, server.connections))

    def test_answer_without_length_ends_with_its_connection(self):
        head = f"HTTP/1.1 200 OK\r\n{OWN}\r\n\r\n".encode()
        server = self.serve([head + b"whole", ScriptedServer.CLOSE])
        self.assertEqual(b"whole", self.create(server).run().body)

    def test_answer_cut_short_is_refused(self):
        server = self.serve(
            [answer(b"cu", headers=[OWN], length=9), ScriptedServer.CLOSE]
        )
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_answer_cut_short_in_its_head_is_refused(self):
        for cut in (b"\r\n", b"\r\nX-Response-Signature: s.1\r\nContent-Le"):
            head = f"HTTP/1.1 200 OK\r\n{OWN}".encode() + cut
            server = self.serve([head, ScriptedServer.CLOSE])
            self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_answer_cut_short_in_the_size_of_a_chunk_is_refused(self):
        head = f"HTTP/1.1 200 OK\r\n{OWN}\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = self.serve([head.encode() + b"2\r\ncu\r\n00", ScriptedServer.CLOSE])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_bytes_that_are_no_answer_are_refused(self):
        server = self.serve([b"\x00\x01garbage\r\n\r\n"])
        self.assert_fails(self.create(server), Kind.WRONG, Verdict.MAY_HAVE_RUN)

    def test_early_answer_to_a_long_body_is_read_and_the_connection_closed(self):
        early = answer(b"no", status="413 Too Large", headers=[OWN])
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        accepted = []

        def reject_early():
            connection, _ = listener.accept()
            accepted.append(connection)
            connection.recv(100)
            connection.sendall(early)

        thread = threading.Thread(target=reject_early, daemon=True)
        thread.start()
        body = b"x" * (32 * 1024 * 1024)
        result = self.create(address, method="POST", body=body).run()
        thread.join()
        self.addCleanup(accepted[0].close)
        self.assertEqual(413, result.status)
        self.assertIsNone(self.pool.take(address))

    def test_closed_connection_may_have_run(self):
        server = self.serve([ScriptedServer.CLOSE])
        self.assert_fails(self.create(server), Kind.ERROR, Verdict.MAY_HAVE_RUN)

    def test_refused_connection_has_not_run(self):
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        self.assert_fails(self.create(address), Kind.CONNECT, Verdict.NOT_RUN)

    def test_time_that_is_up_before_sending_has_not_run(self):
        server = self.serve()
        exchange = self.create(server, deadline=self.clock.now() - 1.0)
        self.assert_fails(exchange, Kind.TIMEOUT, Verdict.NOT_RUN)

    def test_leaving_caller_ends_the_exchange_and_its_connection(self):
        server = self.serve([self.caller.close])
        self.assertRaises(CallerLeft, self.create(server).run)
        self.assertTrue(server.closed.wait(10))
