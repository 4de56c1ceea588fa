"""HTTP exchanges with backend servers and other nodes.

An exchange sends one request over a reused or new connection and reads the complete
response.
"""

import fcntl
import http.client
import logging
import select
import struct
import termios

import urllib3.connection
import urllib3.exceptions
import urllib3.util

from ..errors import PersimmonError
from ..explaining.events import ResponseMalformed, log_event
from ..headers import find_values
from ..outcomes import OutcomeKind
from ..verdicts import Verdict
from .buffers import MemoryLimitError
from .connections import IDLE_TIMEOUT_S, TCP_USER_TIMEOUT_MS, KeepAliveConnection
from .responses import ResponseReader

log = logging.getLogger("persimmonlane.serving")

SEND_SIZE_BYTES = 16 * 1024
MS_PER_S = 1000
# Fraction of the timeout in a `Keep-Alive` header for which a connection is reused.
KEEP_ALIVE_FRACTION = 0.5
# Interval of the checks on the caller while data is sent or received continuously.
CALLER_CHECK_INTERVAL_S = 0.25
# Responses read for one request, including those that belong to other requests.
MAX_RESPONSES = 3

# After the end of a response that only the end of the connection marks, a reset may
# follow: the other side has closed while the request was still being sent. It arrives a
# round trip after the bytes that caused it.
MAX_RESET_DELAY_S = 0.25
RESET_POLL_MS = 10
RESET_EVENTS = select.POLLERR | select.POLLHUP

CONNECTION_ERRORS = (OSError, urllib3.exceptions.HTTPError)
MALFORMED_ERRORS = (ValueError, http.client.HTTPException)


class ExchangeError(PersimmonError):
    """An exchange ended without a complete response.

    Attributes:
        kind: The `OutcomeKind`.
        verdict: `Verdict` on whether the request may have run.
    """

    def __init__(self, kind, verdict, code, message):
        super().__init__(message, code=code)
        self.kind = kind
        self.verdict = verdict


