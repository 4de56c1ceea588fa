"""Attempts.

A caller's request on its way, and what its attempts come to.
"""

import enum

from ..outcomes import Kind
from ..platform import headers as wire
from ..verdicts import Verdict

SERVER_FAULT = 500
# Calls of a running request go first: it holds a slot while it waits for them.
CALL_RANK = -1


class Stage(enum.Enum):
    """What a caller's request waits for."""

    BODY = "body"
    ADMISSION = "admission"
    PLACEMENT = "placement"
    SERVER = "server"


class IngressRequest:
    """A caller's request.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: The caller's `Header`s.
        body: Bytes, read before the request is placed.
        caller: The `CallerWatch`.
        arrived: Seconds at which its head had been read.
        wishes: The `CallerWishes`.
        route: The `Route`, or None before it is found.
        organisation: The `Organisation`, or None.
        deadline: Seconds by which it must be answered.
        service: Name of the service that was chosen for it.
        received_at: Seconds at which its body had been read, or None.
        stage: The `Stage`.
        server_id: Identifier of the backend server that was asked last.
    """

    __slots__ = (
        "service",
        "method",
        "target",
        "headers",
        "body",
        "caller",
        "arrived",
        "wishes",
        "route",
        "organisation",
        "deadline",
        "received_at",
        "stage",
        "server_id",
    )

    def __init__(self, method, target, headers, caller, arrived):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.caller = caller
        self.arrived = arrived
        self.wishes = wire.parse_request_headers(headers)
        self.route = None
        self.organisation = None
        self.deadline = None
        self.service = ""
        self.received_at = None
        self.stage = Stage.BODY
        self.server_id = ""

    def is_admitted(self):
        """Return whether it may be handed to a backend server."""
        return self.stage in (Stage.PLACEMENT, Stage.SERVER)


class Choice:
    """A candidate and how it is asked.

    Attributes:
        candidate: The `Candidate`.
        patience_s: Longest estimated wait that is accepted.
        insist: Whether it is to take the request though it is not sound.
    """

    __slots__ = ("candidate", "patience_s", "insist")

    def __init__(self, candidate, patience_s, insist):
        self.candidate = candidate
        self.patience_s = patience_s
        self.insist = insist


class Attempt:
    """One try to have a request served by a candidate.

    Attributes:
        answer: The `WholeAnswer`, or None.
        verdict: The `Verdict` on this try.
        code: Stable code of the failure.
        wait_s: Seconds until the owner expects a free slot.
        kind: The `Kind` of a failure.
        last: Whether it was a last resort.
    """

    __slots__ = ("answer", "verdict", "code", "wait_s", "kind", "last")

    def __init__(self, answer, verdict, code="", wait_s=0.0, kind=Kind.OK):
        self.answer = answer
        self.verdict = verdict
        self.code = code
        self.wait_s = wait_s
        self.kind = kind
        self.last = False

    def was_last(self):
        """Return whether this was a last resort, with all the patience there is."""
        return self.last

    def is_good(self):
        """Return whether a backend server answered without a failure."""
        return self.answer is not None and self.answer.status < SERVER_FAULT

    def beats(self, first):
        """Return whether this second attempt counts instead of the first."""
        if self.verdict is Verdict.NOT_RUN:
            return False
        return self.is_good() or first.answer is None


class AnswerInHand(Exception):
    """A backend server's failure that is passed on if no second attempt is made.

    Attributes:
        answer: The `WholeAnswer`.
    """

    def __init__(self, answer):
        super().__init__("a backend server's failure")
        self.answer = answer


def find_rank(request):
    """Return the urgency of a request in the queues; 0 is the most urgent."""
    organisation = request.organisation
    if organisation is None:
        return CALL_RANK
    if organisation.priority is not None:
        return organisation.priority
    return request.route.priority
