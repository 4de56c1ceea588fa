"""Players.

Each feeds the events of a trace to one decision class.
"""

import collections
import random

from ..balancing import Choice, create_balancer
from ..config.loading import load_snapshot
from ..config.publishing import Publisher
from ..config.view import DocumentView
from ..ejection import create_ejector
from ..ejection.evidence import decode_evidence
from ..ejection.outcome import Outcome
from ..ejection.standing import HEALTHY, Standing
from ..errors import PersimmonError
from ..keys import KeyTable
from ..limits.admission import Admission
from ..limits.borrower import Borrower
from ..limits.holder import Holder
from ..membership.servers import BackendServer
from ..membership.table import ServerTable
from ..store.memory import Faults, MemoryStore
from . import events as ev
from .examples import make_example_key
from .files import TraceError

_players = {}


def register_player(cls):
    """Register a player under the event that opens it; usable as a decorator."""
    _players[cls.opening] = cls
    return cls


def find_player(event_class):
    """Return the player that an event class opens, or None."""
    return _players.get(event_class)


class Fault:
    """One answer that differs.

    Attributes:
        what: What was compared.
        stated: What the trace states.
        found: What the decision class answered.
    """

    __slots__ = ("what", "stated", "found")

    def __init__(self, what, stated, found):
        self.what = what
        self.stated = stated
        self.found = found


class Player:
    """Base of the players.

    Attributes:
        opening: Class of the event that opens it.
        handlers: Names of methods by class of event.
    """

    opening = None
    handlers = {}

    def __init__(self, event, clock, players):
        self._clock = clock
        self._faults = []

    def feed(self, method, event):
        """Hand over an event; return the `Fault`s found."""
        self._faults = []
        getattr(self, method)(event)
        return self._faults

    def _compare(self, what, stated, found):
        if stated is not None and stated != found:
            self._faults.append(Fault(what, stated, found))


def build_servers(states, service):
    """Return the backend servers that a trace describes."""
    return tuple(
        BackendServer(
            each.address,
            service,
            each.data_centre,
            each.slots,
            each.incarnation,
            each.since,
        )
        for each in states
    )


@register_player
class EjectorPlayer(Player):
    """Feeds an ejector."""

    opening = ev.EjectorOpened
    handlers = {
        ev.ServiceChanged: "set_service",
        ev.PeersCounted: "update_peers",
        ev.ServersUpdated: "update_servers",
        ev.AttemptStarted: "start",
        ev.AttemptEnded: "observe",
        ev.EjectorTicked: "tick",
        ev.ProbesTaken: "take_probes",
        ev.ProbeEnded: "record_probe",
        ev.EvidenceExported: "export_evidence",
        ev.EvidenceMerged: "merge_evidence",
        ev.StandingExpected: "expect_standing",
        ev.EjectionsExpected: "expect_ejections",
        ev.DistrustExpected: "expect_distrust",
    }

    def __init__(self, event, clock, players):
        super().__init__(event, clock, players)
        self._service = event.service.name
        self._ejector = create_ejector(event.service, clock, random.Random(event.seed))
        self._attempts = {}
        self._ejections = collections.Counter()

    def set_service(self, event):
        """Give another version of the policy."""
        self._ejector.set_service(event.service)

    def update_peers(self, event):
        """Give the number of other nodes."""
        self._ejector.update_peers(event.count)

    def update_servers(self, event):
        """Give the backend servers."""
        self._ejector.update_servers(build_servers(event.servers, self._service))

    def start(self, event):
        """Start an attempt; the trace's number stands for the one given now."""
        attempt = self._ejector.start(event.address, event.pooled)
        self._attempts[event.attempt] = attempt

    def observe(self, event):
        """End an attempt."""
        attempt = self._find_attempt(event.attempt)
        self._ejector.observe(
            Outcome(
                event.address,
                attempt,
                event.kind,
                event.latency_s,
                event.verdict,
            )
        )

    def _find_attempt(self, number):
        try:
            return self._attempts.pop(number)
        except KeyError:
            raise TraceError(
                f"attempt {number} was not started", code="trace-instance"
            ) from None

    def tick(self, event):
        """Do what is due."""
        self._ejector.tick()

    def take_probes(self, event):
        """Compare the addresses to probe."""
        found = tuple(self._ejector.due_probes())
        self._compare("addresses to probe", event.addresses, found)

    def record_probe(self, event):
        """Give the answer to a probe."""
        self._ejector.record_probe(event.address, event.ok, event.latency_s)

    def export_evidence(self, event):
        """Ask for evidence, which may change the ejector."""
        self._ejector.export_evidence()

    def merge_evidence(self, event):
        """Give another node's evidence."""
        self._ejector.merge_evidence(event.node, decode_evidence(event.evidence))

    def expect_standing(self, event):
        """Compare a standing."""
        found = self._ejector.standing(event.address).state
        if found not in event.states:
            stated = " or ".join(state.value for state in event.states)
            self._faults.append(
                Fault(f"standing of {event.address}", stated, found.value)
            )

    def expect_ejections(self, event):
        """Compare the number of ejections."""
        for each in self._ejector.events():
            if each.name == "ejected":
                self._ejections[each.address] += 1
        counts = self._ejections
        found = counts[event.address] if event.address else counts.total()
        if not event.least <= found <= event.most:
            self._faults.append(
                Fault("ejections", f"{event.least} to {event.most}", found)
            )

    def expect_distrust(self, event):
        """Compare the time before which pooled connections are not trusted."""
        found = self._ejector.connections_since(event.address)
        if found < event.since:
            self._faults.append(
                Fault("connections trusted since", f">= {event.since}", found)
            )


