"""Experiment on limits.

Compares loans from shard holders with a static split, one central limiter and
gossiped estimates on the same seeded traffic and faults.
"""

import argparse
import logging
import random
import sys

import msgspec

from persimmonlane.config.model import Organisation
from persimmonlane.limits.policy import find_shard
from persimmonlane.limits.tests import simulation
from persimmonlane.limits.tests.fakes import FakeView
from persimmonlane.registries import Registry

ORGANISATIONS = (
    Organisation(name="large", rate=200, burst=200),
    Organisation(name="middle", rate=50, burst=50),
    Organisation(name="small", rate=5, burst=10),
)
LOAD = 0.8
NODES = 6
SHARDS = 8
WARM_UP_S = 10.0
DURATION_S = 120.0
FAULT_AT_S = 60.0
AROUND_S = 30.0
FAILOVER_S = 10.0
GOSSIP_S = 1.0
MOVE_S = 3.0
STORE_AWAY_S = 3 * 3600.0

schemes = Registry("scheme")
scenarios = Registry("scenario")


class Result(msgspec.Struct, frozen=True):
    """What one scheme did in one scenario.

    Attributes:
        scheme: Name of the scheme.
        scenario: Name of the scenario.
        seed: Seed of traffic and faults.
        offered: Requests after the warm-up.
        wrongful_share: Requests refused beyond what one exact bucket would have
            refused, as a share of those offered.
        worst_wrongful_share: The same for the worst-served organisation.
        around_fault_share: The same for all in the 30 s from the fault, or None.
        worst_around_fault_share: That of the organisation hit most.
        over_admitted: Most requests of one organisation above its bound.
        calls: Calls between nodes.
        store_calls: Calls to the store.
    """

    scheme: str
    scenario: str
    seed: int
    offered: int
    wrongful_share: float
    worst_wrongful_share: float
    around_fault_share: float | None
    worst_around_fault_share: float | None
    over_admitted: float
    calls: int
    store_calls: int


class Loans(simulation.Fleet):
    """Loans from shard holders."""

    name = "loans"
    aliases = ()

    def find_main(self):
        """Return the node that holds the large organisation."""
        return self.find_holder(find_shard("large", SHARDS)) or "n0"


class Point:
    """A node of a simple scheme."""

    def __init__(self, name):
        self.name = name
        self.up = True
        self.paused_until = 0.0
        self.buckets = {}
        self.heard = {}
        self.counted = {}


