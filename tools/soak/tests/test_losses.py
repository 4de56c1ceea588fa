import testtools

from persimmonlane.standins.backend import Execution

from ..losses import Fault, find_findings, find_loss, find_violation
from ..records import Exchange, ExchangeEnd, Process

STOP = 100.0


class LossTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.process = Process("vm-1", first_sigterm=STOP, exited=STOP + 5.5)
        self.exchange = Exchange("r-1", "unsafe POST", True, 8.0, self.process)
        self.exchange.started = self.exchange.sent = STOP + 1.0
        self.exchange.ended = STOP + 2.0
        self.exchange.end = ExchangeEnd.CLOSED

    def answer(self, status, is_from_node):
        self.exchange.end = ExchangeEnd.ANSWERED
        self.exchange.status = status
        self.exchange.is_from_node = is_from_node

    def run_until(self, ended):
        return [Execution("r-1", self.exchange.sent, ended)]

    def test_whole_answer_is_no_loss(self):
        self.answer(200, False)
        self.assertIsNone(find_loss(self.exchange, self.run_until(STOP + 1.9)))

    def test_refusal_is_no_loss(self):
        self.answer(503, True)
        self.assertIsNone(find_loss(self.exchange, []))

    def test_request_that_was_not_written_whole_is_no_loss(self):
        self.exchange.sent = None
        self.assertIsNone(find_loss(self.exchange, []))

    def test_forwarded_request_without_an_answer_is_lost(self):
        for end in (ExchangeEnd.CLOSED, ExchangeEnd.RESET):
            self.exchange.end = end
            for ended in (None, STOP + 1.5, STOP + 9.0):
                fault = find_loss(self.exchange, self.run_until(ended))
                self.assertEqual(Fault.FORWARDED, fault)

    def test_forwarded_request_is_lost_however_late_it_was_sent(self):
        self.exchange.ended = self.exchange.sent + 0.01
        fault = find_loss(self.exchange, self.run_until(None))
        self.assertEqual(Fault.FORWARDED, fault)

    def test_request_that_races_the_close_is_no_loss(self):
        self.exchange.ended = self.exchange.sent + 0.19
        self.assertIsNone(find_loss(self.exchange, []))

    def test_request_that_waits_longer_is_lost(self):
        self.exchange.ended = self.exchange.sent + 0.21
        self.assertEqual(Fault.UNANSWERED, find_loss(self.exchange, []))
        self.exchange.end = ExchangeEnd.RESET
        self.assertEqual(Fault.UNREAD, find_loss(self.exchange, []))

    def test_only_time_before_the_end_of_the_process_counts(self):
        self.exchange.started = self.exchange.sent = STOP + 5.4
        self.exchange.ended = STOP + 6.4
        self.assertIsNone(find_loss(self.exchange, []))

    def test_loss_needs_no_signal(self):
        self.process.first_sigterm = self.process.exited = None
        fault = find_loss(self.exchange, self.run_until(None))
        self.assertEqual(Fault.FORWARDED, fault)

    def test_incomplete_answer_is_a_loss(self):
        self.exchange.end = ExchangeEnd.TRUNCATED
        fault = find_loss(self.exchange, self.run_until(STOP + 1.5))
        self.assertEqual(Fault.TRUNCATED, fault)
        self.assertEqual(Fault.TRUNCATED, find_loss(self.exchange, []))

    def test_incomplete_refusal_may_race_the_close(self):
        self.exchange.end = ExchangeEnd.TRUNCATED
        self.exchange.ended = self.exchange.sent + 0.01
        self.assertIsNone(find_loss(self.exchange, []))
        fault = find_loss(self.exchange, self.run_until(None))
        self.assertEqual(Fault.TRUNCATED, fault)

    def test_time_limit_excuses(self):
        self.exchange.timeout_s = 1.0
        self.assertIsNone(find_loss(self.exchange, self.run_until(None)))
        self.exchange.timeout_s = 1.2
        self.assertIsNotNone(find_loss(self.exchange, self.run_until(None)))

    def test_time_limit_runs_from_the_first_byte(self):
        self.exchange.timeout_s = 1.5
        self.exchange.started -= 0.5
        self.assertIsNone(find_loss(self.exchange, self.run_until(None)))

    def test_execution_at_the_end_of_the_grace_time_excuses(self):
        self.exchange.ended = STOP + 5.2
        self.assertIsNone(find_loss(self.exchange, self.run_until(None)))
        self.assertIsNone(find_loss(self.exchange, self.run_until(STOP + 5.1)))

    def test_execution_that_ended_earlier_in_the_grace_time_does_not_excuse(self):
        self.exchange.ended = STOP + 5.2
        self.assertIsNotNone(find_loss(self.exchange, self.run_until(STOP + 4.9)))

    def test_earlier_end_is_not_excused_by_later_execution(self):
        self.exchange.ended = STOP + 4.9
        self.assertIsNotNone(find_loss(self.exchange, self.run_until(STOP + 5.5)))

    def test_late_request_is_not_excused_by_its_execution(self):
        self.exchange.ended = STOP + 5.2
        self.exchange.started = self.exchange.sent = STOP + 3.01
        self.assertIsNotNone(find_loss(self.exchange, self.run_until(None)))

    def test_kill_at_the_end_of_the_grace_time_does_not_excuse(self):
        self.process.killed = True
        self.exchange.started = self.exchange.sent = STOP + 3.5
        self.exchange.ended = STOP + 6.0
        self.assertIsNotNone(find_loss(self.exchange, self.run_until(None)))

    def test_node_failure_during_execution_is_a_loss_after_the_signal(self):
        for status in (502, 504):
            self.answer(status, True)
            fault = find_loss(self.exchange, self.run_until(None))
            self.assertEqual(Fault.ABORTED, fault)

    def test_node_failure_before_the_signal_is_no_loss(self):
        self.answer(502, True)
        self.process.first_sigterm = STOP + 2.5
        self.assertIsNone(find_loss(self.exchange, self.run_until(None)))

    def test_node_failure_after_execution_is_no_loss(self):
        self.answer(502, True)
        self.assertIsNone(find_loss(self.exchange, self.run_until(STOP + 1.9)))
        self.assertIsNone(find_loss(self.exchange, []))

    def test_failure_of_a_backend_server_is_no_loss(self):
        self.answer(502, False)
        self.assertIsNone(find_loss(self.exchange, self.run_until(None)))

    def test_node_failure_at_the_time_limit_is_no_loss(self):
        self.answer(504, True)
        self.exchange.timeout_s = 1.0
        self.assertIsNone(find_loss(self.exchange, self.run_until(None)))

    def test_unsafe_request_runs_once_at_most(self):
        self.answer(200, False)
        executions = self.run_until(STOP + 1.5) * 2
        self.assertEqual(Fault.REPEATED, find_violation(self.exchange, executions))
        self.assertIsNone(find_violation(self.exchange, executions[:1]))
        self.exchange.unsafe = False
        self.assertIsNone(find_violation(self.exchange, executions))

    def test_refused_unsafe_request_must_not_be_executed(self):
        for status in (408, 421, 429, 503):
            self.answer(status, True)
            fault = find_violation(self.exchange, self.run_until(None))
            self.assertEqual(Fault.FALSE_NOT_RUN, fault)
            self.assertIsNone(find_violation(self.exchange, []))
        self.answer(502, True)
        self.assertIsNone(find_violation(self.exchange, self.run_until(None)))

    def test_findings_name_the_request_and_its_runs(self):
        other = Execution("r-2", STOP)
        execution = Execution("r-1", STOP)
        (finding,) = find_findings([self.exchange], [other, execution])
        self.assertIs(self.exchange, finding.exchange)
        self.assertEqual([execution], finding.executions)
