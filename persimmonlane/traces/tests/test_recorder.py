import pathlib
import random
import tempfile

import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import Service
from persimmonlane.traces.files import read_trace
from persimmonlane.traces.recorder import Recorder
from persimmonlane.traces.replay import replay_trace
from persimmonlane.trials.fleet import Fleet
from persimmonlane.trials.sites import sites


class RecorderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "trace.jsonl"

    def record(self, limit_bytes=10**7):
        site = sites.get_by_name("agence")()
        fleet = Fleet(
            site,
            site.build_document(),
            1,
            recorder=lambda clock: Recorder(self.path, limit_bytes, clock),
        )
        address = sorted(fleet.backends)[0]
        fleet.schedule.call_later(1.0, fleet.fail, address, "hung")
        fleet.run(4.0)
        fleet.recorder.close()

    def test_a_recorded_node_replays_to_the_same_answers(self):
        self.record()
        trace = read_trace(self.path)
        kinds = {type(each.event).__name__ for each in trace.events}
        self.assertIn("ServerChosen", kinds)
        self.assertIn("StandingExpected", kinds)
        self.assertIsNone(replay_trace(trace))

    def test_the_size_is_bounded_and_the_file_whole(self):
        self.record(limit_bytes=20000)
        self.assertTrue(self.path.stat().st_size <= 20000)
        self.assertTrue(self.path.read_bytes().endswith(b'"full":true}\n'))
        self.assertIsNone(replay_trace(read_trace(self.path)))

    def test_recorded_instances_pass_other_calls_on(self):
        clock = ManualClock(5.0)
        recorder = Recorder(self.path, 10**6, clock)
        ejector = recorder.create_ejector(
            Service(name="prices"), clock, random.Random(1)
        )
        self.assertEqual(0.0, ejector.connections_since("10.0.0.1:80"))
        recorder.close()
        recorder.close()

    def test_a_request_without_latency(self):
        clock = ManualClock(5.0)
        recorder = Recorder(self.path, 10**6, clock)
        balancer = recorder.create_balancer(
            Service(name="prices"), "a", clock, random.Random(1)
        )
        balancer.start("10.0.0.1:80")
        balancer.finish("10.0.0.1:80", None, False)
        recorder.close()
        trace = read_trace(self.path)
        self.assertIsNone(trace.events[-1].event.latency_s)
        self.assertIsNone(replay_trace(trace))
