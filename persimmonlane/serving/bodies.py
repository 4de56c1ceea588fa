"""Reading of request bodies in blocks of limited size."""

import cheroot.errors
import cheroot.server

from ..headers import find_values
from .parsing import ChunkLimiter

BLOCK_BYTES = 64 * 1024


class RequestBody:
    """The body of a request.

    Attributes:
        length: The Content-Length in bytes, or None if the body is chunked.
        complete: Whether the whole body has been read.
    """

    __slots__ = ("length", "complete", "_reader")

    def __init__(self, reader, length):
        self.length = length
        self.complete = length == 0
        self._reader = reader

    def iter_blocks(self):
        """Yield the body in blocks of at most `BLOCK_BYTES`.

        Raises:
            BodyError: If the body ends early, is malformed or can't be read.
        """
        while not self.complete:
            yield self._read_block(BLOCK_BYTES)

    def _read_block(self, size):
        try:
            block = self._reader.read(size)
            self._check_end(block)
        except BodyError:
            raise
        except (OSError, ValueError, cheroot.errors.MaxSizeExceeded) as error:
            raise BodyError("body-malformed", "the body could not be read") from error
        return block

    def _check_end(self, block):
        if self.length is None:
            self._check_chunked_end(block)
            return
        if not block:
            raise BodyError("body-cut", "the body ended early")
        self.complete = self._reader.remaining == 0

    def _check_chunked_end(self, block):
        if not self._reader.closed:
            return
        if self._reader.buffer:
            return
        for _ in self._reader.read_trailer_lines():
            pass
        self.complete = True


class BodyError(Exception):
    """A request body ended early, is malformed or could not be read.

    Attributes:
        code: Stable error code.
        message: Message for a person.
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
