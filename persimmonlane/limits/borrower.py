"""Borrower.

Admits requests of a node from the loans that it holds.
"""

import collections
import secrets

from ..invariants import check_invariant
from .admission import Admission
from .messages import Demand, Demands
from .policy import (
    ANSWER_S,
    BUSY_DEMAND,
    EMPTY_S,
    EXCESS,
    EXCHANGES_PER_LOAN,
    FETCH_S,
    IDLE_S,
    LOOKAHEAD_S,
    MAX_DOUBLINGS,
    MISSED_S,
    SCARCE_S,
    SWEEP_S,
    URGENT_S,
    compute_reserve,
    is_silent,
    is_step,
    smooth_demand,
)

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0
INCARNATION_BYTES = 6
NEVER = float("-inf")


class Account:
    """What a borrower knows of one organisation.

    Attributes:
        rate: Tokens per second that the bucket gains.
        cap: Tokens that the bucket can hold.
        level: Tokens in the bucket at `at`.
        surplus: Tokens to be handed back with the next batch.
        standing: Tokens that the holder lets the bucket keep.
        at: Monotonic seconds of the last refill.
        expiry: Monotonic seconds at which the loan ends.
        epoch: Epoch of the holder that made the loan.
        demand: Requests per second, smoothed.
        count: Requests since the demand was last computed.
        waiting: Requests that wait for a token.
        sequence: Number of the batch whose answer is awaited, or 0.
        asked_at: Monotonic seconds at which that batch was made.
        misses: Times in a row that no holder was found or none answered.
        retry_at: Monotonic seconds before which no holder is asked again.
        scarce_until: Until then a miss is refused at once.
        empty_until: Until then no tokens are fetched ahead of need.
        used_at: Monotonic seconds of the last request.
    """

    __slots__ = (
        "rate",
        "cap",
        "level",
        "surplus",
        "standing",
        "at",
        "expiry",
        "epoch",
        "demand",
        "count",
        "waiting",
        "sequence",
        "asked_at",
        "misses",
        "retry_at",
        "scarce_until",
        "empty_until",
        "used_at",
    )

    def __init__(self, now):
        self.rate = 0.0
        self.cap = 0.0
        self.level = 0.0
        self.surplus = 0.0
        self.standing = 0.0
        self.at = now
        self.expiry = NEVER
        self.epoch = 0
        self.demand = 0.0
        self.count = 0
        self.waiting = 0
        self.sequence = 0
        self.asked_at = NEVER
        self.misses = 0
        self.retry_at = NEVER
        self.scarce_until = NEVER
        self.empty_until = NEVER
        self.used_at = now

    def refill(self, now):
        """Bring the bucket up to date; an expired loan leaves nothing."""
        if now >= self.expiry:
            self.rate = self.cap = self.level = self.surplus = 0.0
            self.epoch = 0
        elif now > self.at:
            self.level = min(self.cap, self.level + self.rate * (now - self.at))
        self.at = now

    def is_awaiting(self, now):
        """Return whether an answer is still awaited."""
        return self.sequence != 0 and now < self.asked_at + ANSWER_S

    def miss(self, now):
        """Note that no holder answered; each time in a row waits longer."""
        self.misses += 1
        wait_s = MISSED_S * 2 ** min(self.misses - 1, MAX_DOUBLINGS)
        self.retry_at = now + wait_s

    def limit(self, rate, burst):
        """Keep the loan within a rate and burst that may have been lowered."""
        self.rate = min(self.rate, rate)
        self.cap = min(self.cap, burst)
        self.level = min(self.level, self.cap)


class Batch:
    """A batch of demands that was made.

    Attributes:
        sequence: Its number.
        made_at: Monotonic seconds at which it was made.
        names: Names of its organisations.
    """

    __slots__ = ("sequence", "made_at", "names")

    def __init__(self, sequence, made_at, names):
        self.sequence = sequence
        self.made_at = made_at
        self.names = names


