import testtools
from testtools.matchers import LessThan

from ...clocks import ManualClock
from ..ledger import (
    ALONE_S,
    AROUND_S,
    CLEARANCE,
    MAX_CASES,
    MAX_QUARANTINE_S,
    MEMORY_S,
    QUARANTINE_CRASHES,
    QUARANTINE_S,
    SERVED_BEFORE_S,
    CrashLedger,
    LedgerEntry,
    Standing,
)

REQUEST = 7
OTHER = 8


class LedgerTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(1000.0)
        self.ledger = CrashLedger(self.clock)

    def crash(self, process, fingerprint=REQUEST, age_s=0.0):
        return self.ledger.apply(
            LedgerEntry(fingerprint, process, self.clock.now() - age_s)
        )

    def quarantine(self, fingerprint=REQUEST, first=1):
        for process in range(first, first + QUARANTINE_CRASHES):
            self.crash(process, fingerprint)

    def get_standing(self, fingerprint=REQUEST):
        return self.ledger.get_standing(fingerprint)


class StandingTests(LedgerTestCase):
    def test_three_crashed_processes_put_a_request_into_quarantine(self):
        standings = [self.get_standing()]
        for process in (1, 2, 3):
            self.crash(process)
            standings.append(self.get_standing())
        self.assertEqual(
            [
                Standing.CLEAR,
                Standing.IMPLICATED,
                Standing.IMPLICATED,
                Standing.QUARANTINED,
            ],
            standings,
        )
        self.assertEqual(Standing.CLEAR, self.get_standing(OTHER))

    def test_request_runs_alone_after_a_crash(self):
        self.crash(1)
        self.assertTrue(self.ledger.must_run_alone(REQUEST))
        self.assertFalse(self.ledger.must_run_alone(OTHER))

    def test_request_need_not_run_alone_long_after_its_only_crash(self):
        self.crash(1)
        self.clock.advance(ALONE_S)
        self.assertFalse(self.ledger.must_run_alone(REQUEST))
        self.crash(2)
        self.clock.advance(ALONE_S)
        self.assertTrue(self.ledger.must_run_alone(REQUEST))

    def test_request_need_not_run_alone_after_one_of_many_crashes(self):
        for process in (1, 2, 3):
            self.crash(process, 100 + process)
            self.crash(process, 200)
        self.assertFalse(self.ledger.must_run_alone(101))
        # This one ran at each of them.
        self.assertEqual(Standing.QUARANTINED, self.get_standing(200))
        self.clock.advance(60.0)
        self.crash(9, 101)
        self.assertTrue(self.ledger.must_run_alone(101))

    def test_crashes_at_other_times_don_t_excuse_a_request(self):
        for process in (1, 2):
            self.crash(process, 100 + process)
        self.clock.advance(AROUND_S + 1.0)
        self.crash(3)
        self.assertTrue(self.ledger.must_run_alone(REQUEST))

    def test_crash_that_is_told_again_counts_once(self):
        for _ in range(5):
            self.crash(1)
        self.assertEqual(1, self.ledger.count_crashes(REQUEST))
        self.assertEqual(Standing.IMPLICATED, self.get_standing())

    def test_request_that_is_served_is_cleared(self):
        self.crash(1)
        self.crash(2)
        self.clock.advance(1.0)
        clearance = self.ledger.note_served(REQUEST)
        self.assertEqual(CLEARANCE, clearance.process)
        self.assertEqual(Standing.CLEAR, self.get_standing())
        self.assertEqual(None, self.ledger.note_served(REQUEST))

    def test_common_request_is_not_implicated_by_a_crash(self):
        self.ledger.note_served(REQUEST)
        self.clock.advance(SERVED_BEFORE_S / 2)
        told = [self.crash(process) for process in (1, 2, 3)]
        self.assertEqual(Standing.CLEAR, self.get_standing())
        # The node that reports the crash is told that this one knows better.
        self.assertEqual(CLEARANCE, told[0].process)

    def test_request_that_was_served_long_before_is_implicated(self):
        self.ledger.note_served(REQUEST)
        self.clock.advance(SERVED_BEFORE_S + 1.0)
        self.crash(1)
        self.assertEqual(Standing.IMPLICATED, self.get_standing())

    def test_clearance_holds_for_the_crashes_before_it_only(self):
        self.crash(1)
        self.clock.advance(1.0)
        self.ledger.apply(LedgerEntry(REQUEST, CLEARANCE, self.clock.now()))
        self.assertEqual(None, self.crash(2, age_s=0.5))
        self.assertEqual(Standing.CLEAR, self.get_standing())
        self.clock.advance(1.0)
        self.crash(3)
        self.assertEqual(Standing.IMPLICATED, self.get_standing())

    def test_quarantine_ends_and_the_request_may_run_once_more_alone(self):
        self.quarantine()
        self.clock.advance(QUARANTINE_S - 1.0)
        self.assertEqual(Standing.QUARANTINED, self.get_standing())
        self.assertEqual(1.0, self.ledger.get_quarantine_s(REQUEST))
        self.clock.advance(2.0)
        self.assertEqual(Standing.IMPLICATED, self.get_standing())
        self.crash(4)
        self.assertEqual(Standing.QUARANTINED, self.get_standing())
        self.assertEqual(2 * QUARANTINE_S, self.ledger.get_quarantine_s(REQUEST))

    def test_quarantine_never_grows_beyond_its_bound(self):
        for process in range(1, 40):
            self.crash(process)
            self.clock.advance(1.0)
        self.assertThat(
            self.ledger.get_quarantine_s(REQUEST), LessThan(MAX_QUARANTINE_S + 1)
        )

    def test_everything_is_forgotten_in_the_end(self):
        self.quarantine()
        self.clock.advance(MEMORY_S + 1.0)
        self.assertEqual(Standing.CLEAR, self.get_standing())
        self.ledger.forget_old()
        self.assertEqual(([], 0), (self.ledger.list_entries(), self.ledger.digest))