class Bucket:
    """A token bucket on the true clock."""

    def __init__(self, rate, burst, level, at):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.at = at

    def take(self, now):
        """Spend a token; return whether there was one."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class SimpleFleet:
    """Base of the schemes that are weighed against loans."""

    name = ""
    aliases = ()

    def __init__(self, view, nodes, seed, strict=False, **network):
        self.world = simulation.World(seed)
        self.view = view
        self.nodes = nodes
        self.store = simulation.FakeStore(self.world)
        self.network = simulation.Network(self.world, **network)
        self.cut_from_store = set()
        self.organisations = {one.name: one for one in view.document.organisations}
        self.counts = {
            one.name: simulation.Count(one.rate, one.burst, strict)
            for one in view.document.organisations
        }
        self.refusals = []
        self.processes = {f"n{index}": Point(f"n{index}") for index in range(nodes)}
        self.open()

    def open(self):
        """Set up what the scheme needs."""

    def find_main(self):
        """Return the node whose loss hurts most."""
        return "n0"

    def restart(self, name, after=0.5):
        """Take a node down for some seconds."""
        point = self.processes[name]
        point.up = False
        point.buckets.clear()
        point.heard.clear()
        self.world.after(after, setattr, point, "up", True)

    def pause(self, name, seconds):
        """Pause a node."""
        self.processes[name].paused_until = self.world.now + seconds

    def request(self, name, organisation):
        """Send a request to a node; one that is down counts as not sent."""
        point = self.processes[name]
        if not point.up:
            return
        if self.world.now < point.paused_until:
            self.world.at(point.paused_until, self.request, name, organisation)
            return
        self.decide(point, organisation)

    def finish(self, organisation, admitted):
        """Count the end of a request."""
        if admitted:
            self.counts[organisation].add(self.world.now)
        else:
            self.refusals.append((self.world.now, organisation))

    def run(self, until):
        """Run until a time."""
        self.world.run(until)


class StaticSplit(SimpleFleet):
    """Each node has its equal part of rate and burst."""

    name = "static-split"

    def decide(self, point, organisation):
        """Answer a request at once."""
        known = self.organisations[organisation]
        if organisation not in point.buckets:
            level = known.burst / self.nodes if self.world.now < WARM_UP_S else 0.0
            rate, burst = known.rate / self.nodes, known.burst / self.nodes
            bucket = Bucket(rate, max(burst, 1.0), level, self.world.now)
            point.buckets[organisation] = bucket
        taken = point.buckets[organisation].take(self.world.now)
        self.finish(organisation, taken)


class Central(SimpleFleet):
    """One node holds all buckets; another follows some seconds after its end."""

    name = "central"

    def open(self):
        """Set up the buckets of the limiter."""
        self.limiter = self.processes["n0"]
        self.fill(first=True)

    def fill(self, first):
        """Set up buckets, empty unless they are the first."""
        for one in self.organisations.values():
            level = one.burst if first else 0.0
            bucket = Bucket(one.rate, one.burst, level, self.world.now)
            self.limiter.buckets[one.name] = bucket

    def restart(self, name, after=0.5):
        """Take a node down; the limiter's follower starts with empty buckets."""
        super().restart(name, after)
        if name == self.limiter.name:
            self.world.after(FAILOVER_S, self.follow)

    def follow(self):
        """Let the next node be the limiter."""
        names = list(self.processes)
        index = (names.index(self.limiter.name) + 1) % len(names)
        self.limiter = self.processes[names[index]]
        self.fill(first=False)

    def decide(self, point, organisation):
        """Ask the limiter; refuse after the longest wait."""
        state = {"done": False}

        def finish(admitted):
            if not state["done"]:
                state["done"] = True
                self.finish(organisation, admitted)

        def serve(limiter):
            if limiter.up and organisation in limiter.buckets:
                if self.world.now < limiter.paused_until:
                    self.world.at(limiter.paused_until, serve, limiter)
                    return
                taken = limiter.buckets[organisation].take(self.world.now)
                self.network.send(limiter.name, point.name, finish, taken)

        self.network.calls += 1
        self.world.after(simulation.WAIT_S, finish, False)
        self.network.send(point.name, self.limiter.name, serve, self.limiter)


class Gossip(SimpleFleet):
    """Each node lets pass what the others' last reported rates leave."""

    name = "gossip"

    def open(self):
        """Begin to gossip."""
        self.world.after(GOSSIP_S, self.gossip)

    def gossip(self):
        """Send each node's rates of the last second to all others."""
        for point in self.processes.values():
            counted, point.counted = point.counted, {}
            for other in self.processes.values():
                if other is not point and point.up:
                    self.network.calls += 1
                    arguments = (other, point.name, counted)
                    self.network.send(point.name, other.name, self.hear, *arguments)
        self.world.after(GOSSIP_S, self.gossip)

    def hear(self, point, name, counted):
        """Note another node's rates."""
        point.heard[name] = counted

    def decide(self, point, organisation):
        """Answer a request from the estimate."""
        known = self.organisations[organisation]
        others = sum(heard.get(organisation, 0) for heard in point.heard.values())
        bucket = point.buckets.get(organisation)
        if bucket is None:
            bucket = Bucket(known.rate, known.burst, known.burst, self.world.now)
            point.buckets[organisation] = bucket
        bucket.rate = max(known.rate - others / GOSSIP_S, known.rate / self.nodes)
        taken = bucket.take(self.world.now)
        if taken:
            point.counted[organisation] = point.counted.get(organisation, 0) + 1
        self.finish(organisation, taken)


