"""Callers' requests and the results of the attempts to serve them."""

import enum

from ..errors import Refusal
from ..outcomes import OutcomeKind
from ..platform import headers as wire
from ..quarantine.fingerprints import NO_FINGERPRINT
from ..verdicts import Verdict

SERVER_ERROR_STATUS = 500
# Calls made by a running request come first: it holds a slot while it waits for them.
NESTED_CALL_PRIORITY = -1


class Stage(enum.Enum):
    """What a caller's request is waiting for."""

    BODY = "body"
    ADMISSION = "admission"
    PLACEMENT = "placement"
    SERVER = "server"
    ANSWER = "answer"


class IngressRequest:
    """A request that a caller sent to this node.

    All times are in seconds of the node's clock.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: List of `Header`s as the caller sent them.
        body: Bytes; read completely before a backend server is chosen.
        caller: The `CallerWatch` of the caller's connection.
        arrived_at: Time at which the request head had been read.
        metadata: The `CallerMetadata` read from the headers.
        route: The `Route`, or None until it is resolved.
        organisation: The `Organisation`, or None.
        deadline: Time by which the request must be answered.
        service: Name of the chosen service, empty until it is chosen.
        body_read_at: Time at which the body had been read, or None.
        stage: The current `Stage`.
        server_id: Identifier of the backend server that was tried last.
        fingerprint: Fingerprint by which it is known when it comes again, 0 before its
            body was read.
        causes: Fingerprints of the requests that may have made it as a nested call.
        crashes: Number of its attempts in which the backend server crashed.
        allowed_regions: Names of the only regions that may serve it, or None if all
            may.
        overflow_draw: Random number that decides whether it leaves the data centre, or
            None before that was weighed.
    """

    __slots__ = (
        "service",
        "method",
        "target",
        "headers",
        "body",
        "caller",
        "arrived_at",
        "metadata",
        "route",
        "organisation",
        "deadline",
        "body_read_at",
        "stage",
        "server_id",
        "fingerprint",
        "causes",
        "crashes",
        "allowed_regions",
        "overflow_draw",
    )

    def __init__(self, method, target, headers, caller, arrived_at):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.caller = caller
        self.arrived_at = arrived_at
        self.metadata = wire.parse_request_headers(headers)
        self.route = None
        self.organisation = None
        self.deadline = None
        self.service = ""
        self.body_read_at = None
        self.stage = Stage.BODY
        self.server_id = ""
        self.fingerprint = NO_FINGERPRINT
        self.causes = []
        self.crashes = 0
        self.allowed_regions = None
        self.overflow_draw = None

    def is_admitted(self):
        """Return whether the request passed admission."""
        return self.stage in (Stage.PLACEMENT, Stage.SERVER, Stage.ANSWER)

    def is_in_progress(self):
        """Return whether its body was read and its answer is not there yet."""
        return self.stage not in (Stage.BODY, Stage.ANSWER)


class PlacementChoice:
    """A chosen candidate and the conditions of the attempt.

    Attributes:
        candidate: The `Candidate`.
        max_wait_s: Longest estimated wait for a slot that is accepted, in seconds.
        last_resort: Whether the owner is to accept the request even if the server is
            not healthy.
        alone: Whether nothing else may run on the server meanwhile.
        reason: Why its data centre was selected, empty if that was not weighed.
    """

    __slots__ = ("candidate", "max_wait_s", "last_resort", "alone", "reason")

    def __init__(self, candidate, max_wait_s, last_resort, alone=False, reason=""):
        self.candidate = candidate
        self.max_wait_s = max_wait_s
        self.last_resort = last_resort
        self.alone = alone
        self.reason = reason


class Attempt:
    """The result of one attempt to have a request served by a candidate.

    Attributes:
        answer: The `CompleteResponse`, or None if the attempt failed without one.
        verdict: The `Verdict` on whether the request ran.
        code: Stable code of the failure, or an empty string.
        wait_s: Seconds until the owner expects a free slot.
        kind: The `OutcomeKind` of a failure.
        last_resort: Whether it was made as a last resort.
        figures: The owner's `LatencyFigures` of the route, or None.
    """

    __slots__ = (
        "answer",
        "verdict",
        "code",
        "wait_s",
        "kind",
        "last_resort",
        "figures",
    )

    def __init__(self, answer, verdict, code="", wait_s=0.0, kind=OutcomeKind.OK):
        self.answer = answer
        self.verdict = verdict
        self.code = code
        self.wait_s = wait_s
        self.kind = kind
        self.last_resort = False
        self.figures = None

    def was_last_resort(self):
        """Return whether this was a last resort, with the longest wait allowed."""
        return self.last_resort

    def is_success(self):
        """Return whether a backend server answered with a status below 500."""
        return self.answer is not None and self.answer.status < SERVER_ERROR_STATUS

    def supersedes(self, first):
        """Return whether this second attempt is used instead of the first one.

        Args:
            first: The first `Attempt` of the same request.
        """
        if self.verdict is Verdict.NOT_RUN:
            return False
        return self.is_success() or first.answer is None


class BackendErrorResponse(Exception):
    """A 5xx response that is passed on to the caller if no retry replaces it.

    Attributes:
        answer: The `CompleteResponse`.
    """

    def __init__(self, answer):
        super().__init__("the backend server answered with a server error")
        self.answer = answer


def get_priority(request):
    """Return the priority of a request in the queues; lower values go first."""
    organisation = request.organisation
    if organisation is None:
        return NESTED_CALL_PRIORITY
    if organisation.priority is not None:
        return organisation.priority
    return request.route.priority


def build_failure_refusal(attempt):
    """Return the `Refusal` for a request whose failed `Attempt` may have run."""
    status = 504 if attempt.kind is OutcomeKind.TIMEOUT else 502
    return Refusal(
        status,
        attempt.code,
        "the backend server did not answer",
        verdict=Verdict.MAY_HAVE_RUN,
    )
