import random

import msgspec
import testtools

from ...platform.documents import DOCUMENT_KEY
from ..entries import NODE_PREFIX
from .simulation import APPLY_S, STEP_S, StoreResponse, SyncedFleet

SETTLE_S = 9.0
# Time after the store's return within which entries must be back in it.
RETURN_S = 2.0
# Within this time the operator has written again what the store has lost.
WRITE_AGAIN_S = 1.5
REVOCATION_S = 5.0
SEEDS = range(12)


class RestoredStoreTests(testtools.TestCase):
    """A store that comes back from a copy, and gives out the same numbers again."""

    def start(self, sizes=(3, 3, 3), seed=1):
        self.fleet = SyncedFleet(sizes, seed)
        self.store = self.fleet.store
        self.run_for(SETTLE_S)

    def run_for(self, seconds):
        """Let time pass; check at each step that no node is wrong."""
        for _ in range(round(seconds / STEP_S)):
            self.fleet.run(STEP_S)
            self.check()

    def check(self):
        for host, node in self.fleet.synced.items():
            if node.confirmed_at is not None:
                newest = self.store.find_newest(node.confirmed_at)
                self.assertGreaterEqual(node.documents.version, newest, host)
            self.assertEqual(sorted(node.history), node.history, host)

    def take_copy(self):
        self.copy = self.store.state.take_copy()
        self.copied_at = self.fleet.clock.now()

    def restore(self):
        self.store.state.restore(self.copy)
        self.returned_at = self.fleet.clock.now()

    def check_in_force(self, version, hosts=None):
        for host in hosts or self.fleet.synced:
            self.assertEqual(version, self.fleet.synced[host].documents.version, host)

    def check_registered(self):
        """Check that each node's entry is there, under a lease of its own."""
        self.assertEqual(set(self.fleet.synced), self.fleet.list_registered())
        keys = [f"{NODE_PREFIX}vm-{host}" for host in self.fleet.synced]
        leases = {self.store.state.find_lease(key) for key in keys}
        self.assertEqual(len(keys), len(leases))

    def test_outdated_document_is_not_confirmed_by_a_revision_that_came_again(self):
        self.start()
        self.take_copy()
        self.store.change()
        self.store.state.put(f"{NODE_PREFIX}vm-other", b"{}")
        self.run_for(3.0)
        self.restore()
        self.store.write_again(self.copied_at)
        self.store.change()
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def test_change_below_the_revision_of_a_watch_is_not_missed(self):
        self.start()
        self.take_copy()
        for number in range(6):
            self.store.state.put(f"{NODE_PREFIX}vm-other-{number}", b"{}")
        self.run_for(3.0)
        self.restore()
        self.store.change()
        for number in range(8):
            self.store.state.put(f"{NODE_PREFIX}vm-again-{number}", b"{}")
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def test_older_document_of_a_restored_store_confirms_nothing(self):
        self.start()
        self.take_copy()
        self.store.change()
        self.run_for(1.0)
        self.restore()
        self.run_for(WRITE_AGAIN_S)
        for host, node in self.fleet.synced.items():
            self.assertLessEqual(node.confirmed_at, self.returned_at, host)
        self.store.write_again(self.copied_at)
        self.run_for(APPLY_S + WRITE_AGAIN_S)
        for host, node in self.fleet.synced.items():
            self.assertGreater(node.confirmed_at, self.returned_at, host)

    def test_nodes_confirm_again_though_nothing_was_lost(self):
        self.start()
        self.take_copy()
        self.restore()
        self.run_for(RETURN_S + 1.0)
        for host, node in self.fleet.synced.items():
            self.assertGreater(node.confirmed_at, self.returned_at, host)

    def test_confirmed_change_that_the_nodes_have_missed_is_not_passed_over(self):
        self.start()
        self.take_copy()
        self.store.is_away = True
        # Confirmed in the moment at which the store went away.
        self.store.change()
        self.run_for(1.0)
        self.store.is_away = False
        self.restore()
        self.run_for(WRITE_AGAIN_S)
        self.store.write_again(self.copied_at)
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def test_node_started_before_the_second_writing_serves_no_older_document(self):
        self.start()
        self.take_copy()
        self.store.change()
        self.run_for(1.0)
        self.restore()
        started = "10.0.2.1"
        self.fleet.restart(started)
        self.run_for(WRITE_AGAIN_S)
        self.check_in_force(self.store.version)
        self.store.write_again(self.copied_at)
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def test_started_data_centre_confirms_no_older_document(self):
        self.start()
        self.take_copy()
        self.store.change()
        self.run_for(1.0)
        self.restore()
        for host in list(self.fleet.synced):
            if host.startswith("10.0.2."):
                self.fleet.restart(host)
        self.run_for(WRITE_AGAIN_S)
        self.store.write_again(self.copied_at)
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def test_started_fleet_confirms_no_older_document(self):
        self.start()
        self.take_copy()
        self.store.change()
        self.run_for(1.0)
        self.restore()
        for host in list(self.fleet.synced):
            self.fleet.restart(host)
        self.run_for(WRITE_AGAIN_S)
        self.store.write_again(self.copied_at)
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def test_other_document_of_the_same_number_is_taken_after_a_restore(self):
        self.start()
        self.take_copy()
        # The operator got no answer, and writes something else after the restore.
        self.store.state.put(DOCUMENT_KEY, b"2:never confirmed")
        self.run_for(1.0)
        self.check_in_force(2)
        cut_off = "10.0.1.2"
        self.store.cut.add(cut_off)
        self.restore()
        self.run_for(0.5)
        self.store.change("confirmed")
        self.run_for(APPLY_S + RETURN_S)
        for host, node in self.fleet.synced.items():
            self.assertEqual(b"2:confirmed", node.documents.rulebook.raw, host)

    def test_entries_are_back_though_their_lease_numbers_are_taken(self):
        self.start()
        lost = ["10.0.1.2", "10.0.2.1", "10.0.3.3"]
        for host in lost:
            self.fleet.kill(host)
        self.store.state.expire_leases()
        self.run_for(1.0)
        self.take_copy()
        for host in lost:
            self.fleet.restart(host)
        self.run_for(1.0)
        self.store.is_away = True
        self.run_for(2.0)
        self.restore()
        self.store.is_away = False
        self.run_for(RETURN_S)
        self.check_registered()

    def test_entries_are_back_after_a_moment_that_no_node_has_noticed(self):
        self.start()
        self.store.state.expire_leases()
        self.take_copy()
        self.run_for(12.0)
        self.check_registered()
        self.restore()
        self.run_for(RETURN_S)
        self.check_registered()

    def test_entry_under_the_lease_of_another_node_is_written_again(self):
        self.start()
        keys = [f"{NODE_PREFIX}vm-10.0.1.1", f"{NODE_PREFIX}vm-10.0.1.2"]
        lease = self.store.state.find_lease(keys[1])
        entry = {"Key": keys[0], "Value": "e30=", "Lease": lease}
        # Executed late, when the lease number had been given out again.
        body = {"Expected": [], "SetKeys": [entry], "Remove": []}
        self.store.state.apply_transaction(body)
        self.run_for(30.0)
        self.check_registered()

    def test_node_that_left_before_the_restore_is_no_member(self):
        self.start()
        left = "10.0.3.3"
        key = f"{NODE_PREFIX}vm-{left}"
        self.take_copy()
        self.fleet.kill(left)
        self.store.state.revoke_lease(self.store.state.find_lease(key))
        self.run_for(40.0)
        count = len(self.fleet.synced)
        self.assertEqual({count}, self.count_members())
        self.restore()
        self.run_for(2 * RETURN_S)
        self.assertEqual({count}, self.count_members())
        self.fleet.restart("10.0.1.1")
        self.run_for(25.0)
        self.assertEqual({count}, self.count_members())

    def count_members(self):
        return {node.table.count_members() for node in self.fleet.synced.values()}

    def test_late_answer_of_the_earlier_era_confirms_nothing(self):
        self.start((1,))
        self.take_copy()
        self.store.change()
        self.run_for(2.0)
        late = self.build_late_answer()
        self.restore()
        self.store.write_again(self.copied_at)
        self.run_for(2 * RETURN_S)
        # Only its probes tell the node of changes now.
        (host, node) = next(iter(self.fleet.synced.items()))
        node.stop_watching()
        self.store.change()
        self.store.late_answers[host] = late
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)

    def build_late_answer(self):
        state = self.store.state
        target = f"/persimmonlane/kv-key?Key={DOCUMENT_KEY}"
        status, body = state.handle("GET", target, b"")
        return StoreResponse(status, msgspec.json.encode(body), state.build_headers())

    def check_random_day(self, seed):
        rng = random.Random(f"restored {seed}")
        self.start((3, 3, 2), seed)
        hosts = list(self.fleet.synced)
        self.take_copy()
        for _ in range(rng.randrange(1, 4)):
            self.run_for(rng.choice((0.1, 1.0, 3.0)))
            self.store.change()
            if rng.random() < 0.5:
                self.fleet.restart(rng.choice(hosts))
        cut = set(rng.sample(hosts, rng.randrange(3)))
        self.fleet.paused.update(rng.sample(hosts, rng.randrange(3)))
        self.store.is_away = True
        self.store.cut.update(cut)
        self.run_for(rng.choice((0.1, 0.5, 2.0)))
        self.store.is_away = False
        self.restore()
        for host in rng.sample(hosts, rng.randrange(3)):
            if host not in self.fleet.paused:
                self.fleet.restart(host)
        self.run_for(rng.uniform(0.0, WRITE_AGAIN_S))
        self.store.write_again(self.copied_at)
        if rng.random() < 0.5:
            self.store.change()
        self.fleet.paused.clear()
        self.run_for(RETURN_S)
        self.store.cut.clear()
        self.run_for(RETURN_S)
        self.store.change()
        self.run_for(APPLY_S)
        self.check_in_force(self.store.version)
        self.check_registered()

    def test_no_change_is_lost_or_taken_back_on_any_of_many_days(self):
        for seed in SEEDS:
            self.check_random_day(seed)


