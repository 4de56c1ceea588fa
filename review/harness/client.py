"""Requesters, which send requests on channels to a node."""

import contextlib
import http.client
import itertools
import uuid

HOST = "shop.example"
CONNECT_TIMEOUT_S = 1.0
# Added to the time limit of a request, for an answer that comes right at its end.
ANSWER_MARGIN_S = 1.0
MS_PER_S = 1000
NUMBERS = itertools.count(1)
RUN_PREFIX = uuid.uuid4().hex[:8]
# Status of an `Answer` where the channel ended without one.
NO_ANSWER = 0


class Answer:
    """The final answer to a request.

    Attributes:
        request_id: Identifier of the request.
        status: Status, or `NO_ANSWER`.
        sent_at_s: Seconds of the record at which the request was begun to be sent.
        at_s: Seconds of the record at which the answer came or the channel ended.
        signed: Whether it bears the signature of a backend server.
        body: Its body.
        error: How the channel ended, empty with an answer.
    """

    __slots__ = (
        "request_id",
        "status",
        "sent_at_s",
        "at_s",
        "signed",
        "body",
        "error",
    )

    def __init__(self, request_id, status, sent_at_s, at_s, signed, body, error=""):
        self.request_id = request_id
        self.status = status
        self.sent_at_s = sent_at_s
        self.at_s = at_s
        self.signed = signed
        self.body = body
        self.error = error


class Channel:
    """A connection of a requester to a node, kept open between requests."""

    def __init__(self, address, record):
        self._address = address
        self._record = record
        self._connection = None

    def send(self, method, path, timeout_s, body=None, key=None, chunked=False):
        """Send a request and return its `Answer`.

        Args:
            method: HTTP method.
            path: Request target.
            timeout_s: Time limit of the request, in seconds.
            body: Bytes of the body, an iterable of chunks, or None.
            key: Key of a tenant, or None.
            chunked: Whether the body is sent in chunks.
        """
        request_id = f"{RUN_PREFIX}{next(NUMBERS):08x}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Timeout-Ms": str(int(timeout_s * MS_PER_S)),
        }
        if key is not None:
            headers["X-Credential"] = key
        if chunked:
            headers["Transfer-Encoding"] = "chunked"
        sent_at_s = self._record.note(
            "send", to=self._address, id=request_id, method=method, target=path
        )
        status, signed, data, error = NO_ANSWER, False, b"", ""
        try:
            connection = self._open()
            connection.sock.settimeout(timeout_s + ANSWER_MARGIN_S)
            connection.request(method, path, body, headers, encode_chunked=chunked)
            response = connection.getresponse()
            data = response.read()
            status = response.status
            signed = response.getheader("X-Response-Signature") is not None
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as problem:
            error = type(problem).__name__
            self.close()
        at_s = self._record.note(
            "answer", id=request_id, status=status, signed=signed, error=error or "-"
        )
        return Answer(request_id, status, sent_at_s, at_s, signed, data, error)

    def close(self):
        """Close the connection."""
        if self._connection is not None:
            with contextlib.suppress(OSError):
                self._connection.close()
            self._connection = None

    def _open(self):
        if self._connection is None:
            connection = http.client.HTTPConnection(
                self._address, timeout=CONNECT_TIMEOUT_S
            )
            connection.connect()
            self._connection = connection
        return self._connection
