import testtools
from testtools.matchers import GreaterThan, LessThan

from ...clocks import ManualClock
from ..linkbudget import LINK_SHARE, MIN_FACTOR, WINDOW_S, LinkBudget

LINK_BYTES_PER_S = 4_000_000.0
RATE = LINK_BYTES_PER_S * LINK_SHARE


class LinkBudgetTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.budget = LinkBudget(LINK_BYTES_PER_S, self.clock)

    def measure(self, round_trip_s, count=1):
        for _ in range(count):
            self.clock.advance(0.6)
            self.budget.note_round_trip("north", round_trip_s)

    def send_for(self, seconds, size):
        """Return the bytes that are sent if there is always more to send."""
        sent, ends_at = 0, self.clock.now() + seconds
        while self.clock.now() < ends_at:
            if self.budget.allows("north", size):
                self.budget.spend("north", size)
                sent += size
            self.clock.advance(0.001)
        return sent

    def test_sustained_traffic_keeps_to_the_share_of_the_link(self):
        sent = self.send_for(20.0, 10_000)
        self.assertThat(sent, LessThan(RATE * 21.1))
        self.assertThat(sent, GreaterThan(RATE * 19))

    def test_long_responses_are_paid_off_before_the_next_request(self):
        self.budget.spend("north", 3 * RATE)
        self.assertFalse(self.budget.allows("north", 100))
        self.clock.advance(1.9)
        self.assertFalse(self.budget.allows("north", 100))
        self.clock.advance(0.2)
        self.assertTrue(self.budget.allows("north", 100))

    def test_body_longer_than_the_whole_budget_goes_when_that_is_full(self):
        # It would otherwise never be sent, however idle the link is.
        self.assertTrue(self.budget.allows("north", 10 * RATE))
        self.budget.spend("north", 10 * RATE)
        self.assertFalse(self.budget.allows("north", 1))

    def test_regions_have_budgets_of_their_own(self):
        self.budget.spend("north", 10 * RATE)
        self.assertTrue(self.budget.allows("west", 1000))

    def test_longer_round_trips_lower_the_budget_and_shorter_ones_restore_it(self):
        self.measure(0.024)
        self.measure(0.15, count=6)
        self.assertThat(self.budget.get_rate("north"), LessThan(RATE * 0.06))
        self.measure(0.15, count=50)
        self.assertThat(self.budget.get_rate("north"), GreaterThan(0))
        self.assertEqual(RATE * MIN_FACTOR, self.budget.get_rate("north"))
        self.measure(0.025, count=30)
        self.assertEqual(RATE, self.budget.get_rate("north"))

    def test_queueing_in_a_usable_link_lowers_nothing(self):
        self.measure(0.024)
        self.measure(0.04, count=20)
        self.assertEqual(RATE, self.budget.get_rate("north"))

    def test_one_congested_moment_counts_once(self):
        # Many requests see the same queue; each of them would lower the budget again.
        self.measure(0.024)
        self.measure(0.15)
        before = self.budget.get_rate("north")
        for _ in range(20):
            self.budget.note_round_trip("north", 0.15)
        self.assertEqual(before, self.budget.get_rate("north"))

    def test_route_that_became_longer_for_good_is_not_held_back_for_ever(self):
        self.measure(0.024)
        self.measure(0.08, count=int(3 * WINDOW_S / 0.6))
        self.assertEqual(RATE, self.budget.get_rate("north"))

    def test_log_fields_name_the_region(self):
        self.measure(0.024)
        self.assertEqual(
            {"north": {"factor": 1.0, "bytes_per_s": RATE, "round_trip_s": 0.024}},
            self.budget.describe(),
        )
