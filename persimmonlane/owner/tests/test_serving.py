import testtools

from ...clocks import ManualClock
from ...routing.orders import Order
from ..hosted import Heartbeat, HostedServer, ServerState
from ..serving import Owner
from ..standing import HealthState

SLOTS = 2


def build_order(server_id="i-1", **changes):
    fields = {
        "request_id": "one",
        "server_id": server_id,
        "service": "prices",
        "caller_service": "prices",
        "organisation": "",
        "idempotent": True,
        "rank": 1,
        "route": "r",
        "left_s": 2.0,
        "max_wait_s": 0.05,
        "objective_s": 1.0,
    }
    fields.update(changes)
    return Order(**fields)


class OwnerJudgeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        hosted = HostedServer("10.0.0.1:80", "prices", 60.0, self.clock)
        self.owner = Owner(None, hosted, self.clock, None, lambda: True)
        self.beat("i-1")

    def beat(self, server_id, state=ServerState.READY):
        self.owner.handle_heartbeat(
            Heartbeat(server_id, "prices", "10.0.0.1:80", 5, 1, state, SLOTS, 0.0)
        )

    def fill(self):
        for _ in range(SLOTS):
            order = build_order()
            ticket = self.owner._build_ticket(order, self.clock.now(), lambda: None)
            self.owner._enter(order, ticket)

    def test_room_is_reported_and_no_slot_taken(self):
        report = self.owner.check_admission(build_order())
        self.assertEqual(("", 0), (report.code, report.running))
        self.assertEqual(0, self.owner.admission_queue.running)

    def test_full_server_reports_the_wait_and_its_load(self):
        self.fill()
        report = self.owner.check_admission(build_order())
        self.assertEqual(("server-busy", SLOTS), (report.code, report.running))
        self.assertThat(report.wait_s, testtools.matchers.GreaterThan(0.0))
        self.assertEqual(0, self.owner.admission_queue.waiting)

    def test_full_server_has_room_for_a_patient_request(self):
        self.fill()
        self.assertEqual(
            "", self.owner.check_admission(build_order(max_wait_s=2.0)).code
        )

    def test_other_incarnation_has_no_room(self):
        self.assertEqual(
            "server-gone", self.owner.check_admission(build_order("i-0")).code
        )

    def test_ejected_server_has_room_only_for_those_that_insist(self):
        self.owner.detector.state = HealthState.EJECTED
        self.assertEqual(
            "server-ejected", self.owner.check_admission(build_order()).code
        )
        self.assertEqual("", self.owner.check_admission(build_order(insist=True)).code)