class RestoredStoreLoadTests(testtools.TestCase):
    """Calls of a fleet to a store that came back, beside the rates of the store."""

    def check(self, sizes, writes_per_s, reads_per_s):
        fleet = SyncedFleet(sizes, 1)
        fleet.run(SETTLE_S)
        state = fleet.store.state
        copy = state.take_copy()
        fleet.run(1.0)
        state.restore(copy)
        for _ in range(round(RETURN_S / STEP_S)):
            state.calls.clear()
            fleet.run(STEP_S)
            calls = [call for call in state.calls if "kv-watch" not in call]
            writes = [call for call in calls if "kv-txn" in call or "kv-lease" in call]
            registered = [call for call in calls if "kv-txn" in call]
            self.assertLessEqual(len(writes), writes_per_s * STEP_S)
            self.assertLessEqual(len(calls) - len(writes), reads_per_s * STEP_S)
            self.assertLess(len(registered), sum(sizes) / 2)
        self.assertEqual(set(fleet.synced), fleet.list_registered())

    def test_thirty_nodes_do_not_call_a_restored_store_at_once(self):
        self.check((10, 10, 10), 400, 2000)

    def test_hundreds_of_nodes_do_not_call_a_restored_store_at_once(self):
        self.check((46, 46, 46, 46, 46), 3200, 16000)
