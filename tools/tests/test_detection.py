import testtools
from testtools.matchers import LessThan

from ..detection import FAILING_RATIO, FAILING_S, HEALTHY_S, Service

# Half of the requests that a service loses whose failures nobody notices.
MAX_LOST_RATIO = 0.5 * FAILING_RATIO * FAILING_S / (FAILING_S + HEALTHY_S)


class DetectionTests(testtools.TestCase):
    """Servers that fail 75 % of their requests for nine seconds of thirty."""

    def measure_lost_ratio(self, kind):
        totals = Service(1.0, kind).run()
        return totals.lost / totals.unsafe

    def test_errors_are_detected_at_one_request_a_second(self):
        self.assertThat(self.measure_lost_ratio("errors"), LessThan(MAX_LOST_RATIO))

    def test_hangs_are_detected_at_one_request_a_second(self):
        self.assertThat(self.measure_lost_ratio("hang"), LessThan(MAX_LOST_RATIO))

    def test_healthy_servers_stay_in_use(self):
        totals = Service(3.0, "healthy").run()
        self.assertEqual(0.0, totals.unused_s)
