import random

import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import Document, FleetPolicy, Route
from persimmonlane.draining import Drain, Stage, create_drain
from persimmonlane.invariants import InvariantError

LEASE_S = 3.0
DEADLINE_S = 5.0
STEP_S = 0.05


class DrainTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        self.drain = Drain(self.clock, LEASE_S, DEADLINE_S)

    def test_not_begun(self):
        self.clock.advance(100.0)
        self.assertIs(Stage.SERVING, self.drain.observe(0))
        self.assertTrue(self.drain.accepts)
        self.assertFalse(self.drain.closes)

    def test_serves_during_notice(self):
        self.drain.begin()
        self.clock.advance(LEASE_S - STEP_S)
        self.assertIs(Stage.NOTICE, self.drain.observe(0))
        self.assertTrue(self.drain.accepts and self.drain.closes)

    def test_idle_node_ends_after_notice(self):
        self.drain.begin()
        self.clock.advance(LEASE_S)
        self.assertIs(Stage.FINISHING, self.drain.observe(0))
        self.assertFalse(self.drain.accepts)
        self.assertIs(Stage.DONE, self.drain.observe(0))

    def test_second_begin_changes_nothing(self):
        self.drain.begin()
        self.clock.advance(LEASE_S)
        self.drain.observe(0)
        self.drain.begin()
        self.assertIs(Stage.DONE, self.drain.observe(0))

    def test_waits_for_what_runs(self):
        self.drain.begin()
        self.clock.advance(LEASE_S)
        self.assertIs(Stage.FINISHING, self.drain.observe(2))
        self.clock.advance(DEADLINE_S)
        self.assertIs(Stage.FINISHING, self.drain.observe(1))
        self.assertIs(Stage.DONE, self.drain.observe(0))

    def test_lying_backend_server_delays_no_longer_than_the_deadline(self):
        self.drain.begin()
        self.clock.advance(LEASE_S)
        self.assertIs(Stage.FINISHING, self.drain.observe(0, hosted=9))
        self.clock.advance(DEADLINE_S + 1.0)
        self.assertIs(Stage.DONE, self.drain.observe(0, hosted=9))

    def test_request_beyond_its_deadline_breaks_the_invariant(self):
        self.drain.begin()
        self.clock.advance(LEASE_S)
        self.drain.observe(1)
        self.clock.advance(DEADLINE_S + 1.0)
        self.assertRaises(InvariantError, self.drain.observe, 1)

    def test_request_accepted_while_counting_is_not_cut(self):
        self.drain.begin()
        self.clock.advance(LEASE_S)
        counted = 0
        self.assertTrue(self.drain.accepts)
        self.assertIs(Stage.FINISHING, self.drain.observe(counted))
        self.assertIs(Stage.FINISHING, self.drain.observe(1))

    def test_random_requests_are_never_cut(self):
        for seed in range(50):
            self.run_random(random.Random(seed))

    def run_random(self, rng):
        drain = Drain(self.clock, LEASE_S, DEADLINE_S)
        ends = []
        begin_at = self.clock.now() + rng.random() * 4
        while drain.stage is not Stage.DONE:
            now = self.clock.now()
            if now >= begin_at:
                drain.begin()
            ends = [end for end in ends if end > now]
            if drain.accepts and rng.random() < 0.5:
                ends.append(now + rng.random() * DEADLINE_S)
            drain.observe(len(ends))
            self.clock.advance(STEP_S)
        self.assertEqual([], ends)

    def test_created_from_the_document(self):
        routes = tuple(
            Route(name=name, path="/", service="prices", deadline_ms=deadline_ms)
            for name, deadline_ms in (("a", 100), ("b", 9000))
        )
        fleet = FleetPolicy(key_salt="00" * 8, announcement_lease_s=2.0)
        drain = create_drain(Document(fleet=fleet, routes=routes), self.clock)
        drain.begin()
        self.clock.advance(2.0)
        self.assertIs(Stage.FINISHING, drain.observe(1))
        self.clock.advance(9.0)
        self.assertIs(Stage.FINISHING, drain.observe(1))
