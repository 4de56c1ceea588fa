"""Request handlers of the node's HTTP servers."""

import contextlib
import logging
import math

import cheroot.server

from ..decoding import decode_json
from ..errors import InputError, Refusal
from ..headers import Header, drop_hop_by_hop, find_first, find_values
from ..owner.calls import ForwardedCall
from ..platform import headers as wire
from ..routing.metadata import Order
from ..verdicts import Verdict
from .answers import (
    ROOM_RETRY_AFTER_S,
    build_memory_refusal,
    describe_refusal,
    get_reason_phrase,
)
from .attempts import (
    NESTED_CALL_PRIORITY,
    SERVER_ERROR_STATUS,
    BackendErrorResponse,
    IngressRequest,
    Stage,
    get_priority,
)
from .bodies import BodyError, create_body
from .buffers import MemoryLimitError
from .callers import CallerDisconnected, CallerWatch
from .documentfetch import DOCUMENT_ENCODING, DOCUMENT_PATH
from .events import get_organisation_name
from .exchange import ExchangeError
from .memory import MemoryReservation
from .nodeheaders import (
    GENERATION_HEADER,
    ORDER_HEADER,
    REPORT_HEADER,
    REQUEST_ID_HEADER,
    REVISION_HEADER,
    encode_json_header,
    get_default_poll_s,
)
from .shutdown import NodeShutdown, build_shutdown_refusal

log = logging.getLogger("persimmonlane.serving")

HEARTBEAT_LIMIT_BYTES = 64 * 1024
# A rest of a body up to this size is read and dropped after an early answer, so that
# the connection can be used again; cheroot holds it in memory.
MAX_DROPPED_BYTES = 64 * 1024
# Limits of a lingering close, after an answer that was sent before the body was read.
# The rest is dropped as it comes; a caller that writes the longest body
# allowed before it reads gets its answer if the link is fast enough.
LINGER_BYTES = 64 * 1024 * 1024
LINGER_S = 1.0
MIN_BODY_READ_S = 0.05


class Gateway(cheroot.server.Gateway):
    """Base class of the node's gateways.

    Attributes:
        node: The node whose server received the request.
    """

    def __init__(self, http_request, node):
        super().__init__(http_request)
        self.node = node
        self._body = None

    def write(self, status, headers, body, left_s=math.inf):
        """Write a complete answer; the body of an answer to HEAD is left out.

        Args:
            status: HTTP status.
            headers: List of `Header`s.
            body: Bytes-like object, which is not copied.
            left_s: Seconds until the caller ceases to wait for the answer.
        """
        req = self.req
        if self.node.closes_connections:
            req.close_connection = True
        req.status = f"{status} {get_reason_phrase(status)}".encode("latin-1")
        req.outheaders = [
            (header.name.encode("latin-1"), header.value.encode("latin-1"))
            for header in headers
        ]
        self.req.conn.transfer.begin_answer(len(body), left_s)
        req.ensure_headers_sent()
        if not body or req.method == b"HEAD":
            return
        if req.chunked_write:
            req.write(bytes(body))
        else:
            req.write(body)

    def write_json(self, status, body=b"", headers=()):
        """Write an answer with a JSON body that the node made itself."""
        headers = [
            Header("Content-Type", "application/json"),
            Header("Content-Length", str(len(body))),
            *headers,
        ]
        self.write(status, headers, body)

    def read_body(self, limit_bytes):
        """Read and return the whole request body.

        Args:
            limit_bytes: Size above which the body is refused.

        Raises:
            Refusal: If the body is malformed, ends early, times out or is too large, or
                if there is no room for it.
        """
        body = self._body = create_body(self.req)
        transfer = self.req.conn.transfer
        if not body.complete:
            # Nothing is held while it waits for room.
            transfer.begin()
        reservation = MemoryReservation(self.node.memory, is_request=True)
        try:
            whole = body.read_into_buffer(reservation, limit_bytes, transfer)
        except BodyError as error:
            self.req.close_connection = True
            raise self._build_body_refusal(error) from error
        except MemoryLimitError as error:
            self.req.close_connection = True
            raise build_memory_refusal() from error
        if whole is None:
            self.req.close_connection = True
            raise Refusal(413, "body-too-large", "the body is too large")
        transfer.end()
        return whole

    def _build_body_refusal(self, error):
        if self.req.conn.transfer.is_closed:
            return Refusal(
                503,
                "transfer-stalled",
                "the body made no progress while others waited",
                retry_after=ROOM_RETRY_AFTER_S,
            )
        if isinstance(error.__cause__, TimeoutError):
            return Refusal(408, "body-late", "the body came too late")
        return Refusal(400, error.code, error.message)

    @contextlib.contextmanager
    def limit_read_time(self, limit_s):
        """Limit the total time of all reads in the `with` block.

        Args:
            limit_s: Total time in seconds.
        """
        conn = self.req.conn
        conn.limit_read_time(limit_s)
        try:
            yield
        finally:
            conn.clear_read_limit()

    def is_body_unread(self):
        """Return whether reading the body has begun and has not come to its end."""
        return self._body is not None and not self._body.complete

    def linger(self):
        """Read the rest of the body before the connection is closed.

        If bytes were left unread, the close would reset the connection, and the caller
        could lose the answer.
        """
        with self.limit_read_time(LINGER_S):
            try:
                (self._body or create_body(self.req)).discard(LINGER_BYTES)
            except BodyError as error:
                log.debug(
                    "Serving: the rest of a refused request's body was not read: %s.",
                    error,
                )

    def abort(self):
        """Close the connection without an answer, as the caller has disconnected."""
        req = self.req
        req.close_connection = True
        req.chunked_write = False
        req.sent_headers = True
        req.conn.wfile.clear()

    def build_watch(self):
        """Return a `CallerWatch` for the connection."""
        return CallerWatch(self.req.conn.socket, self.node.shutdown)


