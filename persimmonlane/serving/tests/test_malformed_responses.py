import itertools
import json

import testtools

from ...explaining.tests.test_events import capture_records
from ...outcomes import OutcomeKind
from ...tests.test_sitenode import Site, wait_until
from ...verdicts import Verdict
from ..exchange import ExchangeError
from ..nodeheaders import get_reported_request_id
from .rawserver import RawServer, read_head
from .test_exchange import ExchangeTestCase

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"X-Request-Id: one\r\nX-Response-Signature: s.1\r\n"
BODY = b"twelve bytes"
# Fields that give the body's length, and the body as it is sent with them.
FRAMINGS = {
    "with a length": (b"Content-Length: 12\r\n", BODY),
    "in chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"c\r\ntwelve bytes\r\n0\r\n\r\n",
    ),
    "without either": (b"", BODY),
}
LENGTH, CHUNKS = FRAMINGS["with a length"][0], FRAMINGS["in chunks"][0]

NAMES = (
    b"Content-Length",
    b"Transfer-Encoding",
    b"X-Response-Signature",
    b"X-Request-Id",
    b"X-Odd",
)
BLANKS_AND_CONTROLS = b" \t\x00\x01\x0b\x0c\x1b\x1c\x7f"
MALFORMED_LINES = [
    *(b"X-Bad%cName: 1" % byte for byte in BLANKS_AND_CONTROLS),
    *(name + blank + b": 12" for name in NAMES for blank in (b" ", b"\t")),
    b"no colon",
    b": no name",
    b":",
    b" ",
    b"X-B\xe4d: 1",
    b"X(Bad): 1",
    b"X/Bad: 1",
    b"X-Bad\rName: 1",
    b"X-Odd: a\rb",
    b"X-Odd: a\rContent-Length: 3",
    b"X-Odd: a\r",
    b"X-Odd: a\x00b",
    b"X-Odd: a\x01b",
    b"X-Odd: a\x7fb",
    b"X-Odd: a\r\n folded",
    b"X-Odd: a\r\n\tfolded",
]
VALID_LINES = [
    b"!#$%&'*+-.^_`|~9aZ: 1",
    b"X-Empty:",
    b"X-Odd:no-blank",
    b"X-Odd: \t blanks \t around \t",
    b'X-Odd: a:b, "c\\"d" =?utf-8?q?e?= <f> (g)',
    b"X-Odd: \x80\xa0\xe9\xff\xc3\xa9",
    b"X-Odd: " + b"long" * 4000,
    b"X-Odd: 1\r\nX-Odd: 2\r\nx-odd: 1",
    b"From: a@example",
    b"Subject: =?utf-8?b?AAAA?=",
    b"Content-Type: multipart/mixed; boundary=x",
    b"Content-Type: message/rfc822",
    b"Content-Type: message/delivery-status",
    b"Content-Type: ;;;",
]
MALFORMED_STATUS_LINES = [
    b" HTTP/1.1 200 OK",
    b"\tHTTP/1.1 200 OK",
    b"HTTP/1.x 200 OK",
    b"HTTP/1.10 200 OK",
    b"HTTP/1. 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1\x0b200 OK",
    b"HTTP/1.1\x1c200 OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1 200\x0cOK",
    b"HTTP/1.1 200\x00OK",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 OK\r",
]
VALID_STATUS_LINES = [
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200  two blanks\there",
    b"HTTP/1.1 200 \xe9t\xe9",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/1.1 299 Odd",
]
# Lines in place of the size of a chunk of twelve bytes.
MALFORMED_SIZES = [
    b"0xc",
    b"+c",
    b"-c",
    b"0_c",
    b" c",
    b"1" + b"0" * 16,
    b"c\x0b",
    b"c c",
    b"",
    b";",
    b"c;a\x00b",
    b"c;a\rb",
    b"c\r",
]
VALID_SIZES = [
    b"C",
    b"000000000000000000000c",
    b"c;name=value;name",
    b'c ; name = "va lue"',
    b"c;\xe9",
    # Some servers write sizes into a field of fixed width.
    b"c     ",
]
# Whole bodies in chunks.
MALFORMED_CHUNKS = [
    b"c\r\ntwelve bytes0\r\n\r\n",
    b"c\r\ntwelve bytesxx0\r\n\r\n",
    b"c\r\ntwelve bytes\n\n0\r\n\r\n",
    b"c\r\ntwelve bytes\r\n0\r\n",
    b"c\r\ntwelve bytes\r\n0\r\nX-Sum: 1",
    b"c\r\ntwelve bytes\r\n0\r\nX-Sum: 1\r\n",
]


def build_head(*lines, status_line=STATUS_LINE):
    return status_line + b"".join(lines) + b"\r\n"


