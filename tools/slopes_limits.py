"""Slopes of the limits.

Calls, bytes, processor time and store calls as nodes go from 2 to 16 in one process,
with real gRPC between them, and memory per organisation.
"""

import logging
import random
import sys
import threading
import time
import tracemalloc
from types import SimpleNamespace

import msgspec
import pykka

from persimmonlane.application import Application
from persimmonlane.clocks import SystemClock
from persimmonlane.config.model import Document, FleetPolicy, Key, Organisation
from persimmonlane.keys import KeyTable, compute_digest
from persimmonlane.limits import part
from persimmonlane.limits.admission import Admission
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.holder import Holder
from persimmonlane.limits.tests.fakes import ThreadedStore, create_view
from persimmonlane.membership.peers import Peer
from persimmonlane.rpc import Channels, RpcServer

TOKEN = "0123456789abcdef"
NODE_COUNTS = (2, 4, 8, 16)
SHARDS = 16
ORGANISATIONS = 40
REQUESTS_PER_NODE_S = 8
TICK_S = 0.05
WARM_UP_S = 4.0
MEASURE_S = 6.0
MEMORY_ORGANISATIONS = 20_000
SALT = "00" * 16


class Slope(msgspec.Struct, frozen=True):
    """What the limits of one node cost at a number of nodes.

    Attributes:
        nodes: Number of nodes in the process.
        shards: Number of shards in the fleet.
        organisations: Organisations that every node serves.
        requests_per_node_s: Requests per second and node.
        calls_per_node_s: Calls sent per second and node.
        bytes_per_node_s: Bytes of messages sent per second and node, without
            the framing of gRPC.
        cpu_share_per_node: Processor time per node as a share of a core.
        idle_cpu_share_per_node: The same without requests.
        store_calls_per_s: Calls to the store per second by all nodes.
        refused_share: Requests refused, as a share.
    """

    nodes: int
    shards: int
    organisations: int
    requests_per_node_s: float
    calls_per_node_s: float
    bytes_per_node_s: float
    cpu_share_per_node: float
    idle_cpu_share_per_node: float
    store_calls_per_s: float
    refused_share: float


class Memory(msgspec.Struct, frozen=True):
    """Memory per organisation, in bytes.

    Attributes:
        organisations: Organisations measured.
        key_bytes: Of the key table, with one key each.
        account_bytes: At a borrower, if the organisation is active there.
        ledger_bytes: At the holder, if the organisation is active.
    """

    organisations: int
    key_bytes: float
    account_bytes: float
    ledger_bytes: float


class Meter:
    """Counts messages as they are encoded."""

    def __init__(self):
        self.calls = 0
        self.bytes = 0
        self.lock = threading.Lock()

    def wrap(self, encode, is_call):
        """Return an encoder that counts its messages."""

        def count(*arguments):
            message = encode(*arguments)
            with self.lock:
                self.calls += is_call
                self.bytes += message.ByteSize()
            return message

        return count


class Requests:
    """Asks the traffic to admit some requests."""

    __slots__ = ("names",)

    def __init__(self, names):
        self.names = names


class Traffic(pykka.ThreadingActor):
    """Admits requests of one node."""

    use_daemon_thread = True

    def __init__(self, borrower, send):
        super().__init__()
        self._borrower = borrower
        self._send = send
        self.waiting = []
        self.admitted = 0

    def on_receive(self, message):
        """Admit requests, or apply loans and try what waits again."""
        if isinstance(message, Requests):
            for name in message.names:
                self._admit(name, False)
        else:
            self._borrower.apply(message.loans)
            waiting, self.waiting = self.waiting, []
            for name in waiting:
                self._admit(name, True)
        demands = self._borrower.demands()
        if demands is not None:
            self._send(demands)

    def _admit(self, name, again):
        admission = self._borrower.admit(name, again)
        if admission is Admission.ADMITTED:
            self.admitted += 1
        elif admission is Admission.WAIT:
            self.waiting.append(name)


class Node:
    """The limits of one node with its own gRPC server."""

    def __init__(self, name, store, peers, view):
        self.server = RpcServer("127.0.0.1:0", TOKEN, threads=2)
        self.channels = Channels(TOKEN)
        settings = SimpleNamespace(name=name, rpc=f"127.0.0.1:{self.server.port}")
        peers.append(Peer(name, f"dc{len(peers) % 3}", settings.rpc))

        def list_peers():
            return tuple(peer for peer in peers if peer.name != name)

        clock = SystemClock()
        self.part = part.build_limits(
            Application(),
            settings,
            clock,
            self.server,
            self.channels,
            store,
            list_peers,
        )
        borrower = Borrower(name, clock)
        borrower.set_view(view)
        self.traffic = Traffic.start(borrower, self.part.send)
        self.part.connect(self.traffic)
        self.part.set_view(view)

    def start(self):
        """Begin to serve."""
        self.server.start()
        self.part.start()

    def stop(self):
        """Release everything."""
        self.traffic.stop()
        self.part.stop()
        self.server.stop()
        self.channels.stop()


