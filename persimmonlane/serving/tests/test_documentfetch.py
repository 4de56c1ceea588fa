import zlib

import testtools

from ...clocks import BootClock
from ...headers import Header
from ...platform.documents import DOCUMENT_KEY
from ...tests.test_sitenode import Site, build_document, wait_until
from ..documentfetch import (
    MAX_DOCUMENT_BYTES,
    MAX_NUMBER,
    decode_body,
    fetch_document,
    parse_number,
)
from ..memory import MemoryAccount
from .scripted import ScriptedServer

VERSION = 8


class Answer:
    def __init__(self, body, encoding):
        self.body = body
        self.headers = [Header("Content-Encoding", encoding)] if encoding else []


class DecodingTests(testtools.TestCase):
    def test_documents_of_older_nodes_are_taken_as_they_are(self):
        self.assertEqual(b"{}", decode_body(Answer(b"{}", "")))

    def test_malformed_or_endless_documents_are_refused(self):
        endless = zlib.compress(bytes(MAX_DOCUMENT_BYTES + 1))
        for body in (b"{}", zlib.compress(b"{}")[:-1], endless):
            self.assertIsNone(decode_body(Answer(body, "deflate")))
        self.assertIsNone(decode_body(Answer(bytes(MAX_DOCUMENT_BYTES + 1), "")))

    def test_numbers_that_no_other_node_would_read_count_as_unknown(self):
        # Guards against a generation that no later document could replace.
        self.assertEqual(MAX_NUMBER, parse_number(str(MAX_NUMBER)))
        for text in ("", "-1", "many", str(MAX_NUMBER + 1), "9" * 40):
            self.assertEqual(0, parse_number(text))


class FetchTests(testtools.TestCase):
    def test_document_behind_a_malformed_head_is_not_used(self):
        # The encoding and the generation behind the malformed line are lost.
        raw = build_document(VERSION)
        fields = f"Content-Length: {len(raw)}\r\nPersimmon-Generation: 1\r\n\r\n"
        for line, expected in (("X-Odd: 1", raw), ("X Bad: 1", None)):
            head = f"HTTP/1.1 200 OK\r\n{line}\r\n{fields}".encode()
            server = ScriptedServer([[head + raw, ScriptedServer.CLOSE]])
            self.addCleanup(server.stop)
            fetched = fetch_document(server.address, BootClock(), MemoryAccount())
            self.assertEqual(expected, fetched and fetched.raw)

    def test_document_is_fetched_compressed_with_its_position_in_the_store(self):
        site = Site(self, store_era=1)
        raw = build_document(VERSION) + b" " * 100_000
        site.store.state.put(DOCUMENT_KEY, raw)
        node, settings = site.nodes["near"]
        self.assertTrue(wait_until(lambda: node.documents.version == VERSION))
        fetched = fetch_document(settings.peer_address, BootClock(), MemoryAccount())
        self.assertEqual(raw, fetched.raw)
        self.assertEqual(1, fetched.generation)
        self.assertTrue(fetched.revision > 0)
        self.assertTrue(len(node.documents.held.compress()) < len(raw) / 10)
