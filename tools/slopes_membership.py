"""Slopes of membership.

Measures what the exchange of announcements costs a node as nodes and backend
servers grow, in one process on a fake network.
"""

import json
import time
import tracemalloc

import msgspec

from persimmonlane.membership import codec
from persimmonlane.membership import membership_pb2 as wire
from persimmonlane.membership.tests.network import FakeNetwork

SETTLE_S = 8.0
MEASURED_S = 10.0
DATA_CENTRES = 2
MS_PER_S = 1000
# Nodes, and backend servers beside each.
SIZES = (
    (2, 1),
    (4, 1),
    (8, 1),
    (16, 1),
    (32, 1),
    (64, 1),
    (16, 4),
    (16, 16),
)


class Slope(msgspec.Struct, frozen=True):
    """What the exchange cost one node at one size.

    Attributes:
        nodes: Nodes, which is also the number of groups.
        servers: Backend servers of the whole fleet.
        calls_per_s: Calls that a node makes each second; it serves as many.
        bytes_per_s: Bytes that a node sends each second, requests and replies.
        cpu_ms_per_s: Processor time of decisions and codec in a second, without
            gRPC, in milliseconds.
        heartbeat_bytes: Bytes of one heartbeat on the wire.
        server_bytes: Bytes of one backend server in a list on the wire.
        table_bytes: Memory of one node's table.
    """

    nodes: int
    servers: int
    calls_per_s: float
    bytes_per_s: float
    cpu_ms_per_s: float
    heartbeat_bytes: int
    server_bytes: int
    table_bytes: int


class Meter:
    """Counts calls and bytes, and codes each message as the nodes would."""

    __slots__ = ("calls", "sent_bytes")

    def __init__(self):
        self.calls = 0
        self.sent_bytes = 0

    def count(self, sender, receiver, exchange):
        """Code one message there and back, and count it."""
        if exchange.sender:
            self.calls += 1
            data = codec.encode_request(exchange).SerializeToString()
            codec.decode_request(wire.ExchangeRequest.FromString(data))
        else:
            data = codec.encode_reply(exchange).SerializeToString()
            codec.decode_reply(wire.ExchangeReply.FromString(data))
        self.sent_bytes += len(data)


def measure():
    """Return a `Slope` for each size."""
    return [measure_size(nodes, servers) for nodes, servers in SIZES]


def measure_size(nodes, servers):
    """Return the `Slope` of a fleet.

    Args:
        nodes: Number of nodes.
        servers: Backend servers beside each node.
    """
    network = create_fleet(nodes, servers)
    network.run(SETTLE_S)
    meter = Meter()
    network.tap = meter.count
    began = time.process_time()
    network.run(MEASURED_S)
    cpu_s = time.process_time() - began
    node = network.nodes["node-0"]
    heartbeat = codec.encode_heartbeat(node.table.digest()[0])
    server = codec.encode_server(node.hosted.announcement.servers[0])
    return Slope(
        nodes=nodes,
        servers=nodes * servers,
        calls_per_s=round(meter.calls / MEASURED_S / nodes, 2),
        bytes_per_s=round(meter.sent_bytes / MEASURED_S / nodes, 1),
        cpu_ms_per_s=round(cpu_s * MS_PER_S / MEASURED_S / nodes, 3),
        heartbeat_bytes=len(heartbeat.SerializeToString()),
        server_bytes=len(server.SerializeToString()),
        table_bytes=measure_table(nodes, servers),
    )


def create_fleet(nodes, servers):
    """Return a fake network of nodes that have not met yet."""
    network = FakeNetwork(seed=1)
    for number in range(nodes):
        add_node(network, number, servers)
    return network


def add_node(network, number, servers):
    """Add a node with its backend servers to the fake network."""
    name = f"node-{number}"
    centre = f"centre-{number % DATA_CENTRES}"
    node = network.add_node(name, centre, 1_700_000_000_000, ("node-0", "node-1"))
    for index in range(servers):
        address = f"10.0.{number}.{index}:8080"
        node.add_server(address, 1_700_000_000_000)
        node.hosted.report(address, 3, 0)


def measure_table(nodes, servers):
    """Return the bytes that one node's table of a fleet takes."""
    network = create_fleet(nodes, servers)
    announcements = [node.hosted.announcement for node in network.nodes.values()]
    data = [
        codec.encode_announcement(item).SerializeToString() for item in announcements
    ]
    heartbeats = [node.hosted.renew() for node in network.nodes.values()]
    table = FakeNetwork(seed=1).add_node("reader", "centre-0").table
    tracemalloc.start()
    for item, heartbeat in zip(data, heartbeats, strict=True):
        table.apply(codec.decode_announcement(wire.Announcement.FromString(item)))
        table.renew(heartbeat)
    held = table.servers()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(held) == nodes * servers
    return taken


def main():
    """Print the slopes as JSON lines."""
    for slope in measure():
        print(json.dumps(msgspec.structs.asdict(slope)), flush=True)


if __name__ == "__main__":
    main()
