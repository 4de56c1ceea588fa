"""Limits node.

The limits of one node apart from I/O: its holder, its keeper of leases and the
ways that demands take. Shells carry out the steps that it asks for.
"""

from .directory import Directory
from .holder import Holder
from .keeper import Keeper
from .lease import Lease
from .messages import Demands, Loans
from .policy import HOPS, HOPS_AFTER_FAILURE, find_shard


class AskLoans:
    """Asks the shell to hand demands to a node.

    Attributes:
        member: The node to ask.
        demands: The `Demands`.
        tried: Names of the nodes asked so far, this one included.
        relay: Whether the node should pass the demands on to the holder.
    """

    __slots__ = ("member", "demands", "tried", "relay")

    def __init__(self, member, demands, tried, relay=False):
        self.member = member
        self.demands = demands
        self.tried = tried
        self.relay = relay


class DeliverLoans:
    """Asks the shell to give loans to the borrower.

    Attributes:
        loans: The `Loans`.
    """

    __slots__ = ("loans",)

    def __init__(self, loans):
        self.loans = loans


class Unheld:
    """Says that a node doesn't hold a shard.

    Attributes:
        shard: Number of the shard.
        lease: The `Lease` that the node knows of, or None.
    """

    __slots__ = ("shard", "lease")

    def __init__(self, shard, lease):
        self.shard = shard
        self.lease = lease


class Answer:
    """Answer to demands.

    Attributes:
        loans: The `Loans`.
        unheld: Shards asked for that the node doesn't hold, as `Unheld`.
        relay: The node whose answer the shell should pass on instead, or None.
    """

    __slots__ = ("loans", "unheld", "relay")

    def __init__(self, loans, unheld=(), relay=None):
        self.loans = loans
        self.unheld = unheld
        self.relay = relay


class LimitsNode:
    """Holder, keeper and directory of one node.

    Attributes:
        member: This node.
        incarnation: Tells this process from those before it.
        holder: The `Holder`.
        keeper: The `Keeper`.
        directory: The `Directory`.
    """

    __slots__ = (
        "member",
        "incarnation",
        "holder",
        "keeper",
        "directory",
        "_steps",
        "_ready",
    )

    def __init__(self, member, incarnation, clock, holder=None, keeper=None):
        self.member = member
        self.incarnation = incarnation
        self.holder = holder or Holder(clock)
        self.keeper = keeper or Keeper(member, incarnation, clock, self.holder)
        self.directory = Directory(member, clock)
        self._steps = []
        self._ready = False

    def set_view(self, view):
        """Take a revision of the document into use."""
        self._ready = True
        self.keeper.set_loan(view.document.fleet.loan_s)
        self.holder.set_view(view)

    def tick(self, peers):
        """Do what is due, given the other nodes as `Peer` records."""
        self.directory.set_peers(peers)
        if self._ready:
            self.keeper.tick(peers)

    def take_steps(self):
        """Return the steps that the shell must take now."""
        steps, self._steps = self._steps, []
        return steps + self.keeper.take_steps()

    def send(self, demands):
        """Route the demands of this node's borrower."""
        if self._ready:
            self._route(demands)

    def answer(self, demands, relay=False):
        """Return the `Answer` to demands of any borrower.

        Args:
            demands: The `Demands`.
            relay: Whether the borrower can't reach the holder itself.
        """
        if not self._ready:
            return Answer(Loans(demands.sequence, ()))
        loans = self.holder.lend(demands)
        shards = {self._find_shard(item) for item in demands.items}
        unheld = [one for one in shards if not self.holder.holds(one)]
        answer = Answer(loans, tuple(self._explain(shard) for shard in unheld))
        if relay and not loans.grants:
            answer.relay = self._find_relay(answer.unheld)
        return answer

    def record_answer(self, call, answer):
        """Record the `Answer` to an `AskLoans`; try others for what it lacks."""
        self.directory.note_success(call.member)
        leases = {one.shard: one.lease for one in answer.unheld}
        for shard, lease in leases.items():
            if isinstance(lease, Lease):
                self.directory.learn(shard, lease)
        items = [
            item for item in call.demands.items if self._find_shard(item) in leases
        ]
        if answer.loans.grants:
            self._steps.append(DeliverLoans(answer.loans))
        self._forward(call, items)

    def record_failure(self, call):
        """Record that an `AskLoans` failed; try others."""
        self.directory.note_failure(call.member)
        self._forward(call, call.demands.items, HOPS_AFTER_FAILURE)

    def _find_relay(self, unheld):
        """Return the one holder of all shards, if this node may reach it."""
        holders = {one.lease.holder for one in unheld if one.lease is not None}
        if len(holders) != 1:
            return None
        holder = holders.pop()
        if holder.name == self.member.name or self.directory.is_suspect(holder):
            return None
        return holder

    def _find_shard(self, item):
        return find_shard(item.organisation, self.holder.shard_count)

    def _explain(self, shard):
        self.keeper.want(shard)
        seen = self.keeper.find_lease(shard)
        heard = self.directory.find_lease(shard)
        if seen is None or heard is not None and heard.epoch > seen.epoch:
            seen = heard
        return Unheld(shard, seen)

    def _forward(self, call, items, hops=HOPS):
        if not items:
            return
        demands = Demands(call.demands.borrower, call.demands.sequence, tuple(items))
        if len(call.tried) < hops:
            self._route(demands, call.tried)
        else:
            self._miss(demands.sequence, items)

    def _route(self, demands, tried=()):
        """Hand demands on, in one batch for each node to ask."""
        groups = {}
        missed = []
        for item in demands.items:
            shard = self._find_shard(item)
            member = self.directory.choose(shard, tried)
            if member is None:
                missed.append(item)
                continue
            relay = self.directory.needs_relay(shard, member)
            # Demands to be passed on go by shard, as each has its own holder.
            key = (member, relay, shard if relay else None)
            groups.setdefault(key, []).append(item)
        if missed:
            self._miss(demands.sequence, missed)
        for (member, relay, _), items in groups.items():
            part = Demands(demands.borrower, demands.sequence, tuple(items))
            self._ask(AskLoans(member, part, (*tried, member.name), relay))

    def _ask(self, call):
        if call.member.name == self.member.name:
            self.record_answer(call, self.answer(call.demands))
        else:
            self._steps.append(call)

    def _miss(self, sequence, items):
        missed = tuple(item.organisation for item in items)
        self._steps.append(DeliverLoans(Loans(sequence, (), missed)))
