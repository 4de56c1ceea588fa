import testtools

from ...clocks import ManualClock
from ..gossip import Gossip
from ..messages import Announcement, ServerNews, decoder, encoder
from .test_gossip import deliver

PORT = 9
VERSION = 7


class Network:
    """Datagrams between nodes by address; they wait until they are delivered."""

    def __init__(self):
        self.nodes = {}
        self.waiting = []

    def deliver(self):
        """Deliver what waits, and what is sent in reply."""
        while self.waiting:
            sender, host, raw = self.waiting.pop(0)
            if host in self.nodes:
                deliver(self.nodes[host], decoder.decode(raw), (sender, PORT))

    def list_messages(self):
        """Return the messages that wait."""
        return [decoder.decode(raw) for *_, raw in self.waiting]

    def lose(self):
        self.waiting.clear()


class Wire:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    def set_taker(self, take):
        self.take = take

    def send(self, address, message):
        raw = encoder.encode(message)
        self.network.waiting.append((self.host, address[0], raw))


class Document:
    def __init__(self, version):
        self.version = version
        self.wanted = []

    def add_source(self, version, address, near):
        self.wanted.append((version, address))


class Settings:
    gossip_port = PORT
    data_centre = "south"

    def __init__(self, name, host):
        self.name = name
        self.nodes = f"{host}:80"


class OwnNews:
    def __init__(self):
        self.leaving = False
        self.server = ServerNews("i-1", "census", True, 4, 0, 0, "sound", 0.0)


def build_gossip(network, clock, name, host, version):
    document = Document(version)
    settings = Settings(name, host)
    wire = Wire(network, host)
    gossip = Gossip(None, settings, clock, wire, OwnNews, document, None)
    network.nodes[host] = gossip
    return gossip, document


class RestartTests(testtools.TestCase):
    """One of two nodes starts anew while the store is away."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.network = Network()
        self.stayed, _ = self.build("stayed", "10.0.0.1", VERSION)
        self.ended, _ = self.build("again", "10.0.0.2", VERSION)
        self.stayed.table.note_registered("again", "10.0.0.2:80")
        self.stayed.announce(None)
        self.network.deliver()
        self.stayed.table.note_fresh(self.clock.now())
        self.last = self.capture_last()
        self.clock.advance(0.5)
        self.again, self.document = self.build("again", "10.0.0.2", 0)

    def build(self, name, host, version):
        return build_gossip(self.network, self.clock, name, host, version)

    def capture_last(self):
        """Return the last announcement of the process that ends."""
        leaving = OwnNews()
        leaving.leaving = True
        self.ended._describe = lambda: leaving
        self.ended.announce(None)
        *_, raw = self.network.waiting.pop()
        return decoder.decode(raw)

    def list_live(self, gossip):
        return [peer.name for peer in gossip.table.find_live()]

    def find_boot(self):
        return self.stayed.table.peers["again"].news.boot

    def test_one_announcement_makes_both_know_each_other(self):
        self.stayed.announce(None)
        self.network.deliver()
        self.assertEqual(["stayed"], self.list_live(self.again))
        self.assertEqual([(VERSION, "10.0.0.1:80")], self.document.wanted[:1])
        self.assertNotEqual(self.last.boot, self.find_boot())

    def test_lost_datagrams_are_made_up_for_by_the_next_round(self):
        self.again.announce(None)
        self.stayed.announce(None)
        self.network.lose()
        self.clock.advance(1.0)
        self.stayed.announce(None)
        self.network.deliver()
        self.assertEqual(["stayed"], self.list_live(self.again))

    def test_lost_reply_is_made_up_for_by_the_next_round(self):
        self.stayed.announce(None)
        ((sender, _, raw),) = self.network.waiting
        self.network.lose()
        deliver(self.again, decoder.decode(raw), (sender, PORT))
        self.assertEqual(1, len(self.network.waiting))
        self.network.lose()
        self.clock.advance(1.0)
        self.again.announce(None)
        self.stayed.announce(None)
        self.network.deliver()
        self.assertNotEqual(self.last.boot, self.find_boot())
        self.assertEqual(["stayed"], self.list_live(self.again))

    def test_late_announcement_of_the_ended_process_changes_nothing(self):
        self.stayed.announce(None)
        self.network.deliver()
        boot = self.find_boot()
        self.assertTrue(self.last.leaving)
        self.last.address = "10.0.0.9:80"
        deliver(self.stayed, self.last, None)
        peer = self.stayed.table.peers["again"]
        self.assertEqual((boot, "10.0.0.2:80"), (peer.news.boot, peer.address))
        self.assertFalse(peer.news.leaving)
        self.assertEqual([], self.network.waiting)

    def test_datagram_for_the_ended_process_reaches_the_new_one(self):
        self.stayed.announce(None)
        self.clock.advance(0.5)
        ((*_, raw),) = self.network.waiting
        self.assertEqual(self.last.boot, decoder.decode(raw).echo_boot)
        self.network.deliver()
        self.assertEqual(["stayed"], self.list_live(self.again))

    def test_document_is_known_to_be_fresh_as_soon_as_it_is_in_force(self):
        self.stayed.announce(None)
        self.network.deliver()
        self.assertEqual(float("inf"), self.again.table.find_fresh_age())
        self.document.version = VERSION
        # The node announces itself as soon as a document comes into force.
        self.again.announce(None)
        self.assertEqual(0.5, self.again.table.find_fresh_age())

    def test_freshness_of_a_version_that_is_not_in_force_counts_for_no_older(self):
        self.stayed.announce(None)
        self.network.deliver()
        self.document.version = VERSION - 1
        self.again.announce(None)
        self.assertEqual(float("inf"), self.again.table.find_fresh_age())

    def test_freshness_of_an_older_version_counts_for_a_newer_one(self):
        self.document.version = VERSION + 1
        self.stayed.announce(None)
        self.network.deliver()
        self.assertEqual(0.5, self.again.table.find_fresh_age())


class ForgettingTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.network = Network()
        self.gossip, _ = build_gossip(self.network, self.clock, "a", "10.0.0.1", 1)
        self.gossip.table.note_registered("b", "10.0.0.2:80")

    def list_told(self):
        self.network.lose()
        self.gossip.announce(None)
        return [host for _, host, _ in self.network.waiting]

    def test_silent_node_is_told_of_this_one_while_the_store_is_away(self):
        self.clock.advance(200.0)
        self.assertEqual(["10.0.0.2"], self.list_told())
        self.assertEqual(1, self.gossip.table.count_members())

    def test_silent_node_that_the_store_no_longer_names_is_forgotten(self):
        self.clock.advance(200.0)
        self.gossip.table.note_listed({})
        self.assertEqual([], self.list_told())

    def test_announcement_of_a_node_out_of_the_store_keeps_it(self):
        self.clock.advance(200.0)
        news = Announcement("b", 1, 1, "10.0.0.2:80", "south", False, 1, 0, 0, 0, None)
        self.gossip.table.take(news)
        self.gossip.table.note_listed({})
        self.assertEqual(["10.0.0.2"], self.list_told())
