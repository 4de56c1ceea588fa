import pykka
import testtools

from ...clocks import ManualClock
from ..commands import CancellationCommand
from ..gossip import Gossip
from ..messages import CancellationRequest, CancellationResponse
from ..transport import ReceivedDatagram
from .test_gossip import FakeTransport, Settings

SENDER = ("10.0.0.2", 9)


class FakeOwner:
    def __init__(self, never_runs):
        self.never_runs = never_runs
        self.cancelled = []

    def cancel(self, request_id, time_left_s):
        self.cancelled.append((request_id, time_left_s))
        return self.never_runs


class CancellationTests(testtools.TestCase):
    def build_gossip(self, never_runs=True):
        self.transport = FakeTransport()
        self.owner = FakeOwner(never_runs)
        return Gossip(
            None,
            Settings,
            ManualClock(1.0),
            self.transport,
            None,
            None,
            None,
            None,
            self.owner,
        )

    def send_cancellation_request(self, gossip, boot):
        gossip.answer_query(
            ReceivedDatagram(CancellationRequest(3, boot, "one", 9.0), SENDER)
        )
        ((address, response),) = self.transport.sent
        self.assertEqual((SENDER, 3), (address, response.correlation_id))
        return response.never_runs

    def test_response_says_whether_the_request_never_runs(self):
        for never_runs in (True, False):
            gossip = self.build_gossip(never_runs)
            self.assertEqual(
                never_runs, self.send_cancellation_request(gossip, gossip._boot)
            )
            self.assertEqual([("one", 9.0)], self.owner.cancelled)

    def test_restarted_process_does_not_answer_for_its_predecessor(self):
        gossip = self.build_gossip()
        self.assertFalse(self.send_cancellation_request(gossip, gossip._boot + 1))

    def test_response_completes_the_pending_command(self):
        gossip = self.build_gossip()
        command = CancellationCommand(
            "10.0.0.3:80", 5, "one", 9.0, pykka.ThreadingFuture()
        )
        gossip.request_cancellation(command)
        ((address, request),) = self.transport.sent
        self.assertEqual(("10.0.0.3", 9), address)
        self.assertEqual(
            (5, "one", 9.0), (request.boot, request.request_id, request.time_left_s)
        )
        gossip.handle_datagram(
            CancellationResponse(request.correlation_id, True), SENDER
        )
        self.assertTrue(command.reply.get(timeout=1))
        gossip.handle_datagram(
            CancellationResponse(request.correlation_id, False), SENDER
        )
