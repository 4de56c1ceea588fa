import threading

import testtools

from ...errors import StoreError
from ...store import create_client, remote
from ...store.client import StoreConflict, StoreUncertain
from ...store.memory import Faults
from ..store import StoreControl, StoreStandin


class StoreStandinTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.standin = StoreStandin("127.0.0.1:0")
        self.standin.start()
        self.addCleanup(self.standin.stop)
        address = f"127.0.0.1:{self.standin.port}"
        self.client = create_client("grpc", address)
        self.addCleanup(self.client.close)
        self.control = StoreControl(address)
        self.addCleanup(self.control.close)

    def test_swap_get_and_conflict(self):
        self.assertEqual(0, self.client.get("k").version)
        entry = self.client.compare_and_swap("k", b"a", 0)
        conflict = self.assertRaises(
            StoreConflict, self.client.compare_and_swap, "k", b"b", 0
        )
        self.assertEqual((b"a", entry.version), read(conflict.entry))
        self.assertEqual(0, self.client.compare_and_swap("k", None, 1).version)

    def test_value_of_a_megabyte_passes(self):
        value = bytes(1024 * 1024)
        self.client.compare_and_swap("k", value, 0)
        self.assertEqual(value, self.client.get("k").value)

    def test_waiting_watch_ends_at_the_change(self):
        seen = []
        thread = threading.Thread(
            target=lambda: seen.append(self.client.watch("k", 0, 10))
        )
        thread.start()
        self.client.compare_and_swap("k", b"a", 0)
        thread.join()
        self.assertEqual(b"a", seen[0].value)

    def test_watch_without_change_returns_none(self):
        self.assertIsNone(self.client.watch("k", 0, 0.01))

    def test_lease(self):
        lease = self.client.grant_lease(60)
        self.client.compare_and_swap("k", b"a", 0, lease)
        self.client.renew_lease(lease)
        self.control.lapse_lease(lease)
        error = self.assertRaises(StoreError, self.client.renew_lease, lease)
        self.assertEqual("lease-lapsed", error.code)
        self.assertEqual(0, self.client.get("k").version)

    def test_store_that_is_away_executed_nothing(self):
        self.control.set_faults(Faults(away=True))
        error = self.assertRaises(
            StoreError, self.client.compare_and_swap, "k", b"a", 0
        )
        self.assertEqual("store-unavailable", error.code)
        self.assertNotIsInstance(error, StoreUncertain)

    def test_lost_answer_is_uncertain(self):
        self.control.set_faults(Faults(lose_answers=1))
        self.assertRaises(StoreUncertain, self.client.compare_and_swap, "k", b"a", 0)
        self.assertEqual(b"a", self.client.get("k").value)

    def test_slow_store_times_out_and_a_new_connection_works(self):
        self.patch(remote, "CALL_TIMEOUT_S", 0.1)
        self.control.set_faults(Faults(delay_s=0.3))
        self.assertRaises(StoreError, self.client.get, "k")
        self.assertRaises(StoreUncertain, self.client.compare_and_swap, "k", b"a", 0)
        self.control.set_faults(Faults())
        self.patch(remote, "CALL_TIMEOUT_S", 5)
        self.client.get("k")

    def test_stale_reads_over_the_wire(self):
        self.client.compare_and_swap("k", b"a", 0)
        self.control.set_faults(Faults(stale_reads=True))
        self.client.compare_and_swap("k", b"b", 1)
        self.assertEqual(b"a", self.client.get("k").value)

    def test_cut_watch_fails(self):
        errors = []

        def watch():
            errors.append(self.assertRaises(StoreError, self.client.watch, "k", 0, 30))

        thread = threading.Thread(target=watch)
        thread.start()
        while not self.control.get_counts()["watch"]:
            pass
        self.control.cut_watches()
        thread.join()
        self.assertEqual(1, len(errors))

    def test_limited_rate_and_counts(self):
        self.client.get("k")
        self.assertEqual(1, self.control.get_counts()["get"])
        self.control.set_faults(Faults(calls_per_s=0.001))
        error = self.assertRaises(StoreError, self.client.get, "k")
        self.assertEqual("store-throttled", error.code)


def read(entry):
    return entry.value, entry.version
