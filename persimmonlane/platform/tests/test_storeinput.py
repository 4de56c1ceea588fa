import time
import zlib

import testtools

from ...clocks import ManualClock
from ...errors import StoreError
from ...serving.tests.scripted import ScriptedServer
from ...upkeep.generations import GenerationTracker
from ..store import SiteStore
from ..storeinput import MAX_ANSWER_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
# Bytes that come one by one, over several times the timeout of a call.
SLOW_BYTES = 30
PAUSE_S = 0.2
# More than the bound, and than what the buffers of both sockets hold.
ENDLESS_BYTES = 64 * 1024 * 1024
BLOCK = b"x" * 65536


class BoundedAnswerTests(testtools.TestCase):
    """Answers of the store that would keep a thread or use up memory without bounds."""

    def read(self, script):
        server = ScriptedServer([script])
        self.addCleanup(server.stop)
        generations = GenerationTracker(ManualClock(0.0))
        return SiteStore(server.address, generations).read("op/config")

    def send_slowly(self, start, sent):
        yield start
        for _ in range(SLOW_BYTES):
            time.sleep(PAUSE_S)
            yield b"x"
            sent.append(1)

    def check_slow(self, start):
        sent = []
        self.assertRaises(StoreError, self.read, self.send_slowly(start, sent))
        self.assertThat(len(sent), testtools.matchers.LessThan(SLOW_BYTES))

    def count_sent(self, start, sent):
        yield start
        for _ in range(ENDLESS_BYTES // len(BLOCK)):
            yield BLOCK
            sent.append(len(BLOCK))

    def test_head_that_comes_byte_by_byte_ends_at_the_timeout(self):
        self.check_slow(b"HTTP/1.1 200 OK\r\nX-Long: ")

    def test_body_that_comes_byte_by_byte_ends_at_the_timeout(self):
        self.check_slow(HEAD + b"Content-Length: 5000\r\n\r\n")

    def test_endless_body_is_not_read(self):
        sent = []
        script = self.count_sent(HEAD + b"\r\n", sent)
        self.assertRaises(StoreError, self.read, script)
        self.assertThat(sum(sent), testtools.matchers.LessThan(ENDLESS_BYTES))

    def test_answer_that_announces_more_than_the_bound_is_a_failed_call(self):
        # Numbers beyond an index, or the memory, must raise no foreign error.
        for digits in (7, 9, 12, 15, 16):
            size = "f" * digits
            fields = f"Content-Length: {int(size, 16)}\r\n\r\n"
            chunk = f"Transfer-Encoding: chunked\r\n\r\n{size}\r\n"
            for rest in (fields, chunk):
                script = [HEAD + rest.encode() + b"{}", ScriptedServer.CLOSE]
                error = self.assertRaises(StoreError, self.read, script)
                self.assertIn("the answer is too long", str(error))

    def test_compressed_answer_is_not_expanded(self):
        body = zlib.compress(bytes(8 * MAX_ANSWER_BYTES))
        head = f"Content-Encoding: deflate\r\nContent-Length: {len(body)}\r\n\r\n"
        script = [HEAD + head.encode() + body]
        error = self.assertRaises(StoreError, self.read, script)
        self.assertEqual("store-answer-invalid", error.code)

    def test_listing_without_end_is_refused(self):
        page = b'{"items": [{"Key": "k", "Value": "eA=="}], "HasMore": true}'
        page += b" " * 4_000_000
        head = f"Content-Length: {len(page)}\r\n\r\n".encode()
        server = ScriptedServer([[HEAD + head + page] for _ in range(20)])
        self.addCleanup(server.stop)
        store = SiteStore(server.address, GenerationTracker(ManualClock(0.0)))
        self.assertRaises(StoreError, store.list, "nodes/")
