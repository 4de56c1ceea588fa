import time

import testtools

from .. import peercost

PEERS = 5
TIMEOUT_S = 20.0


class PeerCostTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        port = peercost.find_port()
        self.node = peercost.Node(port)
        self.addCleanup(self.node.stop)
        self.peers = peercost.Peers(PEERS, port)
        self.addCleanup(self.peers.close)

    def await_live(self):
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            self.peers.announce(0.0)
            if len(self.node.table.list_live()) == PEERS:
                return True
            time.sleep(0.02)
        return False

    def test_announcements_arrive_and_every_lookup_works(self):
        self.assertTrue(self.await_live())
        lookups = peercost.list_lookups(self.node)
        self.assertEqual(PEERS, len(lookups["list_live"]()))
        self.assertEqual(1 + PEERS, lookups["count_members"]())
        for lookup in lookups.values():
            lookup()

    def test_cpu_time_is_measured(self):
        self.assertTrue(self.await_live())
        before = self.node.read_cpu_s()
        self.peers.announce(0.01)
        time.sleep(0.1)
        self.assertTrue(self.node.read_cpu_s() > before)
