"""Exchange.

One attempt of a request on one backend server.
"""

import http.client

import urllib3.exceptions
import urllib3.util
from urllib3._collections import HTTPHeaderDict

from ..ejection.outcome import Kind
from ..errors import PersimmonError
from ..keys import Header
from ..settings import split_address
from ..verdicts import Verdict
from .bodies import BodyError
from .connections import BackendConnection, restore_timeout
from .headers import REQUEST_ID, VERDICT

PIECE_BYTES = 64 * 1024
FRESH_S = 1.0
SHED_STATUS = 503
MALFORMED = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class AttemptError(PersimmonError):
    """An attempt ended without an answer that can be passed on.

    Attributes:
        kind: Kind of the outcome.
        verdict: Whether the request may have run.
    """

    def __init__(self, kind, verdict, code, message):
        super().__init__(message, code=code)
        self.kind = kind
        self.verdict = verdict


class Attempt:
    """What to send to which backend server.

    Attributes:
        address: Address of the backend server.
        method: HTTP method.
        target: Request target.
        headers: The `Header`s.
        body: The `RequestBody`.
        request_id: Identifier of the request.
        idempotent: Whether the request is idempotent.
        deadline: Monotonic seconds at which the caller gives up.
        connect_timeout_s: Time-out of a new connection, in seconds.
        response_timeout_s: Time-out until the first byte of the answer.
        silence_s: Seconds without answer after which a kept connection is
            suspected to be dead.
        on_silence: Called once if a kept connection is suspected.
    """

    __slots__ = (
        "address",
        "method",
        "target",
        "headers",
        "body",
        "request_id",
        "idempotent",
        "deadline",
        "connect_timeout_s",
        "response_timeout_s",
        "silence_s",
        "on_silence",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])


class BackendAnswer:
    """An answer whose head has arrived.

    Attributes:
        status: HTTP status.
        headers: The `Header`s.
        length: Stated length in bytes, or None if the body is chunked.
        shed: Whether the server states that it did not run the request.
    """

    __slots__ = ("status", "headers", "length", "shed", "_exchange", "_response")

    def __init__(self, exchange, response, length):
        self.status = response.status
        self.headers = [Header(*item) for item in response.headers.items()]
        self.length = length
        self.shed = is_shed(response)
        self._exchange = exchange
        self._response = response

    def pieces(self):
        """Yield the body; the last piece only once the whole body is there.

        Raises:
            AttemptError: If the body is short, over-long or late.
        """
        return self._exchange.read_body(self._response, self.length)