class OutgoingRequest:
    """A request to send, and how to send it.

    Attributes:
        address: Address of the backend server or node, as `host:port`.
        method: HTTP method.
        target: Request target.
        headers: List of `Header`s.
        body: Bytes of the body.
        request_id: Identifier that the response must echo.
        deadline: Clock time, in seconds, by which the complete response must have
            arrived.
        connect_timeout_s: Timeout of a new connection, in seconds.
        extract_request_id: Callable that returns the request identifier which a
            response echoes, given its headers.
        on_wait: Callable that is called repeatedly while the response is awaited. It
            returns the seconds until the next call, and may raise `ExchangeError`.
    """

    __slots__ = (
        "address",
        "method",
        "target",
        "headers",
        "body",
        "request_id",
        "deadline",
        "connect_timeout_s",
        "extract_request_id",
        "on_wait",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Exchange:
    """Sends one request and reads its response.

    Attributes:
        request: The `OutgoingRequest`.
        sent: Whether any part of the request may have left this process.
    """

    __slots__ = (
        "request",
        "sent",
        "_pool",
        "_clock",
        "_caller",
        "_connection",
        "_unsent",
        "_was_reset",
        "_next_caller_check",
        "_is_patient",
        "_is_local",
    )

    def __init__(self, request, pool, clock, caller, is_patient=False, is_local=False):
        """Create an exchange.

        Args:
            request: The `OutgoingRequest`.
            pool: The `ConnectionPool`.
            clock: Clock in seconds.
            caller: The `CallerWatch` of the caller's connection.
            is_patient: Whether the response may wait for room until the deadline.
            is_local: Whether the other side is on this VM. It may leave a long body
                unread for a while, and no link between can fail.
        """
        self._is_patient = is_patient
        self._is_local = is_local
        self.request = request
        self.sent = False
        self._pool = pool
        self._clock = clock
        self._caller = caller
        self._connection = None
        # Bytes of the body that are still to be sent.
        self._unsent = memoryview(b"")
        # Whether sending failed as the other side reset the connection. The input then
        # ends as if it had been closed properly.
        self._was_reset = False
        self._next_caller_check = clock.now() + CALLER_CHECK_INTERVAL_S

    def run(self):
        """Send the request and return the `CompleteResponse`.

        Raises:
            ExchangeError: If no complete and valid response arrived.
            CallerDisconnected: If the caller closed its connection.
        """
        try:
            self._connection = self._take_idle() or self._connect()
            self._send()
            response = self._receive()
        except BaseException:
            self._close_connection()
            raise
        return response

    def _take_idle(self):
        return self._pool.take(self.request.address, self.request.request_id)

    def _connect(self):
        timeout_s = min(self.request.connect_timeout_s, self._compute_remaining_s())
        connection = KeepAliveConnection(
            self.request.address, timeout_s, self._clock.now()
        )
        try:
            connection.connect()
        except CONNECTION_ERRORS as error:
            connection.close()
            raise ExchangeError(
                OutcomeKind.CONNECT,
                Verdict.NOT_RUN,
                "unreachable",
                "the connection could not be established",
            ) from error
        return connection

    def _compute_remaining_s(self):
        remaining_s = self.request.deadline - self._clock.now()
        if remaining_s <= 0:
            verdict = Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
            raise ExchangeError(
                OutcomeKind.TIMEOUT,
                verdict,
                "deadline-passed",
                "the deadline has passed",
            )
        return remaining_s

    def _send(self):
        request = self.request
        connection = self._connection
        connection.sock.settimeout(self._compute_remaining_s())
        try:
            connection.putrequest(
                request.method,
                request.target,
                skip_host=True,
                skip_accept_encoding=True,
            )
            for header in request.headers:
                connection.putheader(header.name, header.value)
            if request.body or request.method in ("POST", "PUT", "PATCH"):
                connection.putheader("Content-Length", str(len(request.body)))
            self.sent = True
            is_short = len(request.body) <= SEND_SIZE_BYTES
            if not is_short:
                self._unsent = memoryview(request.body)
                if self._is_local:
                    left_ms = int(self._compute_remaining_s() * MS_PER_S)
                    connection.limit_silence(max(TCP_USER_TIMEOUT_MS, left_ms))
            try:
                connection.endheaders((is_short and request.body) or None)
            except ConnectionError:
                # A response may wait in the receive buffer.
                self._note_reset()
            connection.sock.setblocking(False)
            self._send_body()
        except TimeoutError as error:
            raise self._build_timeout_error() from error
        except ValueError as error:
            verdict = Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
            raise ExchangeError(
                OutcomeKind.CANCELLED,
                verdict,
                "request-unsendable",
                "the request cannot be forwarded as valid HTTP",
            ) from error
        except (OSError, http.client.HTTPException) as error:
            raise self._build_connection_error() from error

    def _send_body(self):
        """Send a long body, until the other side responds or closes the connection."""
        while self._unsent:
            timeout_s = min(self._compute_remaining_s(), CALLER_CHECK_INTERVAL_S)
            is_readable = self._send_part(timeout_s)
            self._check_caller()
            if is_readable:
                return

    def _send_part(self, timeout_s):
        """Send a part of the body, or wait until that is possible.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            Whether input is waiting; nothing was sent then.
        """
        poll = select.poll()
        poll.register(self._connection.sock, select.POLLIN | select.POLLOUT)
        events = poll.poll(max(1, int(timeout_s * 1000)))
        if not events:
            return False
        if events[0][1] & (select.POLLIN | RESET_EVENTS):
            return True
        self._push()
        return False

    def _push(self):
        """Send what the socket takes now."""
        try:
            size = self._connection.sock.send(self._unsent[:SEND_SIZE_BYTES])
        except BlockingIOError:
            return
        except ConnectionError:
            self._note_reset()
            return
        self._unsent = self._unsent[size:]

    def _note_reset(self):
        self._was_reset = True
        self._unsent = self._unsent[:0]

    def _receive(self):
        """Return the response that echoes the request's identifier."""
        self._connection.raw_input.begin_exchange(self._wait_readable)
        reader = ResponseReader(
            self._connection,
            self.request.method,
            self._pool.memory,
            self._check_awaited if self._is_patient else None,
        )
        for _ in range(MAX_RESPONSES):
            response = self._read_response(reader)
            echoed_id = self.request.extract_request_id(response.headers)
            if echoed_id == self.request.request_id:
                if reader.ends_at_close and not self._ended_properly():
                    raise self._build_connection_error()
                is_whole = not self._unsent and not self._was_reset
                self._release(response, is_whole and not reader.will_close)
                return response
            if not echoed_id or reader.will_close:
                break
        raise self._build_invalid_error("the response belongs to another request")

    def _wait_readable(self):
        connection = self._connection
        while True:
            remaining_s = self.request.deadline - self._clock.now()
            if remaining_s <= 0:
                raise self._build_timeout_error()
            self._check_caller()
            interval_s = self.request.on_wait()
            timeout_s = min(remaining_s, interval_s)
            # The other side may read the rest of the body before it goes on to respond.
            if self._unsent:
                if self._send_part(min(timeout_s, CALLER_CHECK_INTERVAL_S)):
                    return
            elif self._caller.wait(connection.sock, timeout_s):
                return

    def _ended_properly(self):
        """Return whether the connection was closed and not reset.

        The end of the input alone doesn't tell: a process that ends while it is sent a
        body closes its connection, and the bytes that follow reset it.
        """
        sock = self._connection.sock
        until = min(self._clock.now() + MAX_RESET_DELAY_S, self.request.deadline)
        while not self._was_reset:
            events = select.POLLOUT if self._unsent else 0
            is_settled = not self._unsent and not count_unacknowledged(sock)
            poll = select.poll()
            poll.register(sock, events)
            ready = poll.poll(0 if is_settled else RESET_POLL_MS)
            if ready and ready[0][1] & RESET_EVENTS:
                return False
            if is_settled or self._clock.now() >= until:
                return True
            if ready:
                self._push()
        return False

    def _check_awaited(self):
        """Check that the response is still awaited, while it waits for room.

        Raises:
            ExchangeError: If the deadline has passed.
            CallerDisconnected: If the caller has disconnected.
        """
        if self._clock.now() >= self.request.deadline:
            raise self._build_timeout_error()
        self._check_caller()

    def _check_caller(self):
        """Check whether the caller has disconnected, at most once per interval."""
        now = self._clock.now()
        if now >= self._next_caller_check:
            self._next_caller_check = now + CALLER_CHECK_INTERVAL_S
            self._caller.check()

    def _read_response(self, reader):
        try:
            return reader.read()
        except TimeoutError as error:
            raise self._build_timeout_error() from error
        except http.client.RemoteDisconnected as error:
            raise self._build_connection_error() from error
        except MALFORMED_ERRORS as error:
            request_id, address = self.request.request_id, self.request.address
            log_event(ResponseMalformed(request_id, address, str(error)))
            raise self._build_invalid_error("the response is malformed") from error
        except MemoryLimitError as error:
            raise self._build_invalid_error(error.message, error.code) from error
        except CONNECTION_ERRORS as error:
            raise self._build_connection_error() from error

    def _release(self, response, reusable):
        """Return the connection to the pool, or close it if it can't be reused."""
        connection = self._connection
        self._connection = None
        connection.end_exchange()
        if not reusable or connection.has_unread_input():
            connection.close()
            return
        if self._is_local and len(self.request.body) > SEND_SIZE_BYTES:
            connection.limit_silence()
        connection.note_answered(self.request.request_id)
        connection.idle_timeout_s = compute_idle_timeout(response.headers)
        self._pool.put(connection)

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _build_timeout_error(self):
        return ExchangeError(
            OutcomeKind.TIMEOUT,
            Verdict.MAY_HAVE_RUN,
            "deadline-passed",
            "no complete response arrived before the deadline",
        )

    def _build_connection_error(self):
        return ExchangeError(
            OutcomeKind.ERROR,
            Verdict.MAY_HAVE_RUN,
            "connection-broke",
            "the connection failed before the response was complete",
        )

    def _build_invalid_error(self, message, code="answer-refused"):
        return ExchangeError(OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN, code, message)


def count_unacknowledged(sock):
    """Return the number of sent bytes that the other side has not acknowledged.

    Returns 0 if the operating system can't report it.
    """
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    except OSError as error:
        log.debug("Serving: the length of a send queue is not known: %s.", error)
        return 0


def compute_idle_timeout(headers):
    """Return the seconds for which an idle connection may be reused.

    Honours the `timeout` parameter of a `Keep-Alive` response header.
    """
    for value in find_values(headers, "keep-alive"):
        for parameter in value.split(","):
            name, _, text = parameter.strip().partition("=")
            if name.lower() == "timeout" and text.isdigit():
                return min(IDLE_TIMEOUT_S, int(text) * KEEP_ALIVE_FRACTION)
    return IDLE_TIMEOUT_S
