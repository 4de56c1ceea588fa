"""Lending of an organisation's tokens to the other data centres.

One node holds the bucket of an organisation. In each other data centre one node borrows
tokens from it, so that a request needs no round trip between data centres. What is lent
counts against the burst until it is reported as spent or its time ends: together, the
bucket and its loans never hold more than the burst, whoever dies or is cut off.
"""

# Time after which an unspent loan lapses, counted by the lender from the request's
# arrival and by the borrower from its sending, which is earlier.
LOAN_S = 3.0
# Limits of one loan.
MAX_LOAN = 4096


class Loan:
    """What a borrower may still spend.

    Attributes:
        tokens: Number of tokens.
        expires_at: Clock seconds at which they lapse.
        sequence: Number of the borrower's newest request.
        granted_alone: Requests that the borrower has granted without the lender, since
            its process started.
    """

    __slots__ = ("tokens", "expires_at", "sequence", "granted_alone")

    def __init__(self):
        self.tokens = 0.0
        self.expires_at = 0.0
        self.sequence = -1
        self.granted_alone = 0


class Lending:
    """The loans of one bucket; not thread-safe."""

    __slots__ = ("_bucket", "_loans")

    def __init__(self, bucket):
        """Create the loans of a bucket.

        Args:
            bucket: The `Bucket`, whose `reserved` tokens are those that are lent.
        """
        self._bucket = bucket
        self._loans = {}

    def lend(self, request, now):
        """Lend tokens to a borrower.

        Args:
            request: The `LoanRequest`.
            now: Clock time in seconds.

        Returns:
            Number of tokens that are lent, 0 if there are none; None if the request is
            older than another one of the same borrower.
        """
        loan = self._loans.setdefault(request.borrower, Loan())
        if request.sequence <= loan.sequence:
            return None
        self._settle(loan, request)
        self._drop_expired(now)
        self._update_reserved()
        self._bucket.refill(now)
        tokens = max(0, min(int(self._bucket.tokens), request.want, MAX_LOAN))
        self._bucket.tokens -= tokens
        self._bucket.spent += tokens
        loan.tokens += max(0, tokens - request.needed)
        loan.expires_at = now + LOAN_S
        self._update_reserved()
        return tokens

    def refresh(self, now):
        """Stop counting the loans whose time has ended."""
        self._drop_expired(now)
        self._update_reserved()

    def _settle(self, loan, request):
        # The first report of a borrower says nothing about the time since the last one.
        if loan.sequence >= 0:
            self._bucket.tokens -= max(0, request.granted_alone - loan.granted_alone)
        loan.sequence = request.sequence
        loan.granted_alone = request.granted_alone
        loan.tokens = float(request.unspent)

    def _drop_expired(self, now):
        for loan in self._loans.values():
            if loan.expires_at <= now:
                loan.tokens = 0.0

    def _update_reserved(self):
        self._bucket.reserved = sum(loan.tokens for loan in self._loans.values())
