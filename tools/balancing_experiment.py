"""Balancing experiment.

Runs each balancing policy through the same seeded run of one service with uneven
slots, lagging load reports, a slow backend server and several organisations.
"""

import heapq
import itertools
import json
import random
import sys

import msgspec

from persimmonlane.balancing import Choice, balancers, create_balancer
from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import Service
from persimmonlane.membership.servers import BackendServer

SLOTS = (2, 4, 4, 4, 8)
DATA_CENTRES = 3
NODES_PER_DATA_CENTRE = 3
SERVICE_TIME_S = 0.05
SERVICE_TIME_SIGMA = 0.5
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.005
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.0
COLD_FACTOR = 3.0
COLD_REQUESTS = 100
RESTART_AT_S = 20.0
WARM_UP_S = 5.0
MS_PER_S = 1000
# Requests per second, and the data centre where most of its callers are.
ORGANISATIONS = (
    (8, 0),
    (6, 1),
    (3, 2),
    (1, 0),
    (1, 0),
    (1, 1),
    (1, 2),
    (1, 2),
)
HOME_SHARE = 0.7


class Scenario(msgspec.Struct, frozen=True):
    """One setting of the experiment.

    Attributes:
        name: Name for the table.
        utilisation: Offered load as a share of all slots.
        slow_factor: Factor on the service time of the slow backend server.
        seconds: Length of the run.
        slots: Slots of the backend servers of each data centre.
        service_time_s: Mean service time, in seconds.
    """

    name: str
    utilisation: float
    slow_factor: float = 10.0
    seconds: float = 60.0
    slots: tuple[int, ...] = SLOTS
    service_time_s: float = SERVICE_TIME_S


SCENARIOS = (
    Scenario("normal", 0.6),
    Scenario("busy", 0.85),
    Scenario("low", 0.1, seconds=120.0),
    Scenario("slow-3x", 0.6, slow_factor=3.0),
    Scenario("small", 0.6, slots=(2, 4), seconds=120.0),
    Scenario("healthy", 0.6, slow_factor=1.0),
    Scenario("uploads", 0.6, slow_factor=3.0, seconds=400.0, service_time_s=1.0),
)


class Row(msgspec.Struct, frozen=True):
    """Figures of one policy in one scenario.

    Attributes:
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of the run.
        requests: Number of requests that were counted.
        p50_ms: Median latency.
        p99_ms: 99th percentile of latency.
        worst_p99_ms: 99th percentile of the worst-served organisation.
        remote: Share of requests that left their data centre.
    """

    scenario: str
    policy: str
    seed: int
    requests: int
    p50_ms: float
    p99_ms: float
    worst_p99_ms: float
    remote: float


class FakeServer:
    """A backend server with slots and a queue.

    Attributes:
        server: Its `BackendServer`.
        factor: Factor on its service time.
    """

    def __init__(self, server, factor):
        self.server = server
        self.factor = factor
        self.cold = 0
        self.running = 0
        self.waiting = []

    def serve_time(self, base_s):
        """Return the service time of the next request."""
        if self.cold:
            self.cold -= 1
            return base_s * self.factor * COLD_FACTOR
        return base_s * self.factor


