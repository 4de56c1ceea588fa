"""Gateways.

What the node's HTTP servers do with a request.
"""

import contextlib
import logging

import cheroot.server
import msgspec

from ..errors import InputError, Refusal
from ..headers import Header, drop_hop_by_hop, find_first, find_values
from ..owner.serving import OwnedCall
from ..platform import checkins
from ..platform import headers as wire
from ..routing.orders import Order
from ..verdicts import Verdict
from .answers import describe_refusal, get_reason
from .attempts import AnswerInHand, IngressRequest, Stage, find_rank
from .bodies import BodyError, create_body
from .callers import CallerLeft, CallerWatch
from .departure import NodeEnding, describe_ending
from .exchange import ExchangeError
from .hops import ORDER, REPORT, REPORTED_ID, wait_long

log = logging.getLogger("persimmonlane.serving")

DOCUMENT_PATH = "/persimmon/document"
HEARTBEAT_LIMIT_BYTES = 64 * 1024
LINGER_BYTES = 1024 * 1024
LINGER_S = 1.0
LEAST_BODY_S = 0.05


class Gateway(cheroot.server.Gateway):
    """Base of the node's gateways."""

    def __init__(self, http_request, node):
        super().__init__(http_request)
        self.node = node

    def write(self, status, headers, body):
        """Write a whole answer."""
        req = self.req
        if self.node.closes_connections:
            req.close_connection = True
        req.status = f"{status} {get_reason(status)}".encode("latin-1")
        req.outheaders = [
            (header.name.encode("latin-1"), header.value.encode("latin-1"))
            for header in headers
        ]
        req.ensure_headers_sent()
        if body and req.method != b"HEAD":
            req.write(body)

    def write_text(self, status, body=b""):
        """Write an answer of the node with a JSON body."""
        headers = [
            Header("Content-Type", "application/json"),
            Header("Content-Length", str(len(body))),
        ]
        self.write(status, headers, body)

    def read_body(self, limit_bytes):
        """Return the whole body.

        Raises:
            Refusal: If it is malformed or too long.
        """
        body = create_body(self.req)
        pieces, size = [], 0
        try:
            for piece in body.pieces():
                pieces.append(piece)
                size += len(piece)
                if size > limit_bytes:
                    raise Refusal(413, "body-too-large", "the body is too large")
        except BodyError as error:
            self.req.close_connection = True
            if isinstance(error.__cause__, TimeoutError):
                raise Refusal(408, "body-late", "the body came too late") from error
            raise Refusal(400, error.code, error.message) from error
        return b"".join(pieces)

    @contextlib.contextmanager
    def limit_reading(self, limit_s):
        """Bound the time of all reads of the block together."""
        conn = self.req.conn
        conn.limit_reading(limit_s)
        try:
            yield
        finally:
            conn.lift_limit()

    def abort(self):
        """Close the connection without an answer: nobody waits for one."""
        req = self.req
        req.close_connection = True
        req.chunked_write = False
        req.sent_headers = True

    def build_watch(self):
        """Return the `CallerWatch` of the connection."""
        return CallerWatch(self.req.conn.socket, self.node.departure)


class CallerGateway(Gateway):
    """Serves callers and the backend server's own calls."""

    def respond(self):
        """Answer one request."""
        node = self.node
        request = IngressRequest(
            self.req.method.decode("ascii"),
            self.req.uri.decode("latin-1"),
            self.req.inheaders.listed,
            self.build_watch(),
            node.clock.now(),
        )
        with node.running.track(request):
            try:
                self._respond(request)
            except Refusal as refusal:
                self._refuse(request, refusal)
            except NodeEnding:
                self._refuse(request, describe_ending(request.stage is Stage.SERVER))
            except CallerLeft:
                node.events.note_left(request)
                self.abort()
            except Exception:
                log.exception("Serving: a request failed.")
                self._refuse(request, describe_fault())

    def _respond(self, request):
        node = self.node
        node.admission.identify(request)
        node.departure.check(request.arrived, request.deadline)
        limits = node.documents.rulebook.limits
        left_s = max(LEAST_BODY_S, request.deadline - node.clock.now())
        with self.limit_reading(left_s):
            request.body = self.read_body(limits.body_bytes)
        request.received_at = node.clock.now()
        request.stage = Stage.ADMISSION
        node.departure.check(request.arrived, request.deadline)
        node.admit(find_rank(request))
        node.admission.check_rate(request)
        try:
            answer = node.ingress.forward(request)
        except AnswerInHand as error:
            answer = error.answer
        node.events.note_answered(request, answer.status)
        headers = drop_hop_by_hop(answer.headers)
        headers = [h for h in headers if h.name.lower() != "content-length"]
        if answer.status not in (204, 304):
            headers.append(find_length(request, answer))
        self.write(answer.status, headers, answer.body)

    def _refuse(self, request, refusal):
        self.node.events.note_refused(request, refusal)
        headers, body = describe_refusal(refusal)
        if request.wishes.request_id:
            headers.append(wire.build_request_id_header(request.wishes.request_id))
        rfile = self.req.rfile
        if getattr(rfile, "remaining", 0) > LINGER_BYTES or self.req.chunked_read:
            self.req.close_connection = True
        self.write(refusal.status, headers, body)
        if request.received_at is None and self.req.close_connection:
            self._linger()

    def _linger(self):
        """Read what is left of the body: closing before would reset the answer."""
        with self.limit_reading(LINGER_S):
            try:
                self.read_body(LINGER_BYTES)
            except Refusal as refusal:
                log.debug("Serving: the rest of a body was not read: %s.", refusal)