def drive(nodes, names, rng, seconds):
    """Send requests for some seconds; return how many."""
    sent = 0
    end = time.monotonic() + seconds
    due = time.monotonic()
    while due < end:
        for node in nodes:
            count = int(REQUESTS_PER_NODE_S * TICK_S + rng.random())
            chosen = rng.choices(names, k=count) if names else []
            sent += count if names else 0
            node.traffic.tell(Requests(chosen))
        due += TICK_S
        time.sleep(max(0.0, due - time.monotonic()))
    return sent


def measure_slope(count, seed=1):
    """Return the `Slope` at a number of nodes."""
    meter = Meter()
    originals = {}
    for name, is_call in (
        ("encode_demands", 1),
        ("encode_answer", 0),
        ("encode_promise_request", 1),
        ("encode_promise_reply", 0),
    ):
        originals[name] = getattr(part, name)
        setattr(part, name, meter.wrap(originals[name], is_call))
    try:
        return run_nodes(count, meter, random.Random(seed))
    finally:
        for name, original in originals.items():
            setattr(part, name, original)


def run_nodes(count, meter, rng):
    """Run nodes in this process and return their `Slope`."""
    names = [f"o{number}" for number in range(ORGANISATIONS)]
    rate = REQUESTS_PER_NODE_S * count / ORGANISATIONS / 0.7
    view = create_view(rate=rate, burst=2 * rate + 10, names=names, shards=SHARDS)
    store, peers = ThreadedStore(), []
    nodes = [Node(f"n{number}", store, peers, view) for number in range(count)]
    for node in nodes:
        node.start()
    try:
        idle = time.process_time()
        drive(nodes, [], rng, MEASURE_S / 2)
        idle = (time.process_time() - idle) / (MEASURE_S / 2)
        drive(nodes, names, rng, WARM_UP_S)
        admitted = sum(node.traffic.proxy().admitted.get() for node in nodes)
        calls, size, store_calls = meter.calls, meter.bytes, store.calls
        cpu = time.process_time()
        sent = drive(nodes, names, rng, MEASURE_S)
        cpu = time.process_time() - cpu
        admitted = sum(node.traffic.proxy().admitted.get() for node in nodes) - admitted
        per_node = count * MEASURE_S
        return Slope(
            count,
            SHARDS,
            ORGANISATIONS,
            sent / per_node,
            (meter.calls - calls) / per_node,
            (meter.bytes - size) / per_node,
            cpu / per_node,
            idle / count,
            (store.calls - store_calls) / MEASURE_S,
            max(0, sent - admitted) / sent,
        )
    finally:
        for node in nodes:
            node.stop()


def measure_memory():
    """Return the `Memory` per organisation."""
    count = MEMORY_ORGANISATIONS
    names = [f"organisation-{number}" for number in range(count)]
    organisations = tuple(
        Organisation(
            name=name,
            rate=1e6,
            burst=1e6,
            keys=(Key(id="1", digest=compute_digest(SALT, name + "-" + "x" * 16)),),
        )
        for name in names
    )
    document = Document(fleet=FleetPolicy(key_salt=SALT), organisations=organisations)
    view = create_view(rate=1e6, burst=1e6, names=names, shards=1)
    clock = SystemClock()
    borrower, holder = Borrower("n0", clock), Holder(clock)
    borrower.set_view(view)
    holder.set_view(view)
    holder.take(0, 1, float("inf"), first=True, longest_loan_s=2.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = KeyTable(document)
    keys = tracemalloc.get_traced_memory()[0]
    for name in names:
        borrower.admit(name)
    accounts = tracemalloc.get_traced_memory()[0]
    demands = borrower.demands()
    asked = tracemalloc.get_traced_memory()[0]
    loans = holder.lend(demands)
    del loans
    ledgers = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(table) == count
    return Memory(
        count,
        (keys - before) / count,
        (accounts - keys) / count,
        (ledgers - asked) / count,
    )


def measure():
    """Return the slopes and the memory, as a list of structs."""
    return list(measure_each())


def measure_each():
    """Yield the memory and the slope at each number of nodes."""
    yield measure_memory()
    for count in NODE_COUNTS:
        yield measure_slope(count)


def main():
    """Print one JSON line for each struct."""
    logging.disable(logging.CRITICAL)
    for struct in measure_each():
        sys.stdout.write(msgspec.json.encode(struct).decode() + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