class Run:
    """One seeded run of one policy."""

    def __init__(self, scenario, policy, seed):
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.clock = ManualClock()
        self.traffic = random.Random(f"traffic-{scenario.name}-{seed}")
        self.latencies = [[] for _ in ORGANISATIONS]
        self.remote = 0
        self.servers = self.create_servers()
        self.nodes = self.create_nodes()
        self.events = []
        self.order = itertools.count()

    def create_servers(self):
        """Return the backend servers by address; one of them is slow."""
        servers = {}
        for centre in range(DATA_CENTRES):
            for index, slots in enumerate(self.scenario.slots):
                address = f"10.{centre}.0.{index + 1}:80"
                slow = (centre, index) == (0, 1)
                factor = self.scenario.slow_factor if slow else 1.0
                server = BackendServer(
                    address, "prices", f"dc{centre}", slots, since=-1000.0
                )
                servers[address] = FakeServer(server, factor)
        return servers

    def create_nodes(self):
        """Return a balancer for each node of each data centre."""
        service = Service(name="prices", balancing=self.policy)
        return [
            [
                create_balancer(
                    service,
                    f"dc{centre}",
                    self.clock,
                    random.Random(f"node-{centre}-{index}-{self.seed}"),
                )
                for index in range(NODES_PER_DATA_CENTRE)
            ]
            for centre in range(DATA_CENTRES)
        ]

    def measure(self):
        """Run and return the `Row`."""
        self.plan_arrivals()
        self.plan_reports()
        self.at(RESTART_AT_S, self.restart, f"10.1.0.{len(self.scenario.slots)}:80")
        while self.events:
            at, _, action, arguments = heapq.heappop(self.events)
            self.clock.seconds = at
            action(*arguments)
        return self.summarise()

    def at(self, seconds, action, *arguments):
        """Plan an event."""
        heapq.heappush(self.events, (seconds, next(self.order), action, arguments))

    def plan_arrivals(self):
        """Plan the requests of all organisations, the same for each policy."""
        slots = DATA_CENTRES * sum(self.scenario.slots)
        total = self.scenario.utilisation * slots / self.scenario.service_time_s
        shares = sum(rate for rate, _ in ORGANISATIONS)
        for number, (rate, home) in enumerate(ORGANISATIONS):
            at = 0.0
            while at < self.scenario.seconds:
                at += self.traffic.expovariate(total * rate / shares)
                self.at(at, self.arrive, number, *self.draw_arrival(home))

    def draw_arrival(self, home):
        """Return data centre, node and service time of a request."""
        centre = home
        if self.traffic.random() > HOME_SHARE:
            centre = self.traffic.randrange(DATA_CENTRES)
        node = self.traffic.randrange(NODES_PER_DATA_CENTRE)
        sigma = SERVICE_TIME_SIGMA
        spread = self.traffic.lognormvariate(-sigma * sigma / 2, sigma)
        return centre, node, self.scenario.service_time_s * spread

    def plan_reports(self):
        """Plan the load reports, which lag."""
        at = 0.0
        while at < self.scenario.seconds:
            at += REPORT_INTERVAL_S
            self.at(at, self.read_loads)

    def read_loads(self):
        """Read all loads now and hand them over later."""
        for address, fake in self.servers.items():
            lag_s = REPORT_LAG_S * (0.5 + self.traffic.random())
            load = (address, fake.running, len(fake.waiting), lag_s)
            self.at(self.clock.now() + lag_s, self.report, *load)

    def report(self, address, running, waiting, lag_s):
        """Hand a load report to all nodes."""
        for balancer in itertools.chain(*self.nodes):
            balancer.report_load(address, running, waiting, lag_s)

    def restart(self, address):
        """Let a backend server begin anew, with a cold cache."""
        fake = self.servers[address]
        fake.server.since = self.clock.now()
        fake.server.incarnation += 1
        fake.cold = COLD_REQUESTS

    def arrive(self, organisation, centre, node, base_s):
        """Send a request on to the backend server that the policy chooses."""
        balancer = self.nodes[centre][node]
        servers = [fake.server for fake in self.servers.values()]
        server = balancer.choose(servers, Choice())
        balancer.start(server.address)
        remote = server.data_centre != f"dc{centre}"
        delay_s = REMOTE_DELAY_S if remote else LOCAL_DELAY_S
        started_at = self.clock.now()

        def end():
            latency_s = self.clock.now() - started_at
            balancer.finish(server.address, latency_s)
            if started_at >= WARM_UP_S:
                self.latencies[organisation].append(latency_s)
                self.remote += remote

        request = (server.address, base_s, delay_s, end)
        self.at(self.clock.now() + delay_s, self.enter, *request)

    def enter(self, address, base_s, delay_s, end):
        """Run a request on a backend server, or queue it there."""
        fake = self.servers[address]
        if fake.running >= fake.server.slots:
            fake.waiting.append((base_s, delay_s, end))
            return
        fake.running += 1
        until = self.clock.now() + fake.serve_time(base_s)
        self.at(until, self.leave, address, delay_s, end)

    def leave(self, address, delay_s, end):
        """Answer a request and begin the next one."""
        fake = self.servers[address]
        fake.running -= 1
        self.at(self.clock.now() + delay_s, end)
        if fake.waiting:
            self.enter(address, *fake.waiting.pop(0))

    def summarise(self):
        """Return the figures of the run."""
        latencies = sorted(itertools.chain(*self.latencies))
        return Row(
            scenario=self.scenario.name,
            policy=self.policy,
            seed=self.seed,
            requests=len(latencies),
            p50_ms=find_quantile(latencies, 0.5),
            p99_ms=find_quantile(latencies, 0.99),
            worst_p99_ms=max(
                find_quantile(sorted(own), 0.99) for own in self.latencies
            ),
            remote=round(self.remote / len(latencies), 3),
        )


def find_quantile(ordered, share):
    """Return a quantile of sorted seconds, in milliseconds."""
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return round(ordered[index] * MS_PER_S, 1)


def measure(seeds=(1, 2, 3)):
    """Yield a `Row` for each scenario, policy and seed."""
    for scenario in SCENARIOS:
        for policy in balancers.names():
            for seed in seeds:
                yield Run(scenario, policy, seed).measure()


def main():
    """Print the rows as JSON lines."""
    seeds = tuple(int(word) for word in sys.argv[1:]) or (1, 2, 3)
    for row in measure(seeds):
        print(json.dumps(msgspec.structs.asdict(row)), flush=True)


if __name__ == "__main__":
    main()
