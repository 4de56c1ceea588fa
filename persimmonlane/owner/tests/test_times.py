import testtools

from ...clocks import ManualClock
from ..gate import AdmissionQueue, Ticket
from ..times import LatencyModels

USUAL_S = 0.2
# A route without an objective of its own is thought to be slow.
SLOW_OBJECTIVE_S = 4.0


class WorkTimesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.times = LatencyModels()

    def learn(self, route="old", seconds=USUAL_S, count=40):
        for _ in range(count):
            self.times.find(route, 1.0).learn(seconds)

    def test_added_route_is_thought_to_take_as_long_as_the_others(self):
        self.learn()
        typical_s = self.times.find("added", SLOW_OBJECTIVE_S).estimate_mean()
        self.assertThat(typical_s, testtools.matchers.LessThan(USUAL_S * 2))

    def test_route_is_not_thought_to_be_slower_than_its_objective_says(self):
        self.learn(seconds=3.0)
        typical_s = self.times.find("added", 0.4).estimate_mean()
        self.assertThat(typical_s, testtools.matchers.LessThan(0.4))

    def test_first_answers_count_most(self):
        self.learn("added", 0.05, 8)
        typical_s = self.times.find("added", 1.0).estimate_mean()
        self.assertThat(typical_s, testtools.matchers.LessThan(0.2))

    def test_short_request_on_an_added_route_may_wait_at_a_full_server(self):
        self.learn()
        clock = ManualClock(10.0)
        admission_queue = AdmissionQueue(clock)
        admission_queue.resize(1)
        old = self.times.find("old", 1.0)
        admission_queue.admit(Ticket(old, 1, clock.now() + 2.0, 1.0, lambda: None))
        added = self.times.find("added", SLOW_OBJECTIVE_S)
        admission_queue.admit(Ticket(added, 1, clock.now() + 0.9, 0.32, lambda: None))
        self.assertEqual(1, admission_queue.waiting)
