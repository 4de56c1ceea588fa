"""Fleet.

Replicas in one thread on a manual clock, with a store and links that can fail.
"""

import random

from ...clocks import ManualClock
from ...errors import PersimmonError
from ...membership.peers import Peer
from ...store.memory import Faults, MemoryStore
from ..publishing import Publisher
from ..repair import repair_store
from ..replica import STORE, Replica
from ..root import ROOT_KEY, read_root

STEP_S = 0.1
WATCH_S = 1.0
MEMBERSHIP_S = 3.0


class Node:
    """One node's process, and how it reads the store."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"node-{number}"
        self.peer = Peer(
            self.name, f"dc-{number % fleet.centres}", f"127.0.0.1:{number + 1}"
        )
        self.alive = False
        self.paused = False
        self.silent_since = -100.0
        self.replica = None
        self.watched = None

    def start(self):
        rng = random.Random(f"{self.fleet.seed}{self.name}{self.fleet.clock.now()}")
        clock = self.fleet.clock
        self.replica = Replica(self.name, self.peer.data_centre, clock, rng)
        self.alive = True
        self.paused = False
        self.watched = None

    def runs(self):
        return self.alive and not self.paused

    def step(self):
        self.replica.set_peers(self.fleet.list_peers(self))
        self.read_store()
        for peer in self.replica.choose_exchanges():
            self.exchange(peer.name)
        self.pull()

    def read_store(self):
        if not self.replica.wants_store():
            return
        now = self.fleet.clock.now()
        try:
            if self.name in self.fleet.cut_from_store:
                raise PersimmonError("cut")
            root = read_root(self.fleet.store.get(ROOT_KEY))
            self.fleet.heard_store.append(self.name)
            self.replica.hear_store(root, now)
            if self.replica.store_differs:
                repair_store(self.fleet.store, self.replica.root, self.fleet.find_part)
        except PersimmonError:
            return

    def exchange(self, name):
        now = self.fleet.clock.now()
        other = self.fleet.nodes[name]
        if (self.name, name) in self.fleet.cut_links or not other.runs():
            self.replica.hear_failure()
            return
        other.replica.note_report(self.replica.make_report())
        if (name, self.name) in self.fleet.cut_links:
            self.replica.hear_failure()
            return
        self.replica.hear_report(other.replica.make_report(), now)

    def pull(self):
        source = self.replica.choose_source()
        if source is None:
            return
        try:
            self.replica.adopt(self.fetch(source))
        except PersimmonError:
            self.replica.drop_source(source)

    def fetch(self, source):
        if source == STORE:
            if self.name in self.fleet.cut_from_store:
                raise PersimmonError("cut")
            return read_root(self.fleet.store.get(ROOT_KEY))
        if not self.fleet.has_link(self.name, source):
            raise PersimmonError("cut")
        return self.fleet.nodes[source].replica.root


class Fleet:
    """Nodes, their links and the store.

    Attributes:
        accepted: Pairs of time and revision of accepted publications.
    """

    def __init__(self, size, seed=1, isolation_s=5.0, centres=3):
        self.seed = seed
        self.centres = centres
        self.isolation_s = isolation_s
        self.membership_s = MEMBERSHIP_S
        self.clock = ManualClock(1000.0)
        self.store = MemoryStore(self.clock)
        self.publisher = Publisher(self.store, lambda seconds: None, self.clock.now)
        self.cut_links = set()
        self.cut_from_store = set()
        self.heard_store = []
        self.accepted = []
        self.parts = {}
        self.nodes = {}
        for number in range(size):
            node = Node(self, number)
            self.nodes[node.name] = node
            node.start()

    def publish(self, document):
        made = self.publisher.publish(document)
        self.parts |= self.store.export_entries()
        self.accepted.append((self.clock.now(), made.revision))
        return made.revision

    def find_part(self, ref):
        return self.parts[ref.key].value

    def advance(self, seconds, check=None):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.heard_store = []
            for node in self.nodes.values():
                if node.runs():
                    node.step()
                    node.silent_since = self.clock.now()
            if check is not None:
                check()

    def skip(self, seconds):
        """Let time pass at once, as if every node had been quiet."""
        self.clock.advance(seconds)

    def list_peers(self, node):
        since = self.clock.now() - self.membership_s
        reached = self.find_reached(node.name)
        return tuple(
            other.peer
            for other in self.nodes.values()
            if other is not node
            and other.alive
            and other.silent_since >= since
            and (other.paused or other.name in reached)
        )

    def find_reached(self, name):
        """Return the nodes that hear of each other over any path."""
        reached, found = set(), {name}
        while found:
            reached |= found
            found = {
                other
                for one in found
                for other in self.nodes
                if other not in reached and self.has_link(one, other)
            }
        return reached

    def has_link(self, name, other):
        cut = {(name, other), (other, name)} & self.cut_links
        return not cut and self.nodes[other].runs()

    def cut_off(self, names):
        """Cut some nodes from all others and from the store."""
        rest = self.nodes.keys() - set(names)
        self.cut_links |= {(a, b) for a in names for b in rest}
        self.cut_from_store |= set(names)

    def mend(self):
        """End all faults but stopped nodes."""
        self.cut_links.clear()
        self.cut_from_store.clear()
        self.store.set_faults(Faults())
        for node in self.nodes.values():
            node.paused = False

    def revisions(self):
        return {
            name: node.replica.root.revision
            for name, node in self.nodes.items()
            if node.runs()
        }

    def isolated(self):
        return {
            name
            for name, node in self.nodes.items()
            if node.runs() and node.replica.is_isolated(self.isolation_s)
        }
