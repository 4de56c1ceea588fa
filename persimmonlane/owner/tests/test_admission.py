import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ..admission import AdmissionQueue, Ticket
from ..latency import LatencyModel


class AdmissionQueueTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.admission_queue = AdmissionQueue(self.clock)
        self.admission_queue.resize(2)
        self.latency = LatencyModel(1.0)
        self.notified = []

    def ticket(self, priority=1, left_s=5.0, max_wait_s=9.0):
        deadline = self.clock.now() + left_s
        ticket = Ticket(self.latency, priority, deadline, max_wait_s, lambda: None)
        ticket.wake = lambda: self.notified.append(ticket)
        return ticket

    def admit(self, **changes):
        ticket = self.ticket(**changes)
        self.admission_queue.admit(ticket)
        return ticket

    def test_free_slots_are_granted_at_once_and_then_by_rank(self):
        first, _ = self.admit(), self.admit()
        low, high = self.admit(priority=2), self.admit(priority=0)
        self.assertEqual(
            (2, 2), (self.admission_queue.running, self.admission_queue.waiting)
        )
        self.admission_queue.release(first)
        self.assertEqual([high], self.notified)
        self.assertIsNone(low.granted_at)

    def test_request_with_a_short_accepted_wait_is_refused_as_not_run(self):
        self.admit(), self.admit()
        error = self.assertRaises(Refusal, self.admit, max_wait_s=0.01)
        self.assertEqual("server-busy", error.code)
        self.assertThat(error.retry_after, testtools.matchers.GreaterThan(0.0))

    def test_head_of_the_queue_waits_for_the_first_request_to_end(self):
        self.admission_queue.resize(4)
        for _ in range(4):
            self.admit()
        mean_s = self.latency.estimate_mean()
        self.assertAlmostEqual(mean_s / 4, self.admission_queue.estimate_wait(0))
        self.admit(max_wait_s=mean_s / 4 + 0.01)
        self.assertAlmostEqual(mean_s / 2, self.admission_queue.estimate_wait(1))
        # A more urgent request is placed ahead of the waiting one.
        self.assertAlmostEqual(mean_s / 4, self.admission_queue.estimate_wait(0))

    def test_wait_estimate_ignores_stuck_requests(self):
        self.admit(left_s=5.0), self.admit(left_s=5.0)
        self.clock.advance(4.0)
        self.assertAlmostEqual(1.0, self.admission_queue.estimate_wait(0))

    def test_request_that_cannot_be_answered_in_time_is_refused(self):
        self.admit(), self.admit()
        self.assertRaises(Refusal, self.admit, left_s=0.05)

    def test_resizing_to_zero_refuses_waiting_requests_and_keeps_running_ones(self):
        running, _, waiting = self.admit(), self.admit(), self.admit()
        self.admission_queue.resize(0)
        self.assertEqual("server-leaving", waiting.refusal.code)
        self.assertEqual(2, self.admission_queue.running)
        self.admission_queue.release(running)
        self.assertRaises(Refusal, self.admit)

    def test_waiting_request_without_time_left_is_refused_when_a_slot_frees(self):
        first, _, late = self.admit(), self.admit(), self.admit(left_s=0.8)
        self.clock.advance(0.75)
        self.admission_queue.release(first)
        self.assertEqual("server-busy", late.refusal.code)
        self.assertEqual(1, self.admission_queue.running)

    def test_released_waiting_request_leaves_the_queue(self):
        self.admit(), self.admit()
        waiting = self.admit()
        self.admission_queue.release(waiting)
        self.assertEqual(
            (2, 0), (self.admission_queue.running, self.admission_queue.waiting)
        )
