"""Headers of requests and answers between an ingress node and an owner."""

import json
import logging

import msgspec

from ..decoding import decode_json
from ..errors import InputError
from ..headers import find_first
from ..outcomes import OutcomeKind
from ..owner.latency import LatencyFigures
from ..platform import headers as wire
from ..routing.metadata import OwnerReport
from ..verdicts import Verdict
from .attempts import Attempt

log = logging.getLogger("persimmonlane.serving")

ORDER_HEADER = "Persimmon-Order"
REPORT_HEADER = "Persimmon-Report"
REQUEST_ID_HEADER = "Persimmon-Request"
# Latest generation of the store that is known to hold the document in the answer.
# Revision of the store, in that generation, at which the document was the newest.
REVISION_HEADER = "Persimmon-Revision"
GENERATION_HEADER = "Persimmon-Generation"
GATEWAY_TIMEOUT_STATUS = 504


def get_default_poll_s():
    """Return the poll interval, in seconds, of an exchange with nothing to poll for."""
    return 10.0


def encode_json_header(value):
    """Return a struct as JSON for the value of a header, in ASCII."""
    raw = msgspec.json.encode(value)
    if raw.isascii():
        return raw.decode("ascii")
    return json.dumps(msgspec.json.decode(raw))


def filter_request_headers(headers):
    """Return a caller's headers without those that the node sets itself."""
    return [
        header
        for header in headers
        if not wire.is_stripped(header.name)
        and header.name.lower() not in ("content-length", ORDER_HEADER.lower())
    ]


def get_reported_request_id(headers):
    """Return the request identifier that an owner's answer states."""
    return find_first(headers, REQUEST_ID_HEADER)


def parse_report(answer, peer, server_id):
    """Return the `Attempt` that an owner's answer reports.

    An answer without a valid report gives an attempt that may have run.

    Args:
        answer: The `CompleteResponse`; the node's own headers are removed from it.
        peer: The `Peer` that owns the backend server; updated from the report.
        server_id: Identifier of the backend server to which the request was sent.
    """
    text = find_first(answer.headers, REPORT_HEADER)
    try:
        report = decode_json(text, OwnerReport)
        verdict = Verdict(report.verdict)
    except (InputError, ValueError) as error:
        log.error(
            "Serving: the answer of %s has no valid report: %s.", peer.name, error
        )
        return Attempt(
            None, Verdict.MAY_HAVE_RUN, "report-missing", kind=OutcomeKind.INVALID
        )
    peer.apply_report(server_id, report)
    if verdict is not Verdict.RAN:
        kind = (
            OutcomeKind.TIMEOUT
            if answer.status == GATEWAY_TIMEOUT_STATUS
            else OutcomeKind.ERROR
        )
        attempt = Attempt(None, verdict, report.code, report.wait_s, kind)
        attempt.figures = read_figures(report)
        return attempt
    internal = (REPORT_HEADER.lower(), REQUEST_ID_HEADER.lower())
    answer.headers = [h for h in answer.headers if h.name.lower() not in internal]
    attempt = Attempt(answer, Verdict.RAN)
    attempt.figures = read_figures(report)
    return attempt


def read_figures(report):
    """Return the `LatencyFigures` in an `OwnerReport`."""
    return LatencyFigures(report.median_ms, report.deviation_percent, report.answers)
