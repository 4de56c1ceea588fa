import random

import hypothesis
import testtools
from hypothesis import strategies as st

from ...clocks import ManualClock
from ...config.model import RetryPolicy
from ...invariants import InvariantError
from ...verdicts import Verdict
from .. import RequestAttempts, RetryBudget, decide_retry

NOT_RUN, MAY_HAVE_RUN, RAN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN


class Fault:
    """What a counting server does with one attempt.

    Attributes:
        runs: How often the request runs on the server.
        verdict: What the forwarder can prove.
        answered: Whether the caller gets the answer.
    """

    def __init__(self, runs, verdict, answered=False):
        self.runs = runs
        self.verdict = verdict
        self.answered = answered


FAULTS = {
    "none": Fault(1, RAN, answered=True),
    "refuse": Fault(0, NOT_RUN),
    "shed": Fault(0, NOT_RUN),
    "reset-before-body": Fault(0, MAY_HAVE_RUN),
    "reset-after-body": Fault(1, MAY_HAVE_RUN),
    "hang-before-run": Fault(0, MAY_HAVE_RUN),
    "hang-after-run": Fault(1, MAY_HAVE_RUN),
    "late-answer": Fault(1, MAY_HAVE_RUN),
    "short-answer": Fault(1, RAN),
}


def create_attempts(idempotent, attempts=3, budget=1.0):
    clock = ManualClock()
    policy = RetryPolicy(budget=budget, attempts=attempts)
    retry_budget = RetryBudget(policy, clock)
    return RequestAttempts(idempotent, 5.0, policy, retry_budget, clock), clock


def run_request(request, faults):
    """Run a request as the forwarder does; return how often it ran."""
    runs = 0
    for number, name in enumerate(faults):
        fault = FAULTS[name]
        request.begin(f"10.0.0.{number}:80")
        runs += fault.runs
        request.end(fault.verdict)
        if fault.answered or not request.may_retry(fault.verdict):
            break
    return runs


class AttemptsTests(testtools.TestCase):
    @hypothesis.given(st.lists(st.sampled_from(sorted(FAULTS)), min_size=1, max_size=8))
    def test_non_idempotent_request_runs_at_most_once(self, faults):
        request, _ = create_attempts(idempotent=False, attempts=8)
        self.assertTrue(run_request(request, faults) <= 1)

    def test_second_send_of_a_request_that_may_run_breaks_the_invariant(self):
        for verdict in (MAY_HAVE_RUN, RAN):
            request, _ = create_attempts(idempotent=False)
            request.begin("10.0.0.1:80")
            request.end(verdict)
            error = self.assertRaises(InvariantError, request.begin, "10.0.0.2:80")
            self.assertEqual("invariant-at-most-once", error.code)

    def test_second_send_while_the_first_runs_breaks_the_invariant(self):
        request, _ = create_attempts(idempotent=False)
        request.begin("10.0.0.1:80")
        self.assertRaises(InvariantError, request.begin, "10.0.0.2:80")

    def test_only_idempotent_request_is_sent_again_after_a_short_answer(self):
        for idempotent in (True, False):
            request, _ = create_attempts(idempotent)
            request.begin("10.0.0.1:80")
            request.end(RAN)
            self.assertIs(idempotent, request.may_retry(RAN))

    def test_idempotent_request_is_sent_elsewhere(self):
        request, _ = create_attempts(idempotent=True)
        request.begin("10.0.0.1:80")
        request.end(MAY_HAVE_RUN)
        self.assertTrue(request.may_retry(MAY_HAVE_RUN))
        self.assertEqual({"10.0.0.1:80"}, request.tried)

    def test_whole_request_may_have_run_if_one_attempt_may_have(self):
        request, _ = create_attempts(idempotent=True)
        for verdict in (MAY_HAVE_RUN, NOT_RUN):
            request.begin("10.0.0.1:80")
            request.end(verdict)
        self.assertIs(MAY_HAVE_RUN, request.verdict)

    def test_deadline_and_number_of_attempts_end_retries(self):
        request, clock = create_attempts(idempotent=True, attempts=2)
        request.begin("10.0.0.1:80")
        clock.advance(4.999)
        self.assertFalse(request.may_retry(NOT_RUN))
        clock.advance(-4.0)
        self.assertTrue(request.may_retry(NOT_RUN))
        request.begin("10.0.0.2:80")
        self.assertFalse(request.may_retry(NOT_RUN))


class BudgetTests(testtools.TestCase):
    def test_retries_stay_a_share_of_requests(self):
        clock = ManualClock()
        policy = RetryPolicy(budget=0.1, attempts=3)
        budget = RetryBudget(policy, clock)
        rng = random.Random(1)
        retries = 0
        for _ in range(5000):
            clock.advance(rng.expovariate(100.0))
            budget.note_request()
            retries += decide_retry(NOT_RUN, True, 1, 1.0, policy, budget)
        self.assertTrue(400 <= retries <= 550, retries)

    def test_quiet_service_has_a_few_spare_retries(self):
        budget = RetryBudget(RetryPolicy(budget=0.1), ManualClock())
        budget.note_request()
        self.assertEqual([True, True, False], [budget.may_retry() for _ in range(3)])
