import msgspec
import testtools

from ...clocks import ManualClock
from ...quarantine.ledger import CrashLedger
from ...upkeep.generations import GenerationTracker
from ..deltas import build_load
from ..departures import MAX_SERVERS, DepartedServers
from ..gossip import Gossip
from ..messages import DepartureNotice, decoder, encoder
from ..statuses import Announcement, Digest, MemberState, ServerStatus
from .simulation import PORT, Document, Settings
from .test_gossip import FakeTransport, deliver

PEER = ("10.0.1.2", PORT)


def build_server(server_id="i-1", born=5, leaving=False):
    return ServerStatus(
        server_id, "census", not leaving, 4, 0, 0, "sound", 0.0, born=born,
        leaving=leaving,
    )  # fmt: skip


class DepartedServersTests(testtools.TestCase):
    def test_process_that_left_is_remembered(self):
        departed = DepartedServers()
        departed.note(build_server(leaving=True))
        self.assertTrue(departed.has(build_server()))
        self.assertFalse(departed.has(build_server(born=6)))
        self.assertFalse(departed.has(build_server("i-2")))

    def test_server_that_has_not_left_is_not_remembered(self):
        departed = DepartedServers()
        departed.note(build_server())
        departed.note(None)
        departed.note(build_server(born=0, leaving=True))
        self.assertFalse(departed.has(build_server()))
        self.assertFalse(departed.has(build_server(born=0)))

    def test_oldest_are_forgotten(self):
        departed = DepartedServers()
        for born in range(1, MAX_SERVERS + 2):
            departed.note(build_server(born=born, leaving=True))
        self.assertFalse(departed.has(build_server(born=1)))
        self.assertTrue(departed.has(build_server(born=MAX_SERVERS)))


class DepartureNoticeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.departures = []
        self.transport = FakeTransport()
        clock = ManualClock(100.0)
        self.gossip = Gossip(
            None,
            Settings("vm-10.0.1.1", "10.0.1.1", "10.0.1"),
            clock,
            self.transport,
            lambda: None,
            Document(7),
            GenerationTracker(clock),
            CrashLedger(clock),
            self,
        )

    def handle_departure(self, server_id, born):
        self.departures.append((server_id, born))

    def hear(self, boot, server, crash_digest=0, data_centre="10.0.1"):
        announcement = Announcement(
            "vm-10.0.1.2", boot, 1, "10.0.1.2:80", data_centre, False, 7, -1.0, 0, 0,
            server, True, True, crash_digest=crash_digest,
        )  # fmt: skip
        deliver(self.gossip, announcement, PEER)

    def hear_digest(self, boot, sequence, server):
        state = MemberState(boot, 0, sequence, 0, False, build_load(server))
        digest = Digest(boot, sequence, 7, -1, 0, 0, [state], crash_digest=0)
        deliver(self.gossip, digest, PEER)

    def list_notices(self):
        return [
            (address, message)
            for address, message in self.transport.sent
            if isinstance(message, DepartureNotice)
        ]

    def test_restarted_node_is_told(self):
        self.hear(1, build_server(leaving=True))
        self.hear(2, build_server())
        self.assertEqual([(PEER, DepartureNotice("i-1", 5))], self.list_notices())

    def test_node_of_another_data_centre_is_told_again_with_each_digest(self):
        # The only reminder was lost, or came before the node knew its sender.
        self.hear(1, build_server(leaving=True), data_centre="10.0.9")
        self.hear(2, build_server(), data_centre="10.0.9")
        self.transport.sent.clear()
        for sequence in (2, 3):
            self.hear_digest(2, sequence, build_server())
        self.assertEqual(2 * [(PEER, DepartureNotice("i-1", 5))], self.list_notices())

    def test_node_with_another_process_is_not_told(self):
        self.hear(1, build_server(leaving=True))
        self.hear(2, build_server(born=9))
        self.assertEqual([], self.list_notices())

    def test_older_release_is_not_told(self):
        self.hear(1, build_server(leaving=True))
        self.hear(2, build_server(), crash_digest=None)
        self.assertEqual([], self.list_notices())

    def test_notice_is_taken_from_known_nodes_only(self):
        deliver(self.gossip, DepartureNotice("i-9", 5), PEER)
        self.assertEqual([], self.departures)
        self.hear(1, build_server())
        deliver(self.gossip, DepartureNotice("i-9", 5), PEER)
        self.assertEqual([("i-9", 5)], self.departures)

    def test_malformed_notice_is_invalid(self):
        for fields in (("i-1", 0), ("i-1", -1), (5, 5), ("i-1", "x"), ("i-1", None)):
            raw = encoder.encode(["f", *fields])
            self.assertRaises(msgspec.ValidationError, decoder.decode, raw)
