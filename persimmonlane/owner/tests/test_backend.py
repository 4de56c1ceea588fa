import testtools

from ...clocks import ManualClock
from ..backend import Heartbeat, ServerState
from .hosting import WALL_S, build_hosted

HEARTBEAT_S = 1.5
# Start times in Unix milliseconds.
BORN_MS = 10**12 - 5000
YEAR_MS = 365 * 24 * 3600 * 1000


def build_heartbeat(**changes):
    fields = {
        "server_id": "i-1",
        "service": "prices",
        "address": "10.0.0.1:80",
        "born": 100,
        "sequence": 1,
        "state": ServerState.READY,
        "slots": 4,
        "cold_s": 0.0,
    }
    fields.update(changes)
    return Heartbeat(**fields)


class HostedServerCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        self.clock = ManualClock(50.0)
        self.hosted = build_hosted(self.clock, heartbeat_s=HEARTBEAT_S)

    def send(self, count, **changes):
        """Send heartbeats at their interval; return whether the server was ready."""
        first = changes.pop("sequence", 1)
        ready = []
        for sequence in range(first, first + count):
            self.hosted.apply_heartbeat(build_heartbeat(sequence=sequence, **changes))
            ready.append(self.hosted.is_ready())
            self.clock.advance(HEARTBEAT_S)
        return all(ready)


class HostedServerTests(HostedServerCase):
    def test_first_heartbeat_makes_the_server_ready(self):
        self.assertTrue(self.hosted.apply_heartbeat(build_heartbeat()))
        self.assertTrue(self.hosted.is_ready())

    def test_outdated_heartbeat_does_not_end_draining(self):
        self.hosted.apply_heartbeat(
            build_heartbeat(sequence=5, state=ServerState.DRAINING)
        )
        self.hosted.apply_heartbeat(build_heartbeat(sequence=4))
        self.assertFalse(self.hosted.is_ready())

    def test_heartbeat_of_an_older_incarnation_is_ignored(self):
        self.hosted.apply_heartbeat(build_heartbeat(server_id="i-2", born=200))
        self.hosted.apply_heartbeat(
            build_heartbeat(sequence=99, state=ServerState.DRAINING)
        )
        self.assertTrue(self.hosted.is_ready())
        self.assertTrue(self.hosted.is_current("i-2"))

    def test_restart_with_the_same_identifier_resets_the_sequence(self):
        self.hosted.apply_heartbeat(build_heartbeat(sequence=90))
        self.hosted.apply_departure("i-1", None)
        self.hosted.apply_heartbeat(build_heartbeat(born=101, sequence=1))
        self.assertTrue(self.hosted.is_ready())

    def test_heartbeat_after_the_departure_is_ignored(self):
        self.hosted.apply_heartbeat(build_heartbeat())
        self.hosted.apply_departure("i-1", 100)
        self.hosted.apply_heartbeat(build_heartbeat(sequence=2))
        self.assertFalse(self.hosted.is_ready())

    def test_departure_of_an_older_incarnation_is_ignored(self):
        self.hosted.apply_heartbeat(build_heartbeat(born=200))
        self.assertFalse(self.hosted.apply_departure("i-1", 100))
        self.assertTrue(self.hosted.is_ready())

    def test_heartbeats_of_other_servers_are_ignored(self):
        for changes in (
            {"service": "series"},
            {"address": "10.0.0.2:80"},
        ):
            self.assertFalse(self.hosted.apply_heartbeat(build_heartbeat(**changes)))
        self.assertIsNone(self.hosted.current)

    def test_server_without_recent_heartbeats_is_not_ready(self):
        self.hosted.apply_heartbeat(build_heartbeat())
        self.clock.advance(9.1)
        self.assertFalse(self.hosted.is_ready())


class UnseenDepartureTests(HostedServerCase):
    """A node that has just started hears of a departure before any heartbeat."""

    def test_departure_without_a_start_time_binds_the_process_that_ran(self):
        # A late heartbeat made the departed server ready again.
        self.hosted.apply_departure("i-1", None)
        for sequence in (1, 2, 3):
            self.hosted.apply_heartbeat(
                build_heartbeat(born=BORN_MS, sequence=sequence)
            )
            self.clock.advance(HEARTBEAT_S)
        self.assertFalse(self.hosted.is_ready())

    def test_departure_without_a_start_time_spares_the_successor(self):
        self.hosted.apply_departure("i-1", None)
        self.assertTrue(self.send(1, born=int(WALL_S * 1000) + 2000))

    def test_departure_without_a_start_time_spares_other_servers(self):
        self.hosted.apply_departure("i-1", None)
        self.assertTrue(self.send(1, server_id="i-2", born=BORN_MS))

    def test_departure_with_a_start_time_binds_that_process_and_no_later_one(self):
        self.hosted.apply_departure("i-1", BORN_MS)
        self.assertFalse(self.send(3, born=BORN_MS))
        self.assertTrue(self.send(1, born=BORN_MS + 4000))

    def test_process_older_than_the_departed_one_is_used_when_it_goes_on(self):
        self.hosted.apply_departure("i-1", BORN_MS)
        self.hosted.apply_heartbeat(build_heartbeat(born=BORN_MS - 1000))
        self.assertFalse(self.hosted.is_ready())
        self.send(3, born=BORN_MS - 1000, sequence=2)
        self.assertTrue(self.hosted.is_ready())

    def test_departure_of_a_later_process_ends_the_current_one(self):
        self.send(1, born=BORN_MS)
        self.assertTrue(self.hosted.apply_departure("i-1", BORN_MS + 1000))
        self.assertFalse(self.send(2, born=BORN_MS, sequence=2))
        self.assertFalse(self.send(2, born=BORN_MS + 1000))
        self.assertTrue(self.send(1, born=BORN_MS + 2000))

    def test_departure_of_an_older_process_is_remembered(self):
        self.hosted.apply_heartbeat(build_heartbeat(born=200))
        self.hosted.apply_departure("i-1", 100)
        self.assertTrue(self.hosted.is_ready())
        self.assertIsNotNone(self.hosted.departures.find(build_heartbeat(born=100)))


