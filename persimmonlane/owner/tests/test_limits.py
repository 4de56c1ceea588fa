import random

from testtools.matchers import GreaterThan

from ...errors import Refusal
from ...headers import Header
from ...serving.responses import CompleteResponse
from ..limits import MIN_RATE
from .test_owner import OwnerTestCase, build_order

WINDOW_S = 4.0
# What the platform grants in a window, beside the limit.
OVER = 1.5
SLACK = 5
CALLS_PER_S = 40
STEP_S = 1.0 / CALLS_PER_S


def build_answer(limit=None, signed=True, status=200):
    headers = [Header("X-Request-Id", "one")]
    if signed:
        headers.append(Header("X-Response-Signature", "s.1"))
    if limit is not None:
        headers.append(Header("Server-Limit", limit))
    return CompleteResponse(status, headers, b"", None)


def count_most_in_window(times):
    """Return the largest number of times in a window."""
    return max(
        (sum(1 for at in times if start <= at < start + WINDOW_S) for start in times),
        default=0,
    )


class LimitTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.sent_at = []
        self.running = []

    def name_limit(self, limit=None, **fields):
        answer = build_answer(limit, **fields)
        self.note_statements(answer, self.owner.hosted.current)

    def note_statements(self, answer, incarnation):
        judge = self.owner._dispatcher.forwarder.judge
        judge.note_statements(answer, incarnation)

    def call(self, **changes):
        """Send a request if it is admitted; it ends at once."""
        order = build_order(**changes)
        ticket = self.owner._build_ticket(order, self.clock.now(), lambda: None)
        try:
            self.owner._admit(order, ticket)
        except Refusal as refusal:
            return refusal
        if ticket.granted_at is not None:
            self.finish(ticket)
        else:
            ticket.wake = lambda: self.finish(ticket)
        return None

    def finish(self, ticket):
        self.sent_at.append(self.clock.now())
        self.running.append(ticket)

    def run_load(self, seconds, **changes):
        rng = random.Random(7)
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for ticket in self.running:
                self.owner.admission_queue.release(ticket)
            self.running = []
            self.owner.tick()
            self.call(max_wait_s=rng.choice((0.01, 0.5, 1.5)), **changes)

    def check_load(self, limit):
        most = count_most_in_window(self.sent_at)
        self.assertFalse(most > OVER * limit * WINDOW_S + SLACK, most)

    def test_limited_server_gets_no_more_than_it_named(self):
        for limit in ("0.3", "1", "1.4", "3.7", "12.5"):
            self.sent_at.clear()
            self.name_limit(limit)
            self.run_load(12.0)
            self.check_load(float(limit))
            # Nor much less: what it takes is used.
            expected = float(limit) * 12.0 * 0.8
            self.assertThat(len(self.sent_at), GreaterThan(expected - 1))

    def test_requests_regardless_of_health_count_as_well(self):
        self.name_limit("1")
        self.run_load(12.0, force=True)
        self.check_load(1.0)

    def test_limit_of_zero_leaves_single_requests_that_show_its_end(self):
        self.name_limit("0")
        self.run_load(40.0)
        self.check_load(0.0)
        self.assertThat(len(self.sent_at), GreaterThan(40.0 * MIN_RATE * 0.8))

    def test_lower_limit_applies_at_once_and_a_higher_one_gives_no_burst(self):
        self.name_limit("10")
        self.run_load(8.0)
        self.sent_at.clear()
        self.name_limit("1")
        self.run_load(8.0)
        self.check_load(1.0)
        self.sent_at.clear()
        self.name_limit("2")
        self.run_load(8.0)
        self.check_load(2.0)

    def test_answer_without_a_limit_ends_it(self):
        self.name_limit("1")
        self.name_limit()
        self.run_load(4.0)
        self.assertThat(len(self.sent_at), GreaterThan(4.0 * CALLS_PER_S * 0.9))

    def test_answer_that_is_not_the_servers_own_does_not_end_it(self):
        self.name_limit("1")
        self.name_limit(signed=False)
        self.assertEqual(1.0, self.owner.admission_queue.limit.rate)

    def test_answer_of_another_server_at_the_address_sets_none(self):
        self.name_limit("1", status=421)
        self.assertIsNone(self.owner.admission_queue.limit.rate)

    def test_malformed_limit_neither_sets_nor_ends_one(self):
        malformed = ("", "-1", "nan", "inf", "1e3", "1,5", "\u0661", "9" * 40, ".")
        for text in malformed:
            self.name_limit(text)
            self.assertIsNone(self.owner.admission_queue.limit.rate, text)
        self.name_limit("2")
        for text in malformed:
            self.name_limit(text)
            self.assertEqual(2.0, self.owner.admission_queue.limit.rate)

    def test_very_large_limit_limits_nothing(self):
        self.name_limit("999999999999999")
        self.run_load(4.0)
        self.assertThat(len(self.sent_at), GreaterThan(4.0 * CALLS_PER_S * 0.9))

    def test_limit_is_forgotten_with_the_process_that_named_it(self):
        former = self.owner.hosted.current
        self.name_limit("1")
        self.send_heartbeat("i-2")
        self.assertIsNotNone(self.owner.admission_queue.limit.rate)
        self.send_heartbeat("i-1", born=6)
        self.assertIsNone(self.owner.admission_queue.limit.rate)
        self.note_statements(build_answer("1"), former)
        self.assertIsNone(self.owner.admission_queue.limit.rate)

    def test_request_beyond_the_limit_is_refused_at_once_with_its_wait(self):
        self.name_limit("0.5")
        self.assertIsNone(self.call(max_wait_s=0.1))
        refusal = self.call(max_wait_s=0.1)
        self.assertEqual("server-limited", refusal.code)
        self.assertAlmostEqual(2.0, refusal.retry_after)

    def test_limited_server_is_neither_ejected_nor_suspected(self):
        self.name_limit("1")
        self.run_load(12.0)
        self.assertEqual("sound", self.owner.detector.state.value)
        self.assertFalse(self.owner.detector.is_suspect())
