import pykka
import testtools

from ...clocks import ManualClock
from ..gossip import Gossip, WithdrawalCommand
from ..messages import WithdrawalAnswer, WithdrawalAsk
from ..wire import Received
from .test_gossip import Settings, Wire

SENDER = ("10.0.0.2", 9)


class Owner:
    def __init__(self, never_runs):
        self.never_runs = never_runs
        self.withdrawn = []

    def withdraw(self, request_id):
        self.withdrawn.append(request_id)
        return self.never_runs


class WithdrawalTests(testtools.TestCase):
    def create(self, never_runs=True):
        self.wire = Wire()
        self.owner = Owner(never_runs)
        return Gossip(
            None, Settings, ManualClock(1.0), self.wire, None, None, self.owner
        )

    def ask(self, gossip, boot):
        gossip.take_question(Received(WithdrawalAsk(3, boot, "one"), SENDER))
        ((address, answer),) = self.wire.sent
        self.assertEqual((SENDER, 3), (address, answer.number))
        return answer.never_runs

    def test_owner_says_whether_the_request_never_runs(self):
        for never_runs in (True, False):
            gossip = self.create(never_runs)
            self.assertEqual(never_runs, self.ask(gossip, gossip._boot))
            self.assertEqual(["one"], self.owner.withdrawn)

    def test_process_that_started_since_can_not_vouch_for_the_one_before(self):
        gossip = self.create()
        self.assertFalse(self.ask(gossip, gossip._boot + 1))

    def test_answer_finds_the_one_that_asked(self):
        gossip = self.create()
        wanted = WithdrawalCommand("10.0.0.3:80", 5, "one", pykka.ThreadingFuture())
        gossip.ask_withdrawal(wanted)
        ((address, ask),) = self.wire.sent
        self.assertEqual(("10.0.0.3", 9), address)
        self.assertEqual((5, "one"), (ask.boot, ask.request_id))
        gossip.take(WithdrawalAnswer(ask.number, True), SENDER)
        self.assertTrue(wanted.reply.get(timeout=1))
        gossip.take(WithdrawalAnswer(ask.number, False), SENDER)
