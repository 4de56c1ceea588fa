"""Strict parsing of callers' requests on top of cheroot.

Requests with ambiguous framing or headers are refused, since another implementation
of HTTP could interpret them differently.
"""

import re

import cheroot.server

from ..errors import Refusal
from ..headers import Header, find_values
from ..httpgrammar import EMPTY_LINES, parse_field_line
from .buffers import MemoryLimitError

# Memory that a short header takes with its place in the tables: 181 bytes were measured
# on CPython 3.11. The rest is for copies as it is sent on.
HEADER_BYTES = 256

CONTENT_LENGTH_RE = re.compile(r"[0-9]{1,15}")

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
    """The dict of headers that cheroot fills, along with the complete list.

    Attributes:
        header_list: The `Header`s as the caller sent them, including repeated ones.
    """

    __slots__ = ("header_list", "_reservation")

    def __init__(self, reservation=None):
        """Create an empty table.

        Args:
            reservation: The `MemoryReservation` for the headers, None without a limit.
        """
        super().__init__()
        self.header_list = []
        self._reservation = reservation

    def add(self, header):
        """Add a `Header` to the list.

        Raises:
            MemoryLimitError: If there is no room for so many headers.
        """
        self.header_list.append(header)
        if self._reservation is not None and not self._reservation.extend_to(
            len(self.header_list) * HEADER_BYTES
        ):
            raise MemoryLimitError("the memory for requests is exhausted")


class HeaderLineReader:
    """Reads header lines from a file, and checks and records each of them."""

    __slots__ = ("_file", "_table")

    def __init__(self, file, table):
        self._file = file
        self._table = table

    def readline(self):
        """Return the next line.

        Raises:
            ValueError: If the line is not a valid header on one line.
        """
        line = self._file.readline()
        if line and line not in EMPTY_LINES:
            name, value = parse_field_line(line)
            self._table.add(Header(name.decode("ascii"), value.decode("latin-1")))
        return line


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Reads headers, keeps repeated ones and refuses folded lines."""

    def __call__(self, rfile, hdict=None):
        """Read headers into a `HeaderTable`."""
        table = HeaderTable() if hdict is None else hdict
        return super().__call__(HeaderLineReader(rfile, table), table)


def check_framing(headers, protocol):
    """Refuse a request whose message framing is ambiguous.

    Args:
        headers: The `Header`s of the request.
        protocol: Protocol version of the request line, in bytes.

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
    if lengths and not CONTENT_LENGTH_RE.fullmatch(lengths[0]):
        raise Refusal(400, "framing-refused", "the body's length is malformed")
    if encodings and encodings[0].lower() != "chunked":
        raise Refusal(400, "framing-refused", "only chunked encoding is served")
    if len(find_values(headers, "host")) != 1:
        raise Refusal(400, "host-refused", "there must be one Host header")
