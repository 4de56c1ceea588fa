import testtools

from ...clocks import ManualClock
from ...peers.peer import Peer
from ...verdicts import Verdict
from ..cancellation import MAX_ATTEMPTS, CancellationClient, CancelOnShutdown
from ..exchange import ExchangeError
from ..shutdown import Shutdown

POLL_S = 0.5


class FakeActor:
    """Ignores the first queries, and answers all later ones."""

    def __init__(self, ignored, never_runs=True, on_query=lambda: None):
        self.on_query = on_query
        self.ignored = ignored
        self.never_runs = never_runs
        self.queries = []

    def tell(self, query):
        self.queries.append(query)
        self.on_query()
        if len(self.queries) > self.ignored:
            query.reply.set(self.never_runs)


class CancellationClientTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(1.0)

    def cancel(self, actor, request_id="one", deadline=3.0):
        peer = Peer("node-2", "10.0.0.2:80", 1.0)
        client = CancellationClient(actor, self.clock)
        return client.cancel(request_id, peer, 7, deadline)

    def test_cancellation_needs_the_confirmation_of_the_owner(self):
        self.assertTrue(self.cancel(FakeActor(0)))
        self.assertFalse(self.cancel(FakeActor(0, never_runs=False)))

    def test_query_is_repeated_after_a_lost_datagram(self):
        actor = FakeActor(1)
        self.assertTrue(self.cancel(actor))
        queries = {(item.address, item.boot, item.request_id) for item in actor.queries}
        self.assertEqual({("10.0.0.2:80", 7, "one")}, queries)

    def test_missing_reply_does_not_confirm_the_cancellation(self):
        actor = FakeActor(MAX_ATTEMPTS)
        self.assertFalse(self.cancel(actor))
        self.assertEqual(MAX_ATTEMPTS, len(actor.queries))

    def test_confirmation_after_the_deadline_does_not_count(self):
        # The owner may have forgotten by then that it dispatched the request.
        actor = FakeActor(0, on_query=lambda: self.clock.advance(90.0))
        self.assertFalse(self.cancel(actor))

    def test_query_is_not_repeated_after_the_deadline(self):
        actor = FakeActor(1, on_query=lambda: self.clock.advance(90.0))
        self.assertFalse(self.cancel(actor))
        self.assertEqual(1, len(actor.queries))

    def test_request_without_an_identifier_is_not_cancelled(self):
        # It can't be told from others, which may have run.
        self.assertFalse(self.cancel(FakeActor(0), request_id=""))


class CancelOnShutdownTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(1.0)
        self.shutdown = Shutdown(self.clock)
        self.never_runs = True
        self.cancel_count = 0
        self.poll = CancelOnShutdown(self.shutdown, self.cancel, lambda: POLL_S)

    def cancel(self):
        self.cancel_count += 1
        return self.never_runs

    def stop_dispatching(self):
        self.shutdown.begin(6.0)
        self.clock.advance(5.0)

    def test_request_is_not_cancelled_while_dispatching_is_allowed(self):
        self.assertEqual(POLL_S, self.poll())
        self.shutdown.begin(6.0)
        self.assertEqual(POLL_S, self.poll())
        self.assertEqual(0, self.cancel_count)

    def test_request_that_was_not_dispatched_is_cancelled(self):
        self.stop_dispatching()
        error = self.assertRaises(ExchangeError, self.poll)
        self.assertIs(Verdict.NOT_RUN, error.verdict)

    def test_dispatched_request_is_awaited(self):
        self.never_runs = False
        self.stop_dispatching()
        self.assertEqual([POLL_S, POLL_S], [self.poll(), self.poll()])
        self.assertEqual(1, self.cancel_count)
