import queue
import threading

import testtools

from ...actors import Actor
from ...application import Application
from ...clocks import SystemClock
from ...errors import StoreError
from ...membership.peers import Peer
from ...rpc import Channels, RpcServer
from ...settings import NodeSettings
from ...store.memory import Faults, MemoryStore
from ..loading import load_snapshot
from ..messages import DocumentChanged, FreshnessChanged
from ..part import build_config
from ..publishing import Publisher
from ..root import ROOT_KEY, Root, encode, read_root
from ..transport import SpreadClient
from .test_publishing import build_document

TOKEN = "a token for tests only"
WAIT_S = 20


class Listener(Actor):
    handlers = {DocumentChanged: "take_document", FreshnessChanged: "take_freshness"}

    def __init__(self, revisions):
        super().__init__(None)
        self.revisions = revisions
        self.freshness = queue.Queue()

    def take_document(self, message):
        self.revisions.put(message.view.revision)

    def take_freshness(self, message):
        self.freshness.put(message.isolated)


class ConfigPartTests(testtools.TestCase):
    """Whole parts over gRPC, the store in memory."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(SystemClock(), waits=True)
        self.publisher = Publisher(self.store)
        self.peers = ()
        self.listeners = []
        self.nodes = []

    def build_node(self, number, stores=True, seeds=()):
        application = Application()
        server = application.add(RpcServer("127.0.0.1:0", TOKEN))
        channels = application.add(Channels(TOKEN))
        settings = NodeSettings(
            name=f"node-{number}",
            data_centre=f"dc-{number % 2}",
            rpc=f"127.0.0.1:{server.port}",
            store="127.0.0.1:1",
            fleet_token=TOKEN,
            seeds=seeds,
        )
        store = self.store if stores else self.build_absent_store()
        config = build_config(
            application,
            settings,
            SystemClock(),
            server,
            channels,
            store,
            lambda: tuple(p for p in self.peers if p.name != settings.name),
        )
        peer = Peer(settings.name, settings.data_centre, settings.rpc)
        revisions = queue.Queue()
        listener = Listener.start(revisions)
        config.subscribe(listener)
        self.nodes.append((application, config, channels))
        self.listeners.append(revisions)
        self.addCleanup(application.stop)
        self.addCleanup(listener.stop)
        return peer

    def build_absent_store(self):
        store = MemoryStore(SystemClock(), waits=True)
        store.set_faults(Faults(away=True))
        return store

    def start(self):
        for application, _, _ in self.nodes:
            application.start()

    def wait_for(self, revision):
        for revisions in self.listeners:
            while revisions.get(timeout=WAIT_S) < revision:
                pass

    def test_changes_reach_nodes_that_cannot_reach_the_store(self):
        self.publisher.publish(build_document(1, 300))
        self.peers = (
            self.build_node(0),
            self.build_node(1, stores=False),
            self.build_node(2, stores=False),
        )
        self.start()
        self.wait_for(1)
        self.publisher.publish(build_document(2, 300))
        self.wait_for(2)
        for _, config, _ in self.nodes:
            self.assertEqual(2, config.view().revision)
            organisations = config.view().document.organisations
            self.assertEqual(300, len(set(organisations)))

    def test_status_tells_revision_and_freshness(self):
        self.publisher.publish(build_document(1))
        peer = self.build_node(0)
        self.start()
        self.wait_for(1)
        client = SpreadClient(self.nodes[0][2])
        done = threading.Event()
        while not done.is_set():
            status = client.get_status(peer.rpc)
            if status.revision == 1 and not status.isolated:
                done.set()
        self.assertTrue(status.relay)
        self.assertEqual(0, status.lag_s)

    def test_store_that_lost_everything_is_brought_up_again(self):
        self.publisher.publish(build_document(1))
        made = self.publisher.publish(build_document(2))
        self.build_node(0)
        self.start()
        self.wait_for(2)
        self.store.restore_entries({})
        entry = self.store.watch(ROOT_KEY, 0, WAIT_S)
        self.assertEqual(made, read_root(entry).history[-1])
        self.assertEqual(made.digest, load_snapshot(self.store).root.digest)

    def test_root_that_can_not_be_read_changes_nothing(self):
        self.publisher.publish(build_document(1))
        self.build_node(0)
        self.start()
        self.wait_for(1)
        whole = self.store.get(ROOT_KEY)
        for value in (b"no root", encode(Root(revision=9, format=2))):
            entry = self.store.get(ROOT_KEY)
            self.store.compare_and_swap(ROOT_KEY, value, entry.version)
            document = build_document(2)
            error = self.assertRaises(StoreError, self.publisher.publish, document)
            self.assertEqual("root-unreadable", error.code)
            calls = self.store.counts["watch"]
            while self.store.counts["watch"] < calls + 2:
                pass
            self.assertEqual(value, self.store.get(ROOT_KEY).value)
            self.assertEqual(1, self.nodes[0][1].view().revision)
        entry = self.store.get(ROOT_KEY)
        self.store.compare_and_swap(ROOT_KEY, whole.value, entry.version)
        self.publisher.publish(build_document(2))
        self.wait_for(2)

    def test_node_finds_the_document_through_a_seed(self):
        self.publisher.publish(build_document(1))
        seed = self.build_node(0)
        self.build_node(1, stores=False, seeds=(seed.rpc,))
        self.start()
        self.wait_for(1)

    def test_late_subscriber_is_told_of_the_revision_in_force(self):
        self.publisher.publish(build_document(1))
        self.build_node(0)
        self.start()
        self.wait_for(1)
        revisions = queue.Queue()
        listener = Listener.start(revisions)
        self.addCleanup(listener.stop)
        self.nodes[0][1].subscribe(listener)
        self.assertEqual(1, revisions.get(timeout=WAIT_S))
