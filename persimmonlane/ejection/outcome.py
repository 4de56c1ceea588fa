"""Outcomes.

What the forwarder reports about one attempt on a backend server.
"""

import enum


class Kind(enum.Enum):
    """How an attempt on a backend server ended."""

    OK = "ok"
    ERROR = "error"
    SHORT = "short"
    WRONG = "wrong"
    TIMEOUT = "timeout"
    CONNECT = "connect"
    SHED = "shed"
    STALE = "stale"
    CANCELLED = "cancelled"


class Outcome:
    """The end of one attempt.

    `STALE` is a fault of a pooled connection and says nothing of the server;
    `CANCELLED` means that the caller went away.

    Attributes:
        address: Address of the backend server.
        attempt: Number of the attempt, as given at its start.
        kind: How it ended.
        latency_s: Seconds from start to the first byte of the answer, or to the
            failure.
        verdict: Whether the request may have run.
    """

    __slots__ = ("address", "attempt", "kind", "latency_s", "verdict")

    def __init__(self, address, attempt, kind, latency_s, verdict):
        self.address = address
        self.attempt = attempt
        self.kind = kind
        self.latency_s = latency_s
        self.verdict = verdict
