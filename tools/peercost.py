"""Benchmark of the cost of peers.

Measures the CPU time of one node by number of peers: for receiving their
announcements, for sending its own, and for lookups in its peer table.
"""

import contextlib
import random
import socket
import statistics
import sys
import threading
import time

from persimmonlane.actors import Tick
from persimmonlane.application import Application
from persimmonlane.clocks import BootClock
from persimmonlane.localities import RegionMap
from persimmonlane.owner.fleethealth import FleetHealth
from persimmonlane.peers.deltas import build_delta
from persimmonlane.peers.gossip import ANNOUNCE_S, Gossip
from persimmonlane.peers.messages import RateRequest, decoder, encoder
from persimmonlane.peers.queries import PendingQueries
from persimmonlane.peers.rates import FleetRateLimiter
from persimmonlane.peers.statuses import Announcement, Delta, ServerStatus
from persimmonlane.peers.transport import DatagramTransport
from persimmonlane.quarantine.ledger import CrashLedger
from persimmonlane.routing.rulebook import Organisation
from persimmonlane.routing.stamps import DocumentStamp
from persimmonlane.serving.ingress import Ingress
from persimmonlane.sitenode import NodeState
from persimmonlane.upkeep.generations import GenerationTracker

PEER_COUNTS = (30, 90, 300)
SERVICES = ("aangifte", "archief", "dossier")
DATA_CENTRES = ("be-central-a", "be-central-b", "be-central-c", "be-central-d")
OWN_IP = "127.0.0.2"
MEASURED_ROUNDS = 4
CALLS_PER_BATCH = 400
BATCHES = 5
MS_PER_S = 1000.0
US_PER_S = 1_000_000.0
ORGANISATION = Organisation("census", 1e6, 1e6, None)
RATE_REQUESTS = 200
RATE_REQUEST_PAUSE_S = 0.01


class Settings:
    """Settings of a node, as far as the actor and the ingress read them."""

    name = "sidecar-be-central-a-0"
    peer_address = f"{OWN_IP}:15001"
    data_centre = DATA_CENTRES[0]
    service = SERVICES[0]

    def __init__(self, gossip_port):
        self.gossip_port = gossip_port

    def build_region_map(self):
        """Return a map without regions."""
        return RegionMap(self.data_centre, {})


class Document:
    """Stub of the document that is in force on all nodes, and of its rulebook."""

    version = 7
    stamp = DocumentStamp(7)
    organisations = {ORGANISATION.name: ORGANISATION}

    def __init__(self):
        self.rulebook = self


class NoReply:
    """Stub of a reply that nobody waits for."""

    @staticmethod
    def set(wait_s):
        """Ignore the decision."""


class RemotePeer:
    """A remote peer, simulated by a UDP socket.

    Attributes:
        latest_message: Last announcement or delta received from the node, or None.
    """

    __slots__ = ("latest_message", "_socket", "_address", "_number", "_target", "_rng")

    def __init__(self, number, port):
        self.latest_message = None
        host = f"127.1.{number // 200}.{number % 200 + 1}"
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)
        self._address = f"{host}:15001"
        self._number = number
        self._target = (OWN_IP, port)
        self._rng = random.Random(number)

    def announce(self, sequence):
        """Send an announcement, or a delta if the node has confirmed this boot."""
        self._receive_pending()
        announcement = self._build_announcement(sequence)
        is_known = (
            self.latest_message is not None
            and self.latest_message.echo_boot == announcement.boot
        )
        message = build_delta(announcement) if is_known else announcement
        self.send(message)

    def send(self, message):
        """Send a message to the node."""
        self._socket.sendto(encoder.encode(message), self._target)

    def close(self):
        """Close the socket."""
        self._socket.close()

    def _build_announcement(self, sequence):
        number = self._number
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        service = SERVICES[number % len(SERVICES)]
        running = self._rng.randrange(8)
        server = ServerStatus(
            f"i-{number:08x}", service, True, 8, running, 0, "sound", 0.0
        )
        return Announcement(
            f"sidecar-{data_centre}-{number + 1}",
            (1 << 47) + number,
            sequence,
            self._address,
            data_centre,
            False,
            Document.version,
            0.4,
            self.latest_message.sequence if self.latest_message else 0,
            self.latest_message.boot if self.latest_message else 0,
            server,
            True,
        )

    def _receive_pending(self):
        with contextlib.suppress(BlockingIOError):
            while True:
                message = decoder.decode(self._socket.recv(4096))
                if isinstance(message, Announcement | Delta):
                    self.latest_message = message


class Peers:
    """The remote peers, which send one announcement per round each."""

    def __init__(self, count, port):
        self._peers = [RemotePeer(number, port) for number in range(count)]
        self._sequence = 0

    def announce(self, pause_s):
        """Send an announcement from each peer, followed by a pause in seconds."""
        self._sequence += 1
        for peer in self._peers:
            peer.announce(self._sequence)
            time.sleep(pause_s)

    def close(self):
        """Close the sockets."""
        for peer in self._peers:
            peer.close()

    def request_rate(self):
        """Send a rate request to the node, as if it were the organisation's holder."""
        self._peers[0].send(RateRequest(1, ORGANISATION.name, "peer", True))

    def measure_datagram_bytes(self):
        """Return the size in bytes of the first peer's last received message."""
        return len(encoder.encode(self._peers[0].latest_message))


