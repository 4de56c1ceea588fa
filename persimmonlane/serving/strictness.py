"""Strictness.

Reads callers' requests with cheroot and refuses what could be read in two ways.
"""

import re

import cheroot.server

from ..errors import Refusal
from ..headers import Header, find_values

CHUNK_LIMIT_BYTES = 1024 * 1024
HEADER_COUNT_LIMIT = 100

NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
LENGTH = re.compile(r"[0-9]{1,15}")
FORBIDDEN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

CODES_BY_STATUS = {
    "400": "request-malformed",
    "405": "method-refused",
    "408": "request-timeout",
    "413": "headers-too-large",
    "414": "target-too-long",
    "500": "internal",
    "501": "encoding-refused",
    "505": "version-refused",
}


class HeaderTable(dict):
    """The headers as cheroot reads them, with all of them in `header_list`.

    Attributes:
        header_list: The `Header`s as the caller wrote them.
    """

    __slots__ = ("header_list",)

    def __init__(self):
        super().__init__()
        self.header_list = []


class LineRecorder:
    """Passes header lines on, checking and recording each."""

    __slots__ = ("_file", "_headers")

    def __init__(self, file, headers):
        self._file = file
        self._headers = headers

    def readline(self):
        """Return the next line.

        Raises:
            ValueError: If the line is not one plain header.
        """
        line = self._file.readline()
        if line.strip():
            self._record(line)
        return line

    def _record(self, line):
        name, colon, value = line.rstrip(b"\r\n").partition(b":")
        if not colon or not NAME.fullmatch(name):
            raise ValueError("a header line is malformed")
        if FORBIDDEN_VALUE.search(value):
            raise ValueError("a header holds a control character")
        if len(self._headers) == HEADER_COUNT_LIMIT:
            raise ValueError("there are too many headers")
        text = value.strip().decode("latin-1")
        self._headers.append(Header(name.decode("ascii"), text))


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Reads headers, keeping repeats and refusing folded lines."""

    def __call__(self, rfile, hdict=None):
        """Read headers into a `HeaderTable`."""
        table = HeaderTable() if hdict is None else hdict
        return super().__call__(LineRecorder(rfile, table.header_list), table)


class ChunkLimiter:
    """A connection's input that refuses chunks too large to hold in memory."""

    __slots__ = ("_file",)

    def __init__(self, file):
        self._file = file

    def read(self, size):
        """Read bytes; raise `ValueError` for more than `CHUNK_LIMIT_BYTES`."""
        if size > CHUNK_LIMIT_BYTES:
            raise ValueError("a chunk is too large")
        return self._file.read(size)

    def readline(self, size=-1):
        """Read one line."""
        return self._file.readline(size)

    def close(self):
        """Close the input."""
        self._file.close()


def check_framing(headers, protocol):
    """Refuse a request whose length could be read in two ways.

    Raises:
        Refusal: With status 400 or 505 and code `framing-refused`,
            `host-refused` or `version-refused`.
    """
    if protocol != b"HTTP/1.1":
        raise Refusal(505, "version-refused", "only HTTP/1.1 is served")
    lengths = find_values(headers, "content-length")
    encodings = find_values(headers, "transfer-encoding")
    if len(lengths) + len(encodings) > 1:
        raise Refusal(400, "framing-refused", "the body's length is given twice")
    if lengths and not LENGTH.fullmatch(lengths[0]):
        raise Refusal(400, "framing-refused", "the body's length is malformed")
    if encodings and encodings[0].lower() != "chunked":
        raise Refusal(400, "framing-refused", "only chunked encoding is served")
    if len(find_values(headers, "host")) != 1:
        raise Refusal(400, "host-refused", "there must be one Host header")
