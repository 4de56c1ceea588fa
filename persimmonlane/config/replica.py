"""Replica.

Decides how one node keeps up with the document: whom to ask, what to take into
force, and whether it has heard enough of late. Free of I/O.
"""

import math

from ..invariants import check_invariant
from .relays import RELAYS, STANDBYS, choose_relays, rank_node
from .root import EMPTY_ROOT
from .roster import FORGET_S, Roster

STORE = ""
EXCHANGE_S = 1.0
FAR_SHARE = 0.25
NUDGES = 3
REPLACEMENTS = 2
STANDBY_AGE_S = 2.5
JOIN_S = 1.0
JOIN_PEERS = 3
JOIN_READ_S = 5.0


class Report:
    """What a node tells a peer about itself.

    Attributes:
        node: Name of the node.
        revision: Revision in force; 0 if there is none.
        digest: Digest of the document in force.
        store_age_s: Seconds since the store was last heard, by any node, to hold
            no other revision; None if it never was.
        heard: Entries of its roster, as `Heard`.
        leaving: Whether the node leaves.
    """

    __slots__ = ("node", "revision", "digest", "store_age_s", "heard", "leaving")

    def __init__(self, node, revision, digest, store_age_s, heard=(), leaving=False):
        self.node = node
        self.revision = revision
        self.digest = digest
        self.store_age_s = store_age_s
        self.heard = heard
        self.leaving = leaving


