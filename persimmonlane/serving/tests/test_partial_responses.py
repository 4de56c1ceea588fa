import socket
import threading
import time

import testtools

from ...outcomes import OutcomeKind
from ...tests.test_sitenode import Site, wait_until
from ...verdicts import Verdict
from ..exchange import ExchangeError
from .rawserver import RawServer, read_head, reset
from .test_exchange import ExchangeTestCase

HEAD = (
    "HTTP/1.1 {status}\r\nX-Request-Id: one\r\n"
    "X-Response-Signature: s.1\r\n{fields}\r\n"
)
UPLOAD = b"u" * (8 * 1024 * 1024)
# A body that socket buffers hold, so that all of it is written at once.
SHORT_UPLOAD = b"u" * 100_000
# Time in which the bytes of a response arrive before the connection is reset.
ARRIVAL_S = 0.2
# Time between the end of a server's output and its reset.
RESET_PAUSE_S = 0.1
# Receive buffer that leaves most of a short body with the sender.
SMALL_BUFFER_BYTES = 4096
WRONG_STATUSES = (
    "000",
    "0",
    "99",
    "600",
    "999",
    "1000",
    "-200",
    "2_00",
    "0200",
    "+200",
)
WRONG_LENGTHS = ("x", "9x", "-9", "+9", "9_9", "9, 9", "")
WRONG_ENCODINGS = ("chunked ", "gzip, chunked", "identity", "chunked, chunked")


def build_head(status="200 OK", *fields):
    lines = "".join(f"{field}\r\n" for field in fields)
    return HEAD.format(status=status, fields=lines).encode()


class Handlers:
    """Ways in which a backend server answers one request."""

    @staticmethod
    def send(data, end=socket.socket.close):
        def handle(connection):
            read_head(connection)
            connection.sendall(data)
            time.sleep(ARRIVAL_S)
            end(connection)

        return handle

    @staticmethod
    def close_after_reading(data, read_bytes, pause_s=0.0):
        """Close without unread input: the end of the connection precedes its reset."""

        def handle(connection):
            _, body = read_head(connection)
            size = len(body)
            while size < read_bytes:
                size += len(connection.recv(read_bytes - size))
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            time.sleep(pause_s)
            connection.close()

        return handle

    @staticmethod
    def half_close_and_drain(data):
        def handle(connection):
            read_head(connection)
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(1 << 16):
                pass

        return handle

    @staticmethod
    def answer_then_read_on(first, last, upload_bytes, seen):
        """Send a first part early, and the last part after the whole upload."""

        def handle(connection):
            _, body = read_head(connection)
            connection.sendall(first)
            size = len(body)
            while size < upload_bytes:
                data = connection.recv(1 << 16)
                if not data:
                    return
                size += len(data)
            seen.append(size)
            connection.sendall(last)

        return handle


