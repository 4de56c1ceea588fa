import msgspec
import testtools
from testtools.matchers import LessThan

from ...clocks import ManualClock
from ..announcing import AnnouncementBuilder
from ..deltas import build_delta, expand
from ..messages import Announcement, Delta, ServerStatus, decoder, encoder
from ..peer import LIVE_TIMEOUT_S, MEMBER_TIMEOUT_S
from .test_restarts import Network, OwnNews, build_gossip

ROUND_S = 1.0
MOST_BYTES = 56


class OldAnnouncement(msgspec.Struct, array_like=True, tag="a"):
    """An announcement as releases without deltas know it."""

    node: str
    boot: int
    sequence: int
    address: str
    data_centre: str
    leaving: bool
    version: int
    fresh_age_s: float
    echo: int
    echo_boot: int
    server: ServerStatus | None


def build_news(**changes):
    server = ServerStatus("i-1", "census", True, 4, 2, 1, "trial", 0.25, True)
    fields = {
        "node": "b",
        "boot": 1 << 47,
        "sequence": 9,
        "address": "10.0.0.2:80",
        "data_centre": "south",
        "leaving": False,
        "version": 300,
        "fresh_age_s": 0.5,
        "echo": 8,
        "echo_boot": 1 << 46,
        "server": server,
        "takes_deltas": True,
    }
    fields.update(changes)
    return Announcement(**fields)


class DeltaTests(testtools.TestCase):
    def convert(self, news, **known):
        delta = decoder.decode(encoder.encode(build_delta(news)))
        return expand(delta, build_news(**known))

    def test_delta_tells_what_changes(self):
        news = build_news()
        earlier = ServerStatus("i-1", "census", False, 1, 0, 0, "sound", 0.0, False)
        known = {"sequence": 3, "version": 1, "echo": 1, "server": earlier}
        self.assertEqual(news, self.convert(news, **known))

    def test_node_without_a_server_tells_of_none(self):
        news = build_news(server=None)
        self.assertEqual(news, self.convert(news, server=None))

    def test_delta_of_another_server_is_an_error(self):
        self.assertRaises(ValueError, self.convert, build_news(), server=None)
        self.assertRaises(ValueError, self.convert, build_news(server=None))

    def test_document_never_looks_younger(self):
        told = self.convert(build_news(fresh_age_s=0.50001)).fresh_age_s
        self.assertEqual(0.501, told)
        unknown = self.convert(build_news(fresh_age_s=-1.0)).fresh_age_s
        self.assertThat(unknown, LessThan(0.0))

    def test_delta_is_short(self):
        raw = encoder.encode(build_delta(build_news(sequence=90_000, echo=90_000)))
        self.assertThat(len(raw), LessThan(MOST_BYTES))

    def test_unknown_standing_is_invalid(self):
        delta = build_delta(build_news())
        delta.load.standing = 3
        raw = encoder.encode(delta)
        self.assertRaises(msgspec.ValidationError, decoder.decode, raw)


class MixedReleaseTests(testtools.TestCase):
    def test_older_release_reads_the_announcement(self):
        raw = encoder.encode(build_news())
        old = msgspec.msgpack.decode(raw, type=OldAnnouncement)
        self.assertEqual(("b", 9), (old.node, old.sequence))
        self.assertEqual(build_news().server, old.server)

    def test_announcement_of_an_older_release_is_read(self):
        fields = msgspec.structs.asdict(build_news())
        del fields["takes_deltas"]
        news = decoder.decode(encoder.encode(OldAnnouncement(**fields)))
        self.assertEqual(build_news(takes_deltas=False), news)


class Document:
    version = 7


