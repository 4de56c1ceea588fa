import testtools

from persimmonlane.config.model import Organisation
from persimmonlane.reporting import measures as m

ACME = Organisation(name="acme", rate=10.0, burst=5.0)
BOLT = Organisation(name="bolt", rate=10.0, burst=5.0)


def summarise(*events):
    measures = m.Measures((ACME, BOLT))
    for event in events:
        measures.observe(event)
    return measures.summarise()


class DetectionTest(testtools.TestCase):
    def test_time_from_failure_to_first_ejection(self):
        summary = summarise(
            m.ServerFailed(10.0, "a"),
            m.ServerEjected(11.5, "a"),
            m.ServerReturned(20.0, "a"),
            m.ServerEjected(22.0, "a"),
            m.ServerFailed(30.0, "b"),
            m.ServerRecovered(40.0, "b"),
        )
        self.assertEqual((2, 1), (summary.failures, summary.detected))
        self.assertEqual(1.5, summary.detection_median_s)
        self.assertEqual((2, 0), (summary.ejections, summary.false_ejections))

    def test_an_ejection_without_failure_is_false(self):
        summary = summarise(
            m.ServerEjected(1.0, "a"),
            m.ServerReturned(5.0, "a"),
            m.ServerFailed(6.0, "a"),
            m.ServerRecovered(7.0, "a"),
            m.ServerEjected(8.0, "a"),
        )
        self.assertEqual((2, 2), (summary.ejections, summary.false_ejections))
        self.assertIsNone(summary.detection_median_s)


class RequestsTest(testtools.TestCase):
    def test_refusals_within_the_rate_are_wrongful(self):
        events = [m.RequestAdmitted(0.0, "acme")] * 3
        events += [m.RequestRefused(0.0, "acme", "rate-exceeded")] * 4
        self.assertEqual(2, summarise(*events).wrongful_refusals)

    def test_refusals_beyond_the_rate_are_not(self):
        events = [m.RequestAdmitted(0.0, "acme")] * 5
        events += [m.RequestRefused(0.05, "acme", "rate-exceeded")]
        events += [m.RequestRefused(0.1, "acme", "key-unknown")]
        self.assertEqual(0, summarise(*events).wrongful_refusals)
        events += [m.RequestRefused(0.1, "acme", "overload")]
        self.assertEqual(1, summarise(*events).wrongful_refusals)

    def test_worst_served_organisation(self):
        summary = summarise(
            m.RequestAdmitted(0.0, "acme"),
            m.RequestAdmitted(0.0, "acme"),
            m.RequestAdmitted(0.0, "bolt"),
            m.RequestAdmitted(0.0, "bolt"),
            m.RequestEnded(0.1, "acme", 200, 0.1),
            m.RequestEnded(0.1, "acme", 200, 0.9, late=True),
            m.RequestEnded(0.1, "bolt", 200, 0.1),
            m.RequestEnded(0.1, "bolt", 404, 0.1),
        )
        self.assertEqual("acme", summary.worst_organisation)
        self.assertEqual(0.5, summary.worst_good_share)
        self.assertEqual(1300, summary.worst_p99_ms)

    def test_nothing_served(self):
        self.assertEqual(1.0, summarise().worst_good_share)
