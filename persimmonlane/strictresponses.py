"""Responses that are read strictly, whoever has sent them.

`http.client` is lenient where a proxy can't be. It hands the lines of a head to a
parser for e-mail, which stops at the first line that it takes for no field and drops
the rest without an error. And a length that it doesn't understand becomes "ends with
the connection", where a part would count as the whole.
"""

import contextlib
import http.client

from .httpgrammar import (
    CRLF,
    EMPTY_LINES,
    check_status_line,
    parse_chunk_size,
    parse_field_line,
)

MIN_FINAL_STATUS = 200
MAX_CHUNK_LINE_BYTES = 64 * 1024


class MalformedResponse(http.client.HTTPException):
    """A response that is no valid HTTP, or ended within its head.

    The message names the reason; it holds no byte of the response.
    """


class HeadReader:
    """Reads the lines of one head after another, and checks each of them."""

    __slots__ = ("_source", "_in_fields")

    def __init__(self, source, in_fields=False):
        """Create a reader.

        Args:
            source: The input, a file.
            in_fields: Whether fields come next, as in trailers, and no status line.
        """
        self._source = source
        self._in_fields = in_fields

    def readline(self, limit_bytes):
        """Read and return a line, up to a number of bytes.

        Raises:
            MalformedResponse: If it is no line of a head, or the input ends within it.
        """
        line = self._source.readline(limit_bytes)
        # The caller refuses a line that reaches the limit, and a head that is missing.
        if len(line) < limit_bytes and (line or self._in_fields):
            self._check(line)
        return line

    def _check(self, line):
        if not line.endswith(b"\n"):
            raise MalformedResponse("the response is truncated")
        if not self._in_fields:
            apply_grammar(check_status_line, line)
            self._in_fields = True
        elif line in EMPTY_LINES:
            self._in_fields = False
        else:
            apply_grammar(parse_field_line, line)


class StrictResponse(http.client.HTTPResponse):
    """A response of which every line is checked as it is read."""

    def begin(self, *args, **fields):
        """Read the heads of interim responses and that of the final one.

        Raises:
            MalformedResponse: If one is no valid HTTP, or the length of the body is
                ambiguous.
        """
        with self._check_lines():
            super().begin(*args, **fields)
        check_framing(self)

    @contextlib.contextmanager
    def _check_lines(self, in_fields=False):
        """Check all lines that are read within the context."""
        source, self.fp = self.fp, HeadReader(self.fp, in_fields)
        try:
            yield
        finally:
            self.fp = source

    def _get_chunk_left(self):
        if self.chunk_left == 0:
            if self._safe_read(len(CRLF)) != CRLF:
                raise MalformedResponse("a chunk does not end where it should")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        return apply_grammar(parse_chunk_size, line)

    def _read_and_discard_trailer(self):
        with self._check_lines(in_fields=True):
            super()._read_and_discard_trailer()


def apply_grammar(function, line):
    """Return what a function of the grammar returns for a line.

    Raises:
        MalformedResponse: If the function refuses it.
    """
    try:
        return function(line)
    except ValueError as error:
        raise MalformedResponse(str(error)) from error


def check_framing(response):
    """Check that the length of a response is unambiguous and its status is final.

    Raises:
        MalformedResponse: If they are not.
    """
    lengths = set(response.headers.get_all("Content-Length", ()))
    encodings = response.headers.get_all("Transfer-Encoding", ())
    if len(lengths) > 1 or (lengths and encodings):
        raise MalformedResponse("the response has more than one body length")
    # `http.client` takes a length of too many digits for none.
    is_unknown = bool(lengths) and response.length is None
    if is_unknown or not all(it.isascii() and it.isdigit() for it in lengths):
        raise MalformedResponse("the length of the response body is malformed")
    if encodings and [encoding.lower() for encoding in encodings] != ["chunked"]:
        raise MalformedResponse(
            "the transfer encoding of the response is not supported"
        )
    if response.status < MIN_FINAL_STATUS:
        raise MalformedResponse("the response is not final")
