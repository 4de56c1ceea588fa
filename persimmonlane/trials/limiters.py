"""Limiters.

The ways in which a trial's nodes hold organisations to their rates.
"""

from ..config.view import DocumentView
from ..limits.admission import Admission
from ..limits.borrower import Borrower
from ..limits.holder import Holder
from ..limits.policy import find_shard
from ..registries import Registry
from ..reporting.measures import ReferenceBucket

limiters = Registry("limiter")

FOREVER = float("inf")


@limiters.register
class Lending:
    """Nodes borrow parts of the rates from holders."""

    name = "lending"
    aliases = ()

    def __init__(self, fleet):
        self._fleet = fleet
        self._view = DocumentView(fleet.document, 1, "")
        self._holders = {}
        self._borrowers = {}
        for node in fleet.nodes:
            self._open(node)

    def admit(self, node, organisation, again):
        """Return the `Admission` of a request on a node."""
        admission = self._borrowers[node.name].admit(organisation, again)
        self.tick(node)
        return admission

    def tick(self, node):
        """Send the demands that are due."""
        demands = self._borrowers[node.name].demands()
        if demands is None:
            return
        for name in sorted({self._find_holder(d.organisation) for d in demands.items}):
            self._fleet.network.send(node.name, name, self._lend, node, name, demands)

    def _open(self, node):
        borrower = Borrower(node.name, node.clock, incarnation="1")
        borrower.set_view(self._view)
        holder = Holder(node.clock)
        holder.set_view(self._view)
        self._borrowers[node.name] = borrower
        self._holders[node.name] = holder

    def _find_holder(self, organisation):
        shards = self._fleet.document.fleet.limiter_shards
        number = find_shard(organisation, shards)
        name = self._fleet.nodes[number % len(self._fleet.nodes)].name
        holder = self._holders[name]
        if number not in holder.shards:
            holder.take(number, 1, FOREVER, first=True, longest_loan_s=0.0)
        return name

    def _lend(self, node, name, demands):
        loans = self._holders[name].lend(demands)
        borrower = self._borrowers[node.name]
        self._fleet.network.send(name, node.name, borrower.apply, loans)


@limiters.register
class Split:
    """Each node has an equal part of each rate; a baseline."""

    name = "split"
    aliases = ()

    def __init__(self, fleet):
        self._clock = fleet.schedule.clock
        self._buckets = {
            (node.name, each.name): self._make_bucket(each, len(fleet.nodes))
            for node in fleet.nodes
            for each in fleet.document.organisations
        }

    def admit(self, node, organisation, again):
        """Return the `Admission` of a request on a node."""
        bucket = self._buckets[node.name, organisation]
        bucket.refill(self._clock.now())
        if bucket.tokens < 1:
            return Admission.REFUSED
        bucket.admit(self._clock.now())
        return Admission.ADMITTED

    def tick(self, node):
        """Do nothing."""

    @staticmethod
    def _make_bucket(organisation, nodes):
        return ReferenceBucket(organisation.rate / nodes, organisation.burst / nodes)
