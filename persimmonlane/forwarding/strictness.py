"""Strictness.

Reads callers' requests with cheroot and refuses what could be read in two ways.
"""

import re
import urllib.parse

import cheroot.server

from ..errors import Refusal
from ..keys import Header
from ..verdicts import Verdict
from .answers import render_refusal
from .headers import find_values
from .streams import open_stream

CHUNK_LIMIT_BYTES = 1024 * 1024
HEADER_COUNT_LIMIT = 100

NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
LENGTH = re.compile(r"[0-9]{1,15}")
FORBIDDEN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
ENCODED_SEPARATOR = re.compile(r"%(2f|5c|00)", re.IGNORECASE)

CODES = {
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
    """The headers as cheroot reads them, with all of them in `listed`.

    Attributes:
        listed: The `Header`s as the caller wrote them.
    """

    __slots__ = ("listed",)

    def __init__(self):
        super().__init__()
        self.listed = []


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
        return super().__call__(LineRecorder(rfile, table.listed), table)


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


class StrictRequest(cheroot.server.HTTPRequest):
    """A caller's request, checked before it is acted on."""

    header_reader = StrictHeaderReader()

    def __init__(self, server, conn, proxy_mode=False, strict_mode=True):
        super().__init__(server, conn, proxy_mode, strict_mode)
        self.inheaders = HeaderTable()
        self.method = b""

    def read_request_headers(self):
        """Read the headers; answer and return False if they are refused."""
        if not super().read_request_headers():
            return False
        try:
            check_framing(self.inheaders.listed, self.request_protocol)
            check_path(self.uri.decode("latin-1"))
        except Refusal as refusal:
            self.write_refusal(refusal)
            return False
        return True

    def simple_response(self, status, msg=""):
        """Answer a request that cheroot refuses, in this package's form."""
        number = str(status)[:3]
        verdict = Verdict.MAY_HAVE_RUN if number == "500" else Verdict.NOT_RUN
        self.write_refusal(
            Refusal(
                int(number),
                CODES.get(number, "request-malformed"),
                str(msg) or str(status)[4:],
                verdict=verdict,
            )
        )

    def write_refusal(self, refusal):
        """Write an answer and close the connection afterwards."""
        self.close_connection = True
        answer = render_refusal(refusal, request_id="", close=True)
        self.conn.wfile.write(answer.encode(with_body=self.method != b"HEAD"))


class StrictConnection(cheroot.server.HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = StrictRequest

    def __init__(self, server, sock, makefile=open_stream):
        super().__init__(server, sock, open_stream)


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


def check_path(target):
    """Refuse a path that servers may resolve in different ways.

    Raises:
        Refusal: With status 400 and code `path-refused`.
    """
    path = target.partition("?")[0]
    if ENCODED_SEPARATOR.search(path):
        raise Refusal(400, "path-refused", "the path holds an encoded separator")
    segments = urllib.parse.unquote(path).replace("\\", "/").split("/")
    if "." in segments or ".." in segments or "" in segments[1:-1]:
        raise Refusal(400, "path-refused", "the path is not normalised")
