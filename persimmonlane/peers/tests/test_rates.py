import threading

import testtools

from ...clocks import ManualClock
from ...quotas.buckets import rank_holders
from ...routing.rulebook import Organisation
from ..queries import PendingQueries
from ..rates import FleetRateLimiter
from ..statuses import Announcement
from ..table import PeerTable

BURST = 40


class Settings:
    data_centre = "south"
    gossip_port = 9

    def __init__(self, name):
        self.name = name


class Reply:
    def __init__(self, replies):
        self.set = replies.append


THREADS = 4


class FleetRateLimiterTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        names = [f"node-{number}" for number in range(10)]
        *self.ranked, own = rank_holders("census", names)
        self.table = PeerTable(own, "south", 1, self.clock)
        self.rates = FleetRateLimiter(
            Settings(own), self.clock, self.table, 1, None, PendingQueries(), None
        )
        self.organisation = Organisation("census", 1000.0, BURST, None)

    def decide(self):
        replies = []
        self.rates.decide(self.organisation, Reply(replies))
        return replies[0]

    def add_peer(self, name, sequence=1):
        announcement = Announcement(
            name, 1, sequence, "10.0.0.1:1", "south", False, 1, 0, 0, 0, None
        )
        self.table.apply_announcement(announcement)

    def test_holder_is_the_highest_ranked_live_node(self):
        first, *rest = self.ranked
        for name in sorted(self.ranked):
            self.add_peer(name)
        self.assertEqual(first, self.rates.find_holder(self.organisation).name)
        self.clock.advance(2.0)
        for name in sorted(rest):
            self.add_peer(name, 2)
        self.clock.advance(1.0)
        self.assertEqual(rest[0], self.rates.find_holder(self.organisation).name)

    def test_node_without_live_peers_holds_the_rate(self):
        self.assertIsNone(self.rates.find_holder(self.organisation))

    def test_concurrent_threads_get_no_more_than_the_available_tokens(self):
        granted = []
        self.decide()
        self.clock.advance(1.0)

        def request_tokens():
            for _ in range(BURST):
                if self.decide() <= 0:
                    granted.append(True)

        threads = [threading.Thread(target=request_tokens) for _ in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(BURST, len(granted))
