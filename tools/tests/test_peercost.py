import time

import testtools

from .. import peercost

PEERS = 5
PATIENCE_S = 20.0


class PeerCostTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        port = peercost.find_port()
        self.node = peercost.Node(port)
        self.addCleanup(self.node.stop)
        self.peers = peercost.Peers(PEERS, port)
        self.addCleanup(self.peers.close)

    def await_live(self):
        ends = time.monotonic() + PATIENCE_S
        while time.monotonic() < ends:
            self.peers.announce(0.0)
            if len(self.node.table.list_live()) == PEERS:
                return True
            time.sleep(0.02)
        return False

    def test_peers_are_heard_and_every_question_is_answered(self):
        self.assertTrue(self.await_live())
        questions = peercost.list_questions(self.node)
        self.assertEqual(PEERS, len(questions["list_live"]()))
        self.assertEqual(1 + PEERS, questions["count_members"]())
        for ask in questions.values():
            ask()

    def test_cost_is_told(self):
        self.assertTrue(self.await_live())
        before = self.node.measure_spent()
        self.peers.announce(0.01)
        time.sleep(0.1)
        self.assertTrue(self.node.measure_spent() > before)
