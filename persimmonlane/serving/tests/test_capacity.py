"""Questions to owners before a request is sent to their data centre."""

import testtools

from ...clocks import ManualClock
from ...peers.peer import Peer
from ...routing.metadata import OwnerReport
from ...verdicts import Verdict
from ..capacity import CAPACITY_UNKNOWN, MIN_BODY_BYTES, CapacityClient
from ..linkbudget import LinkBudget
from .test_regions import build_settings

ROUND_TRIP_S = 0.03


class Actor:
    """Answers questions of capacity with a code, or not at all."""

    def __init__(self, clock, code):
        self.asked = 0
        self._clock = clock
        self._code = code

    def tell(self, query):
        self.asked += 1
        self._clock.advance(ROUND_TRIP_S)
        if self._code is not None:
            query.reply.set(OwnerReport("not-run", self._code, 4, 2, "sound", 0.3))


class Request:
    def __init__(self, size):
        self.body = b"x" * size


class Order:
    server_id = "i-1"


class CapacityTests(testtools.TestCase):
    def check(self, data_centre, size, code=""):
        """Return what a check gives, and the number of questions that were sent."""
        clock = ManualClock(5.0)
        self.budget = LinkBudget(1e6, clock)
        actor = Actor(clock, code)
        client = CapacityClient(build_settings(), clock, actor, self.budget)
        peer = Peer("n-1", "10.0.0.1:80", 5.0, data_centre)
        return client.check(Request(size), Order(), peer), actor.asked

    def test_other_regions_are_always_asked(self):
        self.assertEqual((None, 1), self.check("north-1", 0))

    def test_within_the_region_long_bodies_only_are_worth_a_question(self):
        self.assertEqual((None, 0), self.check("south-2", MIN_BODY_BYTES - 1))
        self.assertEqual((None, 1), self.check("south-2", MIN_BODY_BYTES))
        self.assertEqual((None, 0), self.check("south-1", MIN_BODY_BYTES))

    def test_owner_without_capacity_is_sent_nothing(self):
        for data_centre in ("north-1", "south-2"):
            attempt, _ = self.check(data_centre, MIN_BODY_BYTES, "server-busy")
            self.assertEqual(("server-busy", 0.3), (attempt.code, attempt.wait_s))
            self.assertIs(Verdict.NOT_RUN, attempt.verdict)

    def test_owner_in_another_region_that_does_not_answer_is_sent_nothing(self):
        # A link that loses or delays questions is too full for bodies.
        attempt, _ = self.check("north-1", 0, None)
        self.assertEqual(CAPACITY_UNKNOWN, attempt.code)
        self.assertIs(Verdict.NOT_RUN, attempt.verdict)
        self.assertEqual((None, 1), self.check("south-2", MIN_BODY_BYTES, None))

    def test_round_trips_to_other_regions_feed_the_budget(self):
        self.check("north-1", 0)
        self.assertAlmostEqual(ROUND_TRIP_S, self.budget.get_round_trip_s("north"))
        self.check("south-2", MIN_BODY_BYTES)
        self.assertIsNone(self.budget.get_round_trip_s("south"))
