"""Spread experiment.

Measures how soon all nodes know that a backend server is leaving or has vanished,
and how often a live one lapses, on a fake network with faults.
"""

import json

import msgspec

from persimmonlane.membership.tests.network import build_fleet

SETTLE_S = 5.0
LIVE_S = 120.0
ADDRESS = "10.0.0.1:80"
ORIGIN = "n00"
RELAY = "n01"
SEEDS = range(1, 31)
NODES = 3


class Condition(msgspec.Struct, frozen=True):
    """A state of the network.

    Attributes:
        name: Name for the table.
        nodes: Nodes of each of three data centres.
        loss: Share of messages that is lost.
        delay_s: Most extra delay of a message, in seconds.
        stopped: Whether a node next to the origin stands still.
        one_way: Whether the origin's words reach one node in three only.
    """

    name: str
    nodes: int = NODES
    loss: float = 0.0
    delay_s: float = 0.0
    stopped: bool = False
    one_way: bool = False


CONDITIONS = (
    Condition("healthy"),
    Condition("healthy, 30 nodes", nodes=10),
    Condition("1 % lost", loss=0.01),
    Condition("10 % lost", loss=0.1),
    Condition("10 % lost, 30 nodes", nodes=10, loss=0.1),
    Condition("delays up to 0.3 s", delay_s=0.3),
    Condition("stopped relay", stopped=True),
    Condition("one-way cuts", one_way=True),
)


class Spread(msgspec.Struct, frozen=True):
    """Figures for one condition.

    Attributes:
        condition: Name of the condition.
        runs: Number of seeded runs.
        leaving_p50_s: Median time until no node lists the leaving server.
        leaving_max_s: Longest such time.
        vanished_max_s: Longest time until no node lists a server whose node died.
        lapses: Lapses of live servers, seen by any node.
        watched_s: Server-seconds, summed over the nodes, in which they were counted.
    """

    condition: str
    runs: int
    leaving_p50_s: float
    leaving_max_s: float
    vanished_max_s: float
    lapses: int
    watched_s: float


def create_network(condition, seed):
    """Return a settled fleet under a condition."""
    network = build_fleet(seed, nodes=condition.nodes)
    network.loss = condition.loss
    network.extra_delay_s = condition.delay_s
    if condition.stopped:
        network.pause(RELAY)
    if condition.one_way:
        names = sorted(network.nodes)
        network.cuts = {(ORIGIN, name) for index, name in enumerate(names) if index % 3}
    network.run(SETTLE_S)
    return network


def measure_end(network):
    """Return the seconds until no running node lists the backend server."""
    began = network.clock.now()
    while any(
        ADDRESS in node.addresses()
        for node in network.nodes.values()
        if node.alive and not node.paused
    ):
        network.step()
    return round(network.clock.now() - began, 2)


def measure_leaving(condition, seed):
    """Return the seconds until nobody lists a leaving backend server."""
    network = create_network(condition, seed)
    network.nodes[ORIGIN].leave(ADDRESS)
    return measure_end(network)


def measure_vanished(condition, seed):
    """Return the seconds until nobody lists a server whose node has died."""
    network = create_network(condition, seed)
    network.kill(ORIGIN)
    return measure_end(network)


def count_lapses(condition, seed):
    """Return how often a listed server lapsed, and the server-seconds watched."""
    network = create_network(condition, seed)
    running = [node for node in network.nodes.values() if not node.paused]
    hosts = {node.hosted.announcement.servers[0].address for node in running}
    listed = {node.name: node.addresses() & hosts for node in running}
    lapses = 0

    def check():
        nonlocal lapses
        for node in running:
            present = node.addresses() & hosts
            lapses += len(listed[node.name] - present)
            listed[node.name] = present

    network.run(LIVE_S, check)
    return lapses, LIVE_S * len(running) * len(hosts)


def measure(condition):
    """Return the `Spread` under a condition."""
    leaving = sorted(measure_leaving(condition, seed) for seed in SEEDS)
    lapses, watched_s = count_lapses(condition, SEEDS[0])
    return Spread(
        condition=condition.name,
        runs=len(leaving),
        leaving_p50_s=leaving[len(leaving) // 2],
        leaving_max_s=leaving[-1],
        vanished_max_s=max(measure_vanished(condition, seed) for seed in SEEDS),
        lapses=lapses,
        watched_s=watched_s,
    )


def measure_single_losses():
    """Return the longest leaving time when any one message of a second is lost."""
    network = build_fleet(SEEDS[0])
    network.sent = 0
    network.nodes[ORIGIN].leave(ADDRESS)
    network.run(1.0)
    return max(lose_one(number) for number in range(1, network.sent + 1))


def lose_one(number):
    """Return the leaving time when the message with this number is lost."""
    network = build_fleet(SEEDS[0])
    network.sent = 0
    network.drop_next = number
    network.nodes[ORIGIN].leave(ADDRESS)
    return measure_end(network)


def main():
    """Print the figures as JSON lines."""
    for condition in CONDITIONS:
        print(json.dumps(msgspec.structs.asdict(measure(condition))), flush=True)
    print(json.dumps({"single loss, longest leaving_s": measure_single_losses()}))


if __name__ == "__main__":
    main()
