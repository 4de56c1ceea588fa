import testtools

from ...clocks import ManualClock
from ...owner.tests.test_serving import build_order
from ...peers.peer import Peer
from ...verdicts import Verdict
from ..departure import Shutdown
from ..exchange import ExchangeError
from ..withdrawal import TRIES, CancellationClient, CancelOnShutdown

LOOK_S = 0.5


class Actor:
    """Answers the questions after the first that it ignores."""

    def __init__(self, ignored, never_runs=True):
        self.ignored = ignored
        self.never_runs = never_runs
        self.asked = []

    def tell(self, wanted):
        self.asked.append(wanted)
        if len(self.asked) > self.ignored:
            wanted.reply.set(self.never_runs)


class WithdrawalsTests(testtools.TestCase):
    def cancel(self, actor):
        peer = Peer("node-2", "10.0.0.2:80", 1.0)
        return CancellationClient(actor).cancel(build_order(), peer, 7)

    def test_request_never_runs_only_if_its_owner_says_so(self):
        self.assertTrue(self.cancel(Actor(0)))
        self.assertFalse(self.cancel(Actor(0, never_runs=False)))

    def test_lost_datagram_is_repeated(self):
        actor = Actor(1)
        self.assertTrue(self.cancel(actor))
        asked = {(item.address, item.boot, item.request_id) for item in actor.asked}
        self.assertEqual({("10.0.0.2:80", 7, "one")}, asked)

    def test_silent_owner_vouches_for_nothing(self):
        actor = Actor(TRIES)
        self.assertFalse(self.cancel(actor))
        self.assertEqual(TRIES, len(actor.asked))


class HopWaitTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(1.0)
        self.shutdown = Shutdown(self.clock)
        self.never_runs = True
        self.asked = 0
        self.wait = CancelOnShutdown(self.shutdown, self.withdraw, lambda: LOOK_S)

    def withdraw(self):
        self.asked += 1
        return self.never_runs

    def close(self):
        self.shutdown.begin(6.0)
        self.clock.advance(5.0)

    def test_request_stays_while_requests_may_be_begun(self):
        self.assertEqual(LOOK_S, self.wait())
        self.shutdown.begin(6.0)
        self.assertEqual(LOOK_S, self.wait())
        self.assertEqual(0, self.asked)

    def test_request_that_was_not_begun_is_taken_back(self):
        self.close()
        error = self.assertRaises(ExchangeError, self.wait)
        self.assertIs(Verdict.NOT_RUN, error.verdict)

    def test_request_that_was_begun_is_awaited(self):
        self.never_runs = False
        self.close()
        self.assertEqual([LOOK_S, LOOK_S], [self.wait(), self.wait()])
        self.assertEqual(1, self.asked)
