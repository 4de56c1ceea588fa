import zlib

import testtools

from ...clocks import ManualClock
from ...errors import PersimmonError
from ...invariants import InvariantError
from ...store.memory import Faults
from ..replica import Report
from ..root import ROOT_KEY, Root, read_root
from ..roster import Roster
from .fleet import Fleet
from .test_publishing import build_document

IN_FORCE_S = 4.0


class SpreadTests(testtools.TestCase):
    def build_fleet(self, size=16, **options):
        fleet = Fleet(size, **options)
        fleet.publish(build_document(1))
        fleet.advance(5)
        self.assert_in_force(fleet, 1)
        return fleet

    def assert_in_force(self, fleet, revision):
        revisions = fleet.revisions()
        self.assertEqual(dict.fromkeys(revisions, revision), revisions)

    def find_relays(self, fleet):
        return [n for n in fleet.nodes.values() if n.replica.is_relay()]

    def test_few_nodes_call_the_store(self):
        for size in (3, 6, 16, 48):
            fleet = self.build_fleet(size)
            self.assertTrue(len(self.find_relays(fleet)) <= 6)

    def test_change_is_in_force_in_time_though_the_relays_die(self):
        for seed in range(20):
            fleet = self.build_fleet(seed=seed)
            for node in self.find_relays(fleet):
                node.alive = False
            fleet.publish(build_document(2))
            fleet.advance(IN_FORCE_S)
            self.assert_in_force(fleet, 2)

    def test_change_is_in_force_in_time_though_the_relays_of_one_side_hang(self):
        for seed in range(20):
            fleet = self.build_fleet(seed=seed)
            for node in self.find_relays(fleet):
                node.paused = node.peer.data_centre == "dc-0"
            fleet.publish(build_document(2))
            fleet.advance(IN_FORCE_S)
            self.assert_in_force(fleet, 2)

    def test_change_is_in_force_in_time_though_all_relays_hang(self):
        for seed in range(20):
            fleet = self.build_fleet(seed=seed, centres=1)
            fleet.membership_s = 60.0
            for node in self.find_relays(fleet):
                node.paused = True
            fleet.publish(build_document(2))
            fleet.advance(IN_FORCE_S)
            self.assert_in_force(fleet, 2)

    def test_change_is_in_force_in_time_over_one_way_cuts(self):
        for seed in range(20):
            fleet = self.build_fleet(seed=seed)
            fleet.cut_links = {
                (a, b) for a in fleet.nodes for b in fleet.nodes if hash_pair(a, b) < 20
            }
            fleet.publish(build_document(2))
            fleet.advance(IN_FORCE_S)
            self.assert_in_force(fleet, 2)

    def test_restart_of_all_one_by_one_while_the_store_is_away(self):
        fleet = self.build_fleet(6)
        fleet.store.set_faults(Faults(away=True))
        for node in fleet.nodes.values():
            node.alive = False
            fleet.advance(4)
            node.start()
            fleet.advance(4)
            self.assert_in_force(fleet, 1)
            self.assertEqual(set(), fleet.isolated())

    def test_restart_of_all_but_one_while_the_store_is_away(self):
        fleet = self.build_fleet(6)
        fleet.store.set_faults(Faults(away=True))
        for node in list(fleet.nodes.values())[1:]:
            node.alive = False
        fleet.advance(10)
        self.assertEqual({"node-0"}, fleet.isolated())
        for node in fleet.nodes.values():
            if not node.alive:
                node.start()
        fleet.advance(4)
        self.assert_in_force(fleet, 1)
        fleet.advance(4)
        self.assertEqual(set(), fleet.isolated())

    def test_fresh_node_takes_the_newest_of_its_peers(self):
        for seed in range(10):
            fleet = self.build_fleet(6, seed=seed)
            fleet.cut_off(["node-5"])
            fleet.publish(build_document(2))
            fleet.advance(4)
            fleet.store.set_faults(Faults(away=True))
            fleet.cut_links -= {("node-5", "node-0")}
            fresh = fleet.nodes["node-0"]
            fresh.start()
            while not fresh.replica.root.revision:
                fleet.advance(0.1)
            self.assertEqual(2, fresh.replica.root.revision)

    def test_fresh_node_waits_for_several_answers(self):
        fleet = self.build_fleet(6)
        fresh = fleet.nodes["node-0"]
        fresh.start()
        fresh.replica.set_peers(fleet.list_peers(fresh))
        now = fleet.clock.now()
        fresh.replica.hear_report(Report("node-1", 1, "d", 0.0), now)
        self.assertIsNone(fresh.replica.choose_source())
        fresh.replica.hear_report(Report("node-2", 2, "e", 0.0), now)
        fresh.replica.hear_report(Report("node-3", 1, "d", 0.0), now)
        self.assertEqual("node-2", fresh.replica.choose_source())

    def test_outage_of_hours(self):
        fleet = self.build_fleet(6)
        fleet.store.set_faults(Faults(away=True))
        fleet.advance(10)
        fleet.skip(6 * 3600)
        fleet.advance(10)
        self.assert_in_force(fleet, 1)
        self.assertEqual(set(), fleet.isolated())
        fleet.store.set_faults(Faults())
        fleet.publish(build_document(2))
        fleet.advance(IN_FORCE_S)
        self.assert_in_force(fleet, 2)


class StaleStoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(6)
        self.fleet.publish(build_document(1))
        self.backup = self.fleet.store.export_entries()
        for number in (2, 3):
            self.fleet.publish(build_document(number))
        self.fleet.advance(5)

    def get_root(self):
        return read_root(self.fleet.store.get(ROOT_KEY))

    def test_stale_reads_lower_nothing_and_confirm_nothing(self):
        self.fleet.store.set_faults(Faults(stale_reads=True))
        self.fleet.store._stale = self.backup
        self.fleet.advance(10)
        self.assertEqual({3}, set(self.fleet.revisions().values()))
        ages = [n.replica.compute_store_age() for n in self.fleet.nodes.values()]
        self.assertTrue(min(ages) > 9, ages)
        self.fleet.store.set_faults(Faults())
        self.assertEqual(3, self.get_root().revision)

    def test_restored_store_is_brought_up_to_what_is_in_force(self):
        for entries in (self.backup, {}):
            self.fleet.store.restore_entries(entries)
            self.fleet.advance(3)
            self.assertEqual(3, self.get_root().revision)
            self.assertEqual({3}, set(self.fleet.revisions().values()))

    def test_document_accepted_by_a_restored_store_comes_into_force(self):
        self.fleet.store.restore_entries(self.backup)
        self.assertEqual(2, self.fleet.publish(build_document(9)))
        self.fleet.advance(4)
        self.assertEqual({4}, set(self.fleet.revisions().values()))
        expected = self.get_root().digest
        for node in self.fleet.nodes.values():
            self.assertEqual(expected, node.replica.root.digest)

    def test_revision_never_falls(self):
        replica = self.fleet.nodes["node-0"].replica
        self.assertFalse(replica.adopt(Root(revision=2)))
        self.assertRaises(InvariantError, replica._put_in_force, Root(revision=3))


class IsolationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(6)
        self.fleet.publish(build_document(1))
        self.fleet.advance(5)

    def test_node_that_hears_nothing(self):
        self.fleet.cut_off(["node-0"])
        self.fleet.advance(4)
        self.assertEqual(set(), self.fleet.isolated())
        self.fleet.advance(3)
        self.assertEqual({"node-0"}, self.fleet.isolated())
        self.fleet.mend()
        self.fleet.advance(3)
        self.assertEqual(set(), self.fleet.isolated())

    def test_node_that_was_paused_is_isolated_before_it_does_anything(self):
        replica = self.fleet.nodes["node-0"].replica
        until = replica.compute_fresh_until(self.fleet.isolation_s)
        self.fleet.skip(until - self.fleet.clock.now())
        self.assertFalse(replica.is_isolated(self.fleet.isolation_s))
        self.fleet.skip(0.1)
        self.assertTrue(replica.is_isolated(self.fleet.isolation_s))

    def test_more_than_half_of_the_fleet_is_needed(self):
        for size in range(1, 9):
            for heard in range(size):
                roster = Roster("self", ManualClock())
                for number in range(size - 1):
                    roster.hear(f"node-{number}", 0.0 if number < heard else None)
                    roster.add(f"node-{number}")
                until = roster.compute_majority_until(5.0)
                expected = heard > 0 and 2 * (heard + 1) > size
                self.assertEqual(expected, until >= 0, (size, heard))

    def test_two_nodes_cut_off_together(self):
        self.fleet.cut_off(["node-0", "node-3"])
        self.fleet.advance(8)
        self.assertEqual({"node-0", "node-3"}, self.fleet.isolated())
        self.fleet.advance(60)
        self.assertEqual({"node-0", "node-3"}, self.fleet.isolated())

    def test_fresh_node_cut_off_with_another_one(self):
        self.fleet.cut_off(["node-0", "node-3"])
        self.fleet.nodes["node-0"].start()
        self.fleet.advance(8)
        self.assertEqual({"node-0", "node-3"}, self.fleet.isolated())

    def test_half_of_the_fleet_without_the_store(self):
        names = ["node-0", "node-1", "node-2"]
        self.fleet.cut_off(names)
        self.fleet.advance(8)
        self.assertEqual(set(names), self.fleet.isolated())

    def test_store_away_for_all_isolates_no_one(self):
        self.fleet.store.set_faults(Faults(away=True))
        self.fleet.advance(60)
        self.assertEqual(set(), self.fleet.isolated())

    def test_nodes_that_left_are_not_missed(self):
        self.fleet.store.set_faults(Faults(away=True))
        nodes = list(self.fleet.nodes.values())
        for node in nodes[2:]:
            node.replica.leaving = True
        self.fleet.advance(3)
        for node in nodes[2:]:
            node.alive = False
        self.fleet.advance(20)
        self.assertEqual(set(), self.fleet.isolated())

    def test_node_that_hears_the_store_through_one_peer(self):
        self.fleet.cut_from_store = self.fleet.nodes.keys() - {"node-1"}
        self.fleet.advance(20)
        self.assertEqual(set(), self.fleet.isolated())

    def test_node_that_knows_of_a_revision_it_cannot_get(self):
        node = self.fleet.nodes["node-0"]
        self.fleet.publish(build_document(2))
        node.fetch = self.fail_to_fetch
        self.fleet.advance(7)
        self.assertEqual({"node-0"}, self.fleet.isolated())

    def test_newer_peer_confirms_nothing_before_its_revision_is_in_force(self):
        replica = self.fleet.nodes["node-0"].replica
        now = self.fleet.clock.now()
        self.fleet.clock.advance(9)
        replica.hear_report(Report("node-1", 2, "d", 0.0), now + 9)
        self.assertTrue(replica.compute_store_age() >= 9)
        ages = {entry.name: entry.age_s for entry in replica.roster.export()}
        self.assertTrue(ages["node-1"] >= 9)

    def test_node_that_knows_of_a_revision_that_no_one_has_any_more(self):
        self.fleet.store.set_faults(Faults(away=True))
        self.fleet.nodes["node-0"].replica.note_report(Report("node-1", 2, "d", 0.0))
        self.fleet.advance(7)
        self.assertEqual({"node-0"}, self.fleet.isolated())

    def test_answer_counts_from_its_request(self):
        replica = self.fleet.nodes["node-0"].replica
        now = self.fleet.clock.now()
        self.fleet.clock.advance(9)
        digest = replica.root.digest
        replica.hear_report(Report("node-1", 1, digest, 0.5), now + 3)
        self.assertAlmostEqual(6.5, replica.compute_store_age())

    def test_dead_nodes_are_forgotten_while_the_store_is_heard(self):
        for name in ("node-2", "node-3", "node-4", "node-5"):
            self.fleet.nodes[name].alive = False
        self.fleet.advance(40)
        self.fleet.store.set_faults(Faults(away=True))
        self.fleet.advance(20)
        self.assertEqual(set(), self.fleet.isolated())

    def fail_to_fetch(self, source):
        raise PersimmonError("cut")


def hash_pair(a, b):
    return zlib.crc32(f"{a}>{b}".encode()) % 100