class Node:
    """The gossip part of a node, on loopback.

    Attributes:
        table: Its `PeerTable`.
        actor: Reference of its `Gossip` actor.
    """

    def __init__(self, port):
        self.settings = Settings(port)
        self.clock = BootClock()
        before = set(threading.enumerate())
        self._transport = DatagramTransport(OWN_IP, port)
        self.actor = Gossip.start(
            Application(),
            self.settings,
            self.clock,
            self._transport,
            self.describe,
            Document(),
            GenerationTracker(self.clock),
            CrashLedger(self.clock),
            None,
        )
        self.table = self.actor.proxy().table.get()
        self._transport.start(self.actor)
        self._threads = [t for t in threading.enumerate() if t not in before]
        self._server = ServerStatus(
            "i-self", SERVICES[0], True, 8, 3, 0, "sound", 0.0, False
        )

    def describe(self):
        """Return the `NodeState` of the node."""
        return NodeState(False, self._server)

    def read_cpu_s(self):
        """Return the CPU time of the node's threads so far, in seconds."""
        clocks = [time.pthread_getcpuclockid(thread.ident) for thread in self._threads]
        return sum(time.clock_gettime(clock) for clock in clocks)

    def stop(self):
        """Stop the transport and the actor."""
        self._transport.stop()
        self.actor.stop()


def find_port():
    """Return a free UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((OWN_IP, 0))
        return sock.getsockname()[1]


def measure_receiving(node, peers, count):
    """Return the median CPU time, in ms, of receiving one round of announcements."""
    for _ in range(3):
        peers.announce(0.0)
        node.actor.tell(Tick())
        time.sleep(ANNOUNCE_S / 2)
    cpu_s = []
    for _ in range(MEASURED_ROUNDS):
        before = node.read_cpu_s()
        peers.announce(ANNOUNCE_S / count)
        time.sleep(ANNOUNCE_S / 5)
        cpu_s.append(node.read_cpu_s() - before)
    return statistics.median(cpu_s) * MS_PER_S


def measure_announcing(node, peers):
    """Return the median CPU time, in ms, of sending one round of announcements."""
    cpu_s = []
    for _ in range(MEASURED_ROUNDS * 5):
        peers.announce(0.0)
        time.sleep(ANNOUNCE_S / 10)
        before = node.read_cpu_s()
        node.actor.tell(Tick())
        time.sleep(ANNOUNCE_S / 10)
        cpu_s.append(node.read_cpu_s() - before)
    return statistics.median(cpu_s) * MS_PER_S


def measure_rate_request(node, peers):
    """Return the mean CPU time, in microseconds, of one rate request from a peer."""
    before = node.read_cpu_s()
    for _ in range(RATE_REQUESTS):
        peers.request_rate()
        time.sleep(RATE_REQUEST_PAUSE_S)
    return (node.read_cpu_s() - before) / RATE_REQUESTS * US_PER_S


def time_call(call):
    """Return the CPU time of a call in microseconds, from the fastest batch."""
    cpu_s = []
    for _ in range(BATCHES):
        before = time.thread_time()
        for _ in range(CALLS_PER_BATCH):
            call()
        cpu_s.append((time.thread_time() - before) / CALLS_PER_BATCH)
    return min(cpu_s) * US_PER_S


def list_lookups(node):
    """Return, by name, the peer table lookups that requests and ticks make."""
    settings, table = node.settings, node.table
    ingress = Ingress(
        settings=settings,
        clock=node.clock,
        owner=None,
        describe=node.describe,
        table=table,
        actor=None,
        pool=None,
        budget=None,
        events=None,
        shutdown=None,
        cancellations=None,
        traffic=None,
        isolation=None,
    )
    fleet = FleetHealth(settings.service, table)
    rates = FleetRateLimiter(
        settings, node.clock, table, 1, Document(), PendingQueries(), None
    )
    return {
        "list_live": table.list_live,
        "count_members": table.count_members,
        "is_relay": lambda: table.is_relay(settings.data_centre, 1),
        "may_eject": fleet.may_eject,
        "find_candidates": lambda: ingress._candidates.find(SERVICES[0]),
        "find_holder": lambda: rates.find_holder(ORGANISATION),
        "decide_held": lambda: rates.decide(ORGANISATION, NoReply),
    }


def measure(count):
    """Print the cost for a number of peers."""
    port = find_port()
    node, peers = Node(port), Peers(count, port)
    try:
        receiving_ms = measure_receiving(node, peers, count)
        live = len(node.table.list_live())
        print(f"{count} peers, {live} live")
        print(f"  receiving  {receiving_ms:8.2f} ms/s")
        print(f"  announcing {measure_announcing(node, peers):8.2f} ms/s")
        peers.announce(0.0)
        print(f"  a datagram {peers.measure_datagram_bytes():8} bytes")
        time.sleep(ANNOUNCE_S / 5)
        print(f"  rate request    {measure_rate_request(node, peers):8.1f} us")
        peers.announce(0.0)
        for name, call in list_lookups(node).items():
            print(f"  {name:15} {time_call(call):8.1f} us")
    finally:
        node.stop()
        peers.close()


def main():
    """Run the benchmark; return the exit status."""
    for count in PEER_COUNTS:
        measure(count)
    return 0


if __name__ == "__main__":
    sys.exit(main())