class NodeGateway(Gateway):
    """Serves the ingress of other nodes on behalf of the backend server."""

    def respond(self):
        """Answer one order, or hand out the document."""
        if self.req.uri == DOCUMENT_PATH.encode():
            rulebook = self.node.documents.rulebook
            if rulebook is None:
                self.write_text(404)
            else:
                self.write_text(200, rulebook.raw)
            return
        self._serve()

    def _serve(self):
        arrived = self.node.clock.now()
        text = find_first(self.req.inheaders.listed, ORDER)
        try:
            order = msgspec.json.decode(text, type=Order)
        except msgspec.MsgspecError as error:
            log.warning("Serving: an order is invalid: %s.", error)
            self.req.close_connection = True
            self.write_text(400)
            return
        with self.node.running.track(order):
            self._answer(order, arrived)

    def _answer(self, order, arrived):
        owner = self.node.owner
        try:
            answer = self._run(order, arrived)
        except Refusal as refusal:
            report = owner.report(
                Verdict.NOT_RUN, refusal.code, refusal.retry_after or 0.0
            )
            self._write(order, report, refusal.status, [], b"")
        except ExchangeError as error:
            status = 504 if error.code == "deadline-passed" else 502
            report = owner.report(error.verdict, error.code)
            self._write(order, report, status, [], b"")
        except NodeEnding:
            refusal = describe_ending(True)
            report = owner.report(refusal.verdict, refusal.code)
            self._write(order, report, refusal.status, [], b"")
        except CallerLeft:
            self.abort()
        else:
            report = owner.report(Verdict.RAN)
            headers = drop_hop_by_hop(answer.headers)
            headers = [h for h in headers if h.name.lower() != "content-length"]
            self._write(order, report, answer.status, headers, answer.body)

    def _run(self, order, arrived):
        limits = self.node.documents.rulebook
        limit_bytes = limits.limits.body_bytes if limits else HEARTBEAT_LIMIT_BYTES
        body = self.read_body(limit_bytes)
        headers = [
            header
            for header in self.req.inheaders.listed
            if header.name.lower() not in (ORDER.lower(), "content-length")
        ]
        call = OwnedCall(
            self.req.method.decode("ascii"),
            self.req.uri.decode("latin-1"),
            headers,
            body,
            arrived,
            wait_long,
        )
        return self.node.owner.serve(order, call, self.build_watch())

    def _write(self, order, report, status, headers, body):
        text = msgspec.json.encode(report).decode("ascii", "backslashreplace")
        headers = [
            *headers,
            Header(REPORT, text),
            Header(REPORTED_ID, order.request_id),
            Header("Content-Length", str(len(body))),
        ]
        self.write(status, headers, body)


class ReadinessGateway(Gateway):
    """Tells whether the node takes requests."""

    def respond(self):
        """Answer whether the node is ready."""
        path = self.req.uri.decode("latin-1").partition("?")[0]
        if path != checkins.READY_PATH:
            self.write_text(404)
            return
        self.write_text(200 if self.node.is_ready() else 503)


class HeartbeatGateway(Gateway):
    """Takes the heartbeats of the backend server beside the node."""

    def respond(self):
        """Take one heartbeat or departure."""
        server_id = checkins.parse_server_id(self.req.uri.decode("latin-1"))
        if server_id is None:
            self.write_text(404)
            return
        try:
            body = self.read_body(HEARTBEAT_LIMIT_BYTES)
        except Refusal as refusal:
            self.write_text(refusal.status)
            return
        self._take(server_id, body)

    def _take(self, server_id, body):
        owner = self.node.owner
        if self.req.method == b"DELETE":
            owner.take_departure(server_id, checkins.decode_departure(body))
            self.write_text(200, b"{}")
            return
        try:
            owner.take_heartbeat(checkins.decode_heartbeat(server_id, body))
        except InputError as error:
            log.warning("Owner: a heartbeat of %s is invalid: %s.", server_id, error)
            self.write_text(400)
            return
        self.write_text(200, b"{}")


def find_length(request, answer):
    """Return the Content-Length header of an answer."""
    if request.method == "HEAD":
        for value in find_values(answer.headers, "content-length"):
            return Header("Content-Length", value)
    return Header("Content-Length", str(len(answer.body)))


def describe_fault():
    """Return the `Refusal` for a fault of the node itself."""
    return Refusal(500, "internal", "the node failed", verdict=Verdict.MAY_HAVE_RUN)


__all__ = ["CallerGateway", "HeartbeatGateway", "NodeGateway", "ReadinessGateway"]
