import pathlib
import random
import tempfile

import testtools

from ...clocks import ManualClock
from ...config.model import Service
from ...ejection.outcome import Kind, Outcome
from ...errors import Refusal
from ...invariants import InvariantError
from ...membership.servers import BackendServer
from ...overload import QueuedRequest
from ...traces.files import read_trace
from ...traces.recorder import Recorder
from ...traces.replay import replay_trace
from ...verdicts import Verdict
from ..dispatcher import Dispatcher
from ..plans import Arrival


class DispatcherTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.dispatcher = self.create()

    def create(self, makers=None, **service):
        return Dispatcher(
            Service(name="prices", **service),
            "a",
            lambda organisation: 1.0,
            self.clock,
            random.Random(7),
            lambda address: False,
            makers,
        )

    def serve(self, *addresses, slots=1):
        self.dispatcher.update_servers(
            [BackendServer(address, "prices", "a", slots) for address in addresses]
        )

    def arrive(self, organisation="feria", **changes):
        fields = {
            "service": "prices",
            "idempotent": True,
            "deadline": self.clock.now() + 5.0,
            "excluded": frozenset(),
            "retry": False,
            "reply": None,
        }
        fields.update(changes)
        return Arrival(organisation, **fields)

    def end(self, plan, kind=Kind.OK):
        self.dispatcher.end(
            Outcome(plan.address, plan.attempt, kind, 0.01, Verdict.RAN)
        )

    def test_request_without_backend_server_is_refused_as_not_run(self):
        error = self.assertRaises(Refusal, self.dispatcher.place, self.arrive())
        self.assertEqual("no-backend-server", error.code)
        self.assertIs(Verdict.NOT_RUN, error.verdict)

    def test_request_goes_to_a_free_server(self):
        self.serve("s1", "s2")
        chosen = {self.dispatcher.place(self.arrive()).address for _ in range(2)}
        self.assertEqual({"s1", "s2"}, chosen)

    def test_request_waits_until_a_server_is_free(self):
        self.serve("s1")
        plan = self.dispatcher.place(self.arrive())
        waiting = self.arrive()
        self.assertIsNone(self.dispatcher.place(waiting))
        self.assertEqual([], list(self.dispatcher.place_queued()))
        self.end(plan)
        placements = list(self.dispatcher.place_queued())
        self.assertIs(waiting, placements[0].arrival)

    def test_later_request_does_not_overtake_a_waiting_one(self):
        self.serve("s1")
        plan = self.dispatcher.place(self.arrive())
        self.dispatcher.place(self.arrive())
        self.end(plan)
        self.assertIsNone(self.dispatcher.place(self.arrive()))

    def test_waiting_request_is_refused_before_its_deadline(self):
        self.serve("s1")
        self.dispatcher.place(self.arrive())
        waiting = self.arrive()
        self.dispatcher.place(waiting)
        self.clock.advance(5.1)
        rejections = list(self.dispatcher.expire())
        self.assertIs(waiting, rejections[0].arrival)
        self.assertIs(Verdict.NOT_RUN, rejections[0].refusal.verdict)

    def test_queue_is_bounded(self):
        self.dispatcher = self.create(queue_limit=3)
        self.serve("s1")
        for _ in range(4):
            self.dispatcher.place(self.arrive())
        error = self.assertRaises(Refusal, self.dispatcher.place, self.arrive())
        self.assertIs(Verdict.NOT_RUN, error.verdict)

    def test_server_that_left_gets_no_new_work(self):
        self.serve("s1", "s2", slots=9)
        self.serve("s2", slots=9)
        chosen = {self.dispatcher.place(self.arrive()).address for _ in range(9)}
        self.assertEqual({"s2"}, chosen)

    def test_choice_of_a_server_that_left_is_noticed(self):
        self.serve("s1")
        gone = BackendServer("s0", "prices", "a", 1)
        self.dispatcher.balancer.choose = lambda servers, choice: gone
        error = self.assertRaises(InvariantError, self.dispatcher.place, self.arrive())
        self.assertEqual("invariant-leaving", error.code)

    def test_retry_does_not_go_to_a_server_tried_before(self):
        self.serve("s1", "s2")
        retry = self.arrive(excluded=frozenset(("s1",)), retry=True)
        self.assertEqual("s2", self.dispatcher.place(retry).address)

    def test_retry_without_another_server_is_refused(self):
        self.serve("s1")
        retry = self.arrive(excluded=frozenset(("s1",)), retry=True)
        error = self.assertRaises(Refusal, self.dispatcher.place, retry)
        self.assertEqual("no-backend-server", error.code)

    def test_request_that_no_server_may_take_lets_others_pass(self):
        self.serve("s1")
        plan = self.dispatcher.place(self.arrive())
        barred = self.arrive(excluded=frozenset(("s1",)))
        self.dispatcher._queue.offer(
            QueuedRequest("feria", barred.deadline, payload=barred)
        )
        waiting = self.arrive("almacen")
        self.dispatcher.place(waiting)
        self.end(plan)
        placed = [item.arrival for item in self.dispatcher.place_queued()]
        self.assertEqual([waiting], placed)
        self.clock.advance(5.1)
        refused = [item.arrival for item in self.dispatcher.expire()]
        self.assertEqual([barred], refused)

    def test_change_of_policy_keeps_what_waits(self):
        self.serve("s1")
        plan = self.dispatcher.place(self.arrive())
        self.dispatcher.place(self.arrive())
        self.dispatcher.set_service(Service(name="prices", queue_limit=5))
        self.end(plan)
        self.assertEqual(1, len(list(self.dispatcher.place_queued())))

    def test_recorded_decisions_replay_to_the_same_answers(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "trace.jsonl"
        recorder = Recorder(path, 10**6, self.clock)
        self.dispatcher = self.create(recorder, balancing="random")
        self.serve("s1", "s2", "s3", slots=4)
        for _ in range(20):
            self.clock.advance(0.0123456789)
            self.end(self.dispatcher.place(self.arrive()))
            self.dispatcher.ejector.tick()
        recorder.close()
        trace = read_trace(path)
        self.assertTrue(len(trace.events) > 100)
        self.assertIsNone(replay_trace(trace))