class CallerGateway(Gateway):
    """Serves callers, and the outbound calls of the local backend server."""

    def respond(self):
        """Route one request to a backend server and write the answer."""
        node = self.node
        request = IngressRequest(
            self.req.method.decode("ascii"),
            self.req.uri.decode("latin-1"),
            self.req.inheaders.header_list,
            self.build_watch(),
            node.clock.now(),
        )
        with node.running.track(request):
            try:
                self._respond(request)
            except Refusal as refusal:
                self._refuse(request, refusal)
            except NodeShutdown:
                self._refuse(
                    request, build_shutdown_refusal(request.stage is Stage.SERVER)
                )
            except CallerDisconnected:
                node.events.note_disconnect(request)
                self.abort()
            except Exception as error:
                if not self.req.sent_headers:
                    log.exception("Serving: a request failed with an unexpected error.")
                    self._refuse(request, build_internal_refusal())
                    return
                # Further bytes would be taken for the rest of the answer.
                log.info("Serving: an answer was not sent: %s.", error)
                self.abort()

    def _respond(self, request):
        node = self.node
        node.admission.identify(request)
        node.shutdown.check(request.arrived_at, request.deadline)
        limits = node.documents.rulebook.limits
        left_s = max(MIN_BODY_READ_S, request.deadline - node.clock.now())
        with self.limit_read_time(left_s):
            request.body = self.read_body(limits.body_bytes)
        try:
            self._forward(request)
        finally:
            # A traceback may keep the request alive; its memory is returned at once.
            request.body = b""

    def _forward(self, request):
        node = self.node
        request.body_read_at = node.clock.now()
        request.stage = Stage.ADMISSION
        node.shutdown.check(request.arrived_at, request.deadline)
        node.isolation.identify(request)
        node.admit(get_priority(request))
        names = request.route.name, get_organisation_name(request)
        self._check_long_answers(*names)
        node.admission.check_rate(request)
        try:
            answer = node.ingress.forward(request)
        except BackendErrorResponse as error:
            answer = error.answer
        node.long_answers.note(*names, len(answer.body))
        request.body = b""
        request.stage = Stage.ANSWER
        node.events.note_answered(request, answer.status)
        if answer.status >= SERVER_ERROR_STATUS:
            self._note_nested_failure(request)
        headers = drop_hop_by_hop(answer.headers)
        headers = [h for h in headers if h.name.lower() != "content-length"]
        if answer.status not in (204, 304):
            headers.append(build_length_header(request, answer))
        left_s = request.deadline - node.clock.now()
        try:
            self.write(answer.status, headers, answer.body, left_s)
        finally:
            # A traceback may keep the answer alive; its memory is returned once it is
            # sent.
            answer.release()

    def _check_long_answers(self, route, organisation):
        """Refuse a request whose answer could have no room, and close its connection.

        Callers that send on without reading would have the next one refused at once.

        Raises:
            Refusal: Not run, with code `memory-full`.
        """
        try:
            self.node.long_answers.check(route, organisation)
        except Refusal:
            self.req.close_connection = True
            raise

    def _refuse(self, request, refusal):
        self.node.events.note_refused(request, refusal)
        if refusal.status >= SERVER_ERROR_STATUS:
            self._note_nested_failure(request)
        headers, body = describe_refusal(refusal)
        if request.metadata.request_id:
            headers.append(wire.build_request_id_header(request.metadata.request_id))
        rfile = self.req.rfile
        if getattr(rfile, "remaining", 0) > MAX_DROPPED_BYTES or self.req.chunked_read:
            self.req.close_connection = True
        self.write(refusal.status, headers, body)
        if request.body_read_at is None and self.req.close_connection:
            self.linger()

    def _note_nested_failure(self, request):
        if get_priority(request) == NESTED_CALL_PRIORITY:
            self.node.owner.note_nested_failure()


