"""Ledger.

The token bucket of one organisation at its holder, and the parts lent to nodes.

At every moment the tokens in the pool, in the borrowers' buckets and in messages
are at most the burst, and the rates at which they grow at most the rate: the pool
keeps below the burst less all lent caps, and gains the rate less all lent rates.
Each loan is counted at the most that its borrower may believe it has.
"""

import math

from ..invariants import check_invariant
from .messages import Grant
from .policy import (
    EMPTY_SHARE,
    EPSILON,
    EXCHANGES_PER_LOAN,
    FACTORS,
    MIN_DEMAND,
    MIN_STANDING,
    POOL_SHARE,
    PRIOR_DEMAND,
    PRIOR_NODES,
    ROOM_SHARE,
    SPARE_LENT,
    STEADY_SHARE,
    compute_full_share,
    compute_reserve,
    is_scarce,
    lengthen,
    limit_rate,
)

FOREVER = float("inf")


class Loan:
    """The most that one borrower may hold.

    Attributes:
        rate: Tokens per second.
        cap: Tokens.
        until: Monotonic seconds of the holder at which the loan has surely ended.
        sequence: Number of the borrower's latest batch.
        demand: Requests per second that the borrower reports.
    """

    __slots__ = ("rate", "cap", "until", "sequence", "demand")

    def __init__(self):
        self.rate = 0.0
        self.cap = 0.0
        self.until = 0.0
        self.sequence = 0
        self.demand = 0.0


