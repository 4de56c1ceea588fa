import testtools

from ...membership.servers import BackendServer
from ..detectors import Level
from ..outcome import Kind
from ..standing import State
from .feeds import NEVER_S, Feed, fail_with

WARM_S = 5.0


class DetectionTests(testtools.TestCase):
    def run_fault(self, latency_s, kind, seconds=2.0, **options):
        feed = Feed(**options)
        feed.run(WARM_S)
        feed.run(seconds, fail_with(feed.addresses[0], latency_s, kind))
        return feed

    def assert_only_first_ejected(self, feed):
        for node in range(len(feed.ejectors)):
            states = [r.state for r in feed.ejectors[node].records()]
            self.assertIs(State.EJECTED, states[0])
            self.assertEqual({State.HEALTHY}, set(states[1:]))

    def test_faults_are_detected_within_two_seconds(self):
        for latency_s, kind in (
            (0.2, Kind.OK),
            (0.02, Kind.ERROR),
            (0.02, Kind.SHORT),
            (0.02, Kind.WRONG),
            (0.25, Kind.CONNECT),
        ):
            self.assert_only_first_ejected(self.run_fault(latency_s, kind))

    def test_hung_server_is_found_by_the_age_of_its_requests(self):
        feed = self.run_fault(NEVER_S, Kind.OK)
        self.assert_only_first_ejected(feed)
        self.assertEqual("slow", feed.events_of("ejected")[0].symptom)

    def test_nodes_with_little_traffic_detect_together(self):
        feed = Feed(nodes=4)
        feed.run(20.0, rate=1.0)
        feed.run(10.0, fail_with(feed.addresses[0], 0.2, Kind.OK), rate=1.0)
        self.assert_only_first_ejected(feed)

    def test_no_evidence_comes_of_shedding_and_cancelling(self):
        for kind in (Kind.SHED, Kind.CANCELLED, Kind.STALE):
            feed = self.run_fault(0.02, kind)
            self.assertEqual([], feed.events)

    def test_common_slowness_and_common_errors_eject_nobody(self):
        for answer in ((0.4, Kind.OK), (0.02, Kind.ERROR)):
            feed = Feed(nodes=2)
            feed.run(WARM_S)
            feed.run(10.0, lambda node, address, answer=answer: answer)
            self.assertEqual([], feed.events_of("ejected"))

    def test_pause_ejects_nobody(self):
        feed = Feed(nodes=2, days=30.0)
        feed.run(WARM_S)
        feed.run(0.6, fail_with(feed.addresses[0], 0.4, Kind.OK), rate=50.0)
        feed.run(3.0)
        self.assertEqual([], feed.events_of("ejected"))

    def test_new_server_gets_little_and_is_not_ejected_for_coldness(self):
        feed = Feed()
        feed.run(15.0)
        new = BackendServer("10.0.0.9:80", "basket", "east", 4, since=feed.clock.now())
        feed.servers.append(new)
        feed.addresses.append(new.address)
        feed.ejectors[0].update_servers(feed.servers)
        self.assertEqual(0.1, feed.standing(server=6).weight)
        feed.run(9.0, fail_with(new.address, 0.2, Kind.OK))
        self.assertEqual([], feed.events_of("ejected"))
        self.assertTrue(0.5 < feed.standing(server=6).weight < 1.0)

    def test_baselines_fail_a_server_after_a_row_of_errors(self):
        for name in ("consecutive-errors", "latency-threshold"):
            feed = Feed()
            detection = feed.service.detection
            detection = type(detection)(detector=name)
            service = type(feed.service)(name="basket", detection=detection)
            feed.ejectors[0].set_service(service)
            feed.run(2.0, fail_with(feed.addresses[0], 0.6, Kind.TIMEOUT))
            self.assert_only_first_ejected(feed)


class PoolingTests(testtools.TestCase):
    def hang_at_first_node(self, feed):
        def answer(node, address):
            if node == 0 and address == feed.addresses[0]:
                return NEVER_S, Kind.OK
            return None

        return answer

    def test_single_observer_avoids_and_nobody_ejects(self):
        feed = Feed(nodes=3)
        feed.run(WARM_S)
        feed.run(8.0, self.hang_at_first_node(feed))
        self.assertEqual([], feed.events_of("ejected"))
        self.assertIs(State.SUSPECT, feed.standing(node=0).state)
        self.assertTrue(feed.standing(node=0).idempotent_only)
        self.assertTrue(feed.standing(node=0).weight < 0.1)
        self.assertIs(State.HEALTHY, feed.standing(node=1).state)

    def test_only_active_node_decides_alone(self):
        feed = Feed(nodes=3)
        idle = feed.ejectors[1:]
        feed.ejectors = feed.ejectors[:1]
        feed.run(WARM_S)
        feed.run(3.0, fail_with(feed.addresses[0], 0.2, Kind.OK))
        self.assertIs(State.EJECTED, feed.standing().state)
        self.assertIs(State.HEALTHY, idle[0].standing(feed.addresses[0]).state)

    def test_lost_doubled_and_reordered_evidence_changes_nothing(self):
        straight, shuffled = Feed(nodes=2), Feed(nodes=2)
        sent = []

        def scramble(sender, evidence):
            sent.append((sender, evidence))
            if len(sent) % 3 == 0:
                return
            for item in (*sent[-3:], *sent[-2:]):
                Feed.deliver(shuffled, *item)

        shuffled.deliver = scramble
        for feed in (straight, shuffled):
            feed.run(WARM_S)
            feed.run(3.0, fail_with(feed.addresses[0], 0.2, Kind.OK))
        for feed in (straight, shuffled):
            for node in range(2):
                self.assertIs(State.EJECTED, feed.standing(node=node).state)
            ejected = {event.address for event in feed.events_of("ejected")}
            self.assertEqual({feed.addresses[0]}, ejected)

    def test_doubled_message_adds_no_evidence(self):
        feed = Feed(nodes=2)
        feed.run(WARM_S)
        feed.run(0.6, fail_with(feed.addresses[0], 0.2, Kind.OK))
        evidence = feed.ejectors[0].export_evidence()
        detector = feed.ejectors[1]._detector
        scores = []
        for _ in range(3):
            feed.ejectors[1].merge_evidence("node-0", evidence)
            track = detector._tracks[feed.addresses[0]]
            scores.append(track.find_score())
        self.assertEqual(1, len(set(scores)))