class Exchange:
    """Sends one attempt and reads its answer.

    Attributes:
        attempt: What is sent.
        reused: Whether the connection had served another request before.
    """

    __slots__ = (
        "attempt",
        "reused",
        "_pool",
        "_clock",
        "_caller",
        "_connection",
        "_socket",
        "_suspected",
        "_caller_body",
        "_response_by",
    )

    def __init__(self, attempt, pool, clock, caller):
        self.attempt = attempt
        self.reused = False
        self._pool = pool
        self._clock = clock
        self._caller = caller
        self._connection = None
        self._socket = None
        self._suspected = False
        self._response_by = attempt.deadline

    def run(self):
        """Send the request and return the `BackendAnswer`.

        Raises:
            AttemptError: If no answer's head arrives.
            BodyError: If the caller's body fails while it is sent.
        """
        self._connection = self._open()
        try:
            self._send()
            self._await_answer()
            return self._read_head()
        except BaseException:
            self.close()
            raise

    def close(self):
        """Close the connection; the backend server sees the cancellation."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def read_body(self, response, length):
        """Yield the pieces of an answer's body; see `BackendAnswer.pieces`."""
        try:
            yield from self._read_pieces(response, length)
        except BaseException:
            self.close()
            raise
        self._release(response)

    def _open(self):
        connection = self._take_kept()
        if connection is not None:
            self.reused = True
            return connection
        return self._connect()

    def _take_kept(self):
        if self.attempt.idempotent:
            return self._pool.take(self.attempt.address)
        # The server may close a connection that has idled while a request is
        # on its way; a request that can't be sent twice avoids that.
        return self._pool.take(self.attempt.address, FRESH_S)

    def _connect(self):
        host, port = split_address(self.attempt.address)
        connection = BackendConnection(
            self.attempt.address, host, port, self._clock.now()
        )
        connection.timeout = self._limit(self.attempt.connect_timeout_s)
        try:
            connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            connection.close()
            raise AttemptError(
                Kind.CONNECT, Verdict.NOT_RUN, "backend-unreachable", "no connection"
            ) from error
        return connection

    def _limit(self, timeout_s):
        remaining = self.attempt.deadline - self._clock.now()
        if remaining <= 0:
            raise AttemptError(
                Kind.CANCELLED, Verdict.NOT_RUN, "deadline-passed", "no time is left"
            )
        return min(timeout_s, remaining)

    def _send(self):
        attempt = self.attempt
        self._response_by = self._clock.now() + attempt.response_timeout_s
        connection = self._connection
        connection.timeout = self._limit(attempt.response_timeout_s)
        has_body = attempt.body.length != 0
        try:
            connection.request(
                attempt.method,
                attempt.target,
                body=attempt.body.pieces() if has_body else None,
                headers=build_headers(attempt),
                chunked=attempt.body.length is None,
                preload_content=False,
                decode_content=False,
            )
        except BodyError:
            raise
        except TimeoutError as error:
            raise self._describe_timeout() from error
        except (OSError, http.client.HTTPException) as error:
            raise self._describe_break() from error
        self._response_by = self._clock.now() + attempt.response_timeout_s

    def _await_answer(self):
        # A response that ends its connection takes the socket from it.
        self._socket = self._connection.sock
        suspect_at = self._clock.now() + self.attempt.silence_s
        may_suspect = self.reused and self._pool.may_suspect(self._connection)
        while True:
            now = self._clock.now()
            until = min(self._response_by, self.attempt.deadline)
            if now >= until:
                raise self._describe_timeout()
            watching = may_suspect and not self._suspected
            if watching and now >= suspect_at:
                self._suspect_silence()
                continue
            limit = min(until, suspect_at) if watching else until
            if self._caller.wait(self._socket, limit - now):
                return

    def _suspect_silence(self):
        self._suspected = True
        self._pool.purge(self.attempt.address)
        self.attempt.on_silence()
        if self.attempt.idempotent and self.attempt.body.can_replay():
            raise AttemptError(
                Kind.STALE,
                Verdict.MAY_HAVE_RUN,
                "connection-silent",
                "a kept connection gave no answer",
            )

    def _read_head(self):
        connection = self._connection
        connection.timeout = self._limit(self.attempt.response_timeout_s)
        try:
            response = connection.getresponse()
        except TimeoutError as error:
            raise self._describe_timeout() from error
        except (
            ConnectionError,
            http.client.RemoteDisconnected,
            urllib3.exceptions.ProtocolError,
        ) as error:
            raise self._describe_break() from error
        except MALFORMED as error:
            raise describe_wrong("the answer's head is malformed") from error
        return BackendAnswer(self, response, self._check_head(response))

    def _check_head(self, response):
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != self.attempt.request_id:
            raise describe_wrong("the answer belongs to another request")
        if response.status < 200:
            raise describe_wrong("the answer is not a final one")
        if is_bodiless(self.attempt.method, response.status):
            return 0
        return find_length(response.headers)

    def _read_pieces(self, response, length):
        remaining = length
        if remaining == 0:
            self._check_end(response)
        while remaining is None or remaining > 0:
            piece = self._read_piece(response)
            if not piece:
                break
            if remaining is not None:
                remaining -= len(piece)
            if remaining == 0:
                self._check_end(response)
            yield piece
        if remaining:
            raise describe_short()

    def _read_piece(self, response):
        limit = self._limit(self.attempt.response_timeout_s)
        restore_timeout(self._socket, limit)
        try:
            return response.read1(PIECE_BYTES)
        except urllib3.exceptions.ReadTimeoutError as error:
            raise self._describe_timeout() from error
        except MALFORMED as error:
            raise describe_short() from error

    def _check_end(self, response):
        original = response._original_response
        original.close()
        if original.excess:
            raise describe_wrong("the answer is longer than it states")

    def _release(self, response):
        connection = self._connection
        self._connection = None
        wants_close = response.headers.get("Connection", "").lower() == "close"
        excess = response._original_response.excess
        if connection.sock is None or wants_close or excess:
            connection.close()
            return
        self._pool.put(connection)

    def _describe_timeout(self):
        left_s = self.attempt.deadline - self._clock.now()
        code = "deadline-passed" if left_s <= 0 else "backend-timeout"
        kind = Kind.STALE if self._suspected else Kind.TIMEOUT
        return AttemptError(kind, Verdict.MAY_HAVE_RUN, code, "no answer came in time")

    def _describe_break(self):
        kind = Kind.STALE if self.reused else Kind.ERROR
        return AttemptError(
            kind, Verdict.MAY_HAVE_RUN, "backend-reset", "the connection broke"
        )


def build_headers(attempt):
    """Return the headers of an attempt, with the body's length if it is known."""
    headers = HTTPHeaderDict()
    for header in attempt.headers:
        headers.add(header.name, header.value)
    if attempt.body.length:
        headers["Content-Length"] = str(attempt.body.length)
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            headers[name] = urllib3.util.SKIP_HEADER
    return headers


def is_bodiless(method, status):
    """Return whether an answer has no body whatever its headers say."""
    return method == "HEAD" or status in (204, 304)


def find_length(headers):
    """Return an answer's stated length, or None if it is chunked.

    Raises:
        AttemptError: If the length is missing, malformed or given twice.
    """
    lengths = set(headers.getlist("Content-Length"))
    chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
    if chunked and not lengths:
        return None
    if chunked or len(lengths) != 1:
        raise describe_wrong("the answer's length is not certain")
    length = lengths.pop()
    if not length.isascii() or not length.isdigit():
        raise describe_wrong("the answer's length is malformed")
    return int(length)


def is_shed(response):
    """Return whether a backend server states that it did not run the request."""
    stated = response.headers.get(VERDICT, "").lower()
    return response.status == SHED_STATUS and stated == Verdict.NOT_RUN.value


def describe_wrong(message):
    """Return the error for an answer that can't be trusted."""
    return AttemptError(Kind.WRONG, Verdict.MAY_HAVE_RUN, "answer-refused", message)


def describe_short():
    """Return the error for an answer that ended early."""
    return AttemptError(
        Kind.SHORT, Verdict.MAY_HAVE_RUN, "answer-short", "the answer ended early"
    )
