import msgspec
import testtools
from testtools.matchers import LessThan

from ...clocks import ManualClock
from ...routing.stamps import DocumentStamp
from ..announcing import AnnouncementBuilder
from ..deltas import apply_delta, build_delta
from ..messages import decoder, encoder
from ..peer import LIVE_TIMEOUT_S, MEMBER_TIMEOUT_S
from ..statuses import Announcement, Delta, ServerLoad, ServerStatus
from .test_restarts import Network, NodeState, build_gossip

ROUND_INTERVAL_S = 1.0
MAX_DELTA_BYTES = 56
BORN = 1_785_000_000_000


class LegacyAnnouncement(msgspec.Struct, array_like=True, tag="a"):
    """An announcement as defined in releases without deltas."""

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


class LegacyLoad(msgspec.Struct, array_like=True):
    """The load of a server as defined in releases without limits."""

    ready: bool
    slots: int
    running: int
    waiting: int
    standing: int
    cold_ms: int
    suspect: bool
    error_risk: int = 0
    hang_risk: int = 0


def build_announcement(**changes):
    server = ServerStatus("i-1", "census", True, 4, 2, 1, "trial", 0.25, True)
    server.born = BORN
    server.probing = True
    server.quiet = True
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
        "accepts_deltas": True,
    }
    fields.update(changes)
    return Announcement(**fields)


class DeltaTests(testtools.TestCase):
    def convert(self, announcement, **known):
        delta = decoder.decode(encoder.encode(build_delta(announcement)))
        return apply_delta(delta, build_announcement(**known))

    def test_delta_carries_all_changing_fields(self):
        announcement = build_announcement()
        earlier = ServerStatus("i-1", "census", False, 1, 0, 0, "sound", 0.0, False)
        earlier.born = BORN
        known = {"sequence": 3, "version": 1, "echo": 1, "server": earlier}
        self.assertEqual(announcement, self.convert(announcement, **known))

    def test_delta_of_a_node_without_a_server_has_none(self):
        announcement = build_announcement(server=None)
        self.assertEqual(announcement, self.convert(announcement, server=None))

    def test_delta_that_does_not_match_the_server_raises(self):
        self.assertRaises(ValueError, self.convert, build_announcement(), server=None)
        self.assertRaises(ValueError, self.convert, build_announcement(server=None))

    def test_rounding_never_understates_the_fresh_age(self):
        received_age_s = self.convert(
            build_announcement(fresh_age_s=0.50001)
        ).fresh_age_s
        self.assertEqual(0.501, received_age_s)
        unknown_age_s = self.convert(build_announcement(fresh_age_s=-1.0)).fresh_age_s
        self.assertThat(unknown_age_s, LessThan(0.0))

    def test_delta_is_short(self):
        raw = encoder.encode(
            build_delta(build_announcement(sequence=90_000, echo=90_000))
        )
        self.assertThat(len(raw), LessThan(MAX_DELTA_BYTES))

    def test_unknown_standing_is_invalid(self):
        delta = build_delta(build_announcement())
        delta.load.standing = 3
        raw = encoder.encode(delta)
        self.assertRaises(msgspec.ValidationError, decoder.decode, raw)


class MixedReleaseTests(testtools.TestCase):
    def test_older_release_decodes_the_announcement(self):
        raw = encoder.encode(build_announcement())
        old = msgspec.msgpack.decode(raw, type=LegacyAnnouncement)
        self.assertEqual(("b", 9), (old.node, old.sequence))
        self.assertEqual(build_announcement().server, old.server)

    def test_announcement_of_an_older_release_is_decoded(self):
        fields = {
            name: getattr(build_announcement(), name)
            for name in LegacyAnnouncement.__struct_fields__
        }
        announcement = decoder.decode(encoder.encode(LegacyAnnouncement(**fields)))
        self.assertEqual(build_announcement(accepts_deltas=False), announcement)

    def test_older_release_decodes_a_load_with_a_limit(self):
        announcement = build_announcement()
        announcement.server.limit = 1.5
        raw = encoder.encode(build_delta(announcement).load)
        self.assertEqual(2, msgspec.msgpack.decode(raw, type=LegacyLoad).running)
        self.assertEqual(1.5, msgspec.msgpack.decode(raw, type=ServerLoad).limit)

    def test_load_of_an_older_release_has_no_limit(self):
        raw = encoder.encode(LegacyLoad(True, 4, 2, 1, 0, 0, False))
        self.assertIsNone(msgspec.msgpack.decode(raw, type=ServerLoad).limit)

    def test_limit_that_is_no_number_of_requests_is_invalid(self):
        for limit in (-1.0, float("nan"), float("inf")):
            delta = build_delta(build_announcement())
            delta.load.limit = limit
            raw = encoder.encode(delta)
            self.assertRaises(msgspec.ValidationError, decoder.decode, raw)


class Document:
    version = 7


