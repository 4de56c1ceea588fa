"""Cost of peers.

Processor time that one node spends on the other nodes: on their announcements and its
own, and on questions to its peer table, by the number of peers.
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
from persimmonlane.peers.deltas import build_delta
from persimmonlane.peers.gossip import ANNOUNCE_S, Gossip
from persimmonlane.peers.messages import (
    Announcement,
    Delta,
    RateRequest,
    ServerStatus,
    decoder,
    encoder,
)
from persimmonlane.peers.rates import FleetRateLimiter
from persimmonlane.peers.transport import DatagramTransport
from persimmonlane.routing.rulebook import Organisation
from persimmonlane.serving.ingress import Ingress
from persimmonlane.sitenode import OwnNews, SiteNode

SIZES = (30, 90, 300)
SERVICES = ("aangifte", "archief", "dossier")
DATA_CENTRES = ("be-central-a", "be-central-b", "be-central-c", "be-central-d")
OWN_IP = "127.0.0.2"
ROUNDS = 4
CALLS = 400
BATCHES = 5
MS_PER_S = 1000.0
US_PER_S = 1_000_000.0
ORGANISATION = Organisation("census", 1e6, 1e6, None)
ASKS = 200
ASK_PAUSE_S = 0.01


class Settings:
    """What the actor and the ingress read of a node's settings."""

    name = "sidecar-be-central-a-0"
    nodes = f"{OWN_IP}:15001"
    data_centre = DATA_CENTRES[0]
    service = SERVICES[0]

    def __init__(self, gossip_port):
        self.gossip_port = gossip_port


class Document:
    """A document that all nodes have in force, and its rulebook."""

    version = 7
    organisations = {ORGANISATION.name: ORGANISATION}

    def __init__(self):
        self.rulebook = self


class NodeStub:
    """What `SiteNode.may_eject` reads of a node."""

    def __init__(self, settings, table):
        self._settings = settings
        self._table = table


class RemotePeer:
    """Socket of another node.

    Attributes:
        heard: Newest message that came from the node, or None.
    """

    __slots__ = ("heard", "_socket", "_address", "_number", "_target", "_rng")

    def __init__(self, number, port):
        self.heard = None
        host = f"127.1.{number // 200}.{number % 200 + 1}"
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)
        self._address = f"{host}:15001"
        self._number = number
        self._target = (OWN_IP, port)
        self._rng = random.Random(number)

    def announce(self, sequence):
        """Announce itself, in the short form if the node knows it."""
        self._drain()
        news = self._build_news(sequence)
        knows = self.heard is not None and self.heard.echo_boot == news.boot
        message = build_delta(news) if knows else news
        self.send(message)

    def send(self, message):
        """Send a message to the node."""
        self._socket.sendto(encoder.encode(message), self._target)

    def close(self):
        """Close the socket."""
        self._socket.close()

    def _build_news(self, sequence):
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
            self.heard.sequence if self.heard else 0,
            self.heard.boot if self.heard else 0,
            server,
            True,
        )

    def _drain(self):
        with contextlib.suppress(BlockingIOError):
            while True:
                message = decoder.decode(self._socket.recv(4096))
                if isinstance(message, Announcement | Delta):
                    self.heard = message


class Peers:
    """The other nodes, which announce themselves once a round."""

    def __init__(self, count, port):
        self._peers = [RemotePeer(number, port) for number in range(count)]
        self._sequence = 0

    def announce(self, pause_s):
        """Send an announcement of each, with a pause between two."""
        self._sequence += 1
        for peer in self._peers:
            peer.announce(self._sequence)
            time.sleep(pause_s)

    def close(self):
        """Close the sockets."""
        for peer in self._peers:
            peer.close()

    def ask_rate(self):
        """Ask the node for leave to run a request, as if it held the rate."""
        self._peers[0].send(RateRequest(1, ORGANISATION.name, "peer", True))

    def count_bytes(self):
        """Return the bytes of the message that came last to the first peer."""
        return len(encoder.encode(self._peers[0].heard))


