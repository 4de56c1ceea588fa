import testtools

from ...clocks import ManualClock
from ...errors import StoreError
from ..client import StoreConflict, StoreUncertain
from ..memory import Faults, MemoryStore


class MemoryStoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)

    def assert_code(self, code, call, *args):
        error = self.assertRaises(StoreError, call, *args)
        self.assertEqual(code, error.code)

    def test_swap_takes_only_the_version_that_is_there(self):
        entry = self.store.compare_and_swap("k", b"a", 0)
        conflict = self.assertRaises(
            StoreConflict, self.store.compare_and_swap, "k", b"b", 0
        )
        self.assertEqual(b"a", conflict.entry.value)
        self.store.compare_and_swap("k", b"b", entry.version)
        self.assertEqual(b"b", self.store.get("k").value)

    def test_key_that_was_deleted_comes_back_at_a_higher_version(self):
        first = self.store.compare_and_swap("k", b"a", 0)
        self.store.compare_and_swap("k", None, first.version)
        self.assertEqual(0, self.store.get("k").version)
        again = self.store.compare_and_swap("k", b"a", 0)
        self.assertGreater(again.version, first.version)

    def test_value_over_the_limit_is_refused(self):
        value = bytes(1024 * 1024 + 1)
        self.assert_code("value-too-large", self.store.compare_and_swap, "k", value, 0)

    def test_key_goes_with_its_lease(self):
        lease = self.store.grant_lease(10)
        self.store.compare_and_swap("k", b"a", 0, lease)
        self.clock.advance(9)
        self.store.renew_lease(lease)
        self.clock.advance(9)
        self.assertEqual(b"a", self.store.get("k").value)
        self.clock.advance(1)
        self.assertEqual(0, self.store.get("k").version)
        self.assert_code("lease-lapsed", self.store.renew_lease, lease)

    def test_key_written_without_the_lease_outlives_it(self):
        lease = self.store.grant_lease(10)
        entry = self.store.compare_and_swap("k", b"a", 0, lease)
        self.store.compare_and_swap("k", b"b", entry.version)
        self.clock.advance(10)
        self.assertEqual(b"b", self.store.get("k").value)

    def test_watch_sees_change_and_removal(self):
        entry = self.store.compare_and_swap("k", b"a", 0)
        self.assertIsNone(self.store.watch("k", entry.version, 1))
        self.assertEqual(b"a", self.store.watch("k", 0, 1).value)
        self.store.compare_and_swap("k", None, entry.version)
        self.assertEqual(0, self.store.watch("k", entry.version, 1).version)

    def test_fault_away(self):
        self.store.set_faults(Faults(away=True))
        self.assert_code("store-unavailable", self.store.get, "k")
        self.assert_code("store-unavailable", self.store.compare_and_swap, "k", b"a", 0)
        self.store.set_faults(Faults())
        self.assertEqual(0, self.store.get("k").version)

    def test_fault_lost_answer_takes_the_write(self):
        self.store.set_faults(Faults(lose_answers=1))
        self.assertRaises(StoreUncertain, self.store.compare_and_swap, "k", b"a", 0)
        entry = self.store.get("k")
        self.assertEqual(b"a", entry.value)
        self.store.compare_and_swap("k", b"b", entry.version)

    def test_fault_stale_reads(self):
        entry = self.store.compare_and_swap("k", b"a", 0)
        self.store.set_faults(Faults(stale_reads=True))
        self.store.compare_and_swap("k", b"b", entry.version)
        self.assertEqual(b"a", self.store.get("k").value)
        self.assertIsNone(self.store.watch("k", entry.version, 1))
        self.store.set_faults(Faults())
        self.assertEqual(b"b", self.store.get("k").value)

    def test_fault_lapsed_lease(self):
        lease = self.store.grant_lease(10)
        self.store.compare_and_swap("k", b"a", 0, lease)
        self.store.lapse_lease(lease)
        self.assertEqual(0, self.store.get("k").version)

    def test_fault_rate_limit(self):
        self.store.set_faults(Faults(calls_per_s=2))
        self.clock.advance(1)
        self.store.get("k")
        self.store.get("k")
        self.assert_code("store-throttled", self.store.get, "k")
        self.clock.advance(0.5)
        self.store.get("k")

    def test_calls_are_counted_and_a_watch_as_one(self):
        self.store.watch("k", 0, 60)
        self.store.get("k")
        self.assertEqual(1, self.store.counts["watch"])
        self.assertEqual(1, self.store.counts["get"])

    def test_backup_takes_versions_back(self):
        entry = self.store.compare_and_swap("k", b"a", 0)
        backup = self.store.export_entries()
        self.store.compare_and_swap("k", b"b", entry.version)
        self.store.restore_entries(backup)
        self.assertEqual(entry.version, self.store.get("k").version)
