"""Request bodies.

Reads a caller's body in bounded pieces.
"""

import cheroot.errors
import cheroot.server

from ..headers import find_values
from .strictness import ChunkLimiter

PIECE_BYTES = 64 * 1024


class RequestBody:
    """The body of a caller's request.

    Attributes:
        length: Stated length in bytes, or None if the body is chunked.
        complete: Whether the whole body has been read.
    """

    __slots__ = ("length", "complete", "_reader")

    def __init__(self, reader, length):
        self.length = length
        self.complete = length == 0
        self._reader = reader

    def pieces(self):
        """Yield the body in bounded pieces.

        Raises:
            BodyError: If the caller's body ends early or is malformed.
        """
        while not self.complete:
            yield self._read_piece(PIECE_BYTES)

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
    """

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
    lengths = find_values(request.inheaders.header_list, "content-length")
    return RequestBody(request.rfile, int(lengths[0]) if lengths else 0)
