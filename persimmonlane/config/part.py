"""Configuration part.

Keeps the document in force, spreads it to other nodes and tells subscribers of
changes.
"""

import logging
import random
from concurrent import futures

import pykka

from ..actors import Actor, Tick, Ticker, tell
from ..application import Part
from ..errors import PersimmonError, StoreError
from ..membership.peers import Peer
from . import config_pb2_grpc as services
from .loading import load_snapshot
from .messages import DocumentChanged, FreshnessChanged
from .parts import join_document
from .repair import repair_store
from .replica import STORE, Replica
from .root import EMPTY_ROOT, ROOT_KEY, read_root
from .shelf import NodeStatus, Shelf
from .transport import SpreadClient, SpreadServicer
from .view import DocumentView

log = logging.getLogger("persimmonlane.config")

TICK_S = 0.1
WATCH_S = 1.0
STORE_RETRY_S = 0.5
PEER_THREADS = 4
ASK_TIMEOUT_S = 0.4
DRAIN_TIMEOUT_S = 1.0
NO_VERSION = -1


class ReportReceived:
    """A peer has sent its report; the answer is this node's.

    Attributes:
        report: The peer's `Report`.
    """

    __slots__ = ("report",)

    def __init__(self, report):
        self.report = report


class ReplyReceived:
    """A peer has answered this node's report.

    Attributes:
        report: The peer's `Report`.
        address: RPC address of the peer.
        sent_at: Monotonic seconds at which the request was sent.
    """

    __slots__ = ("report", "address", "sent_at")

    def __init__(self, report, address, sent_at):
        self.report = report
        self.address = address
        self.sent_at = sent_at


class ExchangeFailed:
    """A peer did not answer this node's report."""

    __slots__ = ()


class StoreSeen:
    """A call to the store has ended.

    Attributes:
        entry: The root's entry; None if it is unchanged, or if the call failed.
        at: Monotonic seconds at which the store held it; None if the call failed.
    """

    __slots__ = ("entry", "at")

    def __init__(self, entry, at):
        self.entry = entry
        self.at = at


class Pulled:
    """A revision was fetched and its view built.

    Attributes:
        source: Name of the peer, or `STORE`.
        snapshot: The `Snapshot`; None if the fetch failed.
        view: The `DocumentView`; None if the fetch failed.
        started_at: Monotonic seconds at which the fetch began.
    """

    __slots__ = ("source", "snapshot", "view", "started_at")

    def __init__(self, source, snapshot, view, started_at):
        self.source = source
        self.snapshot = snapshot
        self.view = view
        self.started_at = started_at


class RepairEnded:
    """An attempt to repair the store has ended."""

    __slots__ = ()


class SubscriptionAsked:
    """An actor wants to be told of changes.

    Attributes:
        actor_ref: The actor.
    """

    __slots__ = ("actor_ref",)

    def __init__(self, actor_ref):
        self.actor_ref = actor_ref


class LeavingAsked:
    """The node is leaving; the answer is a list of futures to wait for."""

    __slots__ = ()


class Jobs:
    """Calls that may block, each told to the actor when it ends.

    The store has a thread of its own, because a watch waits.
    """

    __slots__ = ("_store", "_client", "_clock", "_shelf", "_watcher", "_workers")

    def __init__(self, store, channels, clock, shelf):
        self._store = store
        self._client = SpreadClient(channels)
        self._clock = clock
        self._shelf = shelf
        self._watcher = futures.ThreadPoolExecutor(1, "config-store")
        self._workers = futures.ThreadPoolExecutor(PEER_THREADS, "config-peers")

    def watch(self, actor_ref, version):
        """Wait for the root to leave a version; tells `StoreSeen`."""
        self._watcher.submit(self._watch, actor_ref, version)

    def exchange(self, actor_ref, peer, report):
        """Exchange reports with a peer; returns the future."""
        return self._workers.submit(self._exchange, actor_ref, peer, report)

    def pull(self, actor_ref, source, address):
        """Fetch a newer revision and build its view; tells `Pulled`."""
        self._workers.submit(self._pull, actor_ref, source, address)

    def repair(self, actor_ref, root):
        """Bring the store up to a root; tells `RepairEnded`."""
        self._workers.submit(self._repair, actor_ref, root)

    def stop(self):
        """Stop taking jobs; a waiting watch ends by itself."""
        self._watcher.shutdown(wait=False, cancel_futures=True)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _watch(self, actor_ref, version):
        started = self._clock.now()
        try:
            entry = self._store.watch(ROOT_KEY, version, WATCH_S)
        except StoreError as error:
            log.debug("Config: the store can't be watched: %s.", error)
            tell(actor_ref, StoreSeen(None, None))
            return
        at = started
        if entry is None:
            at = min(self._clock.now(), started + WATCH_S)
        tell(actor_ref, StoreSeen(entry, at))

    def _exchange(self, actor_ref, peer, report):
        sent_at = self._clock.now()
        try:
            answer = self._client.exchange(peer.rpc, report)
        except PersimmonError:
            tell(actor_ref, ExchangeFailed())
            return
        tell(actor_ref, ReplyReceived(answer, peer.rpc, sent_at))

    def _pull(self, actor_ref, source, address):
        started = self._clock.now()
        held = self._shelf.snapshot.contents
        try:
            if source == STORE:
                snapshot = load_snapshot(self._store, held)
            else:
                snapshot = self._client.fetch_snapshot(address, held)
            view = build_view(snapshot, self._shelf.view)
        except PersimmonError as error:
            log.warning("Config: a newer revision can't be fetched: %s.", error)
            tell(actor_ref, Pulled(source, None, None, started))
            return
        tell(actor_ref, Pulled(source, snapshot, view, started))

    def _repair(self, actor_ref, root):
        try:
            repair_store(self._store, root, self._shelf.find_part)
        except PersimmonError as error:
            log.warning("Config: the store can't be repaired: %s.", error)
        except KeyError:
            log.info("Config: the repair was overtaken by a newer revision.")
        tell(actor_ref, RepairEnded())


