import testtools

from ...clocks import ManualClock
from ..backend import Heartbeat, HostedServer, ServerState


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


class HostedServerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        self.hosted = HostedServer("10.0.0.1:80", "prices", 1.5, self.clock)

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

    def test_invalid_heartbeats_and_those_of_other_servers_are_ignored(self):
        for changes in (
            {"service": "series"},
            {"address": "10.0.0.2:80"},
            {"slots": 0},
            {"cold_s": -1.0},
        ):
            self.assertFalse(self.hosted.apply_heartbeat(build_heartbeat(**changes)))
        self.assertIsNone(self.hosted.current)

    def test_server_without_recent_heartbeats_is_not_ready(self):
        self.hosted.apply_heartbeat(build_heartbeat())
        self.clock.advance(9.1)
        self.assertFalse(self.hosted.is_ready())
