import testtools

from ...errors import StoreError
from ...standins.store import StoreStandin
from ..store import HistoryGone, LeaseGone, SiteStore


class SiteStoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.standin = StoreStandin()
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.state = self.standin.state
        self.store = SiteStore(self.standin.address)

    def test_written_keys_are_read_and_listed(self):
        lease = self.store.grant_lease(5.0).lease
        self.store.write("nodes/a", b"one", lease)
        self.store.write("nodes/b", b"two", lease)
        self.assertEqual(b"one", self.store.read("nodes/a").value)
        values = [item.value for item in self.store.list("nodes/")]
        self.assertEqual([b"one", b"two"], values)

    def test_missing_key_has_no_value_but_a_revision(self):
        item = self.store.read("nowhere")
        self.assertEqual((None, 1), (item.value, item.as_of))

    def test_long_listing_is_read_in_pages(self):
        for number in range(250):
            self.state.put(f"nodes/{number:03}", b"x")
        self.assertEqual(250, len(self.store.list("nodes/")))

    def test_watch_returns_changes_and_removals(self):
        self.state.put("op/config", b"new")
        changes = self.store.watch("op/", 1, 5.0)
        self.assertEqual([b"new"], [event.value for event in changes.events])
        lease = self.store.grant_lease(5.0).lease
        self.store.write("op/x", b"y", lease)
        self.store.end_lease(lease)
        changes = self.store.watch("op/x", changes.as_of, 5.0)
        self.assertEqual([False, True], [e.tombstone for e in changes.events])

    def test_watch_of_compacted_history_raises_history_gone(self):
        self.state.put("op/config", b"new")
        self.state.compact()
        self.assertRaises(HistoryGone, self.store.watch, "op/", 1, 0.1)

    def test_expired_lease_raises_lease_gone(self):
        lease = self.store.grant_lease(5.0).lease
        self.store.renew_lease(lease)
        self.state.expire_leases()
        self.assertRaises(LeaseGone, self.store.renew_lease, lease)
        self.assertRaises(LeaseGone, self.store.write, "nodes/a", b"", lease)

    def test_rejected_and_unanswered_calls_raise_store_error(self):
        for status in (429, 503):
            self.state.error_status = status
            self.assertRaises(StoreError, self.store.read, "a")
        self.state.error_status = 0
        self.state.drops_responses = True
        self.assertRaises(StoreError, self.store.grant_lease, 5.0)
        self.state.drops_responses = False
        self.assertEqual(None, self.store.read("a").value)
