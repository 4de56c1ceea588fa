import testtools

from ...clocks import ManualClock
from ..backend import MAX_CLOCK_STEP_S, HostedServer, ServerState
from ..departures import Departure
from ..newcomers import (
    BLIND_PATIENCE_S,
    CHECK_INTERVAL_S,
    STATEMENT_PATIENCE_S,
    STORE_PATIENCE_S,
    Condition,
    ServerStatement,
)
from .test_backend import HEARTBEAT_S, build_heartbeat

WALL_S = 1e9
STARTED_MS = 10**12
BORN_MS = STARTED_MS - 5000


class NewcomerCase(testtools.TestCase):
    """A node that has just started, beside a server that has run for longer."""

    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        self.clock = ManualClock(50.0)
        self.wall_clock = ManualClock(WALL_S)
        self.hosted = HostedServer(
            "10.0.0.1:80", "prices", HEARTBEAT_S, self.clock, self.wall_clock
        )
        self.newcomers = self.hosted.newcomers

    def hear(self, sequence=1, born=BORN_MS, **changes):
        """Apply a heartbeat; return whether the server is used."""
        self.hosted.apply_heartbeat(
            build_heartbeat(sequence=sequence, born=born, **changes)
        )
        return self.hosted.is_ready()

    def say(self, condition, server_id="i-1"):
        """Answer a status check; return whether the server is used."""
        heartbeat = self.newcomers.begin_check()
        self.newcomers.note_statement(heartbeat, ServerStatement(server_id, condition))
        self.hosted.use_newcomer()
        return self.hosted.is_ready()

    def pass_time(self, seconds):
        """Let time pass; return whether the server is used."""
        self.clock.advance(seconds)
        self.hosted.use_newcomer()
        return self.hosted.is_ready()

    def read_store(self, *departures):
        """Read the store's entry; return whether the server is used."""
        self.newcomers.note_departures_read()
        self.hosted.learn_departures(departures)
        self.hosted.use_newcomer()
        return self.hosted.is_ready()


class NewcomerTests(NewcomerCase):
    def test_sound_server_is_used_once_the_store_and_itself_have_answered(self):
        for first, second in (
            (self.read_store, lambda: self.say(Condition.WELL)),
            (lambda: self.say(Condition.WELL), self.read_store),
        ):
            self.start()
            self.assertFalse(self.hear())
            self.assertFalse(first())
            self.assertTrue(second())

    def test_server_whose_departure_the_store_holds_is_never_used(self):
        self.hear()
        self.say(Condition.WELL)
        departure = Departure("i-1", BORN_MS, STARTED_MS - 1000)
        self.assertFalse(self.read_store(departure))
        for sequence in range(2, 9):
            self.assertFalse(self.hear(sequence))
            self.assertFalse(self.pass_time(HEARTBEAT_S))

    def test_server_whose_departure_another_node_knows_is_never_used(self):
        self.hear()
        self.hosted.apply_departure("i-1", BORN_MS)
        self.assertFalse(self.read_store())
        self.assertFalse(self.pass_time(BLIND_PATIENCE_S))

    def test_server_that_says_it_leaves_is_not_used_for_late_heartbeats(self):
        # Its departure was acknowledged without the store, and forgotten by all.
        self.read_store()
        for sequence in (1, 2):
            self.assertFalse(self.hear(sequence))
            self.assertFalse(self.say(Condition.ILL))
            self.clock.advance(CHECK_INTERVAL_S)
        self.assertFalse(self.pass_time(60.0))

    def test_sound_server_that_calls_itself_ill_is_used_when_it_goes_on(self):
        self.read_store()
        for sequence in (1, 2):
            self.assertFalse(self.hear(sequence))
            self.assertFalse(self.say(Condition.ILL))
            self.clock.advance(HEARTBEAT_S)
        self.assertTrue(self.hear(3))

    def test_server_is_asked_again_and_used_when_it_is_well(self):
        self.read_store()
        self.hear()
        self.say(Condition.ILL)
        self.assertIsNone(self.newcomers.begin_check())
        self.clock.advance(CHECK_INTERVAL_S)
        self.assertTrue(self.say(Condition.WELL))

    def test_process_is_dropped_if_another_one_answers_at_its_address(self):
        self.read_store()
        self.hear()
        self.assertFalse(self.say(Condition.WELL, "i-2"))
        self.assertFalse(self.pass_time(60.0))
        self.hear(server_id="i-2", born=BORN_MS + 1000)
        self.assertTrue(self.say(Condition.WELL, "i-2"))

    def test_silent_store_does_not_keep_a_sound_server_out_for_long(self):
        self.hear()
        self.say(Condition.WELL)
        self.assertFalse(self.pass_time(0.9 * STORE_PATIENCE_S))
        self.assertTrue(self.pass_time(0.1 * STORE_PATIENCE_S))

    def test_failed_status_check_does_not_keep_a_sound_server_out_for_long(self):
        self.read_store()
        self.hear()
        self.assertFalse(self.say(Condition.UNKNOWN, ""))
        self.assertTrue(self.pass_time(STATEMENT_PATIENCE_S))

    def test_sound_server_is_used_though_nothing_answers(self):
        self.hear()
        self.assertFalse(self.pass_time(0.9 * BLIND_PATIENCE_S))
        self.assertTrue(self.pass_time(0.1 * BLIND_PATIENCE_S))

    def test_service_without_a_status_check_waits_for_the_store_alone(self):
        self.hear()
        self.assertFalse(self.say(Condition.ABSENT, ""))
        self.assertTrue(self.read_store())

    def test_server_that_started_after_the_node_is_used_at_once(self):
        born = STARTED_MS + int(MAX_CLOCK_STEP_S * 1000) + 1
        self.assertTrue(self.hear(born=born))

    def test_older_process_does_not_take_the_place_of_the_one_held(self):
        self.hear(server_id="i-2", born=BORN_MS + 1000)
        self.hear(9, server_id="i-1")
        self.assertEqual("i-2", self.newcomers.held.server_id)

    def test_draining_server_is_never_used(self):
        self.read_store()
        self.hear()
        self.hosted.apply_heartbeat(
            build_heartbeat(sequence=2, born=BORN_MS, state=ServerState.DRAINING)
        )
        for sequence in (3, 4, 5, 6):
            self.assertFalse(self.hear(sequence))
            self.assertFalse(self.pass_time(HEARTBEAT_S))


class DoubtedSuccessorTests(NewcomerCase):
    """A departure named no process, and the clock has gone back since."""

    def setUp(self):
        super().setUp()
        self.read_store()
        self.hosted.apply_departure("i-1", None)

    def test_successor_is_used_when_it_is_well_and_goes_on(self):
        for sequence in (1, 2):
            self.assertFalse(self.hear(sequence))
            self.clock.advance(HEARTBEAT_S)
        self.assertFalse(self.say(Condition.WELL))
        self.assertTrue(self.hear(3))
        self.assertTrue(self.hear(4))

    def test_departed_process_is_not_used_for_late_heartbeats(self):
        for sequence in range(1, 7):
            self.assertFalse(self.hear(sequence))
            self.assertFalse(self.say(Condition.ILL))
            self.clock.advance(HEARTBEAT_S)
