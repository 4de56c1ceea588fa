"""Gateway.

Takes callers' requests from cheroot and writes the answers.
"""

import logging
import socket
import struct

import cheroot.server

from ..errors import Refusal
from ..invariants import InvariantError, check_invariant
from ..keys import Header
from ..verdicts import Verdict
from .answers import get_reason, render_refusal
from .bodies import create_body
from .callers import CallerLeft, CallerWatch
from .exchange import AttemptError, is_bodiless
from .headers import REQUEST_ID
from .requests import Request

log = logging.getLogger("persimmonlane.forwarding")

RETRY_AFTER_S = 1.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerGateway(cheroot.server.Gateway):
    """Answers one request of a caller."""

    def __init__(self, http_request, ingress):
        super().__init__(http_request)
        self.ingress = ingress

    def respond(self):
        """Forward the request and write its answer."""
        with self.ingress.track():
            self._respond()

    def _respond(self):
        request = self._build_request()
        try:
            self._check_accepts()
            answer = self.ingress.forwarder.forward(request)
        except Refusal as refusal:
            self._refuse(request, refusal)
        except CallerLeft:
            self._note_left(request)
        except InvariantError as error:
            self._refuse(request, describe_fault(error.code))
        except Exception:
            log.exception("Forwarding: a request failed.")
            self._refuse(request, describe_fault("internal"))
        else:
            self._write(request, answer)

    def _check_accepts(self):
        if not self.ingress.accepts:
            raise Refusal(
                503,
                "node-stopping",
                "the node is stopping; another node takes the request",
                retry_after=RETRY_AFTER_S,
            )

    def _build_request(self):
        req = self.req
        return Request(
            req.method.decode("ascii"),
            req.uri.decode("latin-1"),
            req.inheaders.listed,
            create_body(req),
            CallerWatch(req.conn.socket),
            self.ingress.clock.now(),
        )

    def _refuse(self, request, refusal):
        if not request.body.discard():
            self.req.close_connection = True
        self._note_drain()
        answer = render_refusal(refusal, request.id, close=False)
        self._set_head(answer.status, answer.headers)
        try:
            self.req.ensure_headers_sent()
            if request.method != "HEAD":
                self.req.write(answer.body)
        finally:
            self.ingress.forwarder.note_end(
                request, refusal.status, refusal.code, refusal.verdict
            )

    def _note_left(self, request):
        self._cut()
        self.ingress.forwarder.note_end(request, 0, "caller-left", Verdict.MAY_HAVE_RUN)

    def _write(self, request, answer):
        if not request.body.complete:
            self.req.close_connection = True
        self._note_drain()
        self._set_head(answer.status, build_head(request, answer))
        status, code = answer.status, ""
        try:
            self._write_body(answer)
        except (AttemptError, InvariantError, OSError) as error:
            status, code = 0, getattr(error, "code", "caller-left")
            self._cut()
        finally:
            answer.close()
        self.ingress.forwarder.note_end(request, status, code, Verdict.RAN)

    def _write_body(self, answer):
        self.req.ensure_headers_sent()
        sent_bytes = 0
        for piece in answer.pieces:
            if piece:
                self.req.write(piece)
                sent_bytes += len(piece)
        check_invariant(
            "whole-answer",
            answer.length is None or sent_bytes == answer.length,
            f"{sent_bytes} of {answer.length} bytes were passed on",
        )

    def _set_head(self, status, headers):
        self.req.status = f"{status} {get_reason(status)}".encode("latin-1")
        self.req.outheaders = [
            (header.name.encode("latin-1"), header.value.encode("latin-1"))
            for header in headers
        ]

    def _note_drain(self):
        if self.ingress.draining:
            self.req.close_connection = True

    def _cut(self):
        """Reset the connection, so that the caller can't take the answer as whole."""
        req = self.req
        req.close_connection = True
        req.chunked_write = False
        req.sent_headers = True
        req.conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def build_head(request, answer):
    """Return the headers of a forwarded answer."""
    dropped = {REQUEST_ID.lower()}
    if request.method != "HEAD":
        dropped.add("content-length")
    headers = [item for item in answer.headers if item.name.lower() not in dropped]
    if answer.length is not None and not is_bodiless(request.method, answer.status):
        headers.append(Header("Content-Length", str(answer.length)))
    headers.append(Header(REQUEST_ID, request.id))
    return headers


def describe_fault(code):
    """Return the `Refusal` for a fault of the node itself."""
    return Refusal(
        500, code, "the node failed on this request", verdict=Verdict.MAY_HAVE_RUN
    )
