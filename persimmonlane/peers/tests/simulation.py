"""Fleet of gossip actors on a simulated network with a manual clock."""

import random

import msgspec

from ...clocks import ManualClock
from ...quarantine.ledger import CrashLedger
from ...routing.stamps import DocumentStamp
from ...upkeep.generations import GenerationTracker
from ..gossip import Gossip
from ..messages import CrashQuery, CrashReport, decoder, encoder
from ..statuses import Announcement, Delta, ServerLoad, ServerStatus
from .test_gossip import deliver

PORT = 9
VERSION = 7
STEP_S = 0.1
ROUND_S = 1.0


class Settings:
    gossip_port = PORT
    retry_ratio = 0.2
    retry_slack = 62.0
    retry_window_s = 10.0

    def __init__(self, name, host, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.peer_address = f"{host}:80"


class Document:
    def __init__(self, version):
        self.version = version
        self.generation = 0
        self.rulebook = None
        self.sources = []

    @property
    def stamp(self):
        return DocumentStamp(self.version, self.generation)

    def add_source(self, stamp, address, data_centre):
        self.sources.append((stamp.version, address, data_centre))


class NodeState:
    def __init__(self, name):
        self.leaving = False
        self.server = ServerStatus(
            f"i-{name}", "census", True, 4, 0, 0, "sound", 0.0, False
        )


class Datagram:
    def __init__(self, sender, receiver, raw):
        self.sender = sender
        self.receiver = receiver
        self.raw = raw


class Network:
    """Queues datagrams; drops, holds or counts them as a test wants.

    Attributes:
        hosts: Running `SimulatedNode`s by host.
        cuts: Pairs of sending and receiving data centre or host that lose everything.
        loss: Fraction of datagrams that are lost.
        paused: Hosts that don't read; their datagrams are kept.
        crossed_bytes: Bytes sent between data centres, without IP headers.
        crossed: Datagrams sent between data centres.
    """

    def __init__(self, rng):
        self.hosts = {}
        self.cuts = set()
        self.loss = 0.0
        self.paused = set()
        self.crossed_bytes = 0
        self.crossed = 0
        self.seen = []
        self._rng = rng
        self._queued = []

    def send(self, sender, receiver, raw):
        if sender.data_centre != self.get_data_centre(receiver):
            self.crossed_bytes += len(raw)
            self.crossed += 1
        self._queued.append(Datagram(sender, receiver, raw))

    def get_data_centre(self, host):
        return host.rpartition(".")[0]

    def deliver(self):
        kept = []
        while self._queued:
            datagram = self._queued.pop(0)
            if datagram.receiver in self.paused or datagram.sender.host in self.paused:
                kept.append(datagram)
            elif datagram.receiver in self.hosts and not self._is_lost(datagram):
                self.seen.append((datagram.receiver, decoder.decode(datagram.raw)))
                deliver(
                    self.hosts[datagram.receiver].gossip,
                    decoder.decode(datagram.raw),
                    (datagram.sender.host, PORT),
                )
        self._queued = kept

    def _is_lost(self, datagram):
        senders = (datagram.sender.host, datagram.sender.data_centre)
        receivers = (datagram.receiver, self.get_data_centre(datagram.receiver))
        cut = any((a, b) in self.cuts for a in senders for b in receivers)
        return cut or self._rng.random() < self.loss


class Transport:
    def __init__(self, network, node):
        self._network = network
        self._node = node

    def set_handler(self, handle):
        self.handle = handle

    def send(self, address, message):
        raw = encoder.encode(message)
        if self._node.is_legacy and isinstance(message, (CrashQuery, CrashReport)):
            return
        if self._node.is_legacy and type(message) in LEGACY_CLASSES:
            raw = encoder.encode(to_legacy(message))
        self._network.send(self._node, address[0], raw)


class SimulatedNode:
    """One process of a node.

    Attributes:
        data_centre: First three numbers of its host.
        generations: Its `GenerationTracker`.
        ledger: Its `CrashLedger`.
        is_legacy: Whether it behaves as a release without digests.
    """

    def __init__(self, network, clock, host, rng, is_legacy=False, version=VERSION):
        self.host = host
        self.name = f"vm-{host}"
        self.data_centre = network.get_data_centre(host)
        self.is_legacy = is_legacy
        self.state = NodeState(self.name)
        self.document = Document(version)
        self.generations = GenerationTracker(clock)
        self.ledger = CrashLedger(clock)
        settings = Settings(self.name, host, self.data_centre)
        self.gossip = Gossip(
            None,
            settings,
            clock,
            Transport(network, self),
            lambda: self.state,
            self.document,
            self.generations,
            self.ledger,
            None,
            rng,
        )
        self.table = self.gossip.table
        network.hosts[host] = self

    def announce(self):
        if not self.is_legacy:
            self.gossip.announce(None)
            return
        self.gossip.table.remove_expired()
        self.gossip._announce_to(list(self.table.peers.values()))

    def list_live(self, data_centre):
        return sorted(
            peer.host
            for peer in self.table.list_live()
            if peer.data_centre == data_centre
        )


class LegacyAnnouncement(msgspec.Struct, array_like=True, tag="a"):
    """An announcement as releases without digests send it."""

    node: str
    boot: int
    sequence: int
    address: str
    data_centre: str
    leaving: bool
    version: int
    fresh_age_s: float
    echo: int
    echo_boot: int
    server: ServerStatus | None
    accepts_deltas: bool = False


class LegacyDelta(msgspec.Struct, array_like=True, tag="d"):
    """A delta as those releases send it."""

    boot: int
    sequence: int
    version: int
    fresh_age_ms: int
    echo: int
    echo_boot: int
    load: ServerLoad | None


LEGACY_CLASSES = {Announcement: LegacyAnnouncement, Delta: LegacyDelta}


def to_legacy(message):
    legacy_class = LEGACY_CLASSES[type(message)]
    fields = legacy_class.__struct_fields__
    return legacy_class(*(getattr(message, name) for name in fields))


class Fleet:
    """Nodes of several data centres that announce themselves in rounds.

    Attributes:
        clock: The `ManualClock`.
        network: The `Network`.
        nodes: The `SimulatedNode`s by host.
    """

    def __init__(self, sizes, seed=1, legacy=()):
        self.rng = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.network = Network(self.rng)
        self.nodes = {}
        self._phases = {}
        for number, size in enumerate(sizes, start=1):
            for index in range(1, size + 1):
                host = f"10.0.{number}.{index}"
                self.start(host, host in legacy)
        self.register()

    def start(self, host, is_legacy=False, version=VERSION):
        """Start a process at a host; an earlier one there has ended."""
        self.nodes[host] = SimulatedNode(
            self.network, self.clock, host, self.rng, is_legacy, version
        )
        self._phases[host] = self.clock.now() + self.rng.random() * ROUND_S
        return self.nodes[host]

    def kill(self, host):
        self.network.hosts.pop(host)
        self.nodes.pop(host)

    def register(self):
        """Let all nodes list the store's entries."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                data_centre = "" if other.is_legacy else other.data_centre
                if other is not node:
                    node.table.add_registered(
                        other.name, f"{other.host}:80", data_centre
                    )

    def run(self, seconds):
        """Let time pass: each node announces itself once a round."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for host, node in list(self.nodes.items()):
                if host in self.network.paused:
                    continue
                if self.clock.now() >= self._phases[host]:
                    self._phases[host] = self.clock.now() + ROUND_S
                    node.announce()
            self.network.deliver()

    def list_data_centre(self, number):
        prefix = f"10.0.{number}"
        return sorted(host for host in self.nodes if host.startswith(f"{prefix}."))