class Replica:
    """One node's part in spreading the document.

    Attributes:
        root: Root of the revision in force.
        roster: The nodes known.
        leaving: Whether this node leaves.
        store_differs: Whether the store holds something older or other than what
            is in force, so that a relay should repair it.
    """

    __slots__ = (
        "root",
        "roster",
        "leaving",
        "store_differs",
        "_name",
        "_data_centre",
        "_clock",
        "_rng",
        "_started",
        "_peers",
        "_seeds",
        "_rank",
        "_relays",
        "_known",
        "_sources",
        "_behind_since",
        "_confirmed",
        "_answers",
        "_exchange_due",
        "_extra",
        "_replacements",
        "_read_due",
    )

    def __init__(self, name, data_centre, clock, rng, seeds=()):
        """Create the replica of a node that has just started.

        Args:
            name: Name of the node.
            data_centre: Name of its data centre.
            clock: Clock in monotonic seconds.
            rng: Random generator.
            seeds: `Peer`s to ask before any peer is heard of.
        """
        self.root = EMPTY_ROOT
        self.roster = Roster(name, clock)
        self.leaving = False
        self.store_differs = False
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._started = clock.now()
        self._peers = ()
        self._seeds = seeds
        self._rank = 0
        self._relays = frozenset()
        self._known = 0
        self._sources = []
        self._behind_since = None
        self._confirmed = None
        self._answers = 0
        self._exchange_due = clock.now()
        self._extra = JOIN_PEERS - 1
        self._replacements = REPLACEMENTS
        self._read_due = clock.now()

    def set_peers(self, peers):
        """Take the `Peer`s heard of lately."""
        if peers is self._peers:
            return
        self._peers = peers
        self._rank = rank_node(self._name, self._data_centre, peers)
        self._relays = frozenset(choose_relays(self._data_centre, peers))
        for peer in peers:
            self.roster.add(peer.name)

    def make_report(self):
        """Return what to tell a peer."""
        return Report(
            self._name,
            self.root.revision,
            self.root.digest,
            self.compute_store_age(),
            self.roster.export(),
            self.leaving,
        )

    def choose_exchanges(self):
        """Return the peers with whom to exchange reports now."""
        now = self._clock.now()
        chosen = []
        if now >= self._exchange_due:
            self._exchange_due = now + EXCHANGE_S * self._rng.uniform(0.9, 1.1)
            self._replacements = REPLACEMENTS
            self._forget_dead()
            chosen += self._choose_near()
            if not chosen or self.is_relay() or self._rng.random() < FAR_SHARE:
                chosen += self._choose(1, self._is_far)
        extra, self._extra = self._extra, 0
        if extra:
            chosen += self._choose(extra, lambda peer: peer not in chosen)
        return chosen

    def choose_confidants(self):
        """Return the peers to tell that this node leaves."""
        return self._choose(NUDGES, lambda peer: True)

    def note_report(self, report):
        """Take a report that a peer sent unasked.

        It may have been long on its way: it tells of a newer revision and of no
        time.
        """
        self._note_revision(report.revision, report.node)
        if report.leaving:
            self.roster.hear(report.node, self._clock.now(), gone=True)

    def hear_report(self, report, sent_at):
        """Take a report that answers a request of ours.

        Times count from the request: the answer was made no earlier. What a peer
        has heard counts only if this node is at least as new as the peer.

        Args:
            report: The peer's report.
            sent_at: Monotonic seconds at which the request was sent.
        """
        self._answers += 1
        self._note_revision(report.revision, report.node)
        if report.revision > self.root.revision:
            return
        self.roster.hear(report.node, sent_at, report.leaving)
        within_s = FORGET_S if self._hears_store() else math.inf
        self.roster.merge(report.heard, sent_at, within_s)
        if report.store_age_s is not None and self._agrees(report):
            self._confirm(sent_at - report.store_age_s)

    def hear_failure(self):
        """Take note that a peer did not answer; another one is asked at once."""
        if self._replacements > 0:
            self._replacements -= 1
            self._extra = max(self._extra, 1)

    def hear_store(self, root, at):
        """Take what the store holds.

        A store that has gone back confirms nothing and changes nothing.

        Args:
            root: The root that it holds.
            at: Monotonic seconds at which it surely held it.
        """
        older = root.revision < self.root.revision
        same = root.revision == self.root.revision
        self.store_differs = older or (same and not self._agrees(root))
        if self.store_differs:
            return
        if same:
            self._confirm(at)
        else:
            self._note_revision(root.revision, STORE)

    def choose_source(self):
        """Return where to fetch a newer revision.

        Returns:
            The name of a peer, `STORE`, or None if no source of a newer revision
            is known or the node still asks around after its start.
        """
        if not self._sources or not self._has_joined():
            return None
        # Peers come first: they are closer and cost no calls to the store.
        peers = [source for source in self._sources if source != STORE]
        return self._rng.choice(peers or self._sources)

    def drop_source(self, source):
        """Take note that a source could not be read, until it is heard again."""
        if source in self._sources:
            self._sources.remove(source)

    def adopt(self, root):
        """Put a revision into force; return whether it is newer than before."""
        if root.revision <= self.root.revision:
            return False
        self._put_in_force(root)
        self._known = max(self._known, root.revision)
        self._extra = NUDGES
        behind = self._known > root.revision
        self._behind_since = self._clock.now() if behind else None
        if not behind:
            self._sources = []
        return True

    def is_relay(self):
        """Return whether this node is to follow the store."""
        if self._rank < RELAYS:
            return True
        unheard = not self._hears_store()
        return unheard and self._rank < RELAYS + STANDBYS

    def wants_store(self):
        """Return whether to call the store now."""
        if self.is_relay():
            return True
        now = self._clock.now()
        if self.root.revision or now < self._read_due:
            return False
        self._read_due = now + JOIN_READ_S * self._rng.uniform(0.8, 1.2)
        return True

    def is_isolated(self, within_s):
        """Return whether the node may have missed a change for too long."""
        return self._clock.now() > self.compute_fresh_until(within_s)

    def compute_fresh_until(self, within_s):
        """Return until when the node can't have missed a change for too long.

        It can't while the store was heard lately, by itself or by a node that it
        hears, or else while it hears most of the fleet. A node that knows of a
        newer revision and can't get it is not fresh either. The time is a deadline
        for the request path, which may wake from a pause before anything else.

        Args:
            within_s: The bound in seconds.

        Returns:
            Monotonic seconds; negative infinity if it never was.
        """
        if not self.root.revision:
            return -math.inf
        until = self.roster.compute_majority_until(within_s)
        if self._confirmed is not None:
            until = max(until, self._confirmed + within_s)
        if self._behind_since is not None:
            until = min(until, self._behind_since + within_s)
        return until

    def compute_lag(self):
        """Return seconds since a newer revision became known; 0 if none is."""
        if self._behind_since is None:
            return 0.0
        return self._clock.now() - self._behind_since

    def compute_store_age(self):
        """Return seconds since the store was heard by any path, or None."""
        if self._confirmed is None:
            return None
        return max(0.0, self._clock.now() - self._confirmed)

    def _put_in_force(self, root):
        check_invariant(
            "revision",
            root.revision > self.root.revision,
            f"revision {root.revision} would follow {self.root.revision}",
        )
        self.root = root

    def _note_revision(self, revision, source):
        if revision <= self.root.revision or revision < self._known:
            return
        if revision > self._known:
            self._known = revision
            self._sources = []
        if self._behind_since is None:
            self._behind_since = self._clock.now()
        if source not in self._sources:
            self._sources.append(source)

    def _agrees(self, other):
        return (other.revision, other.digest) == (self.root.revision, self.root.digest)

    def _confirm(self, at):
        if self._confirmed is None or at > self._confirmed:
            self._confirmed = at

    def _has_joined(self):
        if self.root.revision or self._clock.now() - self._started >= JOIN_S:
            return True
        return self._answers >= min(JOIN_PEERS, len(self._peers or self._seeds))

    def _hears_store(self):
        age = self.compute_store_age()
        return age is not None and age <= STANDBY_AGE_S

    def _forget_dead(self):
        # Without the store, nodes that vanish may only be cut off: keep them.
        if self._hears_store():
            self.roster.forget({peer.name for peer in self._peers})

    def _choose_near(self):
        if self._rank < RELAYS + STANDBYS:
            # Those who may have to stand in hear the relays first-hand.
            relays = self._choose(1, lambda peer: peer.name in self._relays)
            if relays:
                return relays
        return self._choose(1, self._is_near)

    def _is_near(self, peer):
        return peer.data_centre == self._data_centre

    def _is_far(self, peer):
        return peer.data_centre != self._data_centre

    def _choose(self, count, fits):
        peers = [peer for peer in self._peers or self._seeds if fits(peer)]
        return self._rng.sample(peers, min(count, len(peers)))