class PeerGateway(Gateway):
    """Serves requests that ingress nodes forward to the local backend server."""

    def respond(self):
        """Serve one forwarded request (an `Order`) or return the document."""
        if self.req.uri == DOCUMENT_PATH.encode():
            self._write_document(self.node.documents.held)
        else:
            self._serve()

    def _write_document(self, held):
        if held.rulebook is None:
            self.write_json(404)
            return
        headers = [
            Header(GENERATION_HEADER, str(held.stamp.generation)),
            Header(REVISION_HEADER, str(held.revision)),
        ]
        body = held.rulebook.raw
        accepted = find_first(self.req.inheaders.header_list, "accept-encoding")
        if accepted == DOCUMENT_ENCODING:
            body = held.compress()
            headers.append(Header("Content-Encoding", DOCUMENT_ENCODING))
        self.write_json(200, body, headers)

    def _serve(self):
        arrived_at = self.node.clock.now()
        text = find_first(self.req.inheaders.header_list, ORDER_HEADER)
        try:
            order = decode_json(text, Order)
        except InputError as error:
            log.warning("Serving: a forwarded request has an invalid order: %s.", error)
            self.req.close_connection = True
            self.write_json(400)
            return
        with self.node.running.track(order):
            self._answer(order, arrived_at)

    def _answer(self, order, arrived_at):
        owner = self.node.owner
        try:
            answer = self._run(order, arrived_at)
        except Refusal as refusal:
            report = owner.status.report(
                Verdict.NOT_RUN, refusal.code, refusal.retry_after or 0.0, order.route
            )
            self._write(order, report, refusal.status, [], b"")
            if self.is_body_unread():
                self.linger()
        except ExchangeError as error:
            status = 504 if error.code == "deadline-passed" else 502
            report = owner.status.report(error.verdict, error.code)
            self._write(order, report, status, [], b"")
        except NodeShutdown:
            refusal = build_shutdown_refusal(True)
            report = owner.status.report(refusal.verdict, refusal.code)
            self._write(order, report, refusal.status, [], b"")
        except CallerDisconnected:
            self.abort()
        else:
            self.node.long_answers.note(
                order.route, order.organisation, len(answer.body)
            )
            report = owner.status.report(Verdict.RAN, route=order.route)
            headers = drop_hop_by_hop(answer.headers)
            headers = [h for h in headers if h.name.lower() != "content-length"]
            try:
                self._write(order, report, answer.status, headers, answer.body)
            finally:
                answer.release()

    def _run(self, order, arrived_at):
        rulebook = self.node.documents.rulebook
        limit_bytes = rulebook.limits.body_bytes if rulebook else HEARTBEAT_LIMIT_BYTES
        body = self.read_body(limit_bytes)
        self.node.long_answers.check(order.route, order.organisation)
        headers = [
            header
            for header in self.req.inheaders.header_list
            if header.name.lower() not in (ORDER_HEADER.lower(), "content-length")
        ]
        call = ForwardedCall(
            self.req.method.decode("ascii"),
            self.req.uri.decode("latin-1"),
            headers,
            body,
            arrived_at,
            get_default_poll_s,
        )
        return self.node.owner.serve(order, call, self.build_watch())

    def _write(self, order, report, status, headers, body):
        text = encode_json_header(report)
        headers = [
            *headers,
            Header(REPORT_HEADER, text),
            Header(REQUEST_ID_HEADER, order.request_id),
            Header("Content-Length", str(len(body))),
        ]
        self.write(status, headers, body)


def build_length_header(request, answer):
    """Return the Content-Length header of an answer.

    An answer to HEAD keeps the length that the backend server gave.
    """
    if request.method == "HEAD":
        for value in find_values(answer.headers, "content-length"):
            return Header("Content-Length", value)
    return Header("Content-Length", str(len(answer.body)))


def build_internal_refusal():
    """Return the `Refusal` for an internal error of the node."""
    return Refusal(500, "internal", "the node failed", verdict=Verdict.MAY_HAVE_RUN)