for scheme in (Loans, StaticSplit, Central, Gossip):
    schemes.register(scheme)


class Scenario:
    """Traffic and faults; subclasses change what differs."""

    name = ""
    aliases = ()
    duration_s = DURATION_S
    fault_at_s = None
    network = {}
    factors = {}
    slow_down = 1.0

    def choose_node(self, rng, when):
        """Return the node that gets a request."""
        return f"n{rng.randrange(NODES)}"

    def add_faults(self, fleet):
        """Plan the faults."""


@scenarios.register
class Even(Scenario):
    """Traffic spread evenly."""

    name = "even"


@scenarios.register
class Skewed(Scenario):
    """Nine of ten requests on one node."""

    name = "skewed"

    def choose_node(self, rng, when):
        """Return the busy node mostly."""
        return "n1" if rng.random() < 0.9 else super().choose_node(rng, when)


@scenarios.register
class Moving(Scenario):
    """Nine of ten requests on a node that changes each few seconds."""

    name = "moving"

    def choose_node(self, rng, when):
        """Return the node of the moment mostly."""
        if rng.random() < 0.9:
            return f"n{int(when / MOVE_S) % NODES}"
        return super().choose_node(rng, when)


@scenarios.register
class Flood(Skewed):
    """One organisation sends five times its rate."""

    name = "one-at-5x"
    factors = {"middle": 5.0}


@scenarios.register
class Restarts(Skewed):
    """A node restarts each ten seconds."""

    name = "restarts"

    def add_faults(self, fleet):
        """Restart nodes in turn, but not the busy one."""
        names = [name for name in fleet.processes if name != "n1"]
        for index in range(1, int(self.duration_s / 10)):
            name = names[index % len(names)]
            fleet.world.at(index * 10.0, fleet.restart, name, 1.0)


class HolderFault(Skewed):
    """Base of the faults of the large organisation's holder."""

    fault_at_s = FAULT_AT_S


@scenarios.register
class HolderKilled(HolderFault):
    """The holder dies and another process starts in its place later."""

    name = "holder-killed"

    def add_faults(self, fleet):
        """Kill the holder."""
        fleet.world.at(FAULT_AT_S, lambda: fleet.restart(fleet.find_main(), 20.0))


@scenarios.register
class HolderPaused(HolderFault):
    """The holder is paused past its lease."""

    name = "holder-paused"

    def add_faults(self, fleet):
        """Pause the holder."""
        fleet.world.at(FAULT_AT_S, lambda: fleet.pause(fleet.find_main(), 8.0))


