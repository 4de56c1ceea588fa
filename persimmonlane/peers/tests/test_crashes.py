import random

import msgspec
import testtools

from ...quarantine.ledger import LedgerEntry, Standing
from ..commands import CrashesLearned
from ..messages import MAX_CRASH_ENTRIES, CrashEntry, CrashReport, decoder, encoder
from .simulation import PORT, Fleet
from .test_gossip import deliver

SIZES = (6, 5, 4)
SETTLE_S = 4.0
# Time after the third crash within which all nodes must know, by the operators' bound.
CONTACT_S = 3.0
REQUEST = 7
LOSS = 0.05
SEEDS = range(20)


class SpreadTestCase(testtools.TestCase):
    sizes = SIZES

    def start(self, seed=1, **fields):
        self.fleet = Fleet(self.sizes, seed, **fields)
        self.fleet.run(SETTLE_S)

    def crash(self, host, process, fingerprint=REQUEST):
        """Let the owner at a host find out that its backend server has crashed."""
        node = self.fleet.nodes[host]
        entry = LedgerEntry(fingerprint, process, self.fleet.clock.now())
        node.ledger.apply(entry)
        node.gossip.publish_crashes(CrashesLearned([entry]))

    def crash_in_each_data_centre(self):
        for number, host in enumerate(("10.0.1.1", "10.0.2.1", "10.0.3.1"), start=1):
            self.crash(host, number)

    def find_standings(self, fingerprint=REQUEST):
        return {
            host: node.ledger.get_standing(fingerprint)
            for host, node in self.fleet.nodes.items()
        }

    def list_unaware(self, standing=Standing.QUARANTINED):
        return sorted(
            host for host, found in self.find_standings().items() if found != standing
        )


class SpreadTests(SpreadTestCase):
    def test_crashes_in_three_data_centres_are_one_count(self):
        self.start()
        self.crash_in_each_data_centre()
        self.fleet.run(0.2)
        self.assertEqual([], self.list_unaware())

    def test_all_nodes_know_in_time_though_datagrams_are_lost(self):
        late = {}
        for seed in SEEDS:
            self.start(seed)
            self.fleet.network.loss = LOSS
            self.crash_in_each_data_centre()
            self.fleet.run(CONTACT_S)
            if self.list_unaware():
                late[seed] = self.list_unaware()
        self.assertEqual({}, late)

    def test_owner_that_ends_with_its_server_has_told_the_others(self):
        self.start()
        for number in (1, 2, 3):
            host = f"10.0.3.{number}"
            self.crash(host, number)
            self.fleet.network.deliver()
            self.fleet.kill(host)
        self.fleet.run(CONTACT_S)
        self.assertEqual([], self.list_unaware())

    def test_node_that_starts_afterwards_is_told(self):
        self.start()
        self.crash_in_each_data_centre()
        self.fleet.run(1.0)
        started = "10.0.2.3"
        self.fleet.kill(started)
        self.fleet.start(started)
        self.fleet.register()
        self.fleet.run(CONTACT_S)
        self.assertEqual([], self.list_unaware())

    def test_node_that_was_cut_off_is_told_when_it_is_back(self):
        self.start()
        cut_off = "10.0.3.2"
        others = [host for host in self.fleet.nodes if host != cut_off]
        self.fleet.network.cuts = {
            pair for host in others for pair in ((cut_off, host), (host, cut_off))
        }
        self.crash_in_each_data_centre()
        self.fleet.run(CONTACT_S)
        self.assertEqual([cut_off], self.list_unaware())
        self.fleet.network.cuts = set()
        self.fleet.run(CONTACT_S)
        self.assertEqual([], self.list_unaware())

    def test_data_centre_whose_relays_are_frozen_is_told(self):
        self.start()
        node = self.fleet.nodes["10.0.3.1"]
        relays = [name.removeprefix("vm-") for name in node.table.rank_relays("10.0.3")]
        self.fleet.network.paused.update(relays)
        origin = next(
            host
            for host in self.fleet.list_data_centre(1)
            if host not in self.fleet.network.paused
        )
        for process in (1, 2, 3):
            self.crash(origin, process)
        # The loss of both relays is bridged as for any other news.
        self.fleet.run(3 * CONTACT_S)
        self.assertEqual(sorted(relays), self.list_unaware())

    def test_clearance_reaches_all_nodes(self):
        self.start()
        self.crash_in_each_data_centre()
        self.fleet.run(1.0)
        node = self.fleet.nodes["10.0.1.4"]
        clearance = node.ledger.note_served(REQUEST)
        node.gossip.publish_crashes(CrashesLearned([clearance]))
        self.fleet.run(CONTACT_S)
        self.assertEqual([], self.list_unaware(Standing.CLEAR))

    def test_node_that_has_served_the_request_objects(self):
        self.start()
        self.fleet.nodes["10.0.2.4"].ledger.note_served(REQUEST)
        self.crash_in_each_data_centre()
        self.fleet.run(CONTACT_S)
        self.assertEqual([], self.list_unaware(Standing.CLEAR))

    def test_nothing_is_asked_once_all_know_the_same(self):
        self.start()
        self.crash_in_each_data_centre()
        self.fleet.run(CONTACT_S)
        self.fleet.network.seen.clear()
        self.fleet.run(10.0)
        kinds = {type(message).__name__ for _, message in self.fleet.network.seen}
        self.assertNotIn("CrashQuery", kinds)
        self.assertNotIn("CrashReport", kinds)

    def test_older_releases_are_not_told_and_go_on(self):
        self.start(legacy=("10.0.1.2",))
        self.crash_in_each_data_centre()
        self.fleet.run(CONTACT_S)
        told = {
            receiver
            for receiver, message in self.fleet.network.seen
            if isinstance(message, CrashReport)
        }
        self.assertNotIn("10.0.1.2", told)
        self.assertEqual(["10.0.1.2"], self.list_unaware())


