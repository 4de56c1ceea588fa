"""Request metadata exchanged between callers, nodes and backend servers.

The structs are sent as arrays: the order of their fields is part of the protocol.
"""

from typing import Annotated, Literal

import msgspec

from ..owner.health import HealthState

Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
# Negative once the time is over.
SecondsLeft = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]
# -1 for nested calls.
Priority = Annotated[int, msgspec.Meta(ge=-1, le=1 << 16)]
# Value of a `HealthState`.
Standing = Literal[tuple(state.value for state in HealthState)]
Fingerprint = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
# A backend server runs few requests at once, and any of them may have made a call.
MAX_CAUSES = 16


class CallerMetadata:
    """Metadata that a caller sends with its request.

    Attributes:
        request_id: Identifier of the request.
        time_left_s: Seconds that the caller waits for an answer, or None.
        key: API key of its organisation, or an empty string.
    """

    __slots__ = ("request_id", "time_left_s", "key")

    def __init__(self, request_id, time_left_s, key):
        self.request_id = request_id
        self.time_left_s = time_left_s
        self.key = key


class AnswerMetadata:
    """Metadata that a backend server sends with its answer.

    Attributes:
        request_id: Identifier of the request that it answers.
        signed: Whether the answer has a signature.
        not_run: Whether it reports that the request did not run.
        limit: Requests per second that the server takes from all nodes together, or
            None if it names no limit.
        is_limit_malformed: Whether it names a limit that can't be read.
        leaving: Whether the server says that it is leaving.
    """

    __slots__ = (
        "request_id",
        "signed",
        "not_run",
        "limit",
        "is_limit_malformed",
        "leaving",
    )

    def __init__(self, request_id, signed, not_run, limit, is_limit_malformed, leaving):
        self.request_id = request_id
        self.signed = signed
        self.not_run = not_run
        self.limit = limit
        self.is_limit_malformed = is_limit_malformed
        self.leaving = leaving

    def is_genuine(self):
        """Return whether the answer is certain to be the backend server's own."""
        return self.signed or self.not_run


class Order(msgspec.Struct, array_like=True):
    """Metadata that an ingress node sends to the owner along with a request.

    Attributes:
        request_id: Identifier of the request.
        server_id: Identifier of the chosen backend server.
        service: Name of its service.
        caller_service: Service of the VM on which the request entered the fleet.
        organisation: Name of the organisation; empty on anonymous routes.
        idempotent: Whether the request may run more than once.
        priority: Priority in the admission queue; 0 is the most urgent.
        route: Name of the route, which selects the latency model.
        time_left_s: Seconds left until the deadline when the order was sent.
        max_wait_s: Longest accepted estimate of the wait for a slot, in seconds.
        objective_s: Latency objective of the route, in seconds.
        force: Whether to admit it regardless of the backend server's health state.
        limit: Requests per second that the backend server takes, as it told the ingress
            node, or None.
        fingerprint: Fingerprint of the request, 0 from nodes of older releases.
        alone: Whether nothing else may run on the backend server meanwhile.
        causes: Fingerprints of the requests that ran on the backend server which made
            this one, if it is a nested call.
    """

    request_id: str
    server_id: str
    service: str
    caller_service: str
    organisation: str
    idempotent: bool
    priority: Priority
    route: str
    time_left_s: SecondsLeft
    max_wait_s: Seconds
    objective_s: Seconds
    force: bool = False
    limit: Rate | None = None
    fingerprint: Fingerprint = 0
    alone: bool = False
    causes: Annotated[list[Fingerprint], msgspec.Meta(max_length=MAX_CAUSES)] = []


class OwnerReport(msgspec.Struct, array_like=True):
    """Status that an owner sends with every answer.

    Attributes:
        verdict: Value of the `Verdict` on this attempt.
        code: Stable code of the failure; empty if a backend server answered.
        running: Number of requests that run on its backend server.
        waiting: Number of requests in the admission queue.
        standing: Value of the backend server's `HealthState`.
        wait_s: Expected seconds until a slot is free.
        suspect: Whether non-idempotent requests are refused for now.
        error_risk: Probability that its backend server fails by errors, in percent.
        hang_risk: Probability that its backend server hangs, in percent.
        median_ms: Median processing time of the route's healthy requests there, in
            milliseconds; 0 if it is not known.
        deviation_percent: Standard deviation of the times' logarithms, in percent.
        answers: Number of answers that these figures are learned from.
        limit: Requests per second that the backend server takes, or None.
        probing: Whether it is half-open and takes no further probe now; None from
            nodes of older releases.
        quiet: Whether it got no request for a while.
    """

    verdict: str
    code: str
    running: Count
    waiting: Count
    standing: Standing
    wait_s: Seconds = 0.0
    suspect: bool = False
    error_risk: Percent = 0
    hang_risk: Percent = 0
    median_ms: Count = 0
    deviation_percent: Count = 0
    answers: Count = 0
    limit: Rate | None = None
    probing: bool | None = None
    quiet: bool = False
