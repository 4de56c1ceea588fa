"""Fetching of the document from another node.

The document is sent compressed: many nodes of a region may fetch a long one at the same
moment, over links that are narrow and carry the requests as well.
"""

import logging
import zlib

from ..headers import Header, find_first
from .exchange import ExchangeError
from .fetching import fetch
from .nodeheaders import GENERATION_HEADER, REVISION_HEADER

log = logging.getLogger("persimmonlane.serving")

DOCUMENT_PATH = "/persimmon/document"
# zlib's format, by its name in HTTP.
DOCUMENT_ENCODING = "deflate"
FETCH_TIMEOUT_S = 2.0
# No valid document is longer: the store's values have at most a megabyte.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
HTTP_OK = 200
# Nodes tell each other no greater generations and revisions.
MAX_NUMBER = 1 << 40
MAX_NUMBER_DIGITS = 13


class FetchedDocument:
    """A document as another node holds it.

    Attributes:
        raw: The encoded document in bytes.
        generation: Latest generation of the store that is known to hold it, 0 if none.
        revision: Revision in that generation at which it was the newest, 0 if unknown.
    """

    __slots__ = ("raw", "generation", "revision")

    def __init__(self, raw, generation, revision):
        self.raw = raw
        self.generation = generation
        self.revision = revision


def fetch_document(address, clock, memory):
    """Return the `FetchedDocument` of the node at an address, None if that fails.

    Args:
        address: Address of the node, as `host:port`.
        clock: Clock in seconds.
        memory: The `MemoryAccount` for the answer.
    """
    accept = Header("Accept-Encoding", DOCUMENT_ENCODING)
    try:
        answer = fetch(address, DOCUMENT_PATH, FETCH_TIMEOUT_S, clock, memory, [accept])
    except ExchangeError as error:
        log.warning(
            "Serving: failed to fetch the document from %s: %s.", address, error
        )
        return None
    if answer.status != HTTP_OK:
        log.warning("Serving: %s has no document: %d.", address, answer.status)
        return None
    raw = decode_body(answer)
    if raw is None:
        log.warning("Serving: the document of %s can't be decompressed.", address)
        return None
    return FetchedDocument(
        raw,
        parse_number(find_first(answer.headers, GENERATION_HEADER.lower())),
        parse_number(find_first(answer.headers, REVISION_HEADER.lower())),
    )


def decode_body(answer):
    """Return the document in an answer in bytes, None if it is malformed or too long.

    Nodes of older releases send it without compression.
    """
    if find_first(answer.headers, "content-encoding") != DOCUMENT_ENCODING:
        return bytes(answer.body) if len(answer.body) <= MAX_DOCUMENT_BYTES else None
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(answer.body, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return raw if decompressor.eof else None


def parse_number(text):
    """Return the number in a header, 0 if it is missing or malformed."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        return 0
    number = int(text)
    return number if number <= MAX_NUMBER else 0