class PartialResponseTests(ExchangeTestCase):
    """Against responses that end early or are none, beside the owner's exchange."""

    def run_exchange(self, handle, buffer_bytes=None, **changes):
        server = RawServer(self, handle, buffer_bytes=buffer_bytes)
        changes.setdefault("deadline", self.clock.now() + 6.0)
        return self.create_exchange(server.address, **changes).run()

    def assert_rejected(self, handle, place="", **changes):
        try:
            response = self.run_exchange(handle, **changes)
        except Exception as error:
            self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict, place)
            self.assertIn(error.kind, (OutcomeKind.ERROR, OutcomeKind.INVALID), place)
        else:
            self.fail(f"{place}: taken as {response.status} {response.body[:50]!r}")

    def upload(self, handle, body=UPLOAD):
        return self.run_exchange(handle, method="POST", body=body)

    def test_reset_within_a_response_without_a_length(self):
        handle = Handlers.send(build_head() + b"part", reset)
        self.assert_rejected(handle)

    def test_reset_during_an_upload_that_is_answered_early_without_a_length(self):
        handle = Handlers.send(build_head() + b"part", reset)
        for body in (UPLOAD, SHORT_UPLOAD):
            self.assert_rejected(handle, len(body), method="POST", body=body)

    def run_with_late_send(self, data):
        """Run an exchange whose request is written in two parts.

        The connection is reset in between, so that the second send reports it, and the
        input then ends as if the connection had been closed properly.
        """
        server = RawServer(self, Handlers.send(data, reset))
        exchange = self.create_exchange(server.address, method="POST", body=UPLOAD)
        connection = exchange._connect()
        send = connection.send

        def send_twice(head):
            send(head)
            time.sleep(2 * ARRIVAL_S)
            send(b"u")

        connection.send = send_twice
        self.pool.put(connection)
        return exchange.run()

    def test_reset_that_the_sending_side_sees_first(self):
        data = build_head() + b"part"
        error = self.assertRaises(ExchangeError, self.run_with_late_send, data)
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    def test_whole_failure_before_a_reset_that_the_sending_side_sees_first(self):
        data = build_head("413 Too Large", "Content-Length: 3") + b"big"
        response = self.run_with_late_send(data)
        self.assertEqual((413, b"big"), (response.status, response.body))

    def test_connection_that_is_closed_halfway_through_an_upload(self):
        # Once all of a body is acknowledged, a server that ends its output and pauses
        # before it closes can't be told from one that has read the whole body.
        for body, read_bytes, pause_s in (
            (UPLOAD, 0, 0.0),
            (UPLOAD, 300_000, 0.0),
            (SHORT_UPLOAD, 5_000, 0.0),
            (SHORT_UPLOAD, 5_000, RESET_PAUSE_S),
        ):
            handle = Handlers.close_after_reading(
                build_head() + b"part", read_bytes, pause_s
            )
            place = f"{read_bytes} of {len(body)}, pause of {pause_s} s"
            self.assert_rejected(
                handle,
                place,
                method="POST",
                body=body,
                buffer_bytes=SMALL_BUFFER_BYTES,
            )

    def test_early_response_with_a_length_that_is_closed_halfway(self):
        handle = Handlers.send(build_head("200 OK", "Content-Length: 9") + b"part")
        self.assert_rejected(handle, method="POST", body=UPLOAD)

    def test_whole_failure_that_is_sent_before_the_upload_is_reset(self):
        data = build_head("503 Full", "Content-Length: 4") + b"full"
        response = self.upload(Handlers.send(data, reset))
        self.assertEqual((503, b"full"), (response.status, response.body))

    def test_response_without_a_length_that_ends_properly(self):
        for body in (b"", SHORT_UPLOAD):
            handle = Handlers.half_close_and_drain(build_head() + b"whole")
            method = "POST" if body else "GET"
            response = self.run_exchange(handle, method=method, body=body)
            self.assertEqual(b"whole", response.body)

    def test_early_response_without_a_length_that_ends_properly(self):
        handle = Handlers.half_close_and_drain(build_head("413 Large") + b"whole")
        response = self.upload(handle)
        self.assertEqual((413, b"whole"), (response.status, response.body))

    def test_server_that_answers_early_and_reads_on(self):
        # The rest of the upload must be sent while the response is read.
        seen = []
        head = build_head("200 OK", "Content-Length: 5")
        handle = Handlers.answer_then_read_on(head + b"wh", b"ole", len(UPLOAD), seen)
        self.assertEqual(b"whole", self.upload(handle).body)
        self.assertEqual([len(UPLOAD)], seen)

    def test_response_whose_status_is_none(self):
        for status in WRONG_STATUSES:
            data = build_head(f"{status} Odd", "Content-Length: 5") + b"whole"
            self.assert_rejected(Handlers.send(data), status)

    def test_interim_response_as_the_final_one(self):
        for status in ("100 Continue", "101 Switch", "103 Hints", "199 Odd"):
            for fields in ((), ("Content-Length: 0",)):
                handle = Handlers.send(build_head(status, *fields))
                self.assert_rejected(handle, status)

    def test_response_without_content_has_no_body(self):
        for status in ("204 None", "304 Same"):
            for fields, body in (
                (("Content-Length: 5",), b"whole"),
                (("Transfer-Encoding: chunked",), b"5\r\nwhole\r\n0\r\n\r\n"),
                (("Transfer-Encoding: chunked",), b""),
                ((), b"whole"),
            ):
                place = f"{status} {fields} {body}"
                data = build_head(status, *fields) + body
                response = self.run_exchange(Handlers.send(data))
                self.assertEqual(int(status[:3]), response.status, place)
                self.assertEqual(b"", response.body, place)

    def test_connection_is_not_reused_where_a_body_was_announced_beside_204(self):
        # The body may arrive later, in place of the next request's response.
        for field in ("Content-Length: 5", "Transfer-Encoding: chunked"):
            ended = threading.Event()
            self.addCleanup(ended.set)

            def handle(connection, field=field, ended=ended):
                read_head(connection)
                connection.sendall(build_head("204 None", field))
                ended.wait(10.0)

            server = RawServer(self, handle)
            self.create_exchange(server.address).run()
            self.assertIsNone(self.pool.take(server.address, "two"), field)

    def test_response_whose_length_is_malformed(self):
        # It must not count as one without a length, which ends anywhere.
        for length in WRONG_LENGTHS:
            data = build_head("200 OK", f"Content-Length: {length}") + b"part"
            self.assert_rejected(Handlers.send(data), length)

    def test_response_whose_transfer_encoding_is_not_known(self):
        for encoding in WRONG_ENCODINGS:
            data = build_head("200 OK", f"Transfer-Encoding: {encoding}") + b"9\r\npart"
            self.assert_rejected(Handlers.send(data), encoding)


