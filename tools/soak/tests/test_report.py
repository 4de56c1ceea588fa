import testtools

from ..losses import Fault, Finding
from ..plan import draw_plan
from ..records import Exchange, ExchangeEnd, Process, SentSignal
from ..report import describe_finding, describe_totals, find_phase
from ..running import Outcome

STOP = 100.0


class ReportTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.process = Process("vm-1", first_sigterm=STOP, exited=STOP + 5.5)
        self.process.signals = [
            SentSignal("SIGTERM", STOP),
            SentSignal("SIGHUP", STOP + 1.0),
            SentSignal("SIGTERM", STOP + 2.0),
        ]
        self.exchange = Exchange("r-1", "unsafe POST", True, 8.0, self.process)
        self.exchange.end = ExchangeEnd.CLOSED
        self.exchange.started = self.exchange.sent = STOP + 0.5

    def end_at(self, after_s):
        self.exchange.ended = STOP + after_s
        return find_phase(self.exchange)

    def test_phases(self):
        self.assertEqual("while the node drained", self.end_at(1.01))
        self.assertEqual("at a further SIGTERM", self.end_at(2.01))
        self.assertEqual("while the node drained", self.end_at(2.5))
        self.exchange.sent = STOP + 3.5
        self.assertEqual("while the node drained, sent late", self.end_at(5.0))
        self.assertEqual("before a SIGTERM", self.end_at(-0.1))

    def test_finding_is_told_in_seconds_from_the_first_signal(self):
        self.end_at(2.01)
        outcome = Outcome(draw_plan(3, 16.0), [self.exchange], [self.process], [], 0.2)
        (finding,) = outcome.findings
        self.assertEqual(Fault.UNANSWERED, finding.fault)
        text = describe_finding(outcome, finding, [])
        self.assertIn("seed 3 r-1 at vm-1", text)
        self.assertIn("sent +0.50 s, ended +2.01 s, process gone +5.50 s", text)
        self.assertIn("SIGHUP +1.00 s", text)
        self.assertIn("not reached", text)

    def test_totals_name_the_failed_seeds(self):
        plan = draw_plan(3, 16.0)
        clean = Outcome(plan, [], [self.process], [], 0.2)
        failed = Outcome(draw_plan(4, 16.0), [], [self.process], [], 0.2)
        self.end_at(2.01)
        failed.findings = [Finding(Fault.UNANSWERED, self.exchange, [])]
        text = describe_totals([clean, failed])
        self.assertIn("2 seeds, 2 stops, 0 killed", text)
        self.assertIn("failed seeds: 4", text)
        self.assertIn("at a further SIGTERM: 1", text)
