import http.client
import io
import logging
import socket

import msgspec
import testtools

from ...ejection.outcome import Kind
from ...errors import Refusal
from ...keys import extract_keys
from ...verdicts import Verdict
from .. import forwarder
from ..answers import Explanation
from ..forwarder import describe_failure
from ..plans import AttemptEnded, RequestEnded
from .scripted import ScriptedServer, answer, read_all
from .support import KEY, OTHER_KEY, FakeIngress, build_document

HEADERS = {"X-Persimmon-Key": KEY}


def leave_organisations(headers, target):
    extraction = extract_keys(headers, target)
    extraction.headers = [*extraction.headers, *headers]
    return extraction


class GatewayTestCase(testtools.TestCase):
    def serve(self, *scripts):
        server = ScriptedServer(scripts)
        self.addCleanup(server.stop)
        return server

    def start(self, *servers, **service):
        addresses = [getattr(server, "address", server) for server in servers]
        self.ingress = FakeIngress(addresses, **service)
        self.addCleanup(self.ingress.stop)
        sock = self.ingress.connect()
        self.connection = http.client.HTTPConnection("node", timeout=10)
        self.connection.sock = sock
        self.addCleanup(sock.close)

    def ask(self, method="GET", target="/prices/1", body=None, headers=HEADERS):
        self.connection.request(method, target, body, dict(headers))
        response = self.connection.getresponse()
        return response, response.read()

    def assert_refused(self, status, code, verdict="not-run", **request):
        response, body = self.ask(**request)
        explanation = msgspec.json.decode(body, type=Explanation)
        self.assertEqual((status, code), (response.status, explanation.code))
        self.assertEqual(verdict, explanation.verdict)
        self.assertEqual(verdict, response.headers["Persimmon-Verdict"])
        return response

    def list_kinds(self):
        ended = self.ingress.traffic.list_messages(AttemptEnded)
        return [message.outcome.kind for message in ended]


class RefusalTests(GatewayTestCase):
    def test_request_without_key_is_refused(self):
        self.start()
        self.assert_refused(401, "key-missing", headers={})

    def test_wrong_key_is_refused(self):
        self.start()
        headers = {"X-Persimmon-Key": "plk_feria_wrong"}
        self.assert_refused(401, "key-unknown", headers=headers)

    def test_two_keys_are_refused(self):
        self.start()
        target = f"/prices/1?persimmon_key={OTHER_KEY}"
        self.assert_refused(400, "keys-differ", target=target)

    def test_unknown_route_is_refused(self):
        self.start()
        self.assert_refused(404, "route-unknown", target="/nowhere")

    def test_route_of_others_is_refused(self):
        self.start()
        self.assert_refused(403, "route-forbidden", target="/private/1")

    def test_isolated_node_refuses(self):
        self.start()
        self.ingress.forwarder.is_isolated = lambda: True
        self.assert_refused(503, "node-isolated")

    def test_node_without_document_refuses(self):
        self.start()
        self.ingress.forwarder.snapshot = None
        self.assert_refused(503, "no-document")

    def test_malformed_deadline_is_refused(self):
        self.start()
        headers = {**HEADERS, "Persimmon-Deadline-Ms": "soon"}
        self.assert_refused(400, "deadline-malformed", headers=headers)

    def test_withdrawn_key_is_refused_on_an_open_connection(self):
        server = self.serve([answer()])
        self.start(server)
        self.assertEqual(200, self.ask()[0].status)
        self.ingress.publish(build_document(keys=False))
        self.assert_refused(401, "key-unknown")
        self.assertEqual(1, len(server.requests))

    def test_cut_body_does_not_reach_a_backend_server(self):
        server = self.serve([answer()])
        self.start(server)
        sock = self.connection.sock
        sock.sendall(
            f"POST /prices/1 HTTP/1.1\r\nHost: n\r\nX-Persimmon-Key: {KEY}\r\n"
            "Content-Length: 10\r\n\r\nhalf".encode()
        )
        sock.shutdown(socket.SHUT_WR)
        self.assertIn(b"body-cut", read_all(sock))
        self.assertEqual([], server.requests)

    def test_refused_body_is_not_read_as_the_next_request(self):
        self.start()
        self.assert_refused(404, "route-unknown", target="/x", body=b"GET / H")
        self.assert_refused(404, "route-unknown", target="/y")


