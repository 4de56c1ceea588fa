"""Exchange.

One request and its whole answer on a kept or new connection.
"""

import http.client
import select

import urllib3.connection
import urllib3.exceptions
import urllib3.util

from ..errors import PersimmonError
from ..headers import find_values
from ..outcomes import OutcomeKind
from ..verdicts import Verdict
from .connections import IDLE_LIMIT_S, KeptConnection
from .reader import AnswerReader, MemoryShortage

SEND_PIECE_BYTES = 16 * 1024
IDLE_SHARE = 0.5
# Seconds between looks at the caller while bytes are sent or come without a pause.
LOOK_S = 0.25
# Answers to other requests that may stand before the right one.
STRAY_LIMIT = 3

BROKEN = (OSError, urllib3.exceptions.HTTPError)
MALFORMED = (ValueError, http.client.HTTPException)


class ExchangeError(PersimmonError):
    """An exchange ended without a whole answer.

    Attributes:
        kind: The `OutcomeKind` of the outcome.
        verdict: Whether the request may have run.
    """

    def __init__(self, kind, verdict, code, message):
        super().__init__(message, code=code)
        self.kind = kind
        self.verdict = verdict


class OutgoingRequest:
    """What to send where.

    Attributes:
        address: Address of the other side.
        method: HTTP method.
        target: Request target.
        headers: The `Header`s.
        body: Bytes.
        request_id: Identifier that the answer echoes.
        deadline: Seconds by which the whole answer must be there.
        connect_s: Time-out of a new connection, in seconds.
        extract_request_id: Callable that returns the request identifier which a
            response echoes, given its headers.
        on_wait: Called now and then while the answer is awaited; it returns the
            seconds until the next call, and may raise `ExchangeError`.
    """

    __slots__ = (
        "address",
        "method",
        "target",
        "headers",
        "body",
        "request_id",
        "deadline",
        "connect_s",
        "extract_request_id",
        "on_wait",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Exchange:
    """Sends one call and reads its answer.

    Attributes:
        call: The `OutgoingRequest`.
        sent: Whether any of the request may have left this process.
    """

    __slots__ = (
        "call",
        "sent",
        "_pool",
        "_clock",
        "_caller",
        "_connection",
        "_whole",
        "_look_at",
    )

    def __init__(self, call, pool, clock, caller):
        self.call = call
        self.sent = False
        self._pool = pool
        self._clock = clock
        self._caller = caller
        self._connection = None
        self._whole = False
        self._look_at = clock.now() + LOOK_S

    def run(self):
        """Return the `CompleteResponse`.

        Raises:
            ExchangeError: If no whole answer came.
            CallerLeft: If the caller went away.
        """
        try:
            self._connection = self._take() or self._connect()
            self._send()
            answer = self._read()
        except BaseException:
            self._drop()
            raise
        return answer

    def _take(self):
        return self._pool.take(self.call.address)

    def _connect(self):
        timeout_s = min(self.call.connect_s, self._find_left())
        connection = KeptConnection(self.call.address, timeout_s, self._clock.now())
        try:
            connection.connect()
        except BROKEN as error:
            connection.close()
            raise ExchangeError(
                OutcomeKind.CONNECT,
                Verdict.NOT_RUN,
                "unreachable",
                "no connection was made",
            ) from error
        return connection

    def _find_left(self):
        left_s = self.call.deadline - self._clock.now()
        if left_s <= 0:
            verdict = Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
            raise ExchangeError(
                OutcomeKind.TIMEOUT, verdict, "deadline-passed", "no time is left"
            )
        return left_s

    def _send(self):
        call = self.call
        connection = self._connection
        connection.sock.settimeout(self._find_left())
        try:
            connection.putrequest(
                call.method, call.target, skip_host=True, skip_accept_encoding=True
            )
            for header in call.headers:
                connection.putheader(header.name, header.value)
            if call.body or call.method in ("POST", "PUT", "PATCH"):
                connection.putheader("Content-Length", str(len(call.body)))
            self.sent = True
            whole = len(call.body) <= SEND_PIECE_BYTES
            connection.endheaders(call.body if whole and call.body else None)
            connection.sock.setblocking(False)
            self._whole = whole or self._send_body()
        except TimeoutError as error:
            raise self._describe_timeout() from error
        except ValueError as error:
            verdict = Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN
            raise ExchangeError(
                OutcomeKind.CANCELLED,
                verdict,
                "request-unsendable",
                "it can't be sent on",
            ) from error
        except (OSError, http.client.HTTPException) as error:
            raise self._describe_break() from error

    def _send_body(self):
        """Send a long body; return whether all of it went before the answer came."""
        rest = memoryview(self.call.body)
        sock = self._connection.sock
        poll = select.poll()
        poll.register(sock, select.POLLIN | select.POLLOUT)
        while rest:
            pause_s = min(self._find_left(), LOOK_S)
            events = poll.poll(max(1, int(pause_s * 1000)))
            self._look()
            if not events:
                continue
            if events[0][1] & (select.POLLIN | select.POLLHUP | select.POLLERR):
                return False
            try:
                rest = rest[sock.send(rest[:SEND_PIECE_BYTES]) :]
            except BlockingIOError:
                continue
        return True

    def _read(self):
        self._connection.input.begin(self._await)
        reader = AnswerReader(self._connection, self.call.method, self._pool.memory)
        for _ in range(STRAY_LIMIT):
            answer = self._read_one(reader)
            echoed = self.call.extract_request_id(answer.headers)
            if echoed == self.call.request_id:
                self._release(answer, self._whole and not reader.will_close)
                return answer
            if not echoed or reader.will_close:
                break
        raise self._describe_wrong("the answer belongs to another request")

    def _await(self):
        connection = self._connection
        while True:
            left_s = self.call.deadline - self._clock.now()
            if left_s <= 0:
                raise self._describe_timeout()
            self._look()
            pause_s = self.call.on_wait()
            if self._caller.wait(connection.sock, min(left_s, pause_s)):
                return

    def _look(self):
        """Look at the caller, if the last look is long ago."""
        now = self._clock.now()
        if now >= self._look_at:
            self._look_at = now + LOOK_S
            self._caller.check()

    def _read_one(self, reader):
        try:
            return reader.read()
        except TimeoutError as error:
            raise self._describe_timeout() from error
        except http.client.RemoteDisconnected as error:
            raise self._describe_break() from error
        except MALFORMED as error:
            raise self._describe_wrong("the answer is malformed") from error
        except MemoryShortage as error:
            raise self._describe_wrong(error.message, error.code) from error
        except BROKEN as error:
            raise self._describe_break() from error

    def _release(self, answer, reusable):
        connection = self._connection
        self._connection = None
        connection.finish()
        if not reusable or connection.has_input():
            connection.close()
            return
        connection.idle_limit_s = find_idle_limit(answer.headers)
        self._pool.put(connection)

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _describe_timeout(self):
        return ExchangeError(
            OutcomeKind.TIMEOUT,
            Verdict.MAY_HAVE_RUN,
            "deadline-passed",
            "no answer in time",
        )

    def _describe_break(self):
        return ExchangeError(
            OutcomeKind.ERROR,
            Verdict.MAY_HAVE_RUN,
            "connection-broke",
            "the connection broke",
        )

    def _describe_wrong(self, message, code="answer-refused"):
        return ExchangeError(OutcomeKind.INVALID, Verdict.MAY_HAVE_RUN, code, message)


def find_idle_limit(headers):
    """Return the seconds for which a connection may idle and be used again."""
    for value in find_values(headers, "keep-alive"):
        for part in value.split(","):
            name, _, text = part.strip().partition("=")
            if name.lower() == "timeout" and text.isdigit():
                return min(IDLE_LIMIT_S, int(text) * IDLE_SHARE)
    return IDLE_LIMIT_S
