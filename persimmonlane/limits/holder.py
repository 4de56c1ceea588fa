"""Holder.

Lends parts of organisations' rates for the shards whose lease this node holds.
"""

from ..invariants import check_invariant
from .ledger import Ledger
from .messages import Loans
from .policy import find_shard, lengthen

ALWAYS = float("-inf")


class Shard:
    """A shard that this node holds.

    Attributes:
        epoch: Epoch of the lease.
        deadline: Monotonic seconds at which the right to lend ends.
        longest_loan_s: Longest loan that the lease allows, in seconds.
        recovered_at: Monotonic seconds from which pools fill; until then loans
            of the last holder may run unreported.
        ledgers: Ledgers by name of organisation.
    """

    __slots__ = ("epoch", "deadline", "longest_loan_s", "recovered_at", "ledgers")

    def __init__(self, epoch, deadline, longest_loan_s, recovered_at):
        self.epoch = epoch
        self.deadline = deadline
        self.longest_loan_s = longest_loan_s
        self.recovered_at = recovered_at
        self.ledgers = {}


class Holder:
    """Lends rates of the shards that it holds.

    Attributes:
        shards: Shards held, by number.
        shard_count: Number of shards over which organisations are spread.
    """

    __slots__ = ("shards", "shard_count", "_clock", "_view")

    def __init__(self, clock, shard_count=None):
        self.shards = {}
        self.shard_count = shard_count
        self._clock = clock
        self._view = None

    def set_view(self, view):
        """Take a revision of the document into use."""
        self._view = view
        if self.shard_count is None:
            self.shard_count = view.document.fleet.limiter_shards
        now = self._clock.now()
        for shard in self.shards.values():
            for name, ledger in list(shard.ledgers.items()):
                organisation = view.find_organisation(name)
                if organisation is None:
                    ledger.set_limits(0.0, 0.0, now)
                else:
                    ledger.set_limits(organisation.rate, organisation.burst, now)

    def pin_shards(self, count):
        """Take over the number of shards in force in the fleet."""
        if not self.shards:
            self.shard_count = count

    def take(self, number, epoch, deadline, *, first, longest_loan_s):
        """Begin to hold a shard.

        Args:
            number: Number of the shard.
            epoch: Epoch of the lease, which rises with each holder.
            deadline: Monotonic seconds at which the right to lend ends.
            first: Whether nobody ever held the shard, so that pools are full.
            longest_loan_s: Longest loan of the last holder and of this one, in
                seconds.
        """
        recovered_at = ALWAYS
        if not first:
            recovered_at = self._clock.now() + lengthen(longest_loan_s)
        shard = Shard(epoch, deadline, longest_loan_s, recovered_at)
        self.shards[number] = shard

    def extend(self, number, deadline, longest_loan_s):
        """Move the end of the right to lend a shard's rates."""
        shard = self.shards[number]
        shard.deadline = deadline
        shard.longest_loan_s = longest_loan_s

    def drop(self, number):
        """Stop holding a shard."""
        self.shards.pop(number, None)

    def holds(self, number):
        """Return whether this node may lend a shard's rates now."""
        shard = self.shards.get(number)
        return shard is not None and self._clock.now() < shard.deadline

    def lend(self, demands):
        """Answer a batch of demands.

        Args:
            demands: The `Demands`, read from a message before the call.

        Returns:
            The `Loans`; organisations that this node doesn't hold, and those
            of a batch that came late or twice, are left out.
        """
        # Read once: a pause after this line only shortens what is granted,
        # because borrowers count from before they asked.
        now = self._clock.now()
        grants = (self._lend_one(demands, demand, now) for demand in demands.items)
        return Loans(demands.sequence, tuple(grant for grant in grants if grant))

    def _lend_one(self, demands, demand, now):
        shard = self._find(demand.organisation, now)
        if shard is None:
            return None
        ledger = self._open(shard, demand.organisation, now)
        if ledger is None:
            return None
        check_invariant(
            "rate", now < shard.deadline, "a rate was lent after the lease's end"
        )
        return ledger.lend(
            demands.borrower,
            demands.sequence,
            demand,
            now,
            min(self._view.document.fleet.loan_s, shard.longest_loan_s),
            epoch=shard.epoch,
            frozen=now < shard.recovered_at,
        )

    def _find(self, organisation, now):
        if self._view is None:
            return None
        shard = self.shards.get(find_shard(organisation, self.shard_count))
        if shard is None or now >= shard.deadline:
            return None
        return shard

    def _open(self, shard, name, now):
        ledger = shard.ledgers.get(name)
        if ledger is not None:
            return ledger
        organisation = self._view.find_organisation(name)
        if organisation is None:
            return None
        pool = organisation.burst
        at = now
        if shard.recovered_at != ALWAYS:
            pool, at = 0.0, shard.recovered_at
        ledger = Ledger(organisation.rate, organisation.burst, pool, at)
        shard.ledgers[name] = ledger
        return ledger