class ConnectionTests(testtools.TestCase):
    def test_silent_pooled_connections_cost_no_ejection(self):
        feed = Feed()
        failing = feed.addresses[0]
        feed.run(WARM_S, pooled=True)
        lost = []

        def answer(node, address):
            # Old connections are silent; new ones work.
            fresh = feed.ejectors[0].connections_since(failing) > WARM_S
            if address != failing or fresh:
                return None
            lost.append(address)
            return NEVER_S, Kind.OK

        feed.run(5.0, answer, pooled=True, rate=2.0)
        self.assertEqual(1, len(lost))
        self.assertEqual([], feed.events_of("ejected"))
        assessment = feed.ejectors[0]._detector.assess(failing)
        self.assertIs(Level.CLEAR, assessment.level)


class ReturnTests(testtools.TestCase):
    def eject(self, feed):
        feed.run(WARM_S)
        feed.run(2.0, fail_with(feed.addresses[0], 0.02, Kind.ERROR))
        self.assertIs(State.EJECTED, feed.standing().state)
        return feed.events_of("ejected")[-1]

    def probe(self, feed, ok=True, seconds=4.0):
        for _ in range(int(seconds / 0.1)):
            feed.run(0.1)
            for address in feed.ejectors[0].due_probes():
                feed.ejectors[0].record_probe(address, ok, 0.025)

    def test_no_probe_is_due_during_the_ejection(self):
        feed = Feed()
        event = self.eject(feed)
        self.assertAlmostEqual(event.at + 10.0, event.until)
        self.assertEqual([], feed.ejectors[0].due_probes())
        feed.run(10.0)
        self.assertEqual([feed.addresses[0]], feed.ejectors[0].due_probes())

    def test_return_goes_by_probes_trickle_and_ramp(self):
        feed = Feed()
        self.eject(feed)
        feed.run(9.0)
        self.probe(feed, ok=False)
        self.assertIs(State.EJECTED, feed.standing().state)
        self.probe(feed)
        self.assertIs(State.TRIAL, feed.standing().state)
        self.assertTrue(feed.standing().idempotent_only)
        self.assertTrue(feed.standing().weight <= 0.05)
        feed.run(60.0)
        names = [event.name for event in feed.events]
        self.assertEqual(["ejected", "trial", "returned"], names[-3:])
        self.assertEqual(1.0, feed.standing().weight)

    def test_trickle_widens_where_traffic_is_scarce(self):
        feed = Feed()
        self.eject(feed)
        feed.run(10.0, rate=1.0)
        self.probe(feed, seconds=2.0)
        feed.run(45.0, rate=1.0)
        self.assertEqual(1, len(feed.events_of("returned")))

    def test_second_ejection_lasts_longer(self):
        feed = Feed()
        self.eject(feed)
        feed.run(9.0)
        self.probe(feed)
        feed.run(60.0, fail_with(feed.addresses[0], 0.02, Kind.ERROR))
        first, second = feed.events_of("ejected")[:2]
        self.assertAlmostEqual(2 * (first.until - first.at), second.until - second.at)

    def test_good_behaviour_forgives_strikes(self):
        feed = Feed()
        self.eject(feed)
        feed.run(9.0)
        self.probe(feed)
        feed.run(180.0)
        self.assertEqual(0, feed.ejectors[0].records()[0].strikes)

    def test_ejected_server_that_vanishes_stays_ejected(self):
        feed = Feed()
        self.eject(feed)
        feed.ejectors[0].update_servers(feed.servers[1:])
        feed.ejectors[0].update_servers(feed.servers)
        self.assertIs(State.EJECTED, feed.standing().state)

    def test_restarted_server_begins_anew(self):
        feed = Feed()
        self.eject(feed)
        old = feed.servers[0]
        new = BackendServer(old.address, "basket", "east", 4, incarnation=2)
        feed.ejectors[0].update_servers([new, *feed.servers[1:]])
        self.assertIs(State.HEALTHY, feed.standing().state)
