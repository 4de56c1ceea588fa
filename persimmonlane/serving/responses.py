"""Reading of complete HTTP responses, with bounds on their length."""

from ..headers import Header
from .buffers import BodyBuffer
from .memory import MemoryReservation

MAX_BODY_BYTES = 16 * 1024 * 1024
READ_SIZE_BYTES = 64 * 1024
# Limit for everything in one response but its body: heads, chunk sizes and trailers.
MAX_OVERHEAD_BYTES = 128 * 1024
# Such a response ends with its head, whatever length the head states (RFC 9112, 6.3).
STATUSES_WITHOUT_CONTENT = (204, 304)


class CompleteResponse:
    """A response that has arrived completely.

    Attributes:
        status: HTTP status.
        headers: List of `Header`s.
        body: Bytes of the body.
        reservation: The `MemoryReservation` for the body.
    """

    __slots__ = ("status", "headers", "body", "reservation")

    def __init__(self, status, headers, body, reservation):
        self.status = status
        self.headers = headers
        self.body = body
        self.reservation = reservation

    def release(self):
        """Let go of the body, which whoever still writes it refers to."""
        self.body = b""
        self.reservation = None


class ResponseReader:
    """Reads the responses that arrive for one request.

    Attributes:
        will_close: Whether the connection ends with the last response that was read.
        ends_at_close: Whether only the end of the connection marks the end of that
            response.
    """

    __slots__ = (
        "will_close",
        "ends_at_close",
        "_connection",
        "_method",
        "_memory",
        "_check",
    )

    def __init__(self, connection, method, memory, check=None):
        """Create a reader.

        Args:
            connection: The `KeepAliveConnection`.
            method: HTTP method of the request.
            memory: The `MemoryAccount`.
            check: Callable that raises once the response is not awaited any longer.
        """
        self.will_close = False
        self.ends_at_close = False
        self._connection = connection
        self._method = method
        self._memory = memory
        self._check = check

    def read(self):
        """Return the next `CompleteResponse`.

        Raises:
            ValueError: If it is malformed, too long or truncated.
            MemoryLimitError: If the memory for responses is exhausted.
            http.client.HTTPException: If it is malformed.
            OSError: If the connection failed.
        """
        raw_input = self._connection.raw_input
        raw_input.remaining_bytes = MAX_OVERHEAD_BYTES
        response = self._connection.read_response(self._method)
        self.ends_at_close = response.length is None and not response.chunked
        # Body data is credited only after it has been read, so allow one read ahead.
        raw_input.remaining_bytes += READ_SIZE_BYTES
        reservation = MemoryReservation(self._memory, check=self._check)
        self.will_close = response.will_close
        if response.status in STATUSES_WITHOUT_CONTENT:
            body = b""
            self.will_close |= announces_body(response)
        else:
            body = self._read_body(response, reservation)
        reservation.settle()
        headers = [Header(*item) for item in response.getheaders()]
        return CompleteResponse(response.status, headers, body, reservation)

    def _read_body(self, response, reservation):
        if response.length is not None and response.length > MAX_BODY_BYTES:
            raise ValueError("the response body is too long")
        buffer = None
        try:
            expected_size = None if self._method == "HEAD" else response.length
            buffer = BodyBuffer(reservation, expected_size)
            self._fill(buffer, response)
            return buffer.finish()
        except BaseException:
            # The traceback keeps these objects alive; free what they hold.
            if buffer is not None:
                buffer.clear()
            reservation.release()
            raise

    def _fill(self, buffer, response):
        declared_length = response.length
        while data := response.read1(READ_SIZE_BYTES):
            if buffer.size + len(data) > MAX_BODY_BYTES:
                raise ValueError("the response body is too long")
            buffer.append(data)
            self._connection.raw_input.remaining_bytes += len(data)
        if declared_length is not None and buffer.size != declared_length:
            raise ValueError("the response is truncated")


def announces_body(response):
    """Return whether the head of a response without content announces a body.

    The length in a 304 is that of the response to an unconditional request.
    """
    if response.headers.get("Transfer-Encoding") is not None:
        return True
    length = response.headers.get("Content-Length")
    return response.status == 204 and length is not None and int(length) > 0
