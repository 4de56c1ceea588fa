import testtools

from ..departures import Departure
from ..keeping import MAX_REPORTS, DepartureKeeper


class FakeStore:
    def __init__(self, keeps, unkept=()):
        self.keeps = keeps
        self.unkept = list(unkept)

    def keep_departures(self, timeout_s):
        return self.keeps

    def list_unkept_departures(self):
        return self.unkept


class FakeNodes:
    """Takes the place of the `Gossip` actor."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.checks = []

    def tell(self, check):
        self.checks.append(check)
        reply = self.replies.pop(0)
        if reply is not None:
            check.reply.set(reply)


class DepartureKeeperTests(testtools.TestCase):
    def test_store_is_enough(self):
        nodes = FakeNodes([])
        self.assertTrue(DepartureKeeper(FakeStore(True), nodes).keep())
        self.assertEqual([], nodes.checks)

    def test_other_nodes_keep_what_the_store_does_not(self):
        departure = Departure("i-1", 100, 500)
        nodes = FakeNodes([True])
        self.assertTrue(DepartureKeeper(FakeStore(False, [departure]), nodes).keep())
        self.assertEqual([[departure]], [check.departures for check in nodes.checks])

    def test_nodes_are_asked_again_as_datagrams_may_be_lost(self):
        store = FakeStore(False, [Departure("i-1", 100, 500)])
        self.assertTrue(DepartureKeeper(store, FakeNodes([None, True])).keep())

    def test_departure_that_nobody_keeps_is_not_kept(self):
        store = FakeStore(False, [Departure("i-1", 100, 500)])
        for reply in (None, False):
            nodes = FakeNodes(MAX_REPORTS * [reply])
            self.assertFalse(DepartureKeeper(store, nodes).keep())

    def test_departure_of_an_unknown_process_is_kept_by_the_store_alone(self):
        store = FakeStore(False, [Departure("i-1", None, 500)])
        self.assertFalse(DepartureKeeper(store, FakeNodes([])).keep())
