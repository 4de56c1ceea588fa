import testtools

from ...clocks import ManualClock
from ..dispatch import RETENTION_S, DispatchLog


class DispatchLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(5.0)
        self.dispatch_log = DispatchLog(self.clock)

    def test_dispatched_request_can_not_be_cancelled(self):
        self.assertTrue(self.dispatch_log.mark_dispatched("one"))
        self.assertFalse(self.dispatch_log.cancel("one"))

    def test_cancelled_request_is_never_dispatched(self):
        self.assertTrue(self.dispatch_log.cancel("one"))
        self.assertFalse(self.dispatch_log.mark_dispatched("one"))
        self.assertTrue(self.dispatch_log.cancel("one"))
        self.assertTrue(self.dispatch_log.mark_dispatched("two"))

    def test_entries_expire_after_the_retention_time(self):
        self.dispatch_log.mark_dispatched("one")
        self.dispatch_log.cancel("two")
        self.clock.advance(RETENTION_S - 1.0)
        self.dispatch_log.mark_dispatched("three")
        self.dispatch_log.cancel("four")
        self.assertFalse(self.dispatch_log.cancel("one"))
        self.assertFalse(self.dispatch_log.mark_dispatched("two"))
        self.clock.advance(RETENTION_S + 1.0)
        self.dispatch_log.mark_dispatched("five")
        self.dispatch_log.cancel("six")
        self.assertEqual(["five"], list(self.dispatch_log._dispatched))
        self.assertEqual(["six"], list(self.dispatch_log._cancelled))
