from unittest import mock

import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ...quarantine.ledger import LedgerEntry
from ..admission import AdmissionQueue, Ticket
from ..calls import ForwardedCall
from ..latency import LatencyModel
from .test_owner import OwnerTestCase, build_order

SLOTS = 3


class AloneTests(testtools.TestCase):
    """Requests that nothing else may run beside."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.queue = AdmissionQueue(self.clock)
        self.queue.resize(SLOTS)
        self.latency = LatencyModel(1.0)

    def admit(self, alone=False, max_wait_s=9.0, left_s=9.0):
        deadline = self.clock.now() + left_s
        ticket = Ticket(self.latency, 1, deadline, max_wait_s, lambda: None, alone)
        self.queue.admit(ticket)
        return ticket

    def test_idle_server_takes_it_at_once_and_nothing_else(self):
        alone = self.admit(alone=True)
        self.assertIsNotNone(alone.granted_at)
        other = self.admit()
        self.assertIsNone(other.granted_at)
        self.queue.release(alone)
        self.assertIsNotNone(other.granted_at)

    def test_it_waits_until_nothing_runs_any_more(self):
        running = [self.admit(), self.admit()]
        alone, behind = self.admit(alone=True), self.admit()
        for ticket in running:
            self.assertIsNone(alone.granted_at)
            self.queue.release(ticket)
        self.assertIsNotNone(alone.granted_at)
        self.assertIsNone(behind.granted_at)
        self.queue.release(alone)
        self.assertIsNotNone(behind.granted_at)

    def test_others_go_on_when_its_wait_is_over(self):
        self.admit()
        alone, behind = self.admit(alone=True), self.admit()
        self.queue.release(alone)
        self.assertIsNotNone(behind.granted_at)

    def test_busy_server_refuses_it_if_it_accepts_no_wait(self):
        self.admit()
        error = self.assertRaises(Refusal, self.admit, alone=True, max_wait_s=0.05)
        self.assertEqual("server-busy", error.code)

    def test_others_are_refused_that_accept_no_wait_for_its_end(self):
        self.admit(alone=True)
        error = self.assertRaises(Refusal, self.admit, max_wait_s=0.05)
        self.assertEqual("server-busy", error.code)


class OwnerIsolationTests(OwnerTestCase):
    def implicate(self, fingerprint, count):
        for process in range(1, count + 1):
            self.ledger.apply(LedgerEntry(fingerprint, process, self.clock.now()))

    def build_ticket(self, **changes):
        order = build_order(**changes)
        return self.owner._build_ticket(order, self.clock.now(), None)

    def test_implicated_request_runs_alone_whatever_its_ingress_node_knows(self):
        self.implicate(7, 1)
        self.assertTrue(self.build_ticket(fingerprint=7).alone)
        self.assertFalse(self.build_ticket(fingerprint=8).alone)

    def test_request_runs_alone_if_its_ingress_node_says_so(self):
        self.assertTrue(self.build_ticket(fingerprint=8, alone=True).alone)

    def test_quarantined_request_is_refused_as_not_run(self):
        self.implicate(7, 3)
        for force in (False, True):
            report = self.owner.check_admission(build_order(fingerprint=7, force=force))
            self.assertEqual("request-quarantined", report.code)
            self.assertEqual("not-run", report.verdict)
            self.assertEqual(300.0, report.wait_s)

    def test_request_that_waits_when_it_is_quarantined_does_not_run(self):
        for _ in range(2):
            order = build_order()
            ticket = self.owner._build_ticket(order, self.clock.now(), lambda: None)
            self.owner._admit(order, ticket)
        order = build_order(fingerprint=7, max_wait_s=9.0)

        def quarantine_and_free(*args):
            self.implicate(7, 3)
            self.owner.admission_queue.release(ticket)

        caller = mock.Mock()
        caller.wait = quarantine_and_free
        call = ForwardedCall("GET", "/", [], b"", self.clock.now(), None)
        refusal = self.assertRaises(Refusal, self.owner.serve, order, call, caller)
        self.assertEqual("request-quarantined", refusal.code)
        self.assertEqual([], self.owner.crashes.list_running())

    def test_requests_of_older_releases_are_admitted(self):
        self.implicate(7, 3)
        self.assertEqual("", self.owner.check_admission(build_order()).code)