class BoundTests(LedgerTestCase):
    def test_thousands_of_requests_take_bounded_memory(self):
        for fingerprint in range(1, 5000):
            self.crash(fingerprint, fingerprint)
            self.ledger.note_served(fingerprint + 10_000)
        self.assertEqual(MAX_CASES, len(self.ledger.list_entries()))
        self.assertThat(len(self.ledger._served), LessThan(5000))

    def test_requests_in_quarantine_are_forgotten_last(self):
        self.quarantine()
        for fingerprint in range(100, 100 + 2 * MAX_CASES):
            self.clock.advance(0.01)
            self.crash(fingerprint, fingerprint)
        self.assertEqual(Standing.QUARANTINED, self.get_standing())


class DigestTests(LedgerTestCase):
    def setUp(self):
        super().setUp()
        self.other = CrashLedger(self.clock)

    def exchange(self):
        for entry in self.ledger.list_entries():
            self.other.apply(entry)
        for entry in self.other.list_entries():
            self.ledger.apply(entry)

    def test_digest_tells_whether_ledgers_differ(self):
        self.quarantine()
        self.assertNotEqual(self.ledger.digest, self.other.digest)
        self.exchange()
        self.assertEqual(self.ledger.digest, self.other.digest)

    def test_order_of_the_news_does_not_matter(self):
        for process in (1, 2, 3):
            self.crash(process)
            self.other.apply(LedgerEntry(REQUEST, 4 - process, self.clock.now()))
        self.assertEqual(self.ledger.digest, self.other.digest)

    def test_clearance_wins_over_the_crashes_that_others_still_have(self):
        self.quarantine()
        self.exchange()
        self.clock.advance(1.0)
        self.other.note_served(REQUEST)
        self.exchange()
        self.assertEqual(Standing.CLEAR, self.get_standing())
        self.assertEqual((0, 0), (self.ledger.digest, self.other.digest))