def list_heads(lines):
    """Return responses with each line at each place of the head, by a description."""
    responses = {}
    for line, framing in itertools.product(lines, FRAMINGS):
        field, body = FRAMINGS[framing]
        line += b"\r\n"
        for place, parts in (
            ("first", (line, FIELDS, field)),
            ("before the length", (FIELDS, line, field)),
            ("behind the length", (FIELDS, field, line)),
        ):
            responses[f"{line!r} {place}, {framing}"] = build_head(*parts) + body
    return responses


def list_chunk_sizes(sizes):
    """Return responses in chunks whose first size is written oddly."""
    head = build_head(FIELDS, CHUNKS)
    return {
        repr(size): head + size + b"\r\ntwelve bytes\r\n0\r\n\r\n" for size in sizes
    }


def list_trailers(lines):
    """Return responses in chunks that have a line among their trailers."""
    start = build_head(FIELDS, CHUNKS) + b"c\r\ntwelve bytes\r\n0\r\n"
    return {repr(line): start + b"X-A: b\r\n" + line + b"\r\n\r\n" for line in lines}


def list_interim_heads(lines):
    """Return whole responses behind an interim one that has a line in its head."""
    final = build_head(FIELDS, LENGTH) + BODY
    return {
        repr(line): b"HTTP/1.1 100 Continue\r\nX-A: b\r\n" + line + b"\r\n\r\n" + final
        for line in lines
    }


def list_status_lines(lines):
    """Return responses by their status lines."""
    return {
        repr(line): build_head(FIELDS, LENGTH, status_line=line + b"\r\n") + BODY
        for line in lines
    }


def send_and_close(data):
    def handle(connection):
        read_head(connection)
        connection.sendall(data)
        connection.close()

    return handle


