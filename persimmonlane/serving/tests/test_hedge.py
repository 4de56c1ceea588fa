import threading

import testtools
from testtools.matchers import GreaterThan, LessThan

from ...owner.latency import LatencyFigures, LatencyModel
from ...peers.statuses import ServerStatus
from ..hedge import Hedge
from ..placement import Candidate

STEP_S = 0.05
TIMEOUT_S = 30.0


class Ingress:
    def __init__(self):
        self.asked = 0

    def acquire_hedge(self, request):
        self.asked += 1
        return False


class SlowIngress:
    """Reads the body of a hedge only once `prepared` is set."""

    def __init__(self):
        self.prepared = threading.Event()
        self.done = threading.Event()
        self.bodies = []

    def acquire_hedge(self, request):
        return True

    def run_hedge(self, request, watch, first_server_id):
        self.prepared.wait(TIMEOUT_S)
        self.bodies.append(request.body)
        self.done.set()


class Request:
    caller = None

    def __init__(self, deadline):
        self.deadline = deadline


class HedgeTests(testtools.TestCase):
    """When the second attempt of a request is due."""

    def find_due_s(self, latency, deadline, standing="sound"):
        """Return the seconds after which a hedge asks for a token, or None."""
        status = ServerStatus("i-1", "prices", True, 4, 0, 0, standing, 0.0)
        ingress = Ingress()
        candidate = Candidate(status, None, True)
        hedge = Hedge(ingress, Request(deadline), candidate, latency, 0.0)
        self.addCleanup(hedge.close)
        now = 0.0
        while now < deadline:
            hedge.start_if_due(now)
            if ingress.asked:
                return now
            now += STEP_S
        return None

    def build_model(self, median_s):
        model = LatencyModel(1.0)
        model.adopt(LatencyFigures(int(median_s * 1000), 50, 1000))
        model.adopt(LatencyFigures(int(median_s * 1000), 50, 1000))
        model.adopt(LatencyFigures(int(median_s * 1000), 50, 1000))
        return model

    def test_request_that_takes_unusually_long_is_hedged(self):
        due_s = self.find_due_s(self.build_model(0.12), 5.0)
        self.assertThat(due_s, GreaterThan(0.14))
        self.assertThat(due_s, LessThan(0.4))

    def test_node_without_answers_leaves_time_for_the_hedge(self):
        # A call with 0.9 s left on a route that has no objective of its own.
        latency = LatencyModel(1.0)
        due_s = self.find_due_s(latency, 0.9)
        self.assertThat(0.9 - due_s, GreaterThan(latency.estimate_mean()))

    def test_server_that_is_not_healthy_is_hedged_sooner(self):
        latency = LatencyModel(1.0)
        self.assertThat(
            self.find_due_s(latency, 5.0, "trial"),
            LessThan(self.find_due_s(latency, 5.0)),
        )

    def test_request_without_time_for_a_second_attempt_is_not_hedged(self):
        self.assertIsNone(self.find_due_s(self.build_model(0.5), 0.3))

    def test_hedge_that_is_prepared_late_has_the_body(self):
        latency = self.build_model(0.12)
        status = ServerStatus("i-1", "prices", True, 4, 0, 0, "sound", 0.0)
        ingress = SlowIngress()
        request = Request(5.0)
        request.body = b"whole"
        hedge = Hedge(ingress, request, Candidate(status, None, True), latency, 0.0)
        hedge.start_if_due(4.0)
        self.assertTrue(hedge.started)
        request.body = b""
        ingress.prepared.set()
        self.assertTrue(ingress.done.wait(TIMEOUT_S))
        hedge.close()
        self.assertEqual([b"whole"], ingress.bodies)


class FiguresTests(testtools.TestCase):
    def test_node_adopts_what_owners_have_learned(self):
        owner, ingress = LatencyModel(1.0), LatencyModel(1.0)
        for _ in range(50):
            owner.learn(0.1)
        for _ in range(8):
            ingress.adopt(owner.describe())
        self.assertThat(ingress.estimate_mean(), LessThan(0.15))

    def test_node_that_knows_more_keeps_its_own_figures(self):
        model = LatencyModel(1.0)
        for _ in range(50):
            model.learn(0.1)
        before = model.estimate_mean()
        model.adopt(LatencyFigures(3000, 50, 20))
        model.adopt(LatencyFigures())
        self.assertEqual(before, model.estimate_mean())
