import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ...quarantine.ledger import CrashLedger
from ...upkeep.evacuations import EvacuationHolder, EvacuationList
from ...verdicts import Verdict
from ..backend import Heartbeat, ServerState
from ..owner import Owner
from .hosting import build_hosted
from .test_owner import SLOTS, build_order


class Settings:
    data_centre = "south"
    evacuation_s = 5.0
    has_evacuations = True
    has_overload = False
    server = "127.0.0.1:1"


class EvacuatedOwnerTests(testtools.TestCase):
    """An owner in the data centre that the operator evacuates."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        self.evacuations = EvacuationHolder(Settings, self.clock)
        self.owner = Owner(
            Settings,
            build_hosted(self.clock),
            self.clock,
            None,
            CrashLedger(self.clock),
            evacuations=self.evacuations,
        )
        self.evacuations.add_listener(self.owner.apply_evacuations)
        self.owner.handle_heartbeat(
            Heartbeat(
                "i-1", "prices", "10.0.0.1:80", 5, 1, ServerState.READY, SLOTS, 0.0
            )
        )
        self.changes = []
        self.owner.on_change = lambda: self.changes.append(self.owner.is_ready())

    def set_evacuated(self, revision, *names):
        self.evacuations.merge(EvacuationList(1, revision, names))
        self.evacuations.confirm(self.clock.now())
        self.owner.tick()

    def admit(self, **fields):
        order = build_order(**fields)
        ticket = self.owner._build_ticket(order, self.clock.now(), lambda: None)
        self.owner._admit(order, ticket)
        return order, ticket

    def get_code(self):
        return self.owner.check_admission(build_order()).code

    def test_nothing_is_admitted_before_the_list_is_known(self):
        self.assertEqual("server-evacuated", self.get_code())
        self.set_evacuated(2)
        self.assertEqual("", self.get_code())

    def test_evacuated_owner_admits_nothing_and_runs_on(self):
        self.set_evacuated(2)
        self.admit()
        self.set_evacuated(3, "south")
        refusal = self.assertRaises(Refusal, self.admit)
        self.assertEqual("server-evacuated", refusal.code)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        self.assertEqual(1, self.owner.admission_queue.running)
        self.assertFalse(self.owner.status.describe(False).ready)
        self.assertEqual([False], self.changes[-1:])

    def test_evacuation_of_another_data_centre_changes_nothing(self):
        self.set_evacuated(2, "north")
        self.assertEqual("", self.get_code())

    def test_waiting_request_is_refused_as_not_run(self):
        self.set_evacuated(2)
        for _ in range(SLOTS):
            self.admit()
        _, waiting = self.admit(max_wait_s=2.0)
        self.assertIsNone(waiting.granted_at)
        self.evacuations.merge(EvacuationList(1, 3, ("south",)))
        self.assertEqual("server-evacuated", waiting.refusal.code)
        self.assertEqual(1, self.owner.evacuation.refused)

    def test_admitted_request_that_was_not_sent_yet_is_refused(self):
        self.set_evacuated(2)
        order, ticket = self.admit()
        self.evacuations.merge(EvacuationList(1, 3, ("south",)))
        refusal = self.assertRaises(
            Refusal, self.owner._dispatcher.mark_dispatched, order, ticket
        )
        self.assertEqual("server-evacuated", refusal.code)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)

    def test_slots_come_back_at_once(self):
        self.set_evacuated(2, "south")
        self.changes.clear()
        self.evacuations.merge(EvacuationList(1, 3))
        self.assertEqual([True], self.changes)
        self.assertEqual("", self.get_code())

    def test_request_that_was_granted_before_a_suspension_is_not_sent(self):
        self.set_evacuated(2)
        order, ticket = self.admit(time_left_s=60.0)
        self.clock.advance(10.0)
        refusal = self.assertRaises(
            Refusal, self.owner._dispatcher.mark_dispatched, order, ticket
        )
        self.assertEqual("server-evacuated", refusal.code)

    def test_owner_without_evacuations_needs_no_list(self):
        owner = Owner(None, None, self.clock, None, CrashLedger(self.clock))
        self.assertTrue(owner.evacuation.is_open())
