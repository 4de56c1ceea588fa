import testtools
from testtools.matchers import GreaterThan

from ...clocks import ManualClock
from ...outcomes import OutcomeKind
from ...quarantine.ledger import CrashLedger
from ...routing.metadata import Order
from ...serving.exchange import ExchangeError
from ...verdicts import Verdict
from ..backend import Heartbeat, ServerState
from ..calls import ForwardedCall
from ..health import FailureRisk, HealthState
from ..owner import Owner
from .hosting import build_hosted

SLOTS = 2


def build_order(server_id="i-1", **changes):
    fields = {
        "request_id": "one",
        "server_id": server_id,
        "service": "prices",
        "caller_service": "prices",
        "organisation": "",
        "idempotent": True,
        "priority": 1,
        "route": "r",
        "time_left_s": 2.0,
        "max_wait_s": 0.05,
        "objective_s": 1.0,
    }
    fields.update(changes)
    return Order(**fields)


class OwnerTestCase(testtools.TestCase):
    """An owner with a ready backend server."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        hosted = build_hosted(self.clock)
        self.ledger = CrashLedger(self.clock)
        self.owner = Owner(None, hosted, self.clock, None, self.ledger)
        self.send_heartbeat("i-1")

    def send_heartbeat(self, server_id, state=ServerState.READY, born=5):
        self.owner.handle_heartbeat(
            Heartbeat(server_id, "prices", "10.0.0.1:80", born, 1, state, SLOTS, 0.0)
        )


class OwnerAdmissionTests(OwnerTestCase):
    def fill_slots(self):
        for _ in range(SLOTS):
            order = build_order()
            ticket = self.owner._build_ticket(order, self.clock.now(), lambda: None)
            self.owner._admit(order, ticket)

    def test_admission_check_takes_no_slot(self):
        report = self.owner.check_admission(build_order())
        self.assertEqual(("", 0), (report.code, report.running))
        self.assertEqual(0, self.owner.admission_queue.running)

    def test_full_server_reports_the_wait_and_its_load(self):
        self.fill_slots()
        report = self.owner.check_admission(build_order())
        self.assertEqual(("server-busy", SLOTS), (report.code, report.running))
        self.assertThat(report.wait_s, testtools.matchers.GreaterThan(0.0))
        self.assertEqual(0, self.owner.admission_queue.waiting)

    def test_full_server_admits_a_request_that_accepts_the_wait(self):
        self.fill_slots()
        self.assertEqual(
            "", self.owner.check_admission(build_order(max_wait_s=2.0)).code
        )

    def test_request_for_another_incarnation_is_refused(self):
        self.assertEqual(
            "server-gone", self.owner.check_admission(build_order("i-0")).code
        )

    def test_ejected_server_admits_only_forced_requests(self):
        self.owner.detector.state = HealthState.EJECTED
        self.assertEqual(
            "server-ejected", self.owner.check_admission(build_order()).code
        )
        self.assertEqual("", self.owner.check_admission(build_order(force=True)).code)


class SlowClient:
    """Runs each request for a time, and calls the test before it fails."""

    def __init__(self, clock, run_s, on_run):
        self.clock = clock
        self.run_s = run_s
        self.on_run = on_run

    def run(self, order, call, deadline, caller):
        self.clock.advance(self.run_s)
        self.on_run(order)
        raise ExchangeError(OutcomeKind.TIMEOUT, Verdict.MAY_HAVE_RUN, "late", "late")


class CancellationTests(OwnerTestCase):
    """What the owner confirms of requests that its backend server runs."""

    def setUp(self):
        super().setUp()
        self.confirmed = []
        self.owner._dispatcher.forwarder.client = SlowClient(
            self.clock, 66.0, self.cancel
        )

    def serve(self, order):
        call = ForwardedCall("POST", "/", [], b"", self.clock.now(), None)
        self.assertRaises(ExchangeError, self.owner.serve, order, call, None)

    def cancel(self, order):
        if order.request_id == "one":
            # Another request is dispatched meanwhile, and old ones are forgotten.
            self.serve(build_order(request_id="two"))
            self.confirmed.append(self.owner.cancel("one", 24.0))

    def test_request_that_runs_for_long_is_not_confirmed_as_never_run(self):
        self.serve(build_order(time_left_s=90.0))
        self.assertEqual([False], self.confirmed)


class ProbeTests(OwnerAdmissionTests):
    """A half-open server beside what it has left unanswered."""

    def test_only_requests_since_the_ejection_are_probes(self):
        self.owner._admit(build_order(), self.build_ticket())
        self.clock.advance(1.0)
        self.owner.detector._set_state(HealthState.HALF_OPEN)
        self.assertIs(False, self.owner.status.describe(False).probing)
        self.assertIs(False, self.owner.status.report(Verdict.NOT_RUN).probing)
        self.owner._admit(build_order(), self.build_ticket())
        self.assertIs(True, self.owner.status.describe(False).probing)
        self.assertIs(True, self.owner.status.report(Verdict.NOT_RUN).probing)

    def build_ticket(self):
        return self.owner._build_ticket(build_order(), self.clock.now(), lambda: None)


class FailureEvidenceTests(OwnerAdmissionTests):
    """What an error answer of the backend server says about it."""

    def answer_with_error(self):
        ticket = self.owner._build_ticket(build_order(), self.clock.now(), lambda: None)
        self.owner._admit(build_order(), ticket)
        self.clock.advance(0.2)
        self.owner._record(self.owner._evidence.record_error, ticket)

    def get_risk(self):
        return self.owner.detector.risk.total

    def test_error_answer_raises_the_risk(self):
        before = self.get_risk()
        self.answer_with_error()
        self.assertThat(self.get_risk(), GreaterThan(before * 5))

    def test_failed_nested_call_explains_one_error_answer(self):
        before = self.get_risk()
        self.clock.advance(0.1)
        ticket = self.owner._build_ticket(build_order(), self.clock.now(), lambda: None)
        self.owner._admit(build_order(), ticket)
        self.owner.note_nested_failure()
        self.owner._record(self.owner._evidence.record_error, ticket)
        self.assertEqual(before, self.get_risk())
        self.answer_with_error()
        self.assertThat(self.get_risk(), GreaterThan(before * 5))

    def test_earlier_nested_failure_explains_nothing(self):
        before = self.get_risk()
        self.owner.note_nested_failure()
        self.clock.advance(0.1)
        self.answer_with_error()
        self.assertThat(self.get_risk(), GreaterThan(before * 5))

    def test_change_of_suspicion_is_announced(self):
        announced = []
        self.owner.on_change = lambda: announced.append(
            self.owner.detector.is_suspect()
        )
        self.owner.detector.prior = FailureRisk(0.2, 0.01)
        self.owner.detector.reset()
        self.answer_with_error()
        self.assertEqual([True], announced)

    def test_prior_follows_the_other_servers_of_the_service(self):
        self.owner.watch_fleet(self)
        self.owner.tick()
        self.assertThat(self.owner.detector.prior.errors, GreaterThan(0.1))

    def list_risks(self):
        return [FailureRisk(0.9, 0.0), FailureRisk(0.0, 0.0), FailureRisk(0.0, 0.0)]

    def may_eject(self):
        return True
