import pykka
import testtools

from ...clocks import ManualClock
from ...owner.tests.test_owner import build_order
from ...quarantine.ledger import CrashLedger
from ...quotas.buckets import rank_holders
from ...routing.metadata import OwnerReport
from ...routing.rulebook import Organisation
from ...routing.stamps import DocumentStamp
from ...upkeep.generations import GenerationTracker
from ..commands import CapacityCheck
from ..gossip import Gossip
from ..messages import (
    CapacityRequest,
    CapacityResponse,
    RateRequest,
    RateResponse,
    decoder,
    encoder,
)
from ..statuses import Announcement


class FakeTransport:
    def __init__(self):
        self.sent = []

    def set_handler(self, handle):
        self.handle = handle

    def send(self, address, message):
        self.sent.append((address, decoder.decode(encoder.encode(message))))


def deliver(gossip, message, sender):
    """Deliver a datagram through the receiving thread's handler and the actor."""
    remaining = gossip.handle_datagram(message, sender)
    if remaining is not None:
        gossip.on_receive(remaining)


class Settings:
    name = "self"
    data_centre = "south"
    gossip_port = 9


class CapacityTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.transport = FakeTransport()
        self.judged_orders = []
        self.report = OwnerReport("not-run", "server-busy", 4, 2, "sound", 0.3, True)
        self.gossip = Gossip(
            None,
            Settings,
            ManualClock(1.0),
            self.transport,
            None,
            None,
            None,
            None,
            self,
        )

    def check_admission(self, order):
        self.judged_orders.append(order)
        return self.report

    def test_capacity_request_is_answered_with_the_owner_report(self):
        order = build_order()
        deliver(self.gossip, CapacityRequest(7, order), ("10.0.0.2", 9))
        self.assertEqual([order], self.judged_orders)
        self.assertEqual(
            [(("10.0.0.2", 9), CapacityResponse(7, self.report))], self.transport.sent
        )

    def test_response_completes_the_pending_check(self):
        command = CapacityCheck("10.0.0.3:80", build_order(), pykka.ThreadingFuture())
        self.gossip.check_capacity(command)
        ((address, request),) = self.transport.sent
        self.assertEqual((("10.0.0.3", 9), command.order), (address, request.order))
        deliver(
            self.gossip, CapacityResponse(request.correlation_id, self.report), address
        )
        self.assertEqual(self.report, command.reply.get(timeout=0))

    def test_response_is_handled_without_the_actor(self):
        command = CapacityCheck("10.0.0.3:80", build_order(), pykka.ThreadingFuture())
        self.gossip.check_capacity(command)
        ((address, request),) = self.transport.sent
        response = CapacityResponse(request.correlation_id, self.report)
        self.assertIsNone(self.gossip.handle_datagram(response, address))
        self.assertEqual(self.report, command.reply.get(timeout=0))

    def test_response_without_pending_request_is_ignored(self):
        deliver(self.gossip, CapacityResponse(99, self.report), None)
        self.assertEqual([], self.transport.sent)


REQUESTER = ("10.0.0.9", 9)


class Document:
    version = 1
    stamp = DocumentStamp(1)

    def __init__(self, organisation):
        self.rulebook = self
        self.organisations = {organisation.name: organisation}


class RateRelayTests(testtools.TestCase):
    """Rate requests from a node that does not see the rate's holder."""

    def setUp(self):
        super().setUp()
        self.transport = FakeTransport()
        ranked = rank_holders("census", ["one", "two", "three"])
        self.holder, own = ranked[0], ranked[1]
        settings = Settings()
        settings.name = own
        document = Document(Organisation("census", 10.0, 10.0, None))
        clock = ManualClock(1.0)
        generations = GenerationTracker(clock)
        self.gossip = Gossip(
            None,
            settings,
            clock,
            self.transport,
            None,
            document,
            generations,
            CrashLedger(clock),
            None,
        )

    def add_peer(self, name, address="10.0.0.1:80"):
        announcement = Announcement(
            name, 1, 1, address, "south", False, 1, 0.1, 0, 0, None
        )
        self.gossip.table.apply_announcement(announcement)

    def send_rate_request(self, relayed=False):
        request = RateRequest(7, "census", "nine", relayed)
        deliver(self.gossip, request, REQUESTER)

    def test_request_is_relayed_to_the_holder_and_its_response_back(self):
        self.add_peer(self.holder)
        self.send_rate_request()
        ((address, relayed_request),) = self.transport.sent
        self.assertEqual((("10.0.0.1", 9), True), (address, relayed_request.relayed))
        deliver(
            self.gossip,
            RateResponse(relayed_request.correlation_id, False, 0.4),
            address,
        )
        self.assertEqual(
            (REQUESTER, RateResponse(7, False, 0.4)), self.transport.sent[-1]
        )

    def test_relayed_request_is_decided_locally(self):
        self.add_peer(self.holder)
        self.send_rate_request(relayed=True)
        ((address, response),) = self.transport.sent
        self.assertEqual((REQUESTER, True), (address, response.granted))

    def test_rate_request_is_handled_without_the_actor(self):
        request = RateRequest(7, "census", "nine", False)
        self.assertIsNone(self.transport.handle(request, REQUESTER))
        ((address, response),) = self.transport.sent
        self.assertEqual(
            (REQUESTER, 7, True), (address, response.correlation_id, response.granted)
        )

    def test_request_is_decided_locally_if_no_other_holder_is_known(self):
        self.send_rate_request()
        ((address, response),) = self.transport.sent
        self.assertEqual((REQUESTER, True), (address, response.granted))
