"""What a node that decides on rates has borrowed, granted alone, and asked others."""

from ..quotas.borrowing import Borrower

# A node that leaves a question unanswered for this long is passed over for a while.
ANSWER_TIMEOUT_S = 0.07
PASS_OVER_S = 1.0


class Borrowed:
    """What this node has borrowed for one organisation, and who waits for more.

    Attributes:
        borrower: The `Borrower`.
        waiting: Replies of the requests that wait for the lender.
        sequence: Number of the newest `LoanRequest`.
        want: Number of tokens that it asks for.
    """

    __slots__ = ("borrower", "waiting", "sequence", "want")

    def __init__(self, now):
        self.borrower = Borrower(now)
        self.waiting = []
        self.sequence = 0


class AloneCount:
    """Requests that a process has granted from its own share since it started."""

    __slots__ = ("boot", "granted")

    def __init__(self, boot, granted):
        self.boot = boot
        self.granted = granted


class AskedNode:
    """What a node that decides on rates was asked.

    Attributes:
        unanswered_since: Clock seconds of the oldest question without an answer, or
            None.
        passed_over_until: Clock seconds until which it is not asked.
    """

    __slots__ = ("unanswered_since", "passed_over_until")

    def __init__(self):
        self.unanswered_since = None
        self.passed_over_until = float("-inf")

    def is_passed_over(self, now):
        """Return whether another node is to be asked instead."""
        since = self.unanswered_since
        if since is not None and now - since > ANSWER_TIMEOUT_S:
            self.unanswered_since = None
            self.passed_over_until = now + PASS_OVER_S
        return now < self.passed_over_until
