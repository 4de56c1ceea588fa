import msgspec
import pykka
import testtools

from ...clocks import ManualClock
from ...config.view import DocumentView
from ...ejection.outcome import Kind, Outcome
from ...errors import Refusal
from ...keys import KeyTable
from ...limits.admission import Admission
from ...membership.messages import ServersChanged
from ...membership.servers import BackendServer
from ...reporting.metrics import NoMetrics
from ...settings import NodeSettings
from ...verdicts import Verdict
from ..connections import ConnectionPool
from ..indexing import DocumentIndexed
from ..plans import Abandoned, Arrival, AttemptEnded
from ..traffic import Traffic
from .support import build_document


class FakePorts:
    def __init__(self, clock):
        self.pool = ConnectionPool(clock)
        self.forwarder = self
        self.snapshot = None
        self.demands = []

    def send_demands(self, demands):
        self.demands.append(demands)

    def change_document(self, view):
        pass


class FakeBorrower:
    def __init__(self):
        self.admission = Admission.ADMITTED

    def set_view(self, view):
        pass

    def admit(self, organisation, again=False):
        return self.admission

    def demands(self):
        return None

    def retry_after(self, organisation):
        return 1.0


class TrafficTests(testtools.TestCase):
    """The actor's decisions, called without its thread."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.ports = FakePorts(self.clock)
        settings = NodeSettings(
            name="n",
            data_centre="a",
            rpc="127.0.0.1:1",
            http="127.0.0.1:2",
            store="127.0.0.1:3",
            fleet_token="0123456789abcdef",
        )
        self.traffic = Traffic(None, settings, self.clock, NoMetrics(), self.ports)
        self.borrower = self.traffic._borrower = FakeBorrower()
        self.publish(build_document())
        server = BackendServer("s1", "prices", "a", 1)
        self.traffic.change_servers(ServersChanged((server,)))

    def publish(self, document):
        view = DocumentView(document, 1, "d")
        self.traffic.change_document(DocumentIndexed(view, KeyTable(document)))

    def arrive(self):
        arrival = Arrival(
            "feria",
            "prices",
            True,
            self.clock.now() + 5.0,
            frozenset(),
            False,
            pykka.ThreadingFuture(),
        )
        self.traffic.arrive(arrival)
        return arrival

    def assert_refused(self, code, arrival):
        error = self.assertRaises(Refusal, arrival.reply.get, timeout=0)
        self.assertEqual((code, Verdict.NOT_RUN), (error.code, error.verdict))

    def end(self, plan):
        outcome = Outcome(plan.address, plan.attempt, Kind.OK, 0.01, Verdict.RAN)
        self.traffic.end_attempt(AttemptEnded("prices", outcome))

    def test_arrival_that_comes_after_its_deadline_takes_no_slot(self):
        arrival = Arrival(
            "feria", "prices", True, 99.0, frozenset(), False, pykka.ThreadingFuture()
        )
        self.traffic.arrive(arrival)
        self.assert_refused("deadline-passed", arrival)
        self.assertEqual("s1", self.arrive().reply.get(timeout=0).address)

    def test_abandoned_arrival_gives_its_slot_back(self):
        first, second = self.arrive(), self.arrive()
        self.traffic.abandon(Abandoned(first))
        self.assertEqual("s1", second.reply.get(timeout=0).address)

    def test_abandoned_arrival_that_waits_is_not_placed(self):
        first, second, third = self.arrive(), self.arrive(), self.arrive()
        self.traffic.abandon(Abandoned(second))
        self.end(first.reply.get(timeout=0))
        self.assertEqual("s1", third.reply.get(timeout=0).address)

    def test_request_for_a_removed_service_is_refused(self):
        self.publish(msgspec.structs.replace(build_document(), services=(), routes=()))
        self.assert_refused("service-removed", self.arrive())

    def test_requests_that_wait_for_a_removed_service_are_refused(self):
        self.arrive()
        waiting = self.arrive()
        self.publish(msgspec.structs.replace(build_document(), services=(), routes=()))
        self.assert_refused("service-removed", waiting)

    def test_request_that_waits_for_a_loan_is_refused_in_time(self):
        self.borrower.admission = Admission.WAIT
        arrival = self.arrive()
        self.clock.advance(0.3)
        self.traffic.tick(None)
        self.assert_refused("rate-exceeded", arrival)

    def test_request_goes_on_once_the_loan_has_come(self):
        self.borrower.admission = Admission.WAIT
        arrival = self.arrive()
        self.borrower.admission = Admission.ADMITTED
        self.traffic.tick(None)
        self.assertEqual("s1", arrival.reply.get(timeout=0).address)
