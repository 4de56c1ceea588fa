import collections
import random

import testtools

from persimmonlane.balancing import Choice, balancers, create_balancer
from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import Service
from persimmonlane.ejection.standing import EJECTED, HEALTHY, Standing, State
from persimmonlane.errors import InputError
from persimmonlane.membership.servers import BackendServer

TRIAL = Standing(State.TRIAL, 0.1, idempotent_only=True)


class BalancerTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(1000.0)

    def create(self, policy, data_centre="dc0"):
        service = Service(name="prices", balancing=policy, ramp_s=10.0)
        return create_balancer(service, data_centre, self.clock, random.Random(5))

    def create_servers(self, *slots, data_centre="dc0", since=0.0):
        return [
            BackendServer(
                f"{data_centre}-{number}", "prices", data_centre, count, since=since
            )
            for number, count in enumerate(slots)
        ]

    def count(self, balancer, servers, context=None, hold=False, times=2000):
        counts = collections.Counter()
        for _ in range(times):
            server = balancer.choose(servers, context or Choice())
            counts[server.address] += 1
            if hold:
                balancer.start(server.address)
        return counts


class AnyPolicyTest(BalancerTestCase):
    def test_unknown(self):
        self.assertRaises(InputError, self.create, "none-such")

    def test_none_left(self):
        for policy in balancers.names():
            balancer = self.create(policy)
            self.assertIsNone(balancer.choose([], Choice()))
            servers = self.create_servers(4)
            self.assertIsNone(balancer.choose(servers, Choice(excluded={"dc0-0"})))

    def test_standings(self):
        standings = {"dc0-0": EJECTED, "dc0-1": TRIAL, "dc0-2": HEALTHY}
        servers = self.create_servers(4, 4, 4)
        for policy in balancers.names():
            balancer = self.create(policy)
            choice = Choice(False, standings=standings.__getitem__)
            self.assertEqual(
                {"dc0-2": 2000}, dict(self.count(balancer, servers, choice))
            )
            choice = Choice(True, standings=standings.__getitem__)
            self.assertNotIn("dc0-0", self.count(balancer, servers, choice))

    def test_finish_without_start(self):
        for policy in balancers.names():
            balancer = self.create(policy)
            balancer.finish("dc0-0", 0.1)
            balancer.report_load("dc0-0", 0, 0, 99999.0)
            balancer.forget([])
            self.assertIsNotNone(balancer.choose(self.create_servers(4), Choice()))


class WeightedTest(BalancerTestCase):
    policies = ("least-loaded", "peak-ewma")

    def test_fills_by_slots(self):
        for policy in self.policies:
            servers = self.create_servers(2, 4, 8)
            counts = self.count(self.create(policy), servers, hold=True, times=140)
            self.assertTrue(
                abs(counts["dc0-0"] - 20) <= 5 and abs(counts["dc0-2"] - 80) <= 10,
                counts,
            )

    def test_own_data_centre_until_full(self):
        for policy in self.policies:
            balancer = self.create(policy)
            servers = self.create_servers(4, 4)
            servers += self.create_servers(4, 4, data_centre="dc1")
            counts = self.count(balancer, servers, hold=True, times=6)
            self.assertEqual({"dc0"}, {address.partition("-")[0] for address in counts})
            counts += self.count(balancer, servers, hold=True, times=10)
            remote = counts["dc1-0"] + counts["dc1-1"]
            self.assertTrue(7 <= remote <= 9, counts)

    def test_new_server_ramps_up(self):
        for policy in self.policies:
            shares = []
            for age_s in (0.0, 5.0, 10.0):
                servers = self.create_servers(4, 4, 4)
                servers[0].since = self.clock.now() - age_s
                counts = self.count(self.create(policy), servers, hold=True, times=300)
                shares.append(counts["dc0-0"])
            self.assertTrue(shares[0] < 25 < shares[1] < 75 < shares[2], shares)

    def test_fresh_report_counts_and_old_one_does_not(self):
        balancer = self.create("least-loaded")
        servers = self.create_servers(4, 4)
        balancer.report_load("dc0-0", 8, 8, 0.0)
        self.assertEqual({"dc0-1": 2000}, dict(self.count(balancer, servers)))
        self.clock.advance(10.0)
        balancer.report_load("dc0-0", 8, 8, 8.0)
        counts = self.count(balancer, servers)
        self.assertTrue(500 < counts["dc0-0"] < 1500, counts)

    def test_no_report_moves_the_default(self):
        balancer = self.create(Service(name="prices").balancing)
        servers = self.create_servers(4, 4)
        balancer.report_load("dc0-0", 8, 8, 0.0)
        counts = self.count(balancer, servers)
        self.assertTrue(500 < counts["dc0-0"] < 1500, counts)

    def test_older_report_is_ignored(self):
        balancer = self.create("least-loaded")
        servers = self.create_servers(4, 4)
        balancer.report_load("dc0-0", 0, 0, 0.0)
        balancer.report_load("dc0-0", 90, 90, 1.0)
        self.assertGreater(self.count(balancer, servers)["dc0-0"], 500)


class LatencyTest(BalancerTestCase):
    def feed(self, balancer, latencies, ok=()):
        for _ in range(20):
            self.clock.advance(0.05)
            for address, latency_s in latencies.items():
                balancer.start(address)
                balancer.finish(address, latency_s, ok=address not in ok)

    def test_slow_server_gets_little_at_low_traffic(self):
        servers = self.create_servers(4, 4, 4)
        balancer = self.create("peak-ewma")
        self.feed(balancer, {"dc0-0": 0.5, "dc0-1": 0.05, "dc0-2": 0.05})
        self.assertEqual(0, self.count(balancer, servers)["dc0-0"])

    def test_forgiven_with_time(self):
        servers = self.create_servers(4, 4, 4)
        balancer = self.create("peak-ewma")
        self.feed(balancer, {"dc0-0": 0.5, "dc0-1": 0.05, "dc0-2": 0.05})
        self.clock.advance(60.0)
        self.feed(balancer, {"dc0-1": 0.05, "dc0-2": 0.05})
        self.assertGreater(self.count(balancer, servers, hold=True)["dc0-0"], 400)

    def test_fast_failures_draw_no_work(self):
        servers = self.create_servers(4, 4, 4)
        balancer = self.create("peak-ewma")
        latencies = {"dc0-0": 0.001, "dc0-1": 0.05, "dc0-2": 0.05}
        self.feed(balancer, latencies, ok={"dc0-0"})
        self.assertEqual(0, self.count(balancer, servers)["dc0-0"])
