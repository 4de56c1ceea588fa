import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ...verdicts import Verdict
from ..shutdown import Shutdown, build_shutdown_refusal

GRACE_S = 6.0


class ShutdownTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.shutdown = Shutdown(self.clock)
        self.addCleanup(self.shutdown.ended.close)

    def begin_shutdown(self, seconds=0.0):
        self.shutdown.begin(GRACE_S)
        self.clock.advance(seconds)

    def check(self, deadline_s):
        now = self.clock.now()
        self.shutdown.check(now, now + deadline_s)

    def test_running_node_accepts_every_request(self):
        self.check(1000.0)
        self.assertTrue(self.shutdown.may_dispatch())
        self.assertEqual(9.0, self.shutdown.limit_wait(9.0))
        self.assertEqual(-1.0, self.shutdown.get_elapsed_s())

    def test_request_within_the_notice_time_is_accepted(self):
        self.begin_shutdown(2.5)
        self.check(20.0)

    def test_late_request_is_refused_unless_its_deadline_is_before_the_end(self):
        self.begin_shutdown(3.0)
        refusal = self.assertRaises(Refusal, self.check, 3.0)
        self.assertEqual((503, "node-leaving"), (refusal.status, refusal.code))
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        self.check(2.0)

    def test_retry_after_points_past_the_end(self):
        self.begin_shutdown(4.0)
        refusal = self.assertRaises(Refusal, self.check, 20.0)
        ends_s = GRACE_S - 4.0
        self.assertTrue(ends_s - 0.6 < refusal.retry_after < ends_s + 1.0)

    def test_no_request_is_dispatched_near_the_end(self):
        self.begin_shutdown(4.5)
        self.assertFalse(self.shutdown.may_dispatch())
        self.assertRaises(Refusal, self.check, 0.1)
        now = self.clock.now()
        early = (now - 4.0, now + 9.0)
        self.assertRaises(Refusal, self.shutdown.check, *early)

    def test_wait_for_a_slot_ends_when_dispatching_ends(self):
        self.begin_shutdown(1.5)
        max_wait_s = self.shutdown.limit_wait(9.0)
        self.clock.advance(max_wait_s - 0.01)
        self.assertTrue(self.shutdown.may_dispatch())
        self.clock.advance(0.02)
        self.assertFalse(self.shutdown.may_dispatch())
        self.assertEqual(0.0, self.shutdown.limit_wait(9.0))

    def test_waits_for_answers_end_within_the_grace_period(self):
        for grace_s in (1.0, 3.0, 6.0, 10.0):
            shutdown = Shutdown(self.clock)
            shutdown.begin(grace_s)
            self.assertTrue(grace_s * 5 / 6 < shutdown.get_remaining_s() < grace_s)
            shutdown.ended.close()

    def test_closed_node_dispatches_nothing_even_early(self):
        self.begin_shutdown(2.4)
        self.shutdown.close()
        self.assertFalse(self.shutdown.may_dispatch())
        refusal = self.assertRaises(Refusal, self.check, 0.1)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)

    def test_second_begin_has_no_effect(self):
        self.begin_shutdown(2.0)
        self.begin_shutdown(2.0)
        self.assertEqual(4.0, self.shutdown.get_elapsed_s())

    def test_dispatched_request_may_have_run(self):
        self.assertIs(Verdict.MAY_HAVE_RUN, build_shutdown_refusal(True).verdict)
        self.assertIs(Verdict.NOT_RUN, build_shutdown_refusal(False).verdict)
