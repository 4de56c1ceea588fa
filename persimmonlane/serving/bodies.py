"""Reading of request bodies, piece by piece and into one buffer."""

from ..headers import find_values
from ..httpgrammar import CRLF, parse_chunk_size
from .buffers import BodyBuffer

BLOCK_BYTES = 64 * 1024


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

    def readinto(self, buffer):
        """Read what has arrived of the body; wait if nothing has.

        Args:
            buffer: Writable buffer that is not empty.

        Returns:
            The number of bytes, 0 at the end of the body.

        Raises:
            BodyError: If the body ends early, is malformed or can't be read.
        """
        if self.complete:
            return 0
        try:
            count = self._reader.readinto(buffer)
        except (OSError, ValueError) as error:
            raise BodyError("body-malformed", "the body could not be read") from error
        self.complete = self._reader.complete
        return count

    def read_into_buffer(self, reservation, limit_bytes, transfer):
        """Read the whole body into one buffer.

        Args:
            reservation: The `MemoryReservation` for the body.
            limit_bytes: Size above which the body is refused.
            transfer: The `Transfer`, which learns what is held for the body.

        Returns:
            The body, or None if it is too large.

        Raises:
            BodyError: If the body ends early, is malformed or can't be read.
            MemoryLimitError: If there is no room for the body.
        """
        if self.length is not None and self.length > limit_bytes:
            return None
        buffer = BodyBuffer(reservation, self.length)
        try:
            transfer.held_bytes = self.length or 0
            while not self.complete and buffer.size <= limit_bytes:
                size = BLOCK_BYTES
                if self.length is not None:
                    size = min(size, self.length - buffer.size)
                buffer.read(self.readinto, size)
                transfer.held_bytes = max(transfer.held_bytes, buffer.size)
            if buffer.size <= limit_bytes:
                return buffer.finish()
        except BaseException:
            # The traceback keeps the buffer alive; free what it holds.
            buffer.clear()
            raise
        buffer.clear()
        return None

    def discard(self, limit_bytes):
        """Read the rest of the body up to a limit and drop it.

        Raises:
            BodyError: If the body ends early, is malformed or can't be read.
        """
        block = bytearray(BLOCK_BYTES)
        size = 0
        while not self.complete and size <= limit_bytes:
            size += self.readinto(block)


class KnownLengthReader:
    """Reads a body that has a Content-Length.

    Attributes:
        complete: Whether all of it was read.
    """

    __slots__ = ("complete", "_file", "_counter")

    def __init__(self, file, counter):
        """Create a reader.

        Args:
            file: The `InboundReader` of the connection.
            counter: Object with the attribute `remaining`, which is kept up to date.
        """
        self.complete = counter.remaining == 0
        self._file = file
        self._counter = counter

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes.

        Raises:
            BodyError: If the body ends early.
        """
        with memoryview(buffer)[: self._counter.remaining] as view:
            count = self._file.readinto1(view)
        if not count:
            raise BodyError("body-cut", "the body ended early")
        self._counter.remaining -= count
        self.complete = self._counter.remaining == 0
        return count


class ChunkedReader:
    """Reads a chunked body; chunk extensions and trailers are dropped.

    Attributes:
        complete: Whether all of it was read, trailers included.
    """

    __slots__ = ("complete", "_file", "_max_overhead_bytes", "_remaining")

    def __init__(self, file, max_overhead_bytes):
        """Create a reader.

        Args:
            file: The `InboundReader` of the connection.
            max_overhead_bytes: Limit of a chunk-size line with its extensions, and of
                all trailers together.
        """
        self.complete = False
        self._file = file
        self._max_overhead_bytes = max_overhead_bytes
        self._remaining = 0

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes, 0 at the end of the body.

        Raises:
            ValueError: If the body is malformed or ends early.
        """
        if not self._remaining:
            self._remaining = self._read_chunk_size()
            if not self._remaining:
                self._skip_trailers()
                self.complete = True
                return 0
        with memoryview(buffer)[: self._remaining] as view:
            count = self._file.readinto1(view)
        if not count:
            raise ValueError("the body ended early")
        self._remaining -= count
        if not self._remaining and self._file.read(len(CRLF)) != CRLF:
            raise ValueError("a chunk does not end where it should")
        return count

    def _read_chunk_size(self):
        return parse_chunk_size(self._read_line(self._max_overhead_bytes))

    def _skip_trailers(self):
        limit = self._max_overhead_bytes
        while (line := self._read_line(limit)) != CRLF:
            if not line.endswith(CRLF):
                raise ValueError("a trailer does not end where it should")
            limit -= len(line)

    def _read_line(self, limit_bytes):
        """Return the next line.

        Raises:
            ValueError: If it is longer than the limit, or the body ends early.
        """
        line = self._file.readline(limit_bytes + 1)
        if len(line) > limit_bytes or not line.endswith(b"\n"):
            raise ValueError("a line is too long, or the body ended early")
        return line


def create_body(request):
    """Return the `RequestBody` of a cheroot request."""
    file = request.conn.rfile
    if request.chunked_read:
        limit = request.server.max_request_header_size
        return RequestBody(ChunkedReader(file, limit), None)
    lengths = find_values(request.inheaders.header_list, "content-length")
    length = int(lengths[0]) if lengths else 0
    return RequestBody(KnownLengthReader(file, request.rfile), length)
