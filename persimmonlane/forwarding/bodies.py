"""Request bodies.

Reads a caller's body in bounded pieces, and keeps a short one for retries.
"""

import contextlib

import cheroot.errors
import cheroot.server

from ..errors import Refusal
from ..verdicts import Verdict
from .headers import find_values
from .strictness import ChunkLimiter

PIECE_BYTES = 64 * 1024
KEPT_BYTES = 64 * 1024


class RequestBody:
    """The body of a caller's request.

    A body of up to `KEPT_BYTES` is kept and can be sent again; a longer one
    streams and can be sent once.

    Attributes:
        length: Stated length in bytes, or None if the body is chunked.
        complete: Whether the whole body has been read.
        consumed: Whether bytes beyond the kept ones have been handed out.
    """

    __slots__ = ("length", "complete", "consumed", "_kept", "_reader")

    def __init__(self, reader, length):
        self.length = length
        self.complete = length == 0
        self.consumed = False
        self._kept = b""
        self._reader = reader

    def read_ahead(self):
        """Read the body's beginning, up to `KEPT_BYTES`.

        Raises:
            Refusal: With code `body-cut` or `body-malformed`, not run.
        """
        try:
            while not self.complete and len(self._kept) < KEPT_BYTES:
                self._kept += self._read_piece(KEPT_BYTES - len(self._kept))
        except BodyError as error:
            raise Refusal(400, error.code, error.message) from error

    def can_replay(self):
        """Return whether the body can be sent from its beginning."""
        return not self.consumed

    def pieces(self):
        """Yield the body from its beginning.

        Raises:
            BodyError: If the caller's body ends early or is malformed.
        """
        if self._kept:
            yield self._kept
        while not self.complete:
            self.consumed = True
            yield self._read_piece(PIECE_BYTES)

    def discard(self):
        """Read a little of what is left; return whether the body is complete."""
        with contextlib.suppress(BodyError, OSError):
            if not self.complete:
                self._read_piece(PIECE_BYTES)
        return self.complete

    def _read_piece(self, size):
        try:
            piece = self._reader.read(size)
            self._note_end(piece)
        except BodyError:
            raise
        except (OSError, ValueError, cheroot.errors.MaxSizeExceeded) as error:
            raise BodyError("body-malformed", "the body could not be read") from error
        return piece

    def _note_end(self, piece):
        if self.length is None:
            self._note_chunked_end(piece)
            return
        if not piece:
            raise BodyError("body-cut", "the body ended early")
        self.complete = self._reader.remaining == 0

    def _note_chunked_end(self, piece):
        if not self._reader.closed:
            return
        if self._reader.buffer:
            return
        for _ in self._reader.read_trailer_lines():
            pass
        self.complete = True


class BodyError(Exception):
    """The caller's body ended early or is malformed.

    Attributes:
        code: Stable error code.
        message: One sentence for a person.
        verdict: Whether the request may have run: the backend server saw an
            incomplete body at most.
    """

    verdict = Verdict.MAY_HAVE_RUN

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code
        self.message = message


def create_body(request):
    """Return the `RequestBody` of a cheroot request."""
    if request.chunked_read:
        limiter = ChunkLimiter(request.conn.rfile)
        reader = cheroot.server.ChunkedRFile(limiter, maxlen=0)
        request.rfile = reader
        return RequestBody(reader, None)
    lengths = find_values(request.inheaders.listed, "content-length")
    return RequestBody(request.rfile, int(lengths[0]) if lengths else 0)
