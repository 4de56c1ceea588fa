import msgspec
import pykka
import testtools

from ...clocks import ManualClock
from ...owner.departures import Departure
from ...quarantine.ledger import CrashLedger
from ...upkeep.generations import GenerationTracker
from ..commands import DepartureCheck
from ..deltas import build_load
from ..departures import MAX_SERVERS, DepartedServers
from ..gossip import Gossip
from ..messages import (
    DepartedProcess,
    DepartureNotice,
    DepartureReport,
    decoder,
    encoder,
)
from ..statuses import Announcement, Digest, MemberState, ServerStatus
from .simulation import PORT, Document, Fleet, Settings
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


class DepartureSpreadTests(testtools.TestCase):
    """Nodes remember a departure that the store could not be told of."""

    def start(self, sizes=(3, 3, 3), legacy=()):
        self.fleet = Fleet(sizes, legacy=legacy)
        self.fleet.run(8.0)
        self.owner = self.fleet.nodes["10.0.1.1"]

    def report(self):
        """Report a departure; return whether enough nodes keep it."""
        reply = pykka.ThreadingFuture()
        departure = Departure("i-1", 5, 500)
        self.owner.gossip.report_departures(DepartureCheck([departure], reply))
        for _ in range(2):
            self.fleet.network.deliver()
        try:
            return reply.get(timeout=0)
        except pykka.Timeout:
            return False

    def list_keepers(self):
        return [
            node
            for node in self.fleet.nodes.values()
            if node.table.departed.has(build_server())
        ]

    def test_departure_outlives_any_two_nodes_and_the_data_centre(self):
        self.start()
        self.assertTrue(self.report())
        keepers = self.list_keepers()
        self.assertGreater(len(keepers), 2)
        self.assertGreater(len({node.data_centre for node in keepers}), 1)

    def test_departure_that_only_one_data_centre_keeps_is_not_kept(self):
        self.start()
        self.fleet.network.cuts.update({("10.0.1", "10.0.2"), ("10.0.1", "10.0.3")})
        self.assertFalse(self.report())

    def test_departure_whose_receipts_are_lost_is_not_kept(self):
        self.start()
        self.fleet.network.loss = 1.0
        self.assertFalse(self.report())

    def test_one_other_node_is_enough_where_there_is_no_more(self):
        self.start((2,))
        self.assertTrue(self.report())

    def test_node_alone_keeps_nothing(self):
        self.start((1,))
        self.assertFalse(self.report())

    def test_older_release_is_not_asked(self):
        self.start((2,), legacy=("10.0.1.2",))
        self.assertFalse(self.report())
        self.assertEqual([], self.list_keepers())

    def test_report_of_an_unknown_host_is_not_taken(self):
        self.start((1,))
        report = DepartureReport(1, [DepartedProcess("i-1", 5)])
        deliver(self.owner.gossip, report, ("10.9.9.9", PORT))
        self.assertEqual([], self.list_keepers())

    def test_malformed_report_is_invalid(self):
        for fields in (
            (1, [["i-1", 0]]),
            (1, [["i-1", "x"]]),
            (1, [["i-1"]]),
            (1, 5),
            (1, 17 * [["i-1", 5]]),
        ):
            raw = encoder.encode(["y", *fields])
            self.assertRaises(msgspec.ValidationError, decoder.decode, raw)
