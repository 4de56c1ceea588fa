import testtools

from ...clocks import ManualClock
from ..dispatch import RETENTION_S, DispatchLog


class DispatchLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(5.0)
        self.dispatch_log = DispatchLog(self.clock)

    def mark(self, request_id, time_left_s=2.0):
        return self.dispatch_log.mark_dispatched(
            request_id, self.clock.now() + time_left_s
        )

    def test_dispatched_request_can_not_be_cancelled(self):
        self.assertTrue(self.mark("one"))
        self.assertFalse(self.dispatch_log.cancel("one"))

    def test_cancelled_request_is_never_dispatched(self):
        self.assertTrue(self.dispatch_log.cancel("one"))
        self.assertFalse(self.mark("one"))
        self.assertTrue(self.dispatch_log.cancel("one"))
        self.assertTrue(self.mark("two"))

    def test_entries_expire_after_the_retention_time(self):
        self.mark("one", 0.0)
        self.dispatch_log.mark_ended("one")
        self.dispatch_log.cancel("two")
        self.clock.advance(RETENTION_S - 1.0)
        self.mark("three", 0.0)
        self.dispatch_log.mark_ended("three")
        self.dispatch_log.cancel("four")
        self.assertFalse(self.dispatch_log.cancel("one"))
        self.assertFalse(self.mark("two"))
        self.clock.advance(RETENTION_S + 1.0)
        self.mark("five")
        self.dispatch_log.cancel("six")
        self.assertEqual(["five"], list(self.dispatch_log._dispatched._until))
        self.assertEqual(["six"], list(self.dispatch_log._cancelled._until))

    def test_running_request_is_not_forgotten(self):
        self.mark("one", 0.0)
        for number in range(5):
            self.clock.advance(RETENTION_S)
            self.mark(f"other-{number}")
            self.assertFalse(self.dispatch_log.cancel("one"))

    def test_ended_request_is_not_forgotten_before_its_deadline(self):
        self.mark("one", 3 * RETENTION_S)
        self.dispatch_log.mark_ended("one")
        for number in range(3):
            self.clock.advance(RETENTION_S)
            self.mark(f"other-{number}")
            self.assertFalse(self.dispatch_log.cancel("one"))

    def test_cancelled_request_is_not_forgotten_before_its_deadline(self):
        # It may arrive late, for instance with a body that is read slowly.
        self.assertTrue(self.dispatch_log.cancel("one", 3 * RETENTION_S))
        for number in range(3):
            self.clock.advance(RETENTION_S)
            self.dispatch_log.cancel(f"other-{number}")
            self.assertFalse(self.mark("one"))

    def test_identifier_that_is_used_twice_is_kept_while_one_request_runs(self):
        self.mark("one", 0.0)
        self.mark("one", 0.0)
        self.dispatch_log.mark_ended("one")
        self.clock.advance(2 * RETENTION_S)
        self.assertFalse(self.dispatch_log.cancel("one"))
        self.dispatch_log.mark_ended("one")
        self.clock.advance(3 * RETENTION_S)
        self.assertTrue(self.dispatch_log.cancel("one"))

    def test_requests_without_an_identifier_are_not_cancelled(self):
        self.assertFalse(self.dispatch_log.cancel(""))
        self.assertTrue(self.mark(""))

    def test_request_with_very_much_time_left_is_not_cancelled(self):
        self.assertFalse(self.dispatch_log.cancel("one", 1e9))
        self.assertTrue(self.mark("one"))
