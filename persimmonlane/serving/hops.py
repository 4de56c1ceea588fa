"""Hops.

What a request and its answer carry between an ingress node and an owner.
"""

import logging

import msgspec

from ..headers import find_first
from ..outcomes import Kind
from ..platform import headers as wire
from ..routing.orders import OwnerReport
from ..verdicts import Verdict
from .attempts import Attempt

log = logging.getLogger("persimmonlane.serving")

ORDER = "Persimmon-Order"
REPORT = "Persimmon-Report"
REPORTED_ID = "Persimmon-Request"
TIMED_OUT = 504


def wait_long():
    """Return the seconds between looks at an exchange that needs none."""
    return 10.0


def clean_headers(headers):
    """Return the headers that a caller may pass on to a backend server."""
    return [
        header
        for header in headers
        if not wire.is_stripped(header.name)
        and header.name.lower() not in ("content-length", ORDER.lower())
    ]


def find_reported_id(headers):
    """Return the identifier of the request that an owner's answer names."""
    return find_first(headers, REPORTED_ID)


def read_report(answer, peer, server_id):
    """Return the `Attempt` that an owner's answer tells of.

    Args:
        answer: The `WholeAnswer`.
        peer: The `Peer` that owns the backend server; learns from the report.
        server_id: Identifier of the backend server that was asked for.
    """
    text = find_first(answer.headers, REPORT)
    try:
        report = msgspec.json.decode(text, type=OwnerReport)
        verdict = Verdict(report.verdict)
    except (msgspec.MsgspecError, ValueError) as error:
        log.error("Serving: %s answered without a report: %s.", peer.name, error)
        return Attempt(None, Verdict.MAY_HAVE_RUN, "report-missing", kind=Kind.WRONG)
    peer.note_report(server_id, report)
    if verdict is not Verdict.RAN:
        kind = Kind.TIMEOUT if answer.status == TIMED_OUT else Kind.ERROR
        return Attempt(None, verdict, report.code, report.wait_s, kind)
    own = (REPORT.lower(), REPORTED_ID.lower())
    answer.headers = [h for h in answer.headers if h.name.lower() not in own]
    return Attempt(answer, Verdict.RAN)