class PartialResponseOfANodeTests(testtools.TestCase):
    """The same through the ingress node and the owner, one beside it and one apart."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))

    def play(self, handle, **fields):
        answers = []
        for service in ("near", "far"):
            _, settings = self.site.nodes[service]
            self.site.servers[service].stop()
            server = RawServer(self, handle, settings.server)
            answers.append(self.site.call(f"/{service}/", method="POST", **fields))
            server.stop()
        return answers

    def assert_statuses(self, status, handle, **fields):
        answers = self.play(handle, **fields)
        self.assertEqual([status] * 2, [answer.status for answer in answers])
        return answers

    def test_reset_during_an_upload_that_is_answered_early(self):
        handle = Handlers.send(build_head() + b"part", reset)
        self.assert_statuses(502, handle, body=UPLOAD)

    def test_connection_that_is_closed_halfway_through_an_upload(self):
        handle = Handlers.close_after_reading(build_head() + b"part", 300_000)
        self.assert_statuses(502, handle, body=UPLOAD)

    def test_whole_failure_that_is_sent_before_the_upload_is_reset(self):
        data = build_head("500 Broken", "Content-Length: 4") + b"full"
        answers = self.assert_statuses(500, Handlers.send(data, reset), body=UPLOAD)
        self.assertEqual([b"full"] * 2, [answer.data for answer in answers])

    def test_server_that_answers_early_and_reads_on(self):
        head = build_head("200 OK", "Content-Length: 5")
        handle = Handlers.answer_then_read_on(head + b"wh", b"ole", len(UPLOAD), [])
        answers = self.assert_statuses(200, handle, body=UPLOAD)
        self.assertEqual([b"whole"] * 2, [answer.data for answer in answers])

    def test_response_without_a_length_that_ends_properly(self):
        handle = Handlers.half_close_and_drain(build_head() + b"whole")
        answers = self.assert_statuses(200, handle, body=SHORT_UPLOAD)
        self.assertEqual([b"whole"] * 2, [answer.data for answer in answers])

    def test_response_whose_status_is_none(self):
        data = build_head("600 Odd", "Content-Length: 5") + b"whole"
        self.assert_statuses(502, Handlers.send(data))

    def test_interim_response_as_the_final_one(self):
        self.assert_statuses(502, Handlers.send(build_head("101 Switch")))

    def test_response_without_content_has_no_body(self):
        data = build_head("204 None", "Transfer-Encoding: chunked")
        body = b"5\r\nwhole\r\n0\r\n\r\n"
        answers = self.assert_statuses(204, Handlers.send(data + body))
        self.assertEqual([b""] * 2, [answer.data for answer in answers])