class ConfigActor(Actor):
    """Owns the replica of this node."""

    handlers = {
        Tick: "tick",
        ReportReceived: "answer_report",
        ReplyReceived: "take_reply",
        ExchangeFailed: "take_failure",
        StoreSeen: "take_store",
        Pulled: "take_revision",
        RepairEnded: "end_repair",
        SubscriptionAsked: "subscribe",
        LeavingAsked: "leave",
    }

    def __init__(self, application, replica, settings, clock, peers, jobs, shelf):
        super().__init__(application)
        self._replica = replica
        self._settings = settings
        self._clock = clock
        self._peers = peers
        self._jobs = jobs
        self._shelf = shelf
        self._subscribers = []
        self._isolated = True
        self._store_version = NO_VERSION
        self._store_root = EMPTY_ROOT
        self._store_due = clock.now()
        self._answered = None
        self._store_answers = True
        self._watching = False
        self._pulling = False
        self._repairing = False
        self._rng = random.Random()

    def tick(self, message):
        """Do what is due."""
        self._replica.set_peers(self._peers())
        self._watch()
        self._exchange()
        self._pull()
        self._update_status()

    def answer_report(self, message):
        """Take a peer's report and return this node's."""
        self._replica.note_report(message.report)
        self._pull()
        return self._replica.make_report()

    def take_reply(self, message):
        """Take a peer's answer."""
        self._answered = message
        self._replica.hear_report(message.report, message.sent_at)
        self._pull()

    def take_failure(self, message):
        """Ask another peer."""
        self._replica.hear_failure()
        self._exchange()

    def take_store(self, message):
        """Take what the store holds and go on watching it."""
        self._watching = False
        self._note_store(message.at is not None)
        if message.at is None:
            pause = STORE_RETRY_S * self._rng.uniform(0.75, 1.25)
            self._store_due = self._clock.now() + pause
            return
        if message.entry is not None:
            self._store_version = message.entry.version
            self._store_root = read_root(message.entry)
        self._replica.hear_store(self._store_root, message.at)
        self._repair()
        self._pull()
        self._watch()

    def take_revision(self, message):
        """Put a fetched revision into force."""
        self._pulling = False
        snapshot = message.snapshot
        if snapshot is None:
            self._replica.drop_source(message.source)
            return
        if not self._replica.adopt(snapshot.root):
            self._replica.drop_source(message.source)
            return
        self._shelf.put(message.view, snapshot)
        if message.source == STORE:
            self._replica.hear_store(snapshot.root, message.started_at)
        log.info("Config: revision %d is in force.", message.view.revision)
        self._tell_all(DocumentChanged(message.view))
        self._update_status()
        self._exchange()
        self._pull()

    def end_repair(self, message):
        """Allow the next repair."""
        self._repairing = False

    def subscribe(self, message):
        """Tell an actor of what is in force and of each change."""
        self._subscribers.append(message.actor_ref)
        if self._shelf.view is not None:
            tell(message.actor_ref, DocumentChanged(self._shelf.view))
        tell(message.actor_ref, FreshnessChanged(self._isolated))

    def leave(self, message):
        """Tell a few peers that this node leaves."""
        self._replica.leaving = True
        report = self._replica.make_report()
        return [
            self._jobs.exchange(self.actor_ref, peer, report)
            for peer in self._replica.choose_confidants()
        ]

    def _watch(self):
        if self._watching or self._clock.now() < self._store_due:
            return
        if self._replica.wants_store():
            self._watching = True
            self._jobs.watch(self.actor_ref, self._store_version)

    def _note_store(self, answers):
        if answers == self._store_answers:
            return
        self._store_answers = answers
        if answers:
            log.info("Config: the store answers again.")
        else:
            log.warning("Config: the store does not answer.")

    def _exchange(self):
        chosen = self._replica.choose_exchanges()
        if not chosen:
            return
        report = self._replica.make_report()
        for peer in chosen:
            self._jobs.exchange(self.actor_ref, peer, report)

    def _pull(self):
        if self._pulling:
            return
        source = self._replica.choose_source()
        if source is None:
            return
        address = self._find_address(source)
        if source != STORE and address is None:
            self._replica.drop_source(source)
            return
        self._pulling = True
        self._jobs.pull(self.actor_ref, source, address)

    def _repair(self):
        if self._repairing or not self._replica.store_differs:
            return
        self._repairing = True
        self._jobs.repair(self.actor_ref, self._replica.root)

    def _find_address(self, name):
        # A seed may answer before the membership knows its name.
        if self._answered is not None and self._answered.report.node == name:
            return self._answered.address
        addresses = (peer.rpc for peer in self._peers() if peer.name == name)
        return next(addresses, None)

    def _update_status(self):
        isolated = self._is_isolated()
        self._shelf.status = NodeStatus(
            self._settings.name,
            self._settings.data_centre,
            self._replica.root.revision,
            self._replica.root.digest,
            self._replica.compute_lag(),
            self._replica.compute_store_age(),
            isolated,
            self._replica.is_relay(),
        )
        if isolated == self._isolated:
            return
        self._isolated = isolated
        log.info("Config: the node is %s.", "isolated" if isolated else "informed")
        self._tell_all(FreshnessChanged(isolated))

    def _is_isolated(self):
        view = self._shelf.view
        return view is None or self._replica.is_isolated(view.fleet.isolation_s)

    def _tell_all(self, message):
        self._subscribers = [ref for ref in self._subscribers if tell(ref, message)]


