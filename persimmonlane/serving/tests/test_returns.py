import random

import testtools
from testtools.matchers import LessThan

from ...clocks import ManualClock
from ..returns import MAX_RETURN_S, ReturnSchedule

LIMITS = [1.0, 2.0, 1.0]
NODES = 10
CALLERS = 5


class ReturnTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)

    def refuse_at_all_nodes(self, limits, callers=CALLERS):
        """Refuse callers at each node at the same moment; return when they return."""
        returns = []
        for node in range(NODES):
            schedule = ReturnSchedule(self.clock, random.Random(node))
            for _ in range(callers):
                returns.append(schedule.choose_s("prices", 0.3, limits, NODES))
        return returns

    def test_refused_callers_do_not_return_faster_than_the_limits_take_them(self):
        returns = self.refuse_at_all_nodes(LIMITS)
        in_each_s = [
            sum(1 for at in returns if start <= at < start + 1) for start in range(10)
        ]
        # Far fewer than all at once.
        self.assertThat(max(in_each_s[1:]), LessThan(sum(LIMITS) * 4))
        self.assertThat(max(in_each_s), LessThan(len(returns) / 2))

    def test_single_refused_caller_returns_when_the_limit_allows(self):
        self.assertEqual([0.3] * NODES, self.refuse_at_all_nodes(LIMITS, callers=1))

    def test_server_without_a_limit_takes_callers_as_soon_as_it_is_free(self):
        self.assertEqual({0.3}, set(self.refuse_at_all_nodes([1.0, None])))
        self.assertEqual({0.3}, set(self.refuse_at_all_nodes([])))

    def test_limit_of_zero_gives_a_bounded_time(self):
        for at in self.refuse_at_all_nodes([0.0, 0.0], callers=50):
            self.assertFalse(at > MAX_RETURN_S)

    def test_old_refusals_do_not_count(self):
        schedule = ReturnSchedule(self.clock, random.Random(1))
        for _ in range(CALLERS):
            schedule.choose_s("prices", 0.3, LIMITS, NODES)
        self.clock.advance(1.1)
        self.assertEqual(0.3, schedule.choose_s("prices", 0.3, LIMITS, NODES))