@register_player
class BalancerPlayer(Player):
    """Feeds a balancer."""

    opening = ev.BalancerOpened
    handlers = {
        ev.ServiceChanged: "set_service",
        ev.ServersKept: "forget",
        ev.ServerChosen: "choose",
        ev.RequestStarted: "start",
        ev.RequestFinished: "finish",
        ev.LoadReported: "report_load",
    }

    def __init__(self, event, clock, players):
        super().__init__(event, clock, players)
        self._service = event.service.name
        rng = random.Random(event.seed)
        self._balancer = create_balancer(event.service, event.data_centre, clock, rng)
        self._known = {}
        self._addresses = ()

    def set_service(self, event):
        """Give another version of the policy."""
        self._balancer.set_service(event.service)

    def forget(self, event):
        """Forget the other backend servers."""
        self._balancer.forget(build_servers(event.servers, self._service))

    def choose(self, event):
        """Compare a choice."""
        for server in build_servers(event.servers, self._service):
            self._known[server.address] = server
        if event.addresses is not None:
            self._addresses = event.addresses
        servers = [self._known[address] for address in self._addresses]
        standings = {
            each.address: Standing(each.state, each.weight, each.idempotent_only)
            for each in event.standings
        }
        choice = Choice(
            idempotent=event.idempotent,
            excluded=frozenset(event.excluded),
            standings=lambda address: standings.get(address, HEALTHY),
        )
        server = self._balancer.choose(servers, choice)
        self._compare("server chosen", event.chosen, server.address if server else "")

    def start(self, event):
        """Start a request."""
        self._balancer.start(event.address)

    def finish(self, event):
        """End a request."""
        self._balancer.finish(event.address, event.latency_s, event.ok)

    def report_load(self, event):
        """Give a load report."""
        self._balancer.report_load(
            event.address, event.running, event.waiting, event.age_s
        )


