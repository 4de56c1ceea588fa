"""Reader.

Reads whole answers from a connection, none longer than its bounds.
"""

from ..errors import PersimmonError
from ..headers import Header
from .memory import AnswerShare

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Bytes of one answer outside its body: heads, chunk sizes and trailers.
OVERHEAD_LIMIT_BYTES = 128 * 1024


class CompleteResponse:
    """An answer that has arrived completely.

    Attributes:
        status: HTTP status.
        headers: The `Header`s.
        body: Bytes.
        share: The `AnswerShare` that it holds.
    """

    __slots__ = ("status", "headers", "body", "share")

    def __init__(self, status, headers, body, share):
        self.status = status
        self.headers = headers
        self.body = body
        self.share = share


class MemoryShortage(PersimmonError):
    """The answers of this process would hold too much together."""

    code = "answers-too-long"


class AnswerReader:
    """Reads the answers to one request.

    Attributes:
        will_close: Whether the connection ends with the last answer that was read.
    """

    __slots__ = ("will_close", "_connection", "_method", "_memory")

    def __init__(self, connection, method, memory):
        self.will_close = False
        self._connection = connection
        self._method = method
        self._memory = memory

    def read(self):
        """Return the next `CompleteResponse`.

        Raises:
            ValueError: If it is malformed, too long or cut short.
            MemoryShortage: If there is no room for it now.
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
        share = AnswerShare(self._memory)
        body = self._read_body(response, share)
        self.will_close = response.will_close
        headers = [Header(*item) for item in response.getheaders()]
        return CompleteResponse(response.status, headers, body, share)

    def _read_body(self, response, share):
        if response.length is not None and response.length > ANSWER_LIMIT_BYTES:
            raise ValueError("the answer is too long")
        body = bytearray()
        try:
            self._fill(body, response, share)
        except BaseException:
            # The traceback keeps the objects, not what they hold.
            body.clear()
            share.release()
            raise
        return bytes(body)

    def _fill(self, body, response, share):
        stated = response.length
        while piece := response.read1(PIECE_BYTES):
            body += piece
            if len(body) > ANSWER_LIMIT_BYTES:
                raise ValueError("the answer is too long")
            if not share.cover(len(body)):
                raise MemoryShortage("the answers in progress are too long together")
            self._connection.input.left_bytes += len(piece)
        if stated is not None and len(body) != stated:
            raise ValueError("the answer ended early")
        if response.chunked:
            self._check_ended()

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
