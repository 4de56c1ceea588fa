import time

import pykka
import testtools
from testtools.matchers import GreaterThan, LessThan

from ...clocks import ManualClock
from ...peers.commands import RetryCheck
from ...peers.table import PeerTable
from ..budget import REPLY_TIMEOUT_S, REPORTED_REQUESTS, RetryBudget


class Settings:
    retry_ratio = 0.2
    retry_slack = 62.0
    retry_window_s = 10.0


class FakeActor:
    """Answers each check with the next of some decisions; None stands for silence."""

    def __init__(self, *decisions):
        self.decisions = list(decisions)
        self.checks = []

    def tell(self, check):
        self.checks.append((check.service, check.requests))
        if check.reply is None:
            return
        decision = self.decisions.pop(0) if self.decisions else None
        if decision is not None:
            check.reply.set(decision)


class RetryBudgetTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.table = PeerTable("self", "south", 1, self.clock)

    def build(self, *decisions):
        self.actor = FakeActor(*decisions)
        return RetryBudget(Settings, self.clock, self.table, self.actor)

    def test_shared_pool_decides(self):
        budget = self.build(True, False)
        self.assertEqual([True, False], [budget.take("prices"), budget.take("prices")])

    def test_pool_is_told_of_the_requests(self):
        budget = self.build(True, True)
        for _ in range(3):
            budget.note_request("prices")
        budget.take("prices")
        budget.take("series")
        self.assertEqual([("prices", 3), ("series", 0)], self.actor.checks)

    def test_requests_are_reported_though_no_token_is_wanted(self):
        budget = self.build()
        for _ in range(2 * REPORTED_REQUESTS):
            budget.note_request("prices")
        reported = [("prices", REPORTED_REQUESTS), ("prices", 2 * REPORTED_REQUESTS)]
        self.assertEqual(reported, self.actor.checks)

    def test_unused_token_is_kept_for_the_next(self):
        budget = self.build(True)
        budget.take("prices")
        budget.refund("prices")
        self.assertTrue(budget.take("prices"))
        self.assertEqual(1, len(self.actor.checks))

    def test_silent_pool_delays_a_retry_for_a_moment_only(self):
        budget = self.build()
        began = time.monotonic()
        self.assertTrue(budget.take("prices"))
        self.assertThat(time.monotonic() - began, LessThan(REPLY_TIMEOUT_S + 1.0))

    def test_node_that_reaches_no_pool_makes_few_retries(self):
        budget = self.build()
        granted = 0
        for _ in range(40):
            self.clock.advance(0.25)
            granted += budget.take("prices")
        # One at first, and what a tenth of the slack adds in a window.
        self.assertThat(granted, LessThan(9))
        self.assertThat(granted, GreaterThan(0))

    def test_check_is_a_message_for_the_actor(self):
        check = RetryCheck("prices", 4, pykka.ThreadingFuture())
        self.assertEqual(("prices", 4), (check.service, check.requests))
