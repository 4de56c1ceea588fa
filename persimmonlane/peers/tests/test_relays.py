from ..relays import RELAY_COUNT
from ..statuses import Digest
from .test_remotes import FleetTestCase


class PairTests(FleetTestCase):
    """Two relays that don't belong together stop sending each other digests."""

    def list_pairs(self, seconds):
        """Return the hosts between which digests cross, as sender and receiver."""
        hosts = {node.gossip._boot: host for host, node in self.fleet.nodes.items()}
        self.fleet.network.seen.clear()
        self.fleet.run(seconds)
        pairs = {
            (hosts[message.boot], receiver)
            for receiver, message in self.fleet.network.seen
            if isinstance(message, Digest)
        }
        return {
            (sender, receiver)
            for sender, receiver in pairs
            if sender.rpartition(".")[0] != receiver.rpartition(".")[0]
        }

    def test_pair_that_answers_only_each_other_ends(self):
        first, second = self.get_relays(1)[0], self.get_relays(2)[1]
        for host, other in ((first, second), (second, first)):
            self.fleet.nodes[host].gossip._remotes._send_digest(other, [])
        self.fleet.run(10.0)
        self.assertNotIn((first, second), self.list_pairs(5.0))

    def test_each_relay_sends_to_one_relay_of_each_other_data_centre(self):
        self.fleet.run(10.0)
        centres = len(self.sizes)
        expected = centres * (centres - 1) * RELAY_COUNT
        self.assertEqual(expected, len(self.list_pairs(5.0)))