class OddHeartbeatTests(HostedServerCase):
    """A heartbeat from another writer bears the real server's name and address."""

    def test_odd_heartbeat_leaves_the_real_server_in_use(self):
        for odd in (
            {"born": BORN_MS + YEAR_MS},
            {"born": 10**40},
            {"born": BORN_MS, "sequence": 10**400},
            {"born": BORN_MS, "sequence": 5000},
            {"born": BORN_MS + YEAR_MS, "state": ServerState.DRAINING},
            {"born": BORN_MS, "sequence": 5000, "state": ServerState.DRAINING},
        ):
            self.start()
            self.assertTrue(self.send(3, born=BORN_MS))
            self.hosted.apply_heartbeat(build_heartbeat(**odd))
            self.assertTrue(self.send(12, born=BORN_MS, sequence=4), odd)
            self.assertEqual(BORN_MS, self.hosted.current.born, odd)
            self.assertEqual(15, self.hosted.current.sequence, odd)

    def test_odd_heartbeat_before_the_first_one_names_no_server(self):
        self.hosted.apply_heartbeat(build_heartbeat(born=BORN_MS + YEAR_MS))
        self.assertFalse(self.hosted.is_ready())
        self.assertTrue(self.send(1, born=BORN_MS))

    def test_real_server_returns_after_a_heartbeat_that_could_be_true(self):
        for odd in ({"born": BORN_MS + 1000}, {"born": BORN_MS, "sequence": 900}):
            self.start()
            self.send(3, born=BORN_MS)
            self.hosted.apply_heartbeat(build_heartbeat(**odd))
            self.send(3, born=BORN_MS, sequence=4)
            self.assertEqual(
                (BORN_MS, 6), (self.hosted.current.born, self.hosted.current.sequence)
            )
            self.assertTrue(self.hosted.is_ready())

    def test_odd_departure_leaves_the_real_server_in_use(self):
        self.send(3, born=BORN_MS)
        self.assertFalse(self.hosted.apply_departure("i-1", BORN_MS + YEAR_MS))
        self.assertTrue(self.send(3, born=BORN_MS, sequence=4))

    def test_restarted_server_is_used_at_once(self):
        self.send(3, born=BORN_MS)
        self.assertTrue(self.send(1, born=BORN_MS + 4000))
        self.assertEqual(BORN_MS + 4000, self.hosted.current.born)

    def test_server_restarted_after_its_clock_went_back_is_used_when_it_goes_on(self):
        self.send(3, born=BORN_MS)
        self.send(3, born=BORN_MS - 60000)
        self.assertEqual(BORN_MS - 60000, self.hosted.current.born)
        self.assertTrue(self.hosted.is_ready())

    def test_server_ahead_of_the_clock_of_its_node_is_used_when_it_goes_on(self):
        self.send(3, born=BORN_MS + YEAR_MS)
        self.assertTrue(self.hosted.is_ready())

    def test_late_heartbeats_of_a_crashed_process_do_not_bring_it_back(self):
        self.send(9, born=BORN_MS)
        self.send(1, born=BORN_MS + 15000)
        for sequence in range(10, 15):
            late = build_heartbeat(born=BORN_MS, sequence=sequence)
            self.hosted.apply_heartbeat(late)
        self.send(1, born=BORN_MS + 15000, sequence=2)
        late = build_heartbeat(born=BORN_MS, sequence=16)
        self.hosted.apply_heartbeat(late)
        self.assertEqual(BORN_MS + 15000, self.hosted.current.born)

    def test_departed_server_does_not_return_by_late_heartbeats(self):
        self.send(3, born=BORN_MS)
        self.hosted.apply_departure("i-1", BORN_MS)
        self.send(9, born=BORN_MS, sequence=4)
        self.assertFalse(self.hosted.is_ready())
