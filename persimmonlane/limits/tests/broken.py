"""Broken guards.

Decision classes with one guard taken out each, to show that the proofs notice.
"""

from persimmonlane.limits import ledger
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.holder import ALWAYS, Holder
from persimmonlane.limits.keeper import Keeper
from persimmonlane.limits.node import LimitsNode

NEVER = float("-inf")


class LateBorrower(Borrower):
    """Counts a loan from when the answer came."""

    __slots__ = ()

    def _apply_grant(self, account, grant, now):
        account.asked_at = now
        super()._apply_grant(account, grant, now)


class CarelessBorrower(Borrower):
    """Applies answers that it doesn't await."""

    __slots__ = ()

    def apply(self, loans):
        for account in self._accounts.values():
            account.sequence = loans.sequence
        super().apply(loans)


class HoardingBorrower(Borrower):
    """Keeps the tokens that it hands back."""

    __slots__ = ()

    def _ask(self, name, now):
        account = self._accounts[name]
        account.refill(now)
        level, cap = account.level, account.cap
        demand = super()._ask(name, now)
        account.level, account.cap = level, cap
        return demand


class EndlessHolder(Holder):
    """Lends after the end of its lease."""

    __slots__ = ()

    def extend(self, number, deadline, longest_loan_s):
        super().extend(number, float("inf"), longest_loan_s)


class HastyHolder(Holder):
    """Doesn't wait for the loans of the holder before it."""

    __slots__ = ()

    def take(self, number, epoch, deadline, *, first, longest_loan_s):
        super().take(number, epoch, deadline, first=first, longest_loan_s=0.0)
        self.shards[number].longest_loan_s = longest_loan_s


class GenerousHolder(Holder):
    """Starts with full pools after another holder."""

    __slots__ = ()

    def take(self, number, epoch, deadline, *, first, longest_loan_s):
        super().take(
            number, epoch, deadline, first=first, longest_loan_s=longest_loan_s
        )
        self.shards[number].recovered_at = ALWAYS


class ForgetfulKeeper(Keeper):
    """Claims although it has promised not to."""

    __slots__ = ()

    def _has_promised(self, shard, now):
        return False


class RebornKeeper(Keeper):
    """Doesn't count as having promised when its process has just started."""

    __slots__ = ()

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._booted_at = NEVER


class TwoFacedKeeper(Keeper):
    """Promises while a claim of its own is open."""

    __slots__ = ()

    def _promise_one(self, one):
        sighting = self._sight(one.shard)
        claim, sighting.claim = sighting.claim, None
        promised = super()._promise_one(one)
        sighting.claim = claim
        return promised


class HastyLedger(ledger.Ledger):
    """Counts a reduction before the borrower has confirmed it."""

    __slots__ = ()

    def _record(self, loan, grant, now):
        self.lent_rate -= loan.rate
        self.lent_cap -= loan.cap
        loan.rate = loan.cap = 0.0
        super()._record(loan, grant, now)


class ShortLedger(ledger.Ledger):
    """Ends loans before their borrowers do."""

    __slots__ = ()

    def _record(self, loan, grant, now):
        super()._record(loan, grant, now)
        loan.until = self._next_expiry = now + grant.duration_s / 2


class TrustingLedger(ledger.Ledger):
    """Takes loans as reported, whoever made them, and late batches too."""

    __slots__ = ()

    def lend(self, borrower, sequence, demand, now, loan_s, *, epoch, frozen):
        if borrower in self.loans:
            self.loans[borrower].sequence = 0
        return super().lend(
            borrower, sequence, demand, now, loan_s, epoch=epoch, frozen=frozen
        )


def create_limits(holder_class=Holder, keeper_class=Keeper):
    """Return a factory of `LimitsNode` with other classes inside."""

    def create(process):
        holder = holder_class(process.clock)
        arguments = (process.member, process.incarnation, process.clock, holder)
        return LimitsNode(*arguments[:3], holder, keeper_class(*arguments))

    return create


class TransitLedger(ledger.Ledger):
    """Doesn't count tokens on their way beside the bucket that they go to."""

    __slots__ = ()

    def _record(self, loan, grant, now):
        most = max(loan.cap, grant.cap)
        super()._record(loan, grant, now)
        self.lent_cap -= loan.cap - most
        loan.cap = most