class ForwardingTests(GatewayTestCase):
    def test_backend_server_sees_organisation_but_no_key(self):
        server = self.serve([answer(b"42")])
        self.start(server)
        headers = {
            "x_persimmon_key": KEY,
            "X-Persimmon-Organisation": "almacen",
            "Connection": "X-Hop",
            "X-Hop": "1",
            "Persimmon-Deadline-Ms": "700",
        }
        target = f"/prices/1?a=b&persimmon_key={KEY}"
        response, body = self.ask(target=target, headers=headers)
        self.assertEqual((200, b"42"), (response.status, body))
        request = server.requests[0]
        self.assertNotIn(KEY.encode(), request)
        self.assertIn(b"X-Persimmon-Organisation: feria\r\n", request)
        self.assertNotIn(b"almacen", request)
        self.assertNotIn(b"X-Hop", request)
        self.assertRegex(request.decode(), r"Persimmon-Deadline-Ms: [1-7]\d\d?\r\n")

    def test_second_organisation_is_noticed(self):
        server = self.serve([answer()])
        self.start(server)
        self.patch(forwarder, "extract_keys", leave_organisations)
        headers = {**HEADERS, "X-Persimmon-Organisation": "almacen"}
        self.assert_refused(
            500, "invariant-organisation", "may-have-run", headers=headers
        )
        self.assertEqual([], server.requests)

    def test_each_method_is_forwarded_once(self):
        methods = ("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD")
        server = self.serve(*([answer(b"")] for _ in methods))
        self.start(*[server] * len(methods))
        for method in methods:
            body = b"data" if method in ("POST", "PUT", "PATCH") else None
            self.assertEqual(200, self.ask(method, body=body)[0].status)
        seen = [request.split(b" ")[0].decode() for request in server.requests]
        self.assertEqual(list(methods), seen)

    def test_chunked_body_is_forwarded(self):
        server = self.serve([answer()])
        self.start(server)
        pieces = iter((b"one", b"two"))
        self.connection.request(
            "POST", "/prices/1", pieces, HEADERS, encode_chunked=True
        )
        self.assertEqual(200, self.connection.getresponse().status)
        body = server.requests[0].partition(b"\r\n\r\n")[2]
        sizes_and_data = body.split(b"\r\n")
        self.assertEqual(b"onetwo", b"".join(sizes_and_data[1:-2:2]))

    def test_large_body_streams(self):
        server = self.serve([answer()])
        self.start(server)
        body = bytes(300_000)
        self.assertEqual(200, self.ask("PUT", body=body)[0].status)
        self.assertTrue(server.requests[0].endswith(body))

    def test_draining_node_asks_to_close(self):
        self.start(self.serve([answer()]))
        self.ingress.draining = True
        self.assertEqual("close", self.ask()[0].headers["Connection"])

    def test_stopping_node_takes_no_new_request(self):
        server = self.serve([answer()])
        self.start(server)
        self.ingress.draining = True
        self.ingress.accepts = False
        response, _ = self.ask()
        self.assertEqual(
            (503, "close"), (response.status, response.headers["Connection"])
        )
        self.assertEqual("not-run", response.headers["Persimmon-Verdict"])
        self.assertEqual([], server.requests)

    def test_server_error_of_a_post_is_passed_on(self):
        self.start(self.serve([answer(b"failed", "500 Error")]))
        response, body = self.ask("POST", body=b"x")
        self.assertEqual((500, b"failed"), (response.status, body))
        self.assertIsNone(response.headers["Persimmon-Verdict"])
        self.assertEqual([Kind.ERROR], self.list_kinds())


