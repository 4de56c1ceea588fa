import testtools

from .simulation import Fleet

SIZES = (6, 5, 4)
SETTLE_S = 4.0
OUTAGE_S = 8.0
# Time for nodes that start without the store to find each other.
FIND_S = 10.0
SEEDS = range(40)
LOSS = 0.05


class Unknown:
    announcement = None


class IntroductionTests(testtools.TestCase):
    """Nodes that start while the store, which lists the others, is away."""

    def find_missing(self, fleet):
        """Return pairs of nodes of a data centre of which one misses the other."""
        return [
            (node.host, host)
            for node in fleet.nodes.values()
            for host in fleet.nodes
            if host != node.host
            and host.startswith(node.data_centre)
            and node.table.peers.get(f"vm-{host}", Unknown).announcement is None
        ]

    def restart_data_centre(self, seed, loss=0.0):
        fleet = Fleet(SIZES, seed)
        fleet.run(SETTLE_S)
        hosts = fleet.list_data_centre(3)
        for host in hosts:
            fleet.kill(host)
        fleet.run(OUTAGE_S)
        fleet.network.loss = loss
        for host in hosts:
            fleet.start(host, version=0)
        fleet.run(FIND_S)
        return self.find_missing(fleet)

    def test_nodes_of_a_restarted_data_centre_find_each_other(self):
        missing = {seed: self.restart_data_centre(seed) for seed in SEEDS}
        self.assertEqual({}, {seed: pairs for seed, pairs in missing.items() if pairs})

    def test_nodes_of_a_restarted_data_centre_find_each_other_by_lossy_links(self):
        missing = {seed: self.restart_data_centre(seed, LOSS) for seed in SEEDS}
        self.assertEqual({}, {seed: pairs for seed, pairs in missing.items() if pairs})
