"""Limiters.

The ways in which a trial's nodes hold organisations to their rates.
"""

from ..config.view import DocumentView
from ..errors import StoreError
from ..limits.admission import Admission
from ..limits.borrower import Borrower
from ..limits.lease import AskPromise, Member, ReadKey, WriteKey
from ..limits.node import AskLoans, DeliverLoans, LimitsNode
from ..limits.policy import ANSWER_S
from ..membership.peers import Peer
from ..registries import Registry
from ..reporting.measures import ReferenceBucket
from ..store.client import StoreConflict

limiters = Registry("limiter")

STORE_S = 0.004


class Lender:
    """The limits of one node: its borrower, holder and keeper of leases.

    Attributes:
        borrower: The `Borrower`.
        limits: The `LimitsNode`.
    """

    steps = {
        DeliverLoans: "_deliver",
        AskLoans: "_ask_loans",
        AskPromise: "_ask_promise",
        ReadKey: "_read",
        WriteKey: "_write",
    }

    def __init__(self, fleet, node, lenders):
        self.borrower = Borrower(node.name, node.clock, incarnation="1")
        member = Member(node.name, node.name)
        self.limits = LimitsNode(member, f"{node.name}-1", node.clock)
        self._fleet = fleet
        self._node = node
        self._lenders = lenders
        self._peers = tuple(
            Peer(other.name, other.data_centre, other.name)
            for other in fleet.nodes
            if other is not node
        )
        view = DocumentView(fleet.document, 1, "")
        self.borrower.set_view(view)
        self.limits.set_view(view)

    def send(self):
        """Send the demands that are due."""
        demands = self.borrower.demands()
        if demands is not None:
            self.limits.send(demands)
        self._carry_out()

    def tick(self):
        """Do what is due."""
        self.limits.tick(self._peers)
        self.send()

    def _carry_out(self):
        for step in self.limits.take_steps():
            getattr(self, self.steps[type(step)])(step)

    def _do(self, function, *arguments):
        function(*arguments)
        self._carry_out()

    def _later(self, delay_s, function, *arguments):
        schedule = self._fleet.schedule
        schedule.call_later(delay_s, self._node.run, self._do, function, *arguments)

    def _exchange(self, name, serve, take):
        """Let another node serve a call, and take its answer."""
        network = self._fleet.network
        own = self._node
        other = self._lenders[name]

        def run():
            answer = serve(other)
            other._carry_out()
            network.send(name, own.name, own.run, self._do, take, answer)

        network.send(own.name, name, other._node.run, run)

    def _deliver(self, step):
        self.borrower.apply(step.loans)
        self.send()

    def _ask_loans(self, call):
        ended = []

        def take(answer):
            ended.append(answer)
            self.limits.record_answer(call, answer)

        def fail():
            if not ended:
                ended.append(None)
                self.limits.record_failure(call)

        def serve(other):
            return other.limits.answer(call.demands)

        self._later(ANSWER_S, fail)
        self._exchange(call.member.name, serve, take)

    def _ask_promise(self, step):
        name = step.member.name

        def serve(other):
            return other.limits.incarnation, other.limits.keeper.promise(step.shards)

        def take(answer):
            self.limits.keeper.record_promises(name, *answer, step.sent_at)

        self._exchange(name, serve, take)

    def _read(self, step):
        keeper = self.limits.keeper
        try:
            entry = self._fleet.store.get(step.key)
        except StoreError:
            self._later(STORE_S, keeper.record_failed_read, step.key)
        else:
            self._later(STORE_S, keeper.record_read, entry)

    def _write(self, step):
        keeper = self.limits.keeper
        store = self._fleet.store
        try:
            entry = store.compare_and_swap(step.key, step.value, step.version)
        except StoreConflict as conflict:
            self._later(STORE_S, keeper.record_conflict, conflict.entry)
        except StoreError:
            self._later(STORE_S, keeper.record_failed_write, step.key)
        else:
            self._later(STORE_S, keeper.record_write, entry)


@limiters.register
class Lending:
    """Nodes borrow parts of the rates from the holders of their shards."""

    name = "lending"
    aliases = ()

    def __init__(self, fleet):
        self._lenders = {}
        for node in fleet.nodes:
            self._lenders[node.name] = Lender(fleet, node, self._lenders)

    def admit(self, node, organisation, again):
        """Return the `Admission` of a request on a node."""
        lender = self._lenders[node.name]
        admission = lender.borrower.admit(organisation, again)
        lender.send()
        return admission

    def tick(self, node):
        """Do what is due."""
        self._lenders[node.name].tick()


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
