import heapq
import itertools
import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from ...clocks import ManualClock
from ...errors import Refusal
from ...explaining.tests.test_events import capture_records
from ...fleetsettings import FleetSettings
from ...headers import Header
from ...platform.headers import parse_status_answer
from ...routing.rulebook import ColdStart
from ..admission import AdmissionQueue, Ticket
from ..coldstart import TRANSIT_S, WINDOW_S, ColdStartLimit
from ..latency import LatencyModel
from .test_owner import OwnerTestCase, build_order

SEEDS = 2000
HEARTBEAT_S = 1.5
MAX_HEARTBEAT_DELAY_S = 6.0
MAX_CHECK_S = 0.4
TICK_S = 0.1
SLOTS = 12
LIMITS = (
    # Rate, ratio, slack.
    (2.0, 1.5, 8.0),
    (0.4, 1.0, 0.0),
    (5.0, 1.0, 2.0),
    (1.7, 1.5, 1.0),
)


def build_settings(ratio=1.5, slack=8.0, has_evacuations=False):
    """Return the `FleetSettings` fields that the limit reads."""
    names = {**dict.fromkeys(FleetSettings.__slots__), **FleetSettings.DEFAULTS}
    settings = FleetSettings(**names)
    settings.heartbeat_s = HEARTBEAT_S
    settings.cold_ratio, settings.cold_slack = ratio, slack
    settings.has_evacuations = has_evacuations
    return settings