@register_player
class TablePlayer(Player):
    """Feeds a server table."""

    opening = ev.TableOpened
    handlers = {ev.ExchangeReceived: "receive", ev.ServersExpected: "expect_servers"}

    def __init__(self, event, clock, players):
        super().__init__(event, clock, players)
        self._table = ServerTable(clock, event.lease_s)

    def receive(self, event):
        """Take in a message."""
        for announcement in event.exchange.announcements:
            self._table.apply(announcement)
        for heartbeat in event.exchange.heartbeats:
            self._table.renew(heartbeat, event.delay_s)

    def expect_servers(self, event):
        """Compare the backend servers that take new work."""
        found = tuple(server.address for server in self._table.servers())
        self._compare("addresses", event.addresses, found)


@register_player
class KeysPlayer(Player):
    """Feeds a node's key table."""

    opening = ev.KeysOpened
    handlers = {ev.DocumentTaken: "take_document", ev.KeyPresented: "present"}

    def __init__(self, event, clock, players):
        super().__init__(event, clock, players)
        self._table = None

    def take_document(self, event):
        """Put a revision into force."""
        self._table = KeyTable(event.document)

    def present(self, event):
        """Compare what an example key leads to."""
        try:
            found = self._table.authenticate([make_example_key(event.number)])
        except PersimmonError as error:
            found = error.code
        self._compare("outcome", event.outcome, found)


@register_player
class StorePlayer(Player):
    """Publishes to and reads from a store in memory with faults."""

    opening = ev.StoreOpened
    handlers = {
        ev.StoreFaulted: "set_faults",
        ev.DocumentPublished: "publish",
        ev.DocumentRead: "read",
    }

    def __init__(self, event, clock, players):
        super().__init__(event, clock, players)
        self._store = MemoryStore(clock)
        self._publisher = Publisher(self._store, pause=clock.advance, wall=clock.now)

    def set_faults(self, event):
        """Change the store's faults."""
        self._store.set_faults(Faults(away=event.away, lose_answers=event.lose_answers))

    def publish(self, event):
        """Compare the outcome of a publication."""
        try:
            made = self._publisher.publish(
                event.document, event.expected, change=event.change
            )
            found = f"revision {made.revision}"
        except PersimmonError as error:
            found = error.code
        self._compare("outcome", event.outcome, found)

    def read(self, event):
        """Compare the revision that the store holds."""
        try:
            found = f"revision {load_snapshot(self._store).root.revision}"
        except PersimmonError as error:
            found = error.code
        self._compare("outcome", event.outcome, found)


@register_player
class LimitsPlayer(Player):
    """Feeds a holder and borrowers."""

    opening = ev.LimitsOpened
    handlers = {
        ev.DocumentTaken: "take_document",
        ev.ShardsTaken: "take_shards",
        ev.LoansExchanged: "exchange",
        ev.RequestsOffered: "offer",
    }

    def __init__(self, event, clock, players):
        super().__init__(event, clock, players)
        self._holder = Holder(clock)
        self._borrowers = {
            name: Borrower(name, clock, incarnation="1") for name in event.borrowers
        }

    def take_document(self, event):
        """Put a revision into force."""
        view = DocumentView(event.document, event.revision, "")
        self._holder.set_view(view)
        for borrower in self._borrowers.values():
            borrower.set_view(view)

    def take_shards(self, event):
        """Take all shards."""
        deadline = self._clock.now() + event.lease_s
        for number in range(self._holder.shard_count):
            self._holder.take(
                number,
                event.epoch,
                deadline,
                first=event.first,
                longest_loan_s=event.lease_s,
            )

    def exchange(self, event):
        """Carry demands and loans."""
        borrower = self._borrowers[event.borrower]
        demands = borrower.demands()
        if demands is not None:
            borrower.apply(self._holder.lend(demands))

    def offer(self, event):
        """Compare how many requests are admitted."""
        borrower = self._borrowers[event.borrower]
        answers = [borrower.admit(event.organisation) for _ in range(event.number)]
        found = answers.count(Admission.ADMITTED)
        if not event.least <= found <= event.most:
            stated = f"{event.least} to {event.most} of {event.number}"
            self._faults.append(Fault("admitted", stated, found))
