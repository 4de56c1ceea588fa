import testtools

from ...clocks import ManualClock
from ..admission import AdmissionQueue, Ticket
from ..latency import LatencyModels

TYPICAL_S = 0.2
# Routes without a latency objective use their timeout, so their first estimate is slow.
SLOW_OBJECTIVE_S = 4.0


class LatencyModelsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.models = LatencyModels()

    def learn(self, route="old", seconds=TYPICAL_S, count=40):
        for _ in range(count):
            self.models.get_model(route, 1.0).learn(seconds)

    def test_new_route_starts_with_the_latency_of_the_others(self):
        self.learn()
        mean_s = self.models.get_model("added", SLOW_OBJECTIVE_S).estimate_mean()
        self.assertThat(mean_s, testtools.matchers.LessThan(TYPICAL_S * 2))

    def test_new_route_is_not_estimated_slower_than_its_objective(self):
        self.learn(seconds=3.0)
        mean_s = self.models.get_model("added", 0.4).estimate_mean()
        self.assertThat(mean_s, testtools.matchers.LessThan(0.4))

    def test_first_answers_have_the_highest_weight(self):
        self.learn("added", 0.05, 8)
        mean_s = self.models.get_model("added", 1.0).estimate_mean()
        self.assertThat(mean_s, testtools.matchers.LessThan(0.2))

    def test_short_request_on_a_new_route_may_wait_at_a_full_server(self):
        self.learn()
        clock = ManualClock(10.0)
        admission_queue = AdmissionQueue(clock)
        admission_queue.resize(1)
        old = self.models.get_model("old", 1.0)
        admission_queue.admit(Ticket(old, 1, clock.now() + 2.0, 1.0, lambda: None))
        added = self.models.get_model("added", SLOW_OBJECTIVE_S)
        admission_queue.admit(Ticket(added, 1, clock.now() + 0.9, 0.32, lambda: None))
        self.assertEqual(1, admission_queue.waiting)
