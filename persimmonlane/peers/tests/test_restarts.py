import testtools

from ...clocks import ManualClock
from ...quarantine.ledger import CrashLedger
from ...routing.stamps import DocumentStamp
from ...upkeep.generations import GenerationTracker
from ..gossip import Gossip
from ..messages import decoder, encoder
from ..statuses import Announcement, ServerStatus
from .test_gossip import deliver

PORT = 9
VERSION = 7


class Network:
    """Fake network that queues datagrams until they are delivered."""

    def __init__(self):
        self.nodes = {}
        self.queued = []

    def deliver(self):
        """Deliver the queued datagrams and those sent in response."""
        while self.queued:
            sender, host, raw = self.queued.pop(0)
            if host in self.nodes:
                deliver(self.nodes[host], decoder.decode(raw), (sender, PORT))

    def list_messages(self):
        """Return the queued messages, decoded."""
        return [decoder.decode(raw) for *_, raw in self.queued]

    def drop_queued(self):
        self.queued.clear()


class FakeTransport:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    def set_handler(self, handle):
        self.handle = handle

    def send(self, address, message):
        raw = encoder.encode(message)
        self.network.queued.append((self.host, address[0], raw))


class Document:
    def __init__(self, version):
        self.version = version
        self.wanted = []

    @property
    def stamp(self):
        return DocumentStamp(self.version)

    def add_source(self, stamp, address, near):
        self.wanted.append((stamp.version, address))


class Settings:
    gossip_port = PORT
    data_centre = "south"

    def __init__(self, name, host):
        self.name = name
        self.peer_address = f"{host}:80"


class NodeState:
    def __init__(self):
        self.leaving = False
        self.server = ServerStatus("i-1", "census", True, 4, 0, 0, "sound", 0.0)


def build_gossip(network, clock, name, host, version):
    document = Document(version)
    settings = Settings(name, host)
    transport = FakeTransport(network, host)
    gossip = Gossip(
        None,
        settings,
        clock,
        transport,
        NodeState,
        document,
        GenerationTracker(clock),
        CrashLedger(clock),
        None,
    )
    network.nodes[host] = gossip
    return gossip, document


