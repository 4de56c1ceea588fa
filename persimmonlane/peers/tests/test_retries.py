import collections

import testtools
from testtools.matchers import GreaterThan, LessThan

from ..commands import RetryCheck
from .simulation import Fleet, Settings

SIZES = (12, 10, 8)
STEP_S = 0.1
WINDOW_S = Settings.retry_window_s


class Reply:
    def __init__(self, granted):
        self._granted = granted

    def set(self, granted):
        self._granted.append(granted)


class RetryingFleet(Fleet):
    """A fleet whose requests all fail, so that every token is used."""

    def __init__(self, sizes=SIZES, seed=1):
        super().__init__(sizes, seed)
        self.run(5.0)
        self.sent = []
        self.retried = []
        self.requests = collections.Counter()

    def load(self, seconds, rate, hosts=None):
        """Send requests at a rate; each asks for three retries."""
        due = 0.0
        for _ in range(round(seconds / STEP_S)):
            self.run(STEP_S)
            due += rate * STEP_S
            while due >= 1.0:
                due -= 1.0
                running = [h for h in hosts or sorted(self.nodes) if h in self.nodes]
                self.send(self.rng.choice(running))

    def send(self, host):
        node = self.nodes[host]
        boot = node.gossip._boot
        self.requests[boot] += 1
        self.sent.append(self.clock.now())
        granted = []
        for _ in range(3):
            node.gossip.check_retry(
                RetryCheck("prices", self.requests[boot], Reply(granted))
            )
        self.network.deliver()
        self.retried += [self.clock.now()] * sum(granted)

    def find_largest_excess(self):
        """Return by how much the retries of a window exceed a part of its requests."""
        excess = float("-inf")
        for end in self.retried:
            retries = sum(1 for at in self.retried if end - WINDOW_S < at <= end)
            requests = sum(1 for at in self.sent if end - WINDOW_S < at <= end)
            excess = max(excess, retries - Settings.retry_ratio * requests)
        return excess


class RetryPoolTests(testtools.TestCase):
    def assert_within_bound(self, fleet):
        self.assertThat(fleet.find_largest_excess(), LessThan(Settings.retry_slack))

    def test_fleet_stays_within_ratio_and_slack(self):
        fleet = RetryingFleet()
        fleet.load(30.0, 40.0)
        self.assert_within_bound(fleet)

    def test_retries_that_the_budget_allows_are_not_withheld(self):
        fleet = RetryingFleet()
        fleet.load(30.0, 40.0)
        allowed = 30.0 * (40.0 * 0.2 + Settings.retry_slack / WINDOW_S)
        self.assertThat(len(fleet.retried), GreaterThan(allowed / 2))

    def test_one_node_can_use_the_tokens_of_its_data_centre(self):
        fleet = RetryingFleet()
        fleet.load(10.0, 1.0, ["10.0.1.1"])
        share = Settings.retry_slack * SIZES[0] / sum(SIZES)
        self.assertThat(len(fleet.retried), GreaterThan(share / 3))

    def test_bound_holds_if_holders_die(self):
        fleet = RetryingFleet()
        for _ in range(4):
            fleet.load(4.0, 40.0)
            for number in (1, 2, 3):
                host = fleet.list_data_centre(number)[0]
                peer = fleet.nodes[host].gossip._retries._find_holder("prices")
                fleet.kill(peer.host if peer else host)
        fleet.load(10.0, 40.0)
        self.assert_within_bound(fleet)

    def test_bound_holds_if_many_nodes_restart(self):
        fleet = RetryingFleet()
        fleet.load(10.0, 40.0)
        for host in fleet.rng.sample(sorted(fleet.nodes), 15):
            fleet.kill(host)
            fleet.start(host)
        fleet.register()
        fleet.load(15.0, 40.0)
        self.assert_within_bound(fleet)

    def test_bound_holds_if_a_data_centre_is_cut_off(self):
        fleet = RetryingFleet()
        fleet.load(10.0, 40.0)
        for number in (2, 3):
            fleet.network.cuts.add((f"10.0.{number}", "10.0.1"))
            fleet.network.cuts.add(("10.0.1", f"10.0.{number}"))
        fleet.load(20.0, 40.0)
        self.assert_within_bound(fleet)