class ConfigPart(Part):
    """The configuration of one node."""

    name = "config"

    def __init__(
        self, application, settings, clock, rpc_server, channels, store, peers
    ):
        self._shelf = Shelf()
        self._jobs = Jobs(store, channels, clock, self._shelf)
        replica = Replica(
            settings.name,
            settings.data_centre,
            clock,
            random.Random(),
            list_seeds(settings),
        )
        self._actor = ConfigActor.start(
            application, replica, settings, clock, peers, self._jobs, self._shelf
        )
        self._ticker = Ticker(self._actor, TICK_S)
        servicer = SpreadServicer(self._shelf, self._receive)
        services.add_SpreadServicer_to_server(servicer, rpc_server.server)

    def subscribe(self, actor_ref):
        """Tell an actor of the document in force and of each change."""
        self._actor.tell(SubscriptionAsked(actor_ref))

    def view(self):
        """Return the `DocumentView` in force, or None before the first."""
        return self._shelf.view

    def status(self):
        """Return the `NodeStatus` of this node, or None before the first tick."""
        return self._shelf.status

    def start(self):
        """Begin to follow the document."""
        self._ticker.start()

    def drain(self):
        """Tell a few peers that this node leaves, so that it is not missed."""
        told = self._actor.ask(LeavingAsked(), timeout=ASK_TIMEOUT_S)
        futures.wait(told, DRAIN_TIMEOUT_S)

    def stop(self):
        """End all threads."""
        self._ticker.stop()
        self._jobs.stop()
        self._actor.stop(timeout=DRAIN_TIMEOUT_S)

    def _receive(self, report):
        try:
            return self._actor.ask(ReportReceived(report), timeout=ASK_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return None


def list_seeds(settings):
    """Return the seeds as `Peer`s; their addresses stand in for their names."""
    return tuple(
        Peer(address, settings.data_centre, address)
        for address in settings.seeds
        if address != settings.rpc
    )


def build_view(snapshot, previous=None):
    """Return the view of a fetched revision.

    Args:
        snapshot: The `Snapshot`.
        previous: The view before it; what is the same is taken over.
    """
    root = snapshot.root
    earlier = previous.document if previous else None
    document = join_document(root.parts, snapshot.contents, earlier)
    return DocumentView(document, root.revision, root.digest, previous)


def build_config(application, settings, clock, rpc_server, channels, store, peers):
    """Create the configuration part and add it to the application.

    Args:
        application: The `Application`.
        settings: The `NodeSettings`.
        clock: Clock in monotonic seconds.
        rpc_server: The `RpcServer`, not yet started.
        channels: The `Channels`.
        store: The store's client.
        peers: Returns a tuple of the `Peer`s heard of lately; thread-safe.
    """
    part = ConfigPart(application, settings, clock, rpc_server, channels, store, peers)
    return application.add(part)