class BoundTests(SpreadTestCase):
    sizes = (4, 4)

    def test_caller_with_a_thousand_deadly_requests_fills_no_link(self):
        self.start()
        hosts = sorted(self.fleet.nodes)
        before = len(self.fleet.network.seen)
        for number in range(1, 1001):
            self.crash(hosts[number % len(hosts)], number, number)
            if number % 10 == 0:
                self.fleet.run(0.1)
        self.fleet.run(CONTACT_S)
        seen = self.fleet.network.seen[before:]
        sizes = [
            len(encoder.encode(message))
            for _, message in seen
            if type(message).__name__ in ("CrashReport", "CrashQuery")
        ]
        # 30 KB/s a node, by the plan.
        self.assertLess(sum(sizes), 30_000 * len(hosts) * (10.0 + CONTACT_S))
        self.assertLess(max(sizes), 4096)


class ForgedReportTests(SpreadTestCase):
    sizes = (3,)

    def setUp(self):
        super().setUp()
        self.start()
        self.node = self.fleet.nodes["10.0.1.1"]

    def test_report_of_an_unknown_host_convicts_nobody(self):
        entries = [CrashEntry(REQUEST, process, 0) for process in (1, 2, 3)]
        deliver(self.node.gossip, CrashReport(entries), ("10.9.9.9", PORT))
        self.assertEqual(Standing.CLEAR, self.node.ledger.get_standing(REQUEST))
        self.assertEqual(0, self.node.ledger.digest)

    def test_report_of_one_crash_convicts_nobody_however_often_it_is_sent(self):
        report = CrashReport([CrashEntry(REQUEST, 1, age) for age in (0, 5, 9)])
        for _ in range(5):
            deliver(self.node.gossip, report, ("10.0.1.2", PORT))
        self.assertEqual(Standing.IMPLICATED, self.node.ledger.get_standing(REQUEST))

    def test_malformed_reports_are_invalid(self):
        valid = msgspec.msgpack.decode(encoder.encode(build_report()))
        for path in ((1,), (1, 0), (1, 0, 0), (1, 0, 1), (1, 0, 2), (2,)):
            for bad in (None, -1, "x", 1 << 63, 1.5):
                forged = replace(valid, path, bad)
                self.assertRaises(
                    (msgspec.MsgspecError, ValueError),
                    decoder.decode,
                    msgspec.msgpack.encode(forged),
                )

    def test_report_that_is_too_long_is_invalid(self):
        report = CrashReport([CrashEntry(REQUEST, 1, 0)] * (MAX_CRASH_ENTRIES + 1))
        raw = encoder.encode(report)
        self.assertRaises(msgspec.ValidationError, decoder.decode, raw)

    def test_request_without_a_fingerprint_is_never_implicated(self):
        report = CrashReport([CrashEntry(0, process, 0) for process in (1, 2, 3)])
        deliver(self.node.gossip, report, ("10.0.1.2", PORT))
        self.assertEqual(Standing.CLEAR, self.node.ledger.get_standing(0))

    def test_random_bytes_change_nothing(self):
        rng = random.Random(1)
        raw = encoder.encode(build_report())
        for _ in range(2000):
            data = bytearray(raw)
            data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                message = decoder.decode(bytes(data))
            except (msgspec.MsgspecError, ValueError):
                continue
            deliver(self.node.gossip, message, ("10.9.9.9", PORT))
        self.assertEqual(0, self.node.ledger.digest)


def build_report():
    return CrashReport([CrashEntry(REQUEST, 1, 3)], True)


def replace(value, path, new):
    """Return a nested list in which one element is another."""
    if not path:
        return new
    changed = list(value)
    changed[path[0]] = replace(value[path[0]], path[1:], new)
    return changed
