import contextlib
import itertools

import testtools

from ...clocks import ManualClock
from ...errors import StoreError
from ...standins.store import StoreStandin
from ...upkeep.generations import GenerationTracker
from ..store import (
    HistoryGone,
    LeaseGone,
    SiteStore,
    StoreLease,
    StorePosition,
    parse_generation,
)

START = StorePosition(0, 1)


class SiteStoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.standin = StoreStandin()
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.state = self.standin.state
        self.generations = GenerationTracker(ManualClock(0.0))
        self.store = SiteStore(self.standin.address, self.generations)

    def test_written_keys_are_read_and_listed(self):
        lease = self.store.grant_lease(5.0)
        self.store.write("nodes/a", b"one", lease)
        self.store.write("nodes/b", b"two", lease)
        self.assertEqual(b"one", self.store.read("nodes/a").value)
        values = [item.value for item in self.store.list("nodes/").items]
        self.assertEqual([b"one", b"two"], values)

    def test_missing_key_has_no_value_but_a_revision(self):
        item = self.store.read("nowhere")
        self.assertEqual((None, START), (item.value, item.position))

    def test_long_listing_is_read_in_pages(self):
        for number in range(250):
            self.state.put(f"nodes/{number:03}", b"x")
        self.assertEqual(250, len(self.store.list("nodes/").items))

    def test_listing_names_the_revision_at_which_it_began(self):
        # Changes after a later one would not hold what the first pages lack.
        self.state.put("op/evacuate/south", b"{}")
        self.state.put("servers/1", b"x")
        self.assertEqual(3, self.store.list("op/evacuate/").revision)
        for number in range(150):
            self.state.put(f"nodes/{number:03}", b"x")
        began_at = self.state.revision
        read_range = self.state.read_range

        def read_range_and_change(prefix, after):
            answer = read_range(prefix, after)
            self.state.put("nodes/000", b"y")
            return answer

        self.state.read_range = read_range_and_change
        self.assertEqual(began_at, self.store.list("nodes/").revision)

    def test_watch_returns_changes_and_removals(self):
        self.state.put("op/config", b"new")
        changes = self.store.watch("op/", START, 5.0)
        self.assertEqual([b"new"], [event.value for event in changes.events])
        self.store.write("op/x", b"y", self.store.grant_lease(5.0))
        self.state.expire_leases()
        changes = self.store.watch("op/x", changes.position, 5.0)
        self.assertEqual([False, True], [e.tombstone for e in changes.events])

    def test_watch_of_compacted_history_raises_history_gone(self):
        self.state.put("op/config", b"new")
        self.state.compact()
        self.assertRaises(HistoryGone, self.store.watch, "op/", START, 0.1)

    def test_expired_lease_raises_lease_gone(self):
        lease = self.store.grant_lease(5.0)
        self.store.renew_lease(lease)
        self.state.expire_leases()
        self.assertRaises(LeaseGone, self.store.renew_lease, lease)
        self.assertRaises(LeaseGone, self.store.write, "nodes/a", b"", lease)

    def test_generation_is_read_from_every_answer(self):
        calls = (
            lambda: self.store.read("a"),
            lambda: self.store.list("nodes/"),
            lambda: self.store.watch("op/", START, 0.0),
            lambda: self.store.grant_lease(5.0),
            lambda: self.store.renew_lease(StoreLease(9, 0, 5.0)),
            lambda: self.store.write("nodes/a", b"", StoreLease(9, 0, 5.0)),
        )
        for era, (call, status) in enumerate(
            itertools.product(calls, (0, 429, 503)), start=1
        ):
            self.state.era = era
            self.state.error_status = status
            with contextlib.suppress(StoreError):
                call()
            self.assertEqual(era, self.generations.current)

    def test_error_without_a_generation_says_nothing_of_it(self):
        self.state.era = 4
        self.store.read("a")
        self.state.era = None
        self.state.error_status = 503
        for _ in range(9):
            self.assertRaises(StoreError, self.store.read, "a")
        self.assertEqual(4, self.generations.current)

    def test_malformed_generation_is_none(self):
        for text in ("", "x", "-1", "1.5", "9" * 13, "\u0663", "0x1", "1 2"):
            self.assertEqual(0, parse_generation(text))
        self.assertEqual(12, parse_generation(" 12 "))
        self.assertEqual(0, parse_generation(None))

    def test_numbers_of_an_earlier_generation_are_not_used(self):
        self.state.era = 1
        lease = self.store.grant_lease(5.0)
        position = self.read_position()
        self.state.restore(self.state.take_copy())
        self.assertEqual(StorePosition(2, position.revision), self.read_position())
        self.assertRaises(HistoryGone, self.store.watch, "op/", position, 0.0)
        self.assertRaises(LeaseGone, self.store.renew_lease, lease)
        self.assertRaises(LeaseGone, self.store.write, "nodes/a", b"", lease)

    def read_position(self):
        return self.store.read("a").position

    def test_rejected_and_unanswered_calls_raise_store_error(self):
        for status in (429, 503):
            self.state.error_status = status
            self.assertRaises(StoreError, self.store.read, "a")
        self.state.error_status = 0
        self.state.drops_responses = True
        self.assertRaises(StoreError, self.store.grant_lease, 5.0)
        self.state.drops_responses = False
        self.assertEqual(None, self.store.read("a").value)