class RestartTests(testtools.TestCase):
    """A node restarts while the store is unavailable.

    It then knows no other node and must learn of its peer from datagrams alone.
    """

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.network = Network()
        self.running, _ = self.build("stayed", "10.0.0.1", VERSION)
        self.stopped, _ = self.build("again", "10.0.0.2", VERSION)
        self.running.table.add_registered("again", "10.0.0.2:80")
        self.running.announce(None)
        self.network.deliver()
        self.running.table.freshness.mark(self.clock.now())
        self.last_announcement = self.capture_last_announcement()
        self.clock.advance(0.5)
        self.restarted, self.document = self.build("again", "10.0.0.2", 0)

    def build(self, name, host, version):
        return build_gossip(self.network, self.clock, name, host, version)

    def capture_last_announcement(self):
        """Return the last announcement of the stopping process, undelivered."""
        leaving = NodeState()
        leaving.leaving = True
        self.stopped._describe = lambda: leaving
        self.stopped.announce(None)
        *_, raw = self.network.queued.pop()
        return decoder.decode(raw)

    def list_live(self, gossip):
        return [peer.name for peer in gossip.table.list_live()]

    def get_known_boot(self):
        return self.running.table.peers["again"].announcement.boot

    def test_one_announcement_introduces_both_nodes(self):
        self.running.announce(None)
        self.network.deliver()
        self.assertEqual(["stayed"], self.list_live(self.restarted))
        self.assertEqual([(VERSION, "10.0.0.1:80")], self.document.wanted[:1])
        self.assertNotEqual(self.last_announcement.boot, self.get_known_boot())

    def test_next_round_recovers_from_lost_announcements(self):
        self.restarted.announce(None)
        self.running.announce(None)
        self.network.drop_queued()
        self.clock.advance(1.0)
        self.running.announce(None)
        self.network.deliver()
        self.assertEqual(["stayed"], self.list_live(self.restarted))

    def test_next_round_recovers_from_a_lost_response(self):
        self.running.announce(None)
        ((sender, _, raw),) = self.network.queued
        self.network.drop_queued()
        deliver(self.restarted, decoder.decode(raw), (sender, PORT))
        self.assertEqual(1, len(self.network.queued))
        self.network.drop_queued()
        self.clock.advance(1.0)
        self.restarted.announce(None)
        self.running.announce(None)
        self.network.deliver()
        self.assertNotEqual(self.last_announcement.boot, self.get_known_boot())
        self.assertEqual(["stayed"], self.list_live(self.restarted))

    def test_late_announcement_of_the_stopped_process_is_ignored(self):
        self.running.announce(None)
        self.network.deliver()
        boot = self.get_known_boot()
        self.assertTrue(self.last_announcement.leaving)
        self.last_announcement.address = "10.0.0.9:80"
        deliver(self.running, self.last_announcement, None)
        peer = self.running.table.peers["again"]
        self.assertEqual((boot, "10.0.0.2:80"), (peer.announcement.boot, peer.address))
        self.assertFalse(peer.announcement.leaving)
        self.assertEqual([], self.network.queued)

    def test_new_process_accepts_datagrams_meant_for_the_stopped_one(self):
        self.running.announce(None)
        self.clock.advance(0.5)
        ((*_, raw),) = self.network.queued
        self.assertEqual(self.last_announcement.boot, decoder.decode(raw).echo_boot)
        self.network.deliver()
        self.assertEqual(["stayed"], self.list_live(self.restarted))

    def test_freshness_is_applied_as_soon_as_the_version_is_in_force(self):
        self.running.announce(None)
        self.network.deliver()
        self.assertEqual(float("inf"), self.restarted.table.freshness.compute_age())
        self.document.version = VERSION
        # A node announces itself as soon as a document comes into force.
        self.restarted.announce(None)
        self.assertEqual(0.5, self.restarted.table.freshness.compute_age())

    def test_freshness_does_not_apply_to_an_older_version(self):
        self.running.announce(None)
        self.network.deliver()
        self.document.version = VERSION - 1
        self.restarted.announce(None)
        self.assertEqual(float("inf"), self.restarted.table.freshness.compute_age())

    def test_freshness_applies_to_a_newer_version(self):
        self.document.version = VERSION + 1
        self.running.announce(None)
        self.network.deliver()
        self.assertEqual(0.5, self.restarted.table.freshness.compute_age())


class ExpiryTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.network = Network()
        self.gossip, _ = build_gossip(self.network, self.clock, "a", "10.0.0.1", 1)
        self.gossip.table.add_registered("b", "10.0.0.2:80")

    def list_announced_hosts(self):
        self.network.drop_queued()
        self.gossip.announce(None)
        return [host for _, host, _ in self.network.queued]

    def test_silent_node_gets_announcements_while_the_store_is_unavailable(self):
        self.clock.advance(200.0)
        self.assertEqual(["10.0.0.2"], self.list_announced_hosts())
        self.assertEqual(1, self.gossip.table.count_members())

    def test_silent_node_that_is_not_in_the_store_is_removed(self):
        self.clock.advance(200.0)
        self.gossip.table.update_registered([])
        self.assertEqual([], self.list_announced_hosts())

    def test_announcing_node_that_is_not_in_the_store_is_kept(self):
        self.clock.advance(200.0)
        announcement = Announcement(
            "b", 1, 1, "10.0.0.2:80", "south", False, 1, 0, 0, 0, None
        )
        self.gossip.table.apply_announcement(announcement)
        self.gossip.table.update_registered([])
        self.assertEqual(["10.0.0.2"], self.list_announced_hosts())
