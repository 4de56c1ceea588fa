"""Attempts.

Decides which attempts one request may make.
"""

from ..invariants import check_invariant
from ..verdicts import Verdict

MIN_REMAINING_S = 0.005


def decide_retry(verdict, idempotent, attempt, remaining_s, policy, budget):
    """Return whether a request may be sent again.

    It is asked only after an attempt that gave no usable answer: one that failed, was
    refused, or ended short.

    Args:
        verdict: The `Verdict` of the attempt that ended.
        idempotent: Whether the request is idempotent.
        attempt: Number of attempts made so far.
        remaining_s: Seconds left until the request's deadline.
        policy: The service's `RetryPolicy`.
        budget: The service's `RetryBudget`; charged if the answer is yes.
    """
    if verdict is not Verdict.NOT_RUN and not idempotent:
        return False
    if attempt >= policy.attempts or remaining_s <= MIN_REMAINING_S:
        return False
    return budget.may_retry()


class RequestAttempts:
    """The attempts of one request.

    Attributes:
        idempotent: Whether the request is idempotent.
        count: Attempts begun.
        tried: Addresses of the backend servers that were tried.
        verdict: What is known of the whole request.
    """

    __slots__ = (
        "idempotent",
        "count",
        "tried",
        "verdict",
        "_running",
        "_policy",
        "_budget",
        "_deadline",
        "_clock",
    )

    def __init__(self, idempotent, deadline, policy, budget, clock):
        """Note a request.

        Args:
            idempotent: Whether the request is idempotent.
            deadline: Monotonic seconds by which it must be answered.
            policy: The service's `RetryPolicy`.
            budget: The service's `RetryBudget`.
            clock: Clock in monotonic seconds.
        """
        self.idempotent = idempotent
        self.count = 0
        self.tried = set()
        self.verdict = Verdict.NOT_RUN
        self._running = False
        self._policy = policy
        self._budget = budget
        self._deadline = deadline
        self._clock = clock
        budget.note_request()

    def begin(self, address):
        """Note that an attempt is about to be sent to an address.

        Raises:
            InvariantError: If the request is not idempotent and may already run.
        """
        repeats = self._running or self.verdict is not Verdict.NOT_RUN
        check_invariant(
            "at-most-once",
            self.idempotent or not repeats,
            "a non-idempotent request was about to be sent twice",
        )
        self._running = True
        self.count += 1
        self.tried.add(address)

    def end(self, verdict):
        """Take the verdict of the attempt that ended."""
        self._running = False
        self.verdict = combine(self.verdict, verdict)

    def may_retry(self, verdict):
        """Return whether to send the request again after an attempt that failed."""
        remaining_s = self._deadline - self._clock.now()
        return decide_retry(
            verdict,
            self.idempotent,
            self.count,
            remaining_s,
            self._policy,
            self._budget,
        )


RANKS = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(first, second):
    """Return the verdict of two attempts taken together."""
    return max(first, second, key=RANKS.__getitem__)
