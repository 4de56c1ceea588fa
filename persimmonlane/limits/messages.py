"""Limits messages.

What borrowers and holders say to each other, and what parts tell.
"""


class Demand:
    """What a borrower holds and wants of one organisation's rate.

    Attributes:
        organisation: Name of the organisation.
        epoch: Epoch of the holder that made the loan, 0 without a loan.
        rate: Tokens per second that the borrower's bucket gains.
        cap: Tokens that the borrower's bucket can hold.
        level: Tokens in the bucket.
        returned: Tokens that the borrower hands back; `cap` is lower by them.
        demand: Requests per second of late.
        waiting: Requests that wait for a token.
    """

    __slots__ = (
        "organisation",
        "epoch",
        "rate",
        "cap",
        "level",
        "returned",
        "demand",
        "waiting",
    )

    def __init__(
        self,
        organisation,
        *,
        epoch=0,
        rate=0.0,
        cap=0.0,
        level=0.0,
        returned=0.0,
        demand=0.0,
        waiting=0,
    ):
        self.organisation = organisation
        self.epoch = epoch
        self.rate = rate
        self.cap = cap
        self.level = level
        self.returned = returned
        self.demand = demand
        self.waiting = waiting


class Demands:
    """A batch of demands of one borrower.

    Attributes:
        borrower: Name of the node with its incarnation.
        sequence: Number that rises with each batch of the borrower.
        items: The demands, as a tuple of `Demand`.
    """

    __slots__ = ("borrower", "sequence", "items")

    def __init__(self, borrower, sequence, items):
        self.borrower = borrower
        self.sequence = sequence
        self.items = items


class Grant:
    """A holder's answer on one organisation; replaces the loan as a whole.

    Attributes:
        organisation: Name of the organisation.
        epoch: Epoch of the holder.
        rate: Tokens per second that the borrower's bucket gains from now on.
        cap: Tokens that the borrower's bucket can hold from now on.
        tokens: Tokens added to the bucket.
        standing: Tokens that the borrower may keep when nothing waits.
        duration_s: Seconds for which the loan stands, from before it was asked.
        scarce: Whether the fleet's demand is beyond the organisation's rate.
    """

    __slots__ = (
        "organisation",
        "epoch",
        "rate",
        "cap",
        "tokens",
        "standing",
        "duration_s",
        "scarce",
    )

    def __init__(
        self,
        organisation,
        *,
        epoch,
        rate,
        cap,
        tokens,
        standing,
        duration_s,
        scarce=False,
    ):
        self.organisation = organisation
        self.epoch = epoch
        self.rate = rate
        self.cap = cap
        self.tokens = tokens
        self.standing = standing
        self.duration_s = duration_s
        self.scarce = scarce


class Loans:
    """A holder's answer to a batch of demands.

    Attributes:
        sequence: Number of the batch.
        grants: The grants, as a tuple of `Grant`.
        missed: Names of organisations for which no holder was found.
    """

    __slots__ = ("sequence", "grants", "missed")

    def __init__(self, sequence, grants, missed=()):
        self.sequence = sequence
        self.grants = grants
        self.missed = missed


class LoansChanged:
    """Loans have come for the borrower of this node.

    Attributes:
        loans: The `Loans` to apply.
    """

    __slots__ = ("loans",)

    def __init__(self, loans):
        self.loans = loans