def count_most_in_one_second(times):
    """Return the largest number of sorted times within one second."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class ColdServer:
    """A backend server that turns cold at random moments, and what it gets then."""

    def __init__(self, rng, clock):
        self._rng = rng
        self._clock = clock
        self.cold_until = rng.choice((0.0, rng.uniform(0.0, 4.0)))
        self.arrivals = []

    def turn_cold(self):
        """Turn cold, or remain so for longer; never twice in a second."""
        now = self._clock.now()
        if not self.cold_until <= now < self.cold_until + WINDOW_S:
            until = now + self._rng.uniform(0.5, 5.0)
            self.cold_until = max(self.cold_until, until)

    def get_cold_s(self):
        return max(0.0, self.cold_until - self._clock.now())

    def note_arrival(self):
        if self.get_cold_s() > 0.0:
            self.arrivals.append(self._clock.now())


class World:
    """An owner, its backend server and the nodes that send requests, by event order."""

    def __init__(self, seed, duration_s=9.0):
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        rate, ratio, slack = self.rng.choice(LIMITS)
        self.start = ColdStart(10.0, rate)
        self.settings = build_settings(ratio, slack)
        self.bound = max(1, int(rate * ratio + slack))
        self.server = ColdServer(self.rng, self.clock)
        self.latency = LatencyModel(0.5)
        self.events = []
        self.order = itertools.count()
        self.sequence = itertools.count()
        self.newest = -1
        self.queue = None
        self.stopped = None
        self.generation = 0
        self.end_s = duration_s
        self.check_s = MAX_CHECK_S
        self.refusals = []
        self.restart_owner()
        self.schedule(0.0, self.send_heartbeat)
        self.schedule(0.0, self.tick)
        for _ in range(self.rng.randint(1, 4)):
            self.schedule(0.0, self.send_requests, self.rng.uniform(5.0, 60.0))
        for disturb in (
            self.server.turn_cold,
            self.server.turn_cold,
            self.stop_owner,
            self.pause,
            self.suspend,
        ):
            if self.rng.random() < 0.6:
                self.schedule(self.rng.uniform(0.0, duration_s), disturb)

    def schedule(self, delay_s, call, *arguments):
        entry = (self.clock.now() + delay_s, next(self.order), call, arguments)
        heapq.heappush(self.events, entry)

    def run(self):
        while self.events and self.events[0][0] < self.end_s:
            at, _, call, arguments = heapq.heappop(self.events)
            self.clock.seconds = max(self.clock.seconds, at)
            call(*arguments)
        return sorted(self.server.arrivals)

    def restart_owner(self):
        self.generation += 1
        self.newest = -1
        self.queue = AdmissionQueue(self.clock, self.settings)
        self.queue.cold.set_start(self.start)

    def stop_owner(self):
        """Kill the process; what it had dispatched still arrives."""
        self.stopped = self.queue
        self.queue.resize(0)
        self.schedule(self.rng.uniform(0.0, 2.0), self.restart_owner)

    def pause(self):
        """Send nothing for a while, as during an evacuation; it may turn cold then."""
        self.queue.resize(0)
        if self.rng.random() < 0.5:
            self.schedule(self.rng.uniform(0.0, 1.0), self.server.turn_cold)
        self.schedule(self.rng.uniform(0.2, 3.0), self.resume, self.queue)

    def resume(self, queue):
        if queue is self.queue and queue is not self.stopped:
            queue.resize(SLOTS)

    def suspend(self):
        """Suspend the VM: its clock steps forward, its timers fire late."""
        self.clock.advance(self.rng.uniform(0.5, 3.0))

    def send_heartbeat(self):
        late_s = self.rng.choice((0.0, self.rng.uniform(0.0, MAX_HEARTBEAT_DELAY_S)))
        content = (next(self.sequence), self.server.get_cold_s())
        self.schedule(late_s, self.receive_heartbeat, *content)
        self.schedule(HEARTBEAT_S, self.send_heartbeat)

    def receive_heartbeat(self, sequence, cold_s):
        if sequence <= self.newest or self.queue is self.stopped:
            return
        is_first = self.newest < 0
        self.newest = sequence
        if is_first:
            self.queue.resize(SLOTS)
        self.queue.cold.note_heartbeat(cold_s)

    def tick(self):
        asked_at = self.queue.cold.begin_check()
        if asked_at is not None:
            self.schedule(
                self.rng.uniform(0.0, self.check_s / 2),
                self.answer_check,
                asked_at,
                self.generation,
            )
        self.queue.admit_waiting()
        self.schedule(TICK_S, self.tick)

    def answer_check(self, asked_at, generation):
        late_s = self.rng.uniform(0.0, self.check_s / 2)
        cold_s = self.server.get_cold_s()
        if self.rng.random() < 0.2:
            cold_s = None
        self.schedule(late_s, self.receive_answer, asked_at, generation, cold_s)

    def receive_answer(self, asked_at, generation, cold_s):
        if generation == self.generation:
            self.queue.cold.note_statement(asked_at, cold_s)

    def send_requests(self, rate):
        self.request()
        self.schedule(self.rng.expovariate(rate), self.send_requests, rate)

    def request(self):
        now = self.clock.now()
        queue = self.queue
        wait_s = self.rng.choice((0.05, 0.5))
        ticket = Ticket(self.latency, 1, now + 5.0, wait_s, lambda: None)
        ticket.wake = lambda: self.begin(queue, ticket)
        try:
            queue.admit(ticket)
        except Refusal as refusal:
            self.refusals.append(refusal)
            return
        if ticket.granted_at is not None:
            self.begin(queue, ticket)

    def begin(self, queue, ticket):
        if ticket.refusal is not None:
            return
        self.schedule(self.rng.uniform(0.0, TRANSIT_S), self.server.note_arrival)
        work_s = self.rng.uniform(TRANSIT_S, 0.5)
        self.schedule(work_s, lambda: queue.release(ticket))


class ColdServerLoadTests(testtools.TestCase):
    """Guards against more requests to a cold server than it survives."""

    def test_bound_holds_for_requests_heartbeats_restarts_pauses_in_any_order(self):
        cold_requests = 0
        for seed in range(SEEDS):
            world = World(seed)
            arrivals = world.run()
            cold_requests += len(arrivals)
            most = count_most_in_one_second(arrivals)
            self.assertFalse(most > world.bound, (seed, most, world.bound))
        self.assertThat(cold_requests, GreaterThan(SEEDS))

    def test_heavy_load_on_a_warm_server_is_hardly_limited(self):
        world = self.build_undisturbed_world(cold_s=0.0)
        served = self.count_granted(world, 20.0)
        # Without a limit it serves all that its slots can hold.
        world = self.build_undisturbed_world(cold_s=0.0)
        world.queue.cold.set_start(ColdStart(10.0, None))
        self.assertThat(served, GreaterThan(0.8 * self.count_granted(world, 20.0)))

    def test_heavy_load_on_a_cold_server_gets_its_rate_and_not_more(self):
        world = self.build_undisturbed_world(cold_s=40.0)
        served = self.count_granted(world, 20.0)
        expected = world.start.rate * 20.0
        self.assertThat(served, GreaterThan(0.85 * expected))
        self.assertThat(served, LessThan(1.1 * expected + 1))

    def build_undisturbed_world(self, cold_s):
        world = World(3)
        world.events = []
        world.end_s = 20.0
        world.start = ColdStart(10.0, 2.0)
        world.settings.cold_ratio, world.settings.cold_slack = 1.5, 8.0
        world.server.cold_until = cold_s
        world.check_s = 0.02
        world.restart_owner()
        world.schedule(0.0, world.send_heartbeat)
        world.schedule(0.0, world.tick)
        world.schedule(0.0, world.send_requests, 24.0)
        return world

    def count_granted(self, world, seconds):
        granted = []
        world.begin_request = world.begin
        world.begin = lambda queue, ticket: (
            granted.append(ticket) if ticket.refusal is None else None,
            world.begin_request(queue, ticket),
        )
        world.end_s = seconds
        world.run()
        return len(granted)


class ColdStartLimitTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        self.cold = ColdStartLimit(self.clock, build_settings())
        self.cold.set_start(ColdStart(5.0, 2.0))
        self.cold.end_pause()
        self.clock.advance(WINDOW_S)

    def advance(self, seconds):
        """Move the clock forward in the steps of the owner's ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.cold.observe()

    def confirm(self):
        """Have the server say that it is warm; nothing was sent to it lately."""
        self.advance(1.2)
        self.cold.note_statement(self.cold.begin_check(), 0.0)

    def take(self, count):
        for _ in range(count):
            self.cold.take(self.clock.now())

    def count_free(self):
        free = 0
        while self.cold.get_wait_s() <= 0.0 and free < 100:
            self.cold.take(self.clock.now())
            free += 1
        return free

    def test_server_without_a_rate_is_neither_limited_nor_asked(self):
        self.cold.set_start(ColdStart(5.0, None))
        self.cold.note_heartbeat(4.0)
        self.take(100)
        self.assertEqual(0.0, self.cold.get_wait_s())
        self.assertEqual(0.0, self.cold.get_cold_s())
        self.assertIsNone(self.cold.begin_check())

    def test_first_window_after_a_restart_of_the_node_gets_nothing(self):
        cold = ColdStartLimit(self.clock, build_settings())
        cold.set_start(ColdStart(5.0, 2.0))
        self.assertAlmostEqual(WINDOW_S, cold.get_wait_s())

    def test_server_counts_as_cold_after_a_pause(self):
        self.confirm()
        self.assertEqual(11, self.count_free())
        self.cold.begin_pause()
        self.advance(9.0)
        self.cold.end_pause()
        self.assertEqual(2, self.count_free())
        self.assertThat(self.cold.get_cold_s(), GreaterThan(0.0))

    def test_answer_to_a_question_from_before_the_pause_ends_no_care(self):
        self.clock.advance(1.0)
        asked_at = self.cold.begin_check()
        self.cold.begin_pause()
        self.clock.advance(0.1)
        self.cold.end_pause()
        self.cold.note_statement(asked_at, 0.0)
        self.assertTrue(self.cold.is_assumed_cold)

    def test_late_heartbeat_ends_no_care_and_a_later_one_does(self):
        self.cold.note_heartbeat(0.0)
        self.assertTrue(self.cold.is_assumed_cold)
        self.clock.advance(6 * HEARTBEAT_S)
        self.cold.note_heartbeat(0.0)
        self.assertFalse(self.cold.is_assumed_cold)

    def test_server_that_turned_cold_unnoticed_gets_no_more_than_the_bound(self):
        self.confirm()
        self.assertEqual(11, self.count_free())
        self.assertThat(self.cold.get_wait_s(), GreaterThan(1.0))
        self.advance(0.2)
        self.cold.note_statement(self.cold.begin_check(), 3.0)
        self.assertThat(self.cold.get_cold_s(), GreaterThan(2.9))

    def test_answer_that_says_nothing_confirms_nothing(self):
        self.clock.advance(1.0)
        self.cold.note_statement(self.cold.begin_check(), None)
        self.assertTrue(self.cold.is_assumed_cold)

    def test_changed_settings_and_document_apply_at_once(self):
        self.confirm()
        self.cold._settings.cold_slack = 2.0
        self.assertEqual(5, self.count_free())
        self.advance(2.0)
        self.cold.set_start(ColdStart(5.0, 4.0))
        self.assertEqual(8, self.count_free())

    def test_wait_grows_with_the_requests_ahead(self):
        self.assertEqual(2, self.count_free())
        waits = [self.cold.get_wait_s(ahead) for ahead in range(5)]
        self.assertEqual([1.0, 1.0, 2.0, 2.0, 3.0], [round(w, 6) for w in waits])

    def test_request_that_is_dispatched_late_counts_at_its_dispatch(self):
        # Guards against a burst of requests whose threads have run late.
        granted_at = self.clock.now()
        self.take(1)
        self.assertTrue(self.cold.confirm(granted_at))
        self.advance(2.0)
        self.take(self.cold.bound)
        self.assertFalse(self.cold.confirm(granted_at))
        self.advance(2.0)
        self.assertTrue(self.cold.confirm(granted_at))
        self.take(self.cold.bound - 1)
        self.assertThat(self.cold.get_wait_s(), GreaterThan(0.0))

    def test_without_a_document_nothing_is_sent_where_servers_may_be_cold(self):
        self.cold.set_start(None)
        self.assertEqual(0.0, self.cold.get_wait_s())
        cold = ColdStartLimit(self.clock, build_settings(has_evacuations=True))
        cold.set_start(None)
        self.assertThat(cold.get_wait_s(), GreaterThan(0.0))

    def test_duration_that_the_document_contradicts_is_logged_once(self):
        records = capture_records(self, "persimmonlane.owner")
        for _ in range(3):
            self.cold.note_heartbeat(600.0)
            self.cold.note_malformed()
        events = [getattr(record, "event", "") for record in records]
        self.assertEqual(1, events.count("cold-start-implausible"))
        self.assertThat(self.cold.get_cold_s(), GreaterThan(599.0))