class LogTests(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        handler = logging.StreamHandler(self.stream)
        logger = logging.getLogger("persimmonlane")
        self.addCleanup(logger.setLevel, logger.level)
        self.addCleanup(logger.removeHandler, handler)
        logger.addHandler(handler)
        logger.setLevel(logging.DEBUG)

    def test_neither_key_nor_body_is_logged(self):
        broken, whole = self.serve([ScriptedServer.CLOSE]), self.serve([answer()])
        self.start(broken, whole, RuntimeError("a fault of the node"))
        self.ask("PUT", f"/prices/1?persimmon_key={KEY}", b"private body")
        self.ask(headers={"X-Persimmon-Key": "wrong-key-0123456789"})
        self.ask("POST", body=b"private body")
        logged = self.stream.getvalue()
        self.assertIn("Forwarding: a request failed.", logged)
        for secret in (KEY, "wrong-key", "private body"):
            self.assertNotIn(secret, logged)


class AttemptTests(GatewayTestCase):
    def test_broken_post_is_not_sent_again(self):
        first, second = self.serve([ScriptedServer.CLOSE]), self.serve([answer()])
        self.start(first, second)
        self.assert_refused(
            502, "backend-reset", "may-have-run", method="POST", body=b"x"
        )
        self.assertEqual([], second.requests)

    def test_unanswered_post_is_not_sent_again(self):
        first, second = self.serve(None), self.serve([answer()])
        self.start(first, second)
        self.assert_refused(
            504, "backend-timeout", "may-have-run", method="POST", body=b"x"
        )
        self.assertEqual([], second.requests)

    def test_post_is_sent_elsewhere_after_a_refused_connection(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        second = self.serve([answer()])
        self.start(address, second)
        self.assertEqual(200, self.ask("POST", body=b"x")[0].status)
        self.assertEqual([Kind.CONNECT, Kind.OK], self.list_kinds())

    def test_post_is_sent_elsewhere_after_it_was_shed(self):
        shed = answer(b"", "503 Full", ["Persimmon-Verdict: not-run"])
        first, second = self.serve([shed]), self.serve([answer()])
        self.start(first, second)
        self.assertEqual(200, self.ask("POST", body=b"x")[0].status)
        self.assertEqual([Kind.SHED, Kind.OK], self.list_kinds())

    def test_post_on_an_idempotent_route_is_sent_again(self):
        first, second = self.serve([ScriptedServer.CLOSE]), self.serve([answer()])
        self.start(first, second)
        response, _ = self.ask("POST", "/sums/1", b"x")
        self.assertEqual(200, response.status)

    def test_faulty_answers_are_replaced_by_another_server(self):
        faults = (
            [answer(b"half", length=9), ScriptedServer.CLOSE],
            [answer(b"too long", length=3)],
            [answer(headers=["Persimmon-Request-Id: other"])],
            [answer(b"failed", "500 Error")],
        )
        for fault in faults:
            self.start(self.serve(fault), self.serve([answer(b"right")]))
            self.assertEqual(b"right", self.ask()[1])

    def test_refused_retry_keeps_the_first_verdict(self):
        first = self.serve([ScriptedServer.CLOSE])
        self.start(first, Refusal(503, "no-backend-server", "none"))
        self.assert_refused(502, "backend-reset", "may-have-run")

    def test_server_error_is_passed_on_when_attempts_are_used_up(self):
        failing = [answer(b"failed", "500 Error")]
        self.start(*[self.serve(failing) for _ in range(3)])
        self.assertEqual(b"failed", self.ask()[1])

    def test_long_answer_cut_in_the_middle_is_not_passed_off_as_whole(self):
        size = 200_000
        script = [answer(bytes(size // 2), length=size), ScriptedServer.CLOSE]
        self.start(self.serve(script))
        self.connection.request("GET", "/prices/1", headers=HEADERS)
        response = self.connection.getresponse()
        error = self.assertRaises(
            (ConnectionError, http.client.IncompleteRead), response.read
        )
        self.assertIsNotNone(error)

    def test_chunked_answer_cut_in_the_middle_is_not_passed_off_as_whole(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"8000\r\n" + bytes(0x8000) + b"\r\n"
        self.start(self.serve([head, chunk, chunk, ScriptedServer.CLOSE]))
        self.connection.request("GET", "/prices/1", headers=HEADERS)
        response = self.connection.getresponse()
        error = self.assertRaises(
            (ConnectionError, http.client.IncompleteRead), response.read
        )
        self.assertIsNotNone(error)

    def test_caller_that_leaves_cancels_at_the_backend_server(self):
        server = self.serve(None)
        self.start(server, response_timeout_ms=8000)
        self.connection.request("GET", "/prices/1", headers=HEADERS)
        self.assertTrue(server.await_request())
        self.connection.close()
        self.assertTrue(server.closed.wait(10))

    def test_refusal_that_forgets_an_attempt_is_noticed(self):
        self.start(self.serve([ScriptedServer.CLOSE]))
        forgetful = describe_failure
        self.patch(
            forwarder,
            "describe_failure",
            lambda error, verdict: forgetful(error, Verdict.NOT_RUN),
        )
        self.assert_refused(
            500, "invariant-not-run", "may-have-run", method="POST", body=b"x"
        )

    def test_answer_that_lost_a_piece_is_noticed(self):
        self.start(self.serve([answer(b"whole")]))
        self.patch(forwarder, "read_ahead", lambda pieces, length: iter([b"who"]))
        self.connection.request("GET", "/prices/1", headers=HEADERS)
        response = self.connection.getresponse()
        self.assertRaises((ConnectionError, http.client.IncompleteRead), response.read)

    def test_end_of_each_request_is_reported(self):
        self.start(self.serve([answer()]))
        self.ask()
        self.ask(headers={})
        ended = self.ingress.traffic.await_messages(RequestEnded, 2)
        self.assertEqual([200, 401], [message.status for message in ended])
        self.assertEqual(["", "key-missing"], [message.code for message in ended])
        self.assertIs(Verdict.NOT_RUN, ended[1].verdict)
