import socket
import threading

import testtools

from ...clocks import SystemClock
from ...headers import Header, find_values
from ...outcomes import OutcomeKind
from ...verdicts import Verdict
from ..callers import CallerDisconnected, CallerWatch
from ..connections import ConnectionPool
from ..exchange import Exchange, ExchangeError, OutgoingRequest
from ..nodeheaders import get_default_poll_s
from ..shutdown import Shutdown
from .scripted import ScriptedServer, build_response

OWN_ID = "X-Request-Id: one"
OTHER_ID = "X-Request-Id: zero"


def extract_request_id(headers):
    return "".join(find_values(headers, "x-request-id"))


class ExchangeTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = SystemClock()
        self.pool = ConnectionPool(self.clock)
        self.caller, node_side = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(node_side.close)
        self.watch = CallerWatch(node_side, Shutdown(self.clock))

    def start_server(self, *scripts):
        server = ScriptedServer(scripts)
        self.addCleanup(server.stop)
        return server

    def create_exchange(self, server, **changes):
        fields = {
            "address": server if isinstance(server, str) else server.address,
            "method": "GET",
            "target": "/prices",
            "headers": [Header("Host", "shop")],
            "body": b"",
            "request_id": "one",
            "deadline": self.clock.now() + 20.0,
            "connect_timeout_s": 5.0,
            "extract_request_id": extract_request_id,
            "on_wait": get_default_poll_s,
        }
        fields.update(changes)
        return Exchange(OutgoingRequest(**fields), self.pool, self.clock, self.watch)


class ExchangeTests(ExchangeTestCase):
    def assert_fails(self, exchange, kind, verdict):
        error = self.assertRaises(ExchangeError, exchange.run)
        self.assertEqual((kind, verdict), (error.kind, error.verdict))

    def test_connection_is_reused_after_a_complete_response(self):
        server = self.start_server(
            [build_response(b"a", headers=[OWN_ID])],
            [build_response(b"b", headers=[OTHER_ID])],
        )
        bodies = [
            self.create_exchange(server, request_id=request_id).run().body
            for request_id in ("one", "zero")
        ]
        self.assertEqual(([b"a", b"b"], 1), (bodies, server.connections))

    def test_refusal_that_is_written_again_is_not_the_answer_to_a_second_send(self):
        refusal = build_response(
            b"full", "503 Full", headers=[OWN_ID, "X-Not-Executed: 1"]
        )
        server = self.start_server(
            [refusal],
            [
                lambda: server.send_on(0, refusal),
                build_response(b"ran", headers=[OWN_ID]),
            ],
        )
        results = [self.create_exchange(server).run() for _ in range(2)]
        self.assertEqual(
            [(503, b"full"), (200, b"ran")],
            [(result.status, result.body) for result in results],
        )

    def test_response_to_another_request_is_skipped(self):
        server = self.start_server(
            [
                build_response(b"stray", headers=[OTHER_ID])
                + build_response(b"own", headers=[OWN_ID])
            ]
        )
        self.assertEqual(b"own", self.create_exchange(server).run().body)

    def test_response_without_a_request_id_is_rejected(self):
        server = self.start_server([build_response(b"whose")])
        self.assert_fails(
            self.create_exchange(server), OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN
        )

    def test_connection_is_not_reused_after_a_second_response(self):
        two_responses = build_response(b"a", headers=[OWN_ID]) * 2
        server = self.start_server(
            [two_responses], [build_response(b"b", headers=[OTHER_ID])]
        )
        bodies = [
            self.create_exchange(server, request_id=request_id).run().body
            for request_id in ("one", "zero")
        ]
        self.assertEqual(([b"a", b"b"], 2), (bodies, server.connections))

    def test_response_without_a_length_ends_with_its_connection(self):
        head = f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\n\r\n".encode()
        server = self.start_server([head + b"whole", ScriptedServer.CLOSE])
        self.assertEqual(b"whole", self.create_exchange(server).run().body)

    def test_truncated_body_is_rejected(self):
        server = self.start_server(
            [build_response(b"cu", headers=[OWN_ID], length=9), ScriptedServer.CLOSE]
        )
        self.assert_fails(
            self.create_exchange(server), OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN
        )

    def test_truncated_head_is_rejected(self):
        for cut in (b"\r\n", b"\r\nX-Response-Signature: s.1\r\nContent-Le"):
            head = f"HTTP/1.1 200 OK\r\n{OWN_ID}".encode() + cut
            server = self.start_server([head, ScriptedServer.CLOSE])
            self.assert_fails(
                self.create_exchange(server), OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN
            )

    def test_truncated_chunk_size_is_rejected(self):
        head = f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = self.start_server(
            [head.encode() + b"2\r\ncu\r\n00", ScriptedServer.CLOSE]
        )
        self.assert_fails(
            self.create_exchange(server), OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN
        )

    def test_bytes_that_are_not_http_are_rejected(self):
        server = self.start_server([b"\x00\x01garbage\r\n\r\n"])
        self.assert_fails(
            self.create_exchange(server), OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN
        )

    def test_early_response_to_a_long_body_is_read_and_the_connection_closed(self):
        early_response = build_response(b"no", status="413 Too Large", headers=[OWN_ID])
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        accepted = []

        def reject_early():
            connection, _ = listener.accept()
            accepted.append(connection)
            connection.recv(100)
            connection.sendall(early_response)

        thread = threading.Thread(target=reject_early, daemon=True)
        thread.start()
        body = b"x" * (32 * 1024 * 1024)
        result = self.create_exchange(address, method="POST", body=body).run()
        thread.join()
        self.addCleanup(accepted[0].close)
        self.assertEqual(413, result.status)
        self.assertIsNone(self.pool.take(address, "next"))

    def test_request_on_a_closed_connection_may_have_run(self):
        server = self.start_server([ScriptedServer.CLOSE])
        self.assert_fails(
            self.create_exchange(server), OutcomeKind.ERROR, Verdict.MAY_HAVE_RUN
        )

    def test_request_on_a_refused_connection_has_not_run(self):
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        self.assert_fails(
            self.create_exchange(address), OutcomeKind.CONNECT, Verdict.NOT_RUN
        )

    def test_request_past_its_deadline_before_sending_has_not_run(self):
        server = self.start_server()
        exchange = self.create_exchange(server, deadline=self.clock.now() - 1.0)
        self.assert_fails(exchange, OutcomeKind.TIMEOUT, Verdict.NOT_RUN)

    def test_exchange_and_connection_end_when_the_caller_leaves(self):
        server = self.start_server([self.caller.close])
        self.assertRaises(CallerDisconnected, self.create_exchange(server).run)
        self.assertTrue(server.closed.wait(10))