class Node:
    """The peers' part of a node, on loopback.

    Attributes:
        table: Its `PeerTable`.
        actor: Reference of its `Gossip` actor.
    """

    def __init__(self, port):
        self.settings = Settings(port)
        self.clock = BootClock()
        before = set(threading.enumerate())
        self._wire = DatagramTransport(OWN_IP, port)
        self.actor = Gossip.start(
            Application(),
            self.settings,
            self.clock,
            self._wire,
            self.describe,
            Document(),
            None,
        )
        self.table = self.actor.proxy().table.get()
        self._wire.start(self.actor)
        self._threads = [t for t in threading.enumerate() if t not in before]
        self._server = ServerStatus(
            "i-self", SERVICES[0], True, 8, 3, 0, "sound", 0.0, False
        )

    def describe(self):
        """Return the `OwnNews` of the node."""
        return OwnNews(False, self._server)

    def measure_spent(self):
        """Return the processor seconds of the node's threads so far."""
        clocks = [time.pthread_getcpuclockid(thread.ident) for thread in self._threads]
        return sum(time.clock_gettime(clock) for clock in clocks)

    def stop(self):
        """End threads and socket."""
        self._wire.stop()
        self.actor.stop()


def find_port():
    """Return a free UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((OWN_IP, 0))
        return sock.getsockname()[1]


def measure_receiving(node, peers, count):
    """Return the median milliseconds that a round of peers' announcements costs."""
    for _ in range(3):
        peers.announce(0.0)
        node.actor.tell(Tick())
        time.sleep(ANNOUNCE_S / 2)
    spent = []
    for _ in range(ROUNDS):
        before = node.measure_spent()
        peers.announce(ANNOUNCE_S / count)
        time.sleep(ANNOUNCE_S / 5)
        spent.append(node.measure_spent() - before)
    return statistics.median(spent) * MS_PER_S


def measure_announcing(node, peers):
    """Return the median milliseconds that a round of own announcements costs."""
    spent = []
    for _ in range(ROUNDS * 5):
        peers.announce(0.0)
        time.sleep(ANNOUNCE_S / 10)
        before = node.measure_spent()
        node.actor.tell(Tick())
        time.sleep(ANNOUNCE_S / 10)
        spent.append(node.measure_spent() - before)
    return statistics.median(spent) * MS_PER_S


def measure_rate_question(node, peers):
    """Return the microseconds that the question for leave of another node costs."""
    before = node.measure_spent()
    for _ in range(ASKS):
        peers.ask_rate()
        time.sleep(ASK_PAUSE_S)
    return (node.measure_spent() - before) / ASKS * US_PER_S


def time_call(call):
    """Return the microseconds of processor time that a call takes."""
    spent = []
    for _ in range(BATCHES):
        before = time.thread_time()
        for _ in range(CALLS):
            call()
        spent.append((time.thread_time() - before) / CALLS)
    return min(spent) * US_PER_S


def list_questions(node):
    """Return the questions to the table that requests and ticks ask, by name."""
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
    )
    stub = NodeStub(settings, table)
    rates = FleetRateLimiter(settings.name, node.clock, table)
    return {
        "list_live": table.list_live,
        "count_members": table.count_members,
        "is_relay": lambda: table.is_relay(settings.data_centre, 1),
        "may_eject": lambda: SiteNode.may_eject(stub),
        "find_candidates": lambda: ingress._find_candidates(SERVICES[0]),
        "find_holder": lambda: rates.find_holder(ORGANISATION),
        "decide_held": lambda: rates.decide_as_holder(ORGANISATION),
    }


def measure(count):
    """Print what a number of peers costs."""
    port = find_port()
    node, peers = Node(port), Peers(count, port)
    try:
        receiving_ms = measure_receiving(node, peers, count)
        live = len(node.table.list_live())
        print(f"{count} peers, {live} live")
        print(f"  receiving  {receiving_ms:8.2f} ms/s")
        print(f"  announcing {measure_announcing(node, peers):8.2f} ms/s")
        peers.announce(0.0)
        print(f"  a datagram {peers.count_bytes():8} bytes")
        time.sleep(ANNOUNCE_S / 5)
        print(f"  rate question   {measure_rate_question(node, peers):8.1f} us")
        peers.announce(0.0)
        for name, call in list_questions(node).items():
            print(f"  {name:15} {time_call(call):8.1f} us")
    finally:
        node.stop()
        peers.close()


def main():
    """Run the benchmark; return its exit status."""
    for count in SIZES:
        measure(count)
    return 0


if __name__ == "__main__":
    sys.exit(main())
