import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ..gate import AdmissionQueue, Ticket
from ..times import LatencyModel


class GateTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.admission_queue = AdmissionQueue(self.clock)
        self.admission_queue.resize(2)
        self.times = LatencyModel(1.0)
        self.woken = []

    def ticket(self, rank=1, left_s=5.0, patience_s=9.0):
        deadline = self.clock.now() + left_s
        ticket = Ticket(self.times, rank, deadline, patience_s, lambda: None)
        ticket.wake = lambda: self.woken.append(ticket)
        return ticket

    def enter(self, **changes):
        ticket = self.ticket(**changes)
        self.admission_queue.enter(ticket)
        return ticket

    def test_slots_are_given_at_once_and_then_in_order_of_rank(self):
        first, _ = self.enter(), self.enter()
        low, high = self.enter(rank=2), self.enter(rank=0)
        self.assertEqual(
            (2, 2), (self.admission_queue.running, self.admission_queue.waiting)
        )
        self.admission_queue.leave(first)
        self.assertEqual([high], self.woken)
        self.assertIsNone(low.granted_at)

    def test_impatient_request_is_refused_as_not_run(self):
        self.enter(), self.enter()
        error = self.assertRaises(Refusal, self.enter, patience_s=0.01)
        self.assertEqual("server-busy", error.code)
        self.assertThat(error.retry_after, testtools.matchers.GreaterThan(0.0))

    def test_first_in_the_queue_waits_for_the_first_end(self):
        self.admission_queue.resize(4)
        for _ in range(4):
            self.enter()
        usual_s = self.times.estimate_mean()
        self.assertAlmostEqual(usual_s / 4, self.admission_queue.estimate_wait(0))
        self.enter(patience_s=usual_s / 4 + 0.01)
        self.assertAlmostEqual(usual_s / 2, self.admission_queue.estimate_wait(1))
        # A more urgent request goes before the one that waits.
        self.assertAlmostEqual(usual_s / 4, self.admission_queue.estimate_wait(0))

    def test_stuck_requests_are_not_counted_on_to_end(self):
        self.enter(left_s=5.0), self.enter(left_s=5.0)
        self.clock.advance(4.0)
        self.assertAlmostEqual(1.0, self.admission_queue.estimate_wait(0))

    def test_request_that_cannot_be_answered_in_time_is_refused(self):
        self.enter(), self.enter()
        self.assertRaises(Refusal, self.enter, left_s=0.05)

    def test_closing_refuses_all_that_waits_and_keeps_what_runs(self):
        running, _, waiting = self.enter(), self.enter(), self.enter()
        self.admission_queue.resize(0)
        self.assertEqual("server-leaving", waiting.refusal.code)
        self.assertEqual(2, self.admission_queue.running)
        self.admission_queue.leave(running)
        self.assertRaises(Refusal, self.enter)

    def test_waiting_request_without_time_is_refused_when_a_slot_frees(self):
        first, _, late = self.enter(), self.enter(), self.enter(left_s=0.8)
        self.clock.advance(0.75)
        self.admission_queue.leave(first)
        self.assertEqual("server-busy", late.refusal.code)
        self.assertEqual(1, self.admission_queue.running)

    def test_leaving_the_queue_frees_the_place(self):
        self.enter(), self.enter()
        waiting = self.enter()
        self.admission_queue.leave(waiting)
        self.assertEqual(
            (2, 0), (self.admission_queue.running, self.admission_queue.waiting)
        )
