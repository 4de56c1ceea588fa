import testtools

from ...clocks import ManualClock
from ...errors import StoreError
from ...serving.tests.scripted import ScriptedServer
from ...serving.tests.test_malformed_responses import (
    BODY,
    MALFORMED_CHUNKS,
    MALFORMED_LINES,
    MALFORMED_SIZES,
    MALFORMED_STATUS_LINES,
    VALID_LINES,
    VALID_SIZES,
    VALID_STATUS_LINES,
)
from ...upkeep.generations import MIN_CONTRADICTIONS, GenerationTracker
from ..store import SiteStore, StoreLease

START = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"Store-Era: 1\r\nContent-Length: 12\r\n"
CHUNKED = b"Store-Era: 1\r\nTransfer-Encoding: chunked\r\n"
# As long as the body of the responses in the other tests.
JSON_BODY = b'{"AsOf" : 3}'
MALFORMED_LENGTHS = [
    b"Content-Length: 12\r\nContent-Length: 13",
    b"Content-Length: 12\r\nTransfer-Encoding: chunked",
    b"Content-Length: twelve",
    b"Content-Length: " + b"1" * 5000,
    b"Transfer-Encoding: gzip, chunked",
]
LEASE = StoreLease(9, 1, 5.0)


def build_answer(*lines, start=START, fields=FIELDS):
    return start + b"".join(lines) + fields + b"\r\n" + JSON_BODY


def build_chunks(size=b"c", trailers=b""):
    head = START + CHUNKED + b"\r\n"
    return head + size + b"\r\n" + JSON_BODY + b"\r\n0\r\n" + trailers + b"\r\n"


def list_answers(lines, status_lines, sizes):
    """Return answers with odd lines, sizes of chunks and trailers, by a description."""
    answers = {}
    for line in lines:
        line += b"\r\n"
        interim = b"HTTP/1.1 100 Continue\r\n" + line + b"\r\n"
        answers[f"{line!r} in the head"] = build_answer(line)
        answers[f"{line!r} in an interim head"] = interim + build_answer()
        answers[f"{line!r} as a trailer"] = build_chunks(trailers=line)
    for line in status_lines:
        answers[repr(line)] = build_answer(start=line + b"\r\n")
    for size in sizes:
        answers[f"size {size!r}"] = build_chunks(size)
    return answers


def list_malformed():
    """Return answers that are no valid HTTP or cut short, by a description."""
    answers = list_answers(MALFORMED_LINES, MALFORMED_STATUS_LINES, MALFORMED_SIZES)
    for chunks in MALFORMED_CHUNKS:
        body = chunks.replace(BODY, JSON_BODY)
        answers[f"chunks {body!r}"] = START + CHUNKED + b"\r\n" + body
    for field in MALFORMED_LENGTHS:
        fields = b"Store-Era: 1\r\n" + field + b"\r\n"
        answers[repr(field[:50])] = build_answer(fields=fields)
    head = START + FIELDS + b"\r\n"
    for length in range(1, len(head)):
        answers[f"head cut after {length} bytes"] = head[:length]
    return answers


class MalformedAnswerTests(testtools.TestCase):
    """Answers of the store that are no valid HTTP count as none."""

    def create_store(self, *scripts):
        """Start a store in generation 1; return its client."""
        self.server = ScriptedServer(scripts)
        self.addCleanup(self.server.stop)
        self.generations = GenerationTracker(ManualClock(0.0))
        self.generations.note_answer(1, 0)
        return SiteStore(self.server.address, self.generations)

    def create_closing_store(self, *answers):
        """The same for a store that closes after each of its answers."""
        return self.create_store(*([it, ScriptedServer.CLOSE] for it in answers))

    def renew(self, answer):
        """Renew a lease; return the `StoreError`, or None."""
        try:
            self.create_closing_store(answer).renew_lease(LEASE)
        except StoreError as error:
            return error
        return None

    def test_malformed_answer_is_a_failed_call(self):
        # The generation behind a malformed line is lost, and with it a live lease.
        wrong = []
        for place, answer in list_malformed().items():
            error = self.renew(answer)
            if type(error) is not StoreError or error.code != StoreError.code:
                wrong.append(f"{place}: {error!r}")
        self.assertEqual([], wrong)

    def test_odd_but_valid_answer_is_read(self):
        # The store answers with 200 alone.
        status_lines = [line for line in VALID_STATUS_LINES if b" 200" in line]
        answers = list_answers(VALID_LINES, status_lines, VALID_SIZES)
        for place, answer in answers.items():
            item = self.create_closing_store(answer).read("a")
            self.assertEqual((1, 3), (item.position.generation, item.position.revision))
            self.assertIsNone(self.renew(answer), place)

    def test_answer_that_is_cut_short_is_not_taken_as_whole(self):
        # The length behind a malformed line is lost.
        fields = b"Store-Era: 1\r\nX Bad: 1\r\nContent-Length: 99\r\n"
        store = self.create_closing_store(build_answer(fields=fields))
        self.assertRaises(StoreError, store.read, "a")

    def test_malformed_answers_name_no_generation(self):
        # As many as would do if a store without generations had sent them.
        answers = [build_answer(b"X Bad: 1\r\n")] * (2 * MIN_CONTRADICTIONS)
        store = self.create_closing_store(*answers)
        for _ in answers:
            self.assertRaises(StoreError, store.renew_lease, LEASE)
        self.assertEqual(1, self.generations.current)

    def test_connection_is_not_used_again(self):
        malformed = build_answer(b"X Bad: 1\r\n")
        store = self.create_store([malformed], [build_answer()])
        self.assertRaises(StoreError, store.read, "a")
        self.assertEqual(3, store.read("a").position.revision)
        self.assertEqual(2, self.server.connections)