@scenarios.register
class OneWay(HolderFault):
    """Messages from the holder to half of the nodes are cut for 20 s."""

    name = "one-way-partition"

    def add_faults(self, fleet):
        """Cut one direction."""

        def cut():
            main = fleet.find_main()
            others = [name for name in fleet.processes if name != main]
            pairs = {(main, name) for name in others[: len(others) // 2]}
            fleet.network.cut |= pairs
            fleet.world.after(20.0, fleet.network.cut.difference_update, pairs)

        fleet.world.at(FAULT_AT_S, cut)


@scenarios.register
class BadMessages(Skewed):
    """Messages are lost, doubled and out of order."""

    name = "lost-doubled-reordered"
    network = {"loss": 0.05, "doubled": 0.1, "late": 0.05}


@scenarios.register
class StoreAway(Skewed):
    """The store is away for three hours; a twentieth of the usual traffic."""

    name = "store-away-3h"
    duration_s = STORE_AWAY_S + 60.0
    slow_down = 20.0

    def add_faults(self, fleet):
        """Take the store away."""
        fleet.world.at(WARM_UP_S, setattr, fleet.store, "away", True)
        back = WARM_UP_S + STORE_AWAY_S
        fleet.world.at(back, setattr, fleet.store, "away", False)


def run_scenario(scheme, scenario, seed):
    """Run one scheme in one scenario; return a `Result`."""
    organisations = tuple(
        msgspec.structs.replace(
            one,
            rate=one.rate / scenario.slow_down,
            burst=max(10.0, one.burst / scenario.slow_down),
        )
        for one in ORGANISATIONS
    )
    view = FakeView(*organisations, shards=SHARDS)
    options = {"strict": False, **scenario.network}
    fleet = scheme(view, nodes=NODES, seed=seed, **options)
    tally = Tally(scenario)
    for one in organisations:
        add_traffic(fleet, scenario, one, seed, tally)
    scenario.add_faults(fleet)
    fleet.run(scenario.duration_s + 1.0)
    return tally.conclude(fleet, scheme.name, seed)


class Tally:
    """What was offered, and what one exact bucket would have refused."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.offered = {}
        self.ideal = {}

    def add(self, organisation, when, refused):
        """Note a request."""
        self.offered.setdefault(organisation, []).append(when)
        if refused:
            self.ideal.setdefault(organisation, []).append(when)

    def conclude(self, fleet, name, seed):
        """Return the `Result` of a run."""
        whole = (WARM_UP_S, self.scenario.duration_s + 1.0)
        shares = {one: self._share(fleet, one, *whole) for one in self.offered}
        total = sum(self._count(self.offered, one, *whole) for one in self.offered)
        wrongful = sum(self._wrongful(fleet, one, *whole) for one in self.offered)
        around, worst_around = self._look_around(fleet)
        return Result(
            name,
            self.scenario.name,
            seed,
            total,
            wrongful / total,
            max(shares.values()),
            around,
            worst_around,
            max(count.worst for count in fleet.counts.values()),
            fleet.network.calls,
            fleet.store.reads + fleet.store.writes,
        )

    def _look_around(self, fleet):
        """Return the shares of all and of the worst in the 30 s from the fault."""
        start = self.scenario.fault_at_s
        if start is None:
            return None, None
        window = (start, start + AROUND_S)
        count = sum(self._count(self.offered, one, *window) for one in self.offered)
        lost = sum(self._wrongful(fleet, one, *window) for one in self.offered)
        worst = max(self._share(fleet, one, *window) for one in self.offered)
        return lost / count, worst

    def _share(self, fleet, organisation, start, end):
        offered = self._count(self.offered, organisation, start, end)
        return self._wrongful(fleet, organisation, start, end) / max(offered, 1)

    def _wrongful(self, fleet, organisation, start, end):
        refused = sum(
            1
            for when, name in fleet.refusals
            if name == organisation and start <= when < end
        )
        return max(0, refused - self._count(self.ideal, organisation, start, end))

    def _count(self, table, organisation, start, end):
        return sum(1 for when in table.get(organisation, ()) if start <= when < end)


def add_traffic(fleet, scenario, organisation, seed, tally):
    """Add the requests of one organisation; the same for every scheme."""
    rng = random.Random(f"{seed}/{scenario.name}/{organisation.name}")
    factor = scenario.factors.get(organisation.name, LOAD)
    bucket = Bucket(organisation.rate, organisation.burst, organisation.burst, 0.0)
    when = 1.0
    while when < scenario.duration_s:
        when += rng.expovariate(organisation.rate * factor)
        name = scenario.choose_node(rng, when)
        tally.add(organisation.name, when, not bucket.take(when))
        fleet.world.at(when, fleet.request, name, organisation.name)


def measure(seed=1, only_schemes=None, only_scenarios=None):
    """Yield a `Result` for each scheme in each scenario."""
    for scenario_name in only_scenarios or scenarios.names():
        for scheme_name in only_schemes or schemes.names():
            scheme = schemes.get_by_name(scheme_name)
            scenario = scenarios.get_by_name(scenario_name)()
            yield run_scenario(scheme, scenario, seed)


def main():
    """Print one JSON line for each scheme in each scenario."""
    logging.disable(logging.CRITICAL)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scheme", action="append")
    parser.add_argument("--scenario", action="append")
    options = parser.parse_args()
    for result in measure(options.seed, options.scheme, options.scenario):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