class RoundTests(testtools.TestCase):
    """Two nodes that announce themselves in rounds."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.network = Network()
        self.a, _ = self.build("a", "10.0.0.1")
        self.b, _ = self.build("b", "10.0.0.2")
        self.news = OwnNews()
        self.a._describe = lambda: self.news
        self.a.table.add_registered("b", "10.0.0.2:80")

    def build(self, name, host):
        return build_gossip(self.network, self.clock, name, host, Document.version)

    def run_rounds(self, count):
        for _ in range(count):
            self.clock.advance(ROUND_S)
            self.a.announce(None)
            self.b.announce(None)
            self.network.deliver()

    def announce_lost(self):
        """Return the message that `a` sends and that does not arrive."""
        self.clock.advance(ROUND_S)
        self.a.announce(None)
        (message,) = self.network.list_messages()
        self.network.lose()
        return message

    def hear(self):
        return self.b.table.peers["a"].announcement

    def is_live(self):
        return bool(self.b.table.find_live())

    def test_known_node_gets_deltas(self):
        self.assertIsInstance(self.announce_lost(), Announcement)
        self.run_rounds(2)
        self.assertIsInstance(self.announce_lost(), Delta)

    def test_load_is_told_each_round(self):
        self.run_rounds(2)
        for running in (3, 1, 4):
            self.news.server.running = running
            self.run_rounds(1)
            self.assertEqual(running, self.hear().server.running)

    def test_draining_server_is_told_by_the_next_datagram(self):
        self.run_rounds(2)
        self.news.server.ready = False
        self.a.announce(None)
        self.network.deliver()
        self.assertFalse(self.hear().server.ready)

    def test_leaving_is_told_by_the_next_datagram(self):
        self.run_rounds(2)
        self.news.leaving = True
        self.a.announce(None)
        self.network.deliver()
        self.assertTrue(self.hear().leaving)

    def test_change_is_told_in_full_until_it_is_echoed(self):
        self.run_rounds(2)
        self.news.leaving = True
        for _ in range(3):
            self.assertTrue(self.announce_lost().leaving)
        self.run_rounds(1)
        self.assertTrue(self.hear().leaving)
        self.run_rounds(1)
        self.assertIsInstance(self.announce_lost(), Delta)

    def test_new_server_is_told_in_full(self):
        self.run_rounds(2)
        self.news.server = None
        self.run_rounds(1)
        self.assertIsNone(self.hear().server)
        self.news.server = ServerStatus("i-2", "harbour", True, 4, 0, 0, "sound", 0.0)
        self.run_rounds(1)
        self.assertEqual("i-2", self.hear().server.server_id)
        self.run_rounds(1)
        self.assertEqual("i-2", self.hear().server.server_id)

    def test_silent_node_is_noticed_in_time(self):
        self.run_rounds(5)
        self.clock.advance(LIVE_TIMEOUT_S - 0.1)
        self.assertTrue(self.is_live())
        self.clock.advance(0.2)
        self.assertFalse(self.is_live())

    def test_node_stays_live_though_each_second_datagram_is_lost(self):
        self.run_rounds(2)
        for _ in range(5):
            self.assertIsInstance(self.announce_lost(), Delta)
            self.run_rounds(1)
            self.assertTrue(self.is_live())

    def test_node_that_was_forgotten_is_known_again_by_a_delta(self):
        self.run_rounds(2)
        # Only the datagrams of `a` are lost.
        for _ in range(int(MEMBER_TIMEOUT_S) + 1):
            self.announce_lost()
            self.b.announce(None)
            self.network.deliver()
        self.b.table.update_registered({})
        self.b.announce(None)
        self.assertEqual({}, self.b.table.peers)
        self.network.lose()
        self.a.announce(None)
        self.assertIsInstance(self.network.list_messages()[0], Delta)
        self.network.deliver()
        self.run_rounds(1)
        self.assertTrue(self.is_live())

    def test_silent_node_gets_announcements(self):
        self.run_rounds(2)
        self.clock.advance(LIVE_TIMEOUT_S)
        self.assertIsInstance(self.announce_lost(), Announcement)

    def test_freshness_counts_by_the_echo_of_deltas(self):
        self.run_rounds(3)
        self.a.table.mark_fresh(self.clock.now())
        self.b.announce(None)
        self.network.deliver()
        self.clock.advance(0.25)
        self.a.announce(None)
        self.assertIsInstance(self.network.list_messages()[0], Delta)
        self.network.deliver()
        self.assertEqual(0.5, self.b.table.find_fresh_age())

    def test_older_release_gets_announcements(self):
        self.run_rounds(2)
        self.a.table.peers["b"].announcement.takes_deltas = False
        self.assertIsInstance(self.announce_lost(), Announcement)


class BuilderTests(testtools.TestCase):
    def test_echo_of_another_process_counts_for_nothing(self):
        network, clock = Network(), ManualClock(100.0)
        gossip, _ = build_gossip(network, clock, "a", "10.0.0.1", 1)
        builder = AnnouncementBuilder(gossip._settings, clock, 5)
        builder.begin_round()
        builder.describe(OwnNews(), 1, 0.0)
        for echo_boot, kind in ((5, Delta), (4, Announcement)):
            peer = gossip.table.apply_announcement(
                build_news(sequence=10 - echo_boot, echo=1, echo_boot=echo_boot)
            )
            self.assertIsInstance(builder.build(peer), kind)