class ColdOwnerTests(OwnerTestCase):
    """A service whose servers take two requests a second while they are cold."""

    def setUp(self):
        super().setUp()
        cold = self.owner.admission_queue.cold
        cold._settings = build_settings()
        self.owner.find_cold_start = lambda: ColdStart(5.0, 2.0)
        self.clock.advance(WINDOW_S)

    def test_request_beyond_the_rate_is_refused_at_once_with_its_wait(self):
        self.owner.admission_queue.resize(20)
        self.owner.hosted.current.slots = 20
        for _ in range(2):
            order = build_order()
            ticket = self.owner._build_ticket(order, self.clock.now(), lambda: None)
            self.owner._admit(order, ticket)
        report = self.owner.check_admission(build_order())
        self.assertEqual("server-cold", report.code)
        self.assertAlmostEqual(1.0, report.wait_s)
        self.assertThat(self.owner.status.describe(False).cold_s, GreaterThan(0.0))


class StatusAnswerTests(testtools.TestCase):
    def parse(self, *values):
        headers = [Header("X-Cold-Ms", value) for value in values]
        headers.append(Header("X-Instance-Id", "i-1"))
        return parse_status_answer(200, headers)

    def test_answer_says_for_how_long_the_server_is_cold(self):
        self.assertEqual(2.5, self.parse("2500").cold_s)
        self.assertEqual(0.0, self.parse("0").cold_s)
        self.assertEqual(0.0, self.parse().cold_s)

    def test_malformed_time_says_nothing(self):
        for text in ("", "-1", "nan", "1e3", "3600001", "9" * 30, "\u0661"):
            statement = self.parse(text)
            self.assertIsNone(statement.cold_s, text)
            self.assertTrue(statement.is_cold_malformed)
        self.assertIsNone(self.parse("1", "2").cold_s)
