"""Audits.

Checks of the invariants from outside, by true counts over the whole fleet.
"""

from ..ejection.standing import State
from ..invariants import check_invariant
from ..reporting.measures import ReferenceBucket
from ..verdicts import Verdict

EPSILON = 1e-6
LEAVING_S = 5.0


class Audit:
    """Counts what the whole fleet did.

    Attributes:
        document: The document in force.
        backends: The `FakeBackend`s by address.
    """

    __slots__ = ("document", "backends", "_buckets")

    def __init__(self, document, backends):
        self.document = document
        self.backends = backends
        self._buckets = {
            each.name: ReferenceBucket(each.rate, each.burst)
            for each in document.organisations
        }

    def check_admission(self, organisation, now):
        """Check an admission against one exact bucket for the fleet."""
        bucket = self._buckets[organisation]
        bucket.refill(now)
        check_invariant(
            "rate",
            bucket.tokens >= 1.0 - EPSILON,
            f"the fleet admitted {1 - bucket.tokens:.3f} requests too many",
        )
        bucket.admit(now)

    def check_attempt(self, address, now):
        """Check that a backend server that gets work is not long leaving."""
        leaving_at = self.backends[address].leaving_at
        check_invariant(
            "leaving",
            leaving_at is None or now - leaving_at <= LEAVING_S,
            f"{address} got work after it said that it leaves",
        )

    def check_end(self, request, verdict, answer):
        """Check how often a request ran, and whose answer its caller got.

        Args:
            request: The `Request`.
            verdict: What its caller was told.
            answer: Number of the request that was answered, or None.
        """
        runs = sum(each.runs[request.number] for each in self.backends.values())
        check_invariant(
            "at-most-once",
            request.idempotent or runs <= 1,
            f"a non-idempotent request ran {runs} times",
        )
        check_invariant(
            "not-run",
            verdict is not Verdict.NOT_RUN or runs == 0,
            "a request was refused as not run and had run",
        )
        check_invariant(
            "whole-answer",
            answer is None or answer == request.number and runs >= 1,
            "a caller got the answer to another request",
        )

    def check_floor(self, service, servers, standing):
        """Check one node's healthy capacity of a service.

        Args:
            service: The `Service`.
            servers: Its backend servers that take new work.
            standing: Gives the `Standing` of an address.
        """
        total = sum(server.slots for server in servers)
        out = sum(
            server.slots
            for server in servers
            if standing(server.address).state in (State.EJECTED, State.TRIAL)
        )
        check_invariant(
            "floor",
            total - out >= service.floor * total - EPSILON,
            f"{out} of {total} slots of {service.name} are out of use",
        )