class Borrower:
    """Admits requests from loans and asks for loans by demand.

    Attributes:
        name: Name by which holders know the borrower: node and incarnation.
    """

    __slots__ = (
        "name",
        "_clock",
        "_view",
        "_accounts",
        "_urgent",
        "_batches",
        "_next_sweep",
        "_next_fetch",
        "_sequence",
        "_exchange_s",
        "_next_exchange",
        "_exchanged_at",
    )

    def __init__(self, node, clock, incarnation=None):
        self.name = f"{node}#{incarnation or secrets.token_hex(INCARNATION_BYTES)}"
        self._clock = clock
        self._view = None
        self._accounts = {}
        self._urgent = set()
        self._batches = collections.deque()
        self._next_sweep = NEVER
        self._next_fetch = NEVER
        self._sequence = 0
        self._exchange_s = 0.5
        self._exchanged_at = clock.now()
        self._next_exchange = self._exchanged_at + self._exchange_s

    def set_view(self, view):
        """Take a revision of the document into use."""
        self._view = view
        self._exchange_s = view.document.fleet.loan_s / EXCHANGES_PER_LOAN
        now = self._clock.now()
        for name, account in list(self._accounts.items()):
            organisation = view.find_organisation(name)
            if organisation is None:
                del self._accounts[name]
                continue
            account.refill(now)
            account.limit(organisation.rate, organisation.burst)

    def admit(self, organisation, again=False):
        """Spend one token of an organisation if there is one.

        Args:
            organisation: Name of the organisation.
            again: Whether the request was already answered with `WAIT`.

        Returns:
            An `Admission`; after `WAIT`, call `demands` at once.
        """
        now = self._clock.now()
        account = self._accounts.get(organisation)
        if account is None:
            account = self._open(organisation, now)
            if account is None:
                return Admission.REFUSED
        account.refill(now)
        account.used_at = now
        if not again:
            account.count += 1
        if account.level < 1.0:
            return self._miss(organisation, account, now, again)
        account.level -= 1.0
        self._check(account, now)
        if account.level < 1.0 + account.demand * LOOKAHEAD_S:
            self._urgent.add(organisation)
        return Admission.ADMITTED

    def retry_after(self, organisation):
        """Return seconds after which a token is likely to be there."""
        known = self._view.find_organisation(organisation) if self._view else None
        if known is None:
            return MAX_RETRY_AFTER_S
        account = self._accounts.get(organisation)
        rate, missing = known.rate, 1.0
        if account is not None and account.rate > 0:
            rate, missing = account.rate, 1.0 - min(account.level, 1.0)
        return min(max(missing / rate, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def demands(self):
        """Return the `Demands` that are due, or None; call at each tick."""
        now = self._clock.now()
        self._review(now)
        self._sweep(now)
        regular = now >= self._next_exchange
        if not regular and not self._urgent:
            return None
        names = self._list_due(now, regular)
        if not names:
            return None
        self._sequence += 1
        items = tuple(self._ask(name, now) for name in names)
        self._batches.append(Batch(self._sequence, now, names))
        return Demands(self.name, self._sequence, items)

    def apply(self, loans):
        """Take an answer into use; one that isn't awaited is ignored."""
        now = self._clock.now()
        for grant in loans.grants:
            account = self._accounts.get(grant.organisation)
            if account is None or account.sequence != loans.sequence:
                continue
            self._apply_grant(account, grant, now)
        for name in loans.missed:
            account = self._accounts.get(name)
            if account is not None and account.sequence == loans.sequence:
                account.sequence = 0
                account.miss(now)
                self._urgent.add(name)

    def surrender(self):
        """Return `Demands` that hand all loans back; nothing is admitted after."""
        now = self._clock.now()
        self._sequence += 1
        items = []
        for name, account in self._accounts.items():
            account.refill(now)
            items.append(close_account(name, account))
        self._accounts.clear()
        self._urgent.clear()
        return Demands(self.name, self._sequence, tuple(items))

    def _open(self, organisation, now):
        if self._view is None or self._view.find_organisation(organisation) is None:
            return None
        account = self._accounts[organisation] = Account(now)
        return account

    def _miss(self, organisation, account, now, again):
        if now < account.scarce_until:
            self._want_ahead(organisation, account)
            return Admission.REFUSED
        if not again or not account.is_awaiting(now):
            account.waiting += 1
        self._urgent.add(organisation)
        return Admission.WAIT

    def _want_ahead(self, organisation, account):
        """Ask for tokens for the next requests of a loan without a rate."""
        if not account.rate:
            most = 1.0 + account.demand * SCARCE_S
            account.waiting = min(account.waiting + 1, int(most))
            self._urgent.add(organisation)

    def _check(self, account, now):
        check_invariant(
            "rate",
            0.0 <= account.level <= account.cap and now < account.expiry,
            "a request was admitted beyond the loan",
        )

    def _review(self, now):
        """Note the organisations whose answers haven't come in time."""
        while self._batches and now >= self._batches[0].made_at + ANSWER_S:
            batch = self._batches.popleft()
            for name in batch.names:
                account = self._accounts.get(name)
                if account is not None and account.sequence == batch.sequence:
                    account.miss(now)
                    self._urgent.add(name)

    def _sweep(self, now):
        """Note the organisations whose requests have stopped coming."""
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_S
        for name, account in self._accounts.items():
            if account.rate and is_silent(account.demand, now - account.used_at):
                account.demand = 0.0
                self._urgent.add(name)

    def _list_due(self, now, regular):
        if regular:
            self._measure(now)
            names = [
                name
                for name, account in self._accounts.items()
                if not account.is_awaiting(now)
            ]
        else:
            names = [name for name in self._urgent if self._is_urgent(name, now)]
            if now >= self._next_fetch:
                self._next_fetch = now + FETCH_S
        self._urgent.difference_update(names)
        return names

    def _is_urgent(self, name, now):
        account = self._accounts.get(name)
        if account is None or account.is_awaiting(now):
            return False
        ready_at = max(
            account.asked_at + URGENT_S,
            account.retry_at,
            account.scarce_until,
        )
        if not account.waiting:
            ready_at = max(ready_at, account.empty_until)
            # Fetching ahead goes in larger batches, unless tokens run out sooner.
            if account.demand < BUSY_DEMAND:
                ready_at = max(ready_at, self._next_fetch)
        return now >= ready_at

    def _measure(self, now):
        """Compute the demand of each organisation since the last time."""
        elapsed = max(now - self._exchanged_at, URGENT_S)
        for account in self._accounts.values():
            latest = account.count / elapsed
            account.demand = smooth_demand(account.demand, latest, elapsed)
            account.count = 0
        self._exchanged_at = now
        self._next_exchange = now + self._exchange_s

    def _ask(self, name, now):
        account = self._accounts[name]
        account.refill(now)
        if now >= account.used_at + IDLE_S and not account.waiting:
            del self._accounts[name]
            return close_account(name, account)
        account.sequence = self._sequence
        account.asked_at = now
        demand = self._estimate(account, now)
        returned = self._trim(account, demand)
        return Demand(
            name,
            epoch=account.epoch,
            rate=account.rate,
            cap=account.cap,
            level=account.level,
            returned=returned,
            demand=demand,
            waiting=account.waiting,
        )

    def _estimate(self, account, now):
        """Return the demand, counting at once what came since the last exchange."""
        elapsed = max(now - self._exchanged_at, self._exchange_s)
        latest = account.count / elapsed
        if latest > account.demand and is_step(account.demand, latest, elapsed):
            return latest
        return account.demand

    def _trim(self, account, demand):
        """Take tokens that aren't needed off a bucket; return their number."""
        if account.rate > demand * EXCESS:
            account.rate = demand
        lacking = max(0.0, demand - account.rate) * self._exchange_s
        needed = account.waiting + lacking
        needed += compute_reserve(demand, self._exchange_s)
        needed = min(needed, account.waiting + account.standing)
        surplus = max(0.0, account.level - needed)
        account.level -= surplus
        # Until the answer comes, the holder counts this cap beside what it sends.
        room = account.rate * ANSWER_S
        account.cap = min(account.cap - surplus, account.level + room)
        surplus += account.surplus
        account.surplus = 0.0
        return surplus

    def _apply_grant(self, account, grant, now):
        account.sequence = 0
        account.misses = 0
        account.waiting = 0
        if grant.scarce:
            account.scarce_until = now + SCARCE_S
        # The loan runs from before it was asked, so a late answer can't outlive it.
        expiry = account.asked_at + grant.duration_s
        account.refill(now)
        if grant.tokens < 1.0:
            account.empty_until = now + EMPTY_S
        if now >= expiry:
            return
        # The holder counts the larger cap until the next batch, which hands back
        # what is above the new one.
        most = max(account.cap, grant.cap)
        total = min(account.level + grant.tokens, most)
        account.epoch = grant.epoch
        account.rate = grant.rate
        account.cap = grant.cap
        account.standing = grant.standing
        account.level = min(total, grant.cap)
        account.surplus = total - account.level
        account.expiry = expiry


def close_account(name, account):
    """Return the `Demand` that hands a whole loan back."""
    return Demand(name, epoch=account.epoch, returned=account.level + account.surplus)