class RoundTests(testtools.TestCase):
    """Two nodes that announce themselves to each other in rounds."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.network = Network()
        self.a, _ = self.build("a", "10.0.0.1")
        self.b, _ = self.build("b", "10.0.0.2")
        self.state = NodeState()
        self.a._describe = lambda: self.state
        self.a.table.add_registered("b", "10.0.0.2:80")

    def build(self, name, host):
        return build_gossip(self.network, self.clock, name, host, Document.version)

    def run_rounds(self, count):
        for _ in range(count):
            self.clock.advance(ROUND_INTERVAL_S)
            self.a.announce(None)
            self.b.announce(None)
            self.network.deliver()

    def announce_without_delivery(self):
        """Return the message that `a` sends in a round, without delivering it."""
        self.clock.advance(ROUND_INTERVAL_S)
        self.a.announce(None)
        (message,) = self.network.list_messages()
        self.network.drop_queued()
        return message

    def get_received(self):
        return self.b.table.peers["a"].announcement

    def is_live(self):
        return bool(self.b.table.list_live())

    def test_peer_that_echoed_an_announcement_gets_deltas(self):
        self.assertIsInstance(self.announce_without_delivery(), Announcement)
        self.run_rounds(2)
        self.assertIsInstance(self.announce_without_delivery(), Delta)

    def test_load_is_sent_each_round(self):
        self.run_rounds(2)
        for running in (3, 1, 4):
            self.state.server.running = running
            self.run_rounds(1)
            self.assertEqual(running, self.get_received().server.running)

    def test_next_datagram_shows_a_draining_server(self):
        self.run_rounds(2)
        self.state.server.ready = False
        self.a.announce(None)
        self.network.deliver()
        self.assertFalse(self.get_received().server.ready)

    def test_next_datagram_shows_a_leaving_node(self):
        self.run_rounds(2)
        self.state.leaving = True
        self.a.announce(None)
        self.network.deliver()
        self.assertTrue(self.get_received().leaving)

    def test_static_change_is_sent_in_full_until_it_is_echoed(self):
        self.run_rounds(2)
        self.state.leaving = True
        for _ in range(3):
            self.assertTrue(self.announce_without_delivery().leaving)
        self.run_rounds(1)
        self.assertTrue(self.get_received().leaving)
        self.run_rounds(1)
        self.assertIsInstance(self.announce_without_delivery(), Delta)

    def test_new_server_is_sent_in_full(self):
        self.run_rounds(2)
        self.state.server = None
        self.run_rounds(1)
        self.assertIsNone(self.get_received().server)
        self.state.server = ServerStatus("i-2", "harbour", True, 4, 0, 0, "sound", 0.0)
        self.run_rounds(1)
        self.assertEqual("i-2", self.get_received().server.server_id)
        self.run_rounds(1)
        self.assertEqual("i-2", self.get_received().server.server_id)

    def test_silent_node_expires_after_the_timeout(self):
        self.run_rounds(5)
        self.clock.advance(LIVE_TIMEOUT_S - 0.1)
        self.assertTrue(self.is_live())
        self.clock.advance(0.2)
        self.assertFalse(self.is_live())

    def test_node_stays_live_if_every_second_datagram_is_lost(self):
        self.run_rounds(2)
        for _ in range(5):
            self.assertIsInstance(self.announce_without_delivery(), Delta)
            self.run_rounds(1)
            self.assertTrue(self.is_live())

    def test_removed_node_is_added_again_after_its_delta(self):
        self.run_rounds(2)
        # Only the datagrams of `a` are lost.
        for _ in range(int(MEMBER_TIMEOUT_S) + 1):
            self.announce_without_delivery()
            self.b.announce(None)
            self.network.deliver()
        self.b.table.update_registered([])
        self.b.announce(None)
        self.assertEqual({}, self.b.table.peers)
        self.network.drop_queued()
        self.a.announce(None)
        self.assertIsInstance(self.network.list_messages()[0], Delta)
        self.network.deliver()
        self.run_rounds(1)
        self.assertTrue(self.is_live())

    def test_silent_node_gets_full_announcements(self):
        self.run_rounds(2)
        self.clock.advance(LIVE_TIMEOUT_S)
        self.assertIsInstance(self.announce_without_delivery(), Announcement)

    def test_fresh_age_is_computed_from_the_echo_in_deltas(self):
        self.run_rounds(3)
        self.a.table.freshness.mark(self.clock.now())
        self.b.announce(None)
        self.network.deliver()
        self.clock.advance(0.25)
        self.a.announce(None)
        self.assertIsInstance(self.network.list_messages()[0], Delta)
        self.network.deliver()
        self.assertEqual(0.5, self.b.table.freshness.compute_age())

    def test_older_release_gets_full_announcements(self):
        self.run_rounds(2)
        self.a.table.peers["b"].announcement.accepts_deltas = False
        self.assertIsInstance(self.announce_without_delivery(), Announcement)


class BuilderTests(testtools.TestCase):
    def test_echo_of_another_process_is_ignored(self):
        network, clock = Network(), ManualClock(100.0)
        gossip, _ = build_gossip(network, clock, "a", "10.0.0.1", 1)
        builder = AnnouncementBuilder(gossip._settings, clock, 5)
        builder.begin_round()
        builder.update(NodeState(), DocumentStamp(1), 0.0)
        for echo_boot, kind in ((5, Delta), (4, Announcement)):
            peer = gossip.table.apply_announcement(
                build_announcement(sequence=10 - echo_boot, echo=1, echo_boot=echo_boot)
            )
            self.assertIsInstance(builder.build(peer), kind)
