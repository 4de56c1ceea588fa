"""Spread.

The document of a fleet in trial: operators publish it, replicas spread it, and
keys that it grants and withdraws come with requests.
"""

import itertools

import msgspec

from ..config.loading import load_snapshot
from ..config.parts import join_document
from ..config.publishing import Publisher
from ..config.replica import STORE, Replica
from ..errors import PersimmonError, Refusal, StoreError
from ..invariants import check_invariant
from ..keys import KeyTable
from ..membership.peers import Peer
from ..traces.examples import describe_example_key, make_example_key

STEP_S = 0.1
ANSWER_S = 0.5
PUBLISH_S = 4.0
REQUEST_S = 0.02
WITHDRAWN_S = 6.5
FIRST_NUMBER = 100


class Revision:
    """One revision of the document.

    Attributes:
        root: Its root.
        keys: Its `KeyTable`.
    """

    __slots__ = ("root", "keys")

    def __init__(self, root, keys):
        self.root = root
        self.keys = keys


class Follower:
    """One node's replica and the revision that it has in force.

    Attributes:
        node: The node.
        replica: The `Replica`.
        revision: The `Revision` in force, or None.
    """

    __slots__ = ("node", "replica", "revision", "_spread", "_highest")

    def __init__(self, node, rng, spread):
        self.node = node
        self.replica = Replica(node.name, node.data_centre, node.clock, rng)
        self.revision = None
        self._spread = spread
        self._highest = 0

    def step(self):
        """Do what is due."""
        self.replica.set_peers(self._spread.list_peers(self.node))
        if self.replica.wants_store():
            self._read_store()
        for peer in self.replica.choose_exchanges():
            self._exchange(peer.name)
        source = self.replica.choose_source()
        if source == STORE:
            self._adopt_from_store()
        elif source is not None:
            self._spread.call(self.node.name, source, get_revision, self._adopt)

    def authenticate(self, key):
        """Return the organisation of a key, or None if the request is refused."""
        isolation_s = self._spread.fleet.document.fleet.isolation_s
        if self.revision is None or self.replica.is_isolated(isolation_s):
            return None
        try:
            return self.revision.keys.authenticate([key])
        except Refusal:
            return None

    def _read_store(self):
        now = self.node.clock.now()
        try:
            snapshot = load_snapshot(self._spread.open_store(self.node))
        except PersimmonError:
            return
        self.replica.hear_store(snapshot.root, now)

    def _adopt_from_store(self):
        try:
            revision = read_revision(self._spread.open_store(self.node))
        except PersimmonError:
            self.replica.drop_source(STORE)
        else:
            self._adopt(revision)

    def _adopt(self, revision):
        if revision is None or not self.replica.adopt(revision.root):
            return
        self.revision = revision
        check_invariant(
            "revision",
            revision.root.revision > self._highest,
            f"{self.node.name} went back to revision {revision.root.revision}",
        )
        self._highest = revision.root.revision

    def _exchange(self, name):
        sent_at = self.node.clock.now()
        report = self.replica.make_report()
        answered = []

        def serve(other):
            other.replica.note_report(report)
            return other.replica.make_report()

        def take(answer):
            if not answered:
                answered.append(answer)
                self.replica.hear_report(answer, sent_at)

        def fail():
            if not answered:
                answered.append(None)
                self.replica.hear_failure()

        schedule = self._spread.fleet.schedule
        schedule.call_later(ANSWER_S, self.node.run, fail)
        self._spread.call(self.node.name, name, serve, take)


class Spread:
    """Spreads documents over the nodes of a fleet.

    Attributes:
        fleet: The fleet.
        cut_from_store: Names of the nodes that can't reach the store.
        accepted: Number of publications that the store accepted.
        refused: Number of requests with a valid key that were refused.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.cut_from_store = set()
        self.accepted = 0
        self.refused = 0
        self._rng = rng
        # Identifiers come from the trial's seed, so that a run can be repeated.
        identifiers = fleet.derive_rng()
        self._publisher = Publisher(
            fleet.store,
            pause=lambda seconds: None,
            wall=fleet.schedule.clock.now,
            identify=lambda: f"{identifiers.getrandbits(128):032x}",
        )
        self._followers = {
            node.name: Follower(node, fleet.derive_rng(), self) for node in fleet.nodes
        }
        self._numbers = itertools.count(FIRST_NUMBER)
        self._owners = {}
        self._withdrawn = {}
        self._document = fleet.document
        self._publish()
        for follower in self._followers.values():
            fleet.repeat(follower.node, STEP_S, follower.step)
        fleet.schedule.call_every(PUBLISH_S, self._publish)
        fleet.schedule.call_every(REQUEST_S, self._request)

    def list_peers(self, node):
        """Return the other nodes as `Peer`s."""
        return tuple(
            Peer(other.name, other.data_centre, other.name)
            for other in self.fleet.nodes
            if other is not node
        )

    def open_store(self, node):
        """Return the store as a node reaches it.

        Raises:
            StoreError: If it can't.
        """
        if node.name in self.cut_from_store:
            raise StoreError("the node is cut off from the store")
        return self.fleet.store

    def call(self, source, target, serve, take):
        """Let the target's follower serve a call, and take its answer."""
        network = self.fleet.network
        other = self._followers[target]
        own = self._followers[source]

        def run():
            network.send(target, source, own.node.run, take, serve(other))

        network.send(source, target, other.node.run, run)

    def _publish(self):
        """Give one organisation a new key in place of its present one."""
        changed = self._rng.choice(self._document.organisations)
        number = next(self._numbers)
        organisations = tuple(
            msgspec.structs.replace(each, keys=(describe_example_key(number),))
            if each is changed
            else each
            for each in self._document.organisations
        )
        document = msgspec.structs.replace(self._document, organisations=organisations)
        try:
            self._publisher.publish(document)
        except PersimmonError:
            return
        self._accept(changed.name, number, document)

    def _accept(self, organisation, number, document):
        now = self.fleet.schedule.clock.seconds
        self.accepted += 1
        self._document = document
        for known, owner in self._owners.items():
            if owner == organisation:
                self._withdrawn.setdefault(known, now)
        self._owners[number] = organisation

    def _request(self):
        number = self._rng.choice(list(self._owners))
        node = self._rng.choice(self.fleet.nodes)
        node.run(self._present, self._followers[node.name], number)

    def _present(self, follower, number):
        now = self.fleet.schedule.clock.seconds
        found = follower.authenticate(make_example_key(number))
        if found is None:
            self.refused += number not in self._withdrawn
            return
        check_invariant(
            "organisation",
            found == self._owners[number],
            f"a key of {self._owners[number]} was taken for one of {found}",
        )
        withdrawn_at = self._withdrawn.get(number, now)
        check_invariant(
            "key-withdrawn",
            now - withdrawn_at <= WITHDRAWN_S,
            f"a key was accepted {now - withdrawn_at:.1f} s after its withdrawal",
        )


def get_revision(follower):
    """Return the revision that a follower has in force."""
    return follower.revision


def read_revision(store):
    """Return the `Revision` that the store holds."""
    snapshot = load_snapshot(store)
    document = join_document(snapshot.root.parts, snapshot.contents)
    return Revision(snapshot.root, KeyTable(document))