class MalformedResponseTests(ExchangeTestCase):
    """Against responses that are no valid HTTP, beside the owner's exchange."""

    def run_exchange(self, data, **changes):
        server = RawServer(self, send_and_close(data))
        return self.create_exchange(server.address, **changes).run()

    def assert_refused(self, responses, **changes):
        """Assert that no response is taken as one; name all those that are."""
        accepted = []
        for place, data in responses.items():
            try:
                response = self.run_exchange(data, **changes)
            except ExchangeError as error:
                self.assertEqual(
                    (OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN, "answer-refused"),
                    (error.kind, error.verdict, error.code),
                    place,
                )
            else:
                accepted.append(f"{place}: {response.status} {response.body!r}")
        self.assertEqual([], accepted)

    def assert_served(self, responses):
        for place, data in responses.items():
            response = self.run_exchange(data)
            self.assertEqual(BODY, response.body, place)
            self.assertEqual(2, response.status // 100, place)

    def test_head_with_a_line_that_is_no_field(self):
        self.assert_refused(list_heads(MALFORMED_LINES))

    def test_head_with_odd_but_valid_fields(self):
        self.assert_served(list_heads(VALID_LINES))

    def test_head_of_another_node_with_a_line_that_is_no_field(self):
        # A node of an older release passes on what its backend server has sent.
        fields = b"Persimmon-Request: one\r\nPersimmon-Report: []\r\n"
        responses = {
            repr(line): build_head(fields, line + b"\r\n", LENGTH) + BODY
            for line in MALFORMED_LINES
        }
        self.assert_refused(responses, extract_request_id=get_reported_request_id)

    def test_fields_are_passed_on_as_they_came(self):
        lines = b"X-Odd: \xe9=\xff \r\nX-EMPTY:\r\nx-odd:2\r\n"
        response = self.run_exchange(build_head(FIELDS, lines, LENGTH) + BODY)
        self.assertEqual(
            [("X-Odd", "\xe9=\xff"), ("X-EMPTY", ""), ("x-odd", "2")],
            [(header.name, header.value.rstrip()) for header in response.headers[2:-1]],
        )

    def test_lines_that_end_without_a_carriage_return(self):
        # RFC 9112, 2.2, lets a recipient take them.
        for field, body in FRAMINGS.values():
            head = build_head(FIELDS, field).replace(b"\r\n", b"\n")
            self.assert_served({repr(head): head + body})

    def test_status_line_that_is_none(self):
        self.assert_refused(list_status_lines(MALFORMED_STATUS_LINES))

    def test_odd_but_valid_status_line(self):
        self.assert_served(list_status_lines(VALID_STATUS_LINES))

    def test_interim_head_with_a_line_that_is_no_field(self):
        self.assert_refused(list_interim_heads(MALFORMED_LINES))

    def test_interim_heads_with_valid_fields(self):
        self.assert_served(list_interim_heads(VALID_LINES))
        final = build_head(FIELDS, LENGTH) + BODY
        self.assert_served({"two": b"HTTP/1.1 100 Continue\r\n\r\n" * 2 + final})

    def test_chunk_size_that_is_none(self):
        self.assert_refused(list_chunk_sizes(MALFORMED_SIZES))

    def test_odd_but_valid_chunk_size(self):
        self.assert_served(list_chunk_sizes(VALID_SIZES))

    def test_chunks_that_do_not_end_where_they_should(self):
        head = build_head(FIELDS, CHUNKS)
        self.assert_refused({repr(body): head + body for body in MALFORMED_CHUNKS})

    def test_trailer_that_is_no_field(self):
        self.assert_refused(list_trailers(MALFORMED_LINES))

    def test_odd_but_valid_trailer(self):
        self.assert_served(list_trailers(VALID_LINES))

    def test_length_of_more_digits_than_a_number_may_have(self):
        # It must not count as a response without a length, which ends anywhere.
        field = b"Content-Length: " + b"1" * 5000 + b"\r\n"
        self.assert_refused({"digits": build_head(FIELDS, field) + b"part"})

    def test_connection_is_not_used_again(self):
        # What follows on it would be read from within the malformed response.
        response = build_head(FIELDS, b"X Bad: 1\r\n", LENGTH) + BODY

        def handle(connection):
            while True:
                read_head(connection)
                connection.sendall(response)

        server = RawServer(self, handle)
        self.assertRaises(ExchangeError, self.create_exchange(server.address).run)
        self.assertIsNone(self.pool.take(server.address, "two"))

    def test_log_line_names_the_reason_without_foreign_bytes(self):
        records = capture_records(self)
        data = build_head(FIELDS, b"X \x1bBad: \x1b[2J\r\n", LENGTH) + BODY
        self.assert_refused({"escape": data})
        (line,) = (r for r in records if vars(r).get("event") == "response-malformed")
        self.assertIn("a field name is malformed", line.getMessage())
        self.assertNotIn("\x1b", str(vars(line)))


class MalformedResponseOfANodeTests(testtools.TestCase):
    """The same through the ingress node and the owner, one beside it and one apart."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))

    def play(self, data):
        answers = []
        for service in ("near", "far"):
            _, settings = self.site.nodes[service]
            self.site.servers[service].stop()
            server = RawServer(self, send_and_close(data), settings.server)
            answers.append(self.site.call(f"/{service}/", method="POST"))
            server.stop()
        return answers

    def assert_refused(self, data):
        for answer in self.play(data):
            self.assertEqual(502, answer.status, answer.data)
            self.assertEqual("may-have-run", answer.headers["Persimmon-Verdict"])
            self.assertEqual("answer-refused", json.loads(answer.data)["code"])

    def assert_served(self, data):
        answers = self.play(data)
        self.assertEqual(
            [(200, BODY)] * 2, [(answer.status, answer.data) for answer in answers]
        )
        return answers

    def test_blank_in_a_name_before_the_chunks(self):
        # The sizes of the chunks reached the caller as a part of the body.
        field, body = FRAMINGS["in chunks"]
        self.assert_refused(build_head(FIELDS, b"X Bad: 1\r\n", field) + body)

    def test_control_byte_in_a_name_before_the_length(self):
        # What came until the connection ended reached the caller as the body.
        head = build_head(FIELDS, b"X\x01Bad: 1\r\n", LENGTH)
        self.assert_refused(head + BODY[:5])

    def test_separator_in_a_name(self):
        # The line was passed on, and the caller read bytes that are no HTTP.
        self.assert_refused(build_head(FIELDS, LENGTH, b"X(Bad): 1\r\n") + BODY)

    def test_folded_line(self):
        self.assert_refused(build_head(FIELDS, LENGTH, b"X-A: b\r\n c\r\n") + BODY)

    def test_status_that_is_none(self):
        status_line = b"HTTP/1.1 000 None\r\n"
        head = build_head(FIELDS, LENGTH, status_line=status_line)
        self.assert_refused(head + BODY)

    def test_odd_but_valid_head(self):
        lines = b"!#$%&'*+-.^_`|~9: \xe9\r\nX-Empty:\r\nX-Odd:a\tb\r\n"
        for field, body in FRAMINGS.values():
            head = build_head(FIELDS, lines, field, status_line=b"HTTP/1.1 200\r\n")
            for answer in self.assert_served(head + body):
                self.assertEqual("\xe9", answer.headers["!#$%&'*+-.^_`|~9"])
                self.assertEqual("a\tb", answer.headers["X-Odd"])

    def test_statements_of_a_malformed_response_are_not_believed(self):
        statements = b"Server-Limit: 0\r\nServer-Leaving: 1\r\n"
        head = build_head(FIELDS, statements, LENGTH, b"X Bad: 1\r\n")
        owners = [self.site.nodes[service][0].owner for service in ("near", "far")]
        before = [owner.detector.risk.errors for owner in owners]
        self.assert_refused(head + BODY)
        for owner, errors in zip(owners, before, strict=True):
            self.assertFalse(owner.hosted.is_leaving())
            self.assertIsNone(owner.admission_queue.limit.rate)
            self.assertThat(
                owner.detector.risk.errors, testtools.matchers.GreaterThan(errors)
            )
