"""Reader.

Reads whole answers from a connection, none longer than its bounds.
"""

from ..headers import Header

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Bytes of one answer outside its body: heads, chunk sizes and trailers.
OVERHEAD_LIMIT_BYTES = 128 * 1024


class WholeAnswer:
    """An answer that has arrived completely.

    Attributes:
        status: HTTP status.
        headers: The `Header`s.
        body: Bytes.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class AnswerReader:
    """Reads the answers to one request.

    Attributes:
        will_close: Whether the connection ends with the last answer that was read.
    """

    __slots__ = ("will_close", "_connection", "_method")

    def __init__(self, connection, method):
        self.will_close = False
        self._connection = connection
        self._method = method

    def read(self):
        """Return the next `WholeAnswer`.

        Raises:
            ValueError: If it is malformed, too long or cut short.
            http.client.HTTPException: If it is malformed.
            OSError: If the connection broke.
        """
        arrivals = self._connection.input
        arrivals.left_bytes = OVERHEAD_LIMIT_BYTES
        response = self._connection.read_response(self._method)
        self._check_ended()
        check_framing(response)
        # The body is received a piece ahead of its count.
        arrivals.left_bytes += PIECE_BYTES
        body = self._read_body(response)
        self.will_close = response.will_close
        headers = [Header(*item) for item in response.getheaders()]
        return WholeAnswer(response.status, headers, body)

    def _read_body(self, response):
        body = bytearray()
        stated = response.length
        if stated is not None and stated > ANSWER_LIMIT_BYTES:
            raise ValueError("the answer is too long")
        while piece := response.read1(PIECE_BYTES):
            body += piece
            if len(body) > ANSWER_LIMIT_BYTES:
                raise ValueError("the answer is too long")
            self._connection.input.left_bytes += len(piece)
        if stated is not None and len(body) != stated:
            raise ValueError("the answer ended early")
        if response.chunked:
            self._check_ended()
        return bytes(body)

    def _check_ended(self):
        """Refuse a part of an answer that only the end of the connection ended."""
        if self._connection.input.ended:
            raise ValueError("the answer ended early")


def check_framing(response):
    """Refuse an answer whose length could be read in two ways.

    Raises:
        ValueError: If it could.
    """
    lengths = set(response.headers.get_all("Content-Length", ()))
    encodings = response.headers.get_all("Transfer-Encoding", ())
    if len(lengths) > 1 or (lengths and encodings):
        raise ValueError("the length is given twice")
    if response.status < 200:
        raise ValueError("the answer is not a final one")