class Ledger:
    """Pool and loans of one organisation.

    Attributes:
        rate: Requests per second over the whole fleet.
        burst: Requests that may come at once over the whole fleet.
        pool: Tokens that aren't lent, at `at`.
        at: Monotonic seconds up to which the pool has been filled.
        loans: Loans by name of borrower.
        lent_rate: Sum of the lent rates.
        lent_cap: Sum of the lent caps.
        demand: Sum of the demands.
    """

    __slots__ = (
        "rate",
        "burst",
        "pool",
        "at",
        "loans",
        "lent_rate",
        "lent_cap",
        "demand",
        "_next_expiry",
    )

    def __init__(self, rate, burst, pool, at):
        self.rate = limit_rate(rate)
        self.burst = burst
        self.pool = min(pool, burst)
        self.at = at
        self.loans = {}
        self.lent_rate = 0.0
        self.lent_cap = 0.0
        self.demand = 0.0
        self._next_expiry = FOREVER

    def set_limits(self, rate, burst, now):
        """Take another rate and burst into use."""
        self.refill(now)
        self.rate = limit_rate(rate)
        self.burst = burst
        self._clamp_pool()

    def refill(self, now):
        """Fill the pool up to `now`, then end the loans that have expired."""
        if now > self.at:
            self.pool += max(0.0, self.rate - self.lent_rate) * (now - self.at)
            self.at = now
        self._clamp_pool()
        if now >= self._next_expiry:
            self._expire(now)

    def lend(self, borrower, sequence, demand, now, loan_s, *, epoch, frozen):
        """Settle what a borrower reports and return its new `Grant`.

        Args:
            borrower: Name of the borrower.
            sequence: Number of the borrower's batch.
            demand: Its `Demand`.
            now: Monotonic seconds, read after the demand came.
            loan_s: Seconds for which to lend.
            epoch: Epoch of the holder.
            frozen: Whether loans of the last holder may still run unreported:
                its loans are taken over and nothing is lent beyond them.

        Returns:
            The `Grant`, or None for a batch that came late or twice.
        """
        self.refill(now)
        loan = self.loans.get(borrower)
        if loan is not None and sequence <= loan.sequence:
            return None
        most_rate = max(self.rate, self.lent_rate)
        most_cap = max(self.burst, self.lent_cap)
        inherited = frozen and demand.epoch == epoch - 1
        if loan is None:
            loan = self.loans[borrower] = Loan()
        self._settle(loan, demand, inherited)
        loan.sequence = sequence
        grant = self._decide(loan, demand, loan_s, epoch, frozen)
        self._record(loan, grant, now)
        if not inherited:
            self._check(most_rate, most_cap)
        return grant

    def _settle(self, loan, demand, inherited):
        """Bring a loan down to what its borrower reports."""
        rate, cap = demand.rate, demand.cap
        if not inherited:
            rate, cap = min(rate, loan.rate), min(cap, loan.cap)
        credit = max(0.0, min(demand.returned, loan.cap - cap))
        self.lent_rate += rate - loan.rate
        self.lent_cap += cap - loan.cap
        self.demand += demand.demand - loan.demand
        loan.rate, loan.cap, loan.demand = rate, cap, demand.demand
        self.pool += credit
        self._clamp_pool()

    def _decide(self, loan, demand, loan_s, epoch, frozen):
        horizon_s = loan_s / EXCHANGES_PER_LOAN
        standing = self._choose_standing(loan, horizon_s)
        rate = self._choose_rate(loan, standing, frozen)
        lacking = max(0.0, loan.demand - rate) * horizon_s
        reserve = compute_reserve(loan.demand, horizon_s) + lacking
        reserve = min(reserve, standing) + demand.waiting
        free = self.burst - (self.lent_cap - loan.cap)
        if frozen:
            free = min(free, loan.cap)
        cap = max(0.0, min(standing + demand.waiting, free))
        if cap < 1.0 or not (demand.demand > 0 or demand.waiting):
            rate = cap = 0.0
        level = min(demand.level, cap)
        tokens = min(self.pool, max(0.0, min(reserve, cap) - level))
        if not rate:
            # Without a rate, room and parts of a token would be of no use there.
            cap = float(math.floor(level + tokens + EPSILON))
            tokens = max(0.0, cap - level)
        scarce = self.pool < 1.0 and is_scarce(self.demand, self.rate)
        return Grant(
            demand.organisation,
            epoch=epoch,
            rate=rate,
            cap=cap,
            tokens=tokens,
            standing=standing,
            duration_s=loan_s,
            scarce=scarce,
        )

    def _choose_standing(self, loan, horizon_s):
        """Return the cap of a borrower apart from what waits.

        A borrower with a small share of the demand gets half of that share of the
        burst at most; the rest stays with the pool, where every node can use it.
        """
        others = PRIOR_DEMAND * (len(self.loans) + PRIOR_NODES)
        share = (loan.demand + PRIOR_DEMAND) / (max(0.0, self.demand) + others)
        most = self.burst * share * (1.0 + share) / 2
        gain = loan.demand * horizon_s
        reserve = compute_reserve(loan.demand, horizon_s)
        return min(most, reserve + min(gain, reserve + ROOM_SHARE * gain))

    def _choose_rate(self, loan, standing, frozen):
        most = max(0.0, self.rate - (self.lent_rate - loan.rate))
        if frozen:
            return min(loan.rate, most)
        if standing < MIN_STANDING or loan.demand < MIN_DEMAND:
            return 0.0
        wanted = loan.demand * self._choose_factor(standing)
        # A small reduction frees less than counting it twice until it is confirmed.
        if loan.rate * (1 - STEADY_SHARE) < wanted < loan.rate:
            wanted = loan.rate
        return min(wanted, most)

    def _choose_factor(self, standing):
        """Return the share of a borrower's demand that its rate should cover.

        What a full bucket gains is lost to all, so small buckets get less of
        their demand as a rate, and the rest as tokens from the pool.
        """
        demand = max(self.demand, EPSILON)
        if demand >= self.rate:
            return self.rate / demand
        spare = SPARE_LENT * (self.rate - demand) / demand
        filled = self.pool / (POOL_SHARE * self.burst + EPSILON)
        spare *= min(1.0, max(EMPTY_SHARE, filled))
        for factor in FACTORS:
            if factor * compute_full_share(factor, standing) <= spare:
                return factor
        return 0.0

    def _record(self, loan, grant, now):
        """Count a loan at the most that its borrower may now believe."""
        rate = max(loan.rate, grant.rate)
        # The old bucket may fill up while the tokens are on their way.
        cap = max(loan.cap + grant.tokens, grant.cap)
        self.pool -= grant.tokens
        self.lent_rate += rate - loan.rate
        self.lent_cap += cap - loan.cap
        loan.rate, loan.cap = rate, cap
        loan.until = max(loan.until, now + lengthen(grant.duration_s))
        self._next_expiry = min(self._next_expiry, loan.until)
        self._clamp_pool()

    def _clamp_pool(self):
        self.pool = max(0.0, min(self.pool, self.burst - self.lent_cap))

    def _expire(self, now):
        ended = [name for name, loan in self.loans.items() if now >= loan.until]
        for name in ended:
            del self.loans[name]
        loans = self.loans.values()
        self.lent_rate = sum(loan.rate for loan in loans)
        self.lent_cap = sum(loan.cap for loan in loans)
        self.demand = sum(loan.demand for loan in loans)
        self._next_expiry = min((loan.until for loan in loans), default=FOREVER)

    def _check(self, most_rate, most_cap):
        check_invariant(
            "rate",
            self.lent_rate <= most_rate + EPSILON,
            "the sum of lent rates is above the rate",
        )
        check_invariant(
            "rate",
            self.pool + self.lent_cap <= most_cap + EPSILON,
            "the sum of lent tokens is above the burst",
        )
