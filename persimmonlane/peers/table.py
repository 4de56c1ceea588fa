"""Peer table.

Which nodes live, what they say of their backend servers, and how new the document
is known to be. Answers restarts, cuts and freezes of nodes.
"""

import logging
import operator
import threading

from .peer import LIVE_S, MEMBER_S, Peer, move_peer
from .recents import RecentPeers

log = logging.getLogger("persimmonlane.peers")

KEPT_SENDS = 256


class Freshness:
    """Tells that a version was the newest at a time.

    Attributes:
        version: Number of the version.
        at: Seconds.
    """

    __slots__ = ("version", "at")

    def __init__(self, version, at):
        self.version = version
        self.at = at


class PeerTable:
    """The other nodes, by name; its methods may be called from any thread.

    Attributes:
        peers: The `Peer`s by name; a copy is to be made before they are gone through.
        fresh_at: Seconds at which the document in force was known to be the newest,
            or None.
    """

    __slots__ = (
        "peers",
        "fresh_at",
        "_clock",
        "_lock",
        "_own_name",
        "_boot",
        "_sent_at",
        "_listed_at",
        "_awaited",
        "_by_boot",
        "_live",
        "_members",
    )

    def __init__(self, own_name, boot, clock):
        self.peers = {}
        self.fresh_at = None
        self._clock = clock
        self._lock = threading.RLock()
        self._own_name = own_name
        self._boot = boot
        self._sent_at = {}
        self._listed_at = float("-inf")
        self._awaited = None
        self._by_boot = {}
        self._live = RecentPeers(LIVE_S, operator.attrgetter("heard_at"))
        self._members = RecentPeers(MEMBER_S, operator.attrgetter("known_at"))

    def note_listed(self, addresses):
        """Take the nodes that the store names.

        Args:
            addresses: Their addresses by name.
        """
        with self._lock:
            self._listed_at = self._clock.now()
            for name, address in addresses.items():
                try:
                    self.note_registered(name, address)
                except ValueError:
                    log.warning("Peers: the address of %s is invalid.", name)

    def note_registered(self, name, address):
        """Take a node that the store names."""
        if name == self._own_name:
            return
        with self._lock:
            now = self._clock.now()
            peer = self.peers.get(name)
            if peer is None or (peer.address != address and not peer.is_live(now)):
                self.peers[name] = Peer(name, address, now)
                self._index_boots()
            else:
                peer.known_at = now
            self._members.discard()

    def note_sent(self, sequence):
        """Note that an announcement goes out now."""
        self._sent_at[sequence] = self._clock.now()
        while len(self._sent_at) > KEPT_SENDS:
            self._sent_at.pop(next(iter(self._sent_at)))

    def apply_announcement(self, announcement):
        """Take an announcement; return its `Peer`, or None if it is not news."""
        if announcement.node == self._own_name:
            return None
        with self._lock:
            now = self._clock.now()
            known = self.peers.get(announcement.node)
            if known is not None and known.is_stale(announcement):
                return None
            peer = known
            if known is None or known.address != announcement.address:
                peer = move_peer(known, announcement, now)
            # What was found before holds only if it names this peer already.
            if peer is not known or not peer.is_live(now):
                self._live.discard()
                self._members.discard()
            peer.accept(announcement, now)
            self.peers[announcement.node] = peer
            if self._by_boot.get(announcement.boot) is not peer:
                self._index_boots()
            return peer

    def find_by_boot(self, boot):
        """Return the `Peer` whose present process has a boot number, or None."""
        return self._by_boot.get(boot)

    def find_freshness(self, announcement):
        """Return the seconds at which a peer's version was the newest, or None.

        The peer's age counts from the moment at which this node sent what the peer
        echoes, so that no delay on the way back makes it look younger.
        """
        sent_at = self._sent_at.get(announcement.echo)
        if (
            sent_at is None
            or announcement.echo_boot != self._boot
            or announcement.fresh_age_s < 0
        ):
            return None
        return sent_at - announcement.fresh_age_s

    def mark_fresh(self, at):
        """Note that the document in force was the newest at a time."""
        with self._lock:
            if self.fresh_at is None or at > self.fresh_at:
                self.fresh_at = at

    def note_version_fresh(self, version, at, in_force):
        """Note that a version was the newest at a time.

        Versions only rise, so that a later one was at least as new at that time. An
        earlier one gains nothing; the time counts once the version has come.

        Args:
            version: Number of the version.
            at: Seconds.
            in_force: Number of the version in force.
        """
        with self._lock:
            if version <= in_force:
                self.mark_fresh(at)
            elif self._awaited is None or at > self._awaited.at:
                self._awaited = Freshness(version, at)

    def note_in_force(self, version):
        """Note the version in force; what is known of its freshness counts now."""
        with self._lock:
            awaited = self._awaited
            if awaited is not None and awaited.version <= version:
                self.mark_fresh(awaited.at)
                self._awaited = None

    def find_fresh_age(self):
        """Return the seconds since the document was known to be the newest."""
        if self.fresh_at is None:
            return float("inf")
        return self._clock.now() - self.fresh_at

    def encode_fresh_age(self):
        """Return that age as it is told to others: negative if it is not known."""
        age_s = self.find_fresh_age()
        return age_s if age_s != float("inf") else -1.0

    def find_live(self):
        """Return the `Peer`s that were heard of late; the list may not be changed."""
        return self._find(self._live)

    def count_members(self):
        """Return the number of nodes, this one included, that belong to the fleet."""
        return 1 + len(self._find(self._members))

    def drop_forgotten(self):
        """Forget the nodes that neither the store nor datagrams name any more.

        While the store does not answer, none is forgotten: a node that starts then
        learns of the others only from their announcements.
        """
        with self._lock:
            oldest = min(self._clock.now() - MEMBER_S, self._listed_at)
            gone = [peer for peer in self.peers.values() if peer.known_at < oldest]
            for peer in gone:
                del self.peers[peer.name]
            if gone:
                self._index_boots()

    def is_relay(self, data_centre, rank):
        """Return whether this node is among the first live ones of its data centre.

        Args:
            data_centre: Name of this node's data centre.
            rank: Number of relays.
        """
        before = sum(
            1
            for peer in self.find_live()
            if peer.data_centre == data_centre
            and peer.name < self._own_name
            and not peer.announcement.leaving
        )
        return before < rank

    def _index_boots(self):
        heard = [peer for peer in self.peers.values() if peer.announcement is not None]
        self._by_boot = {peer.announcement.boot: peer for peer in heard}

    def _find(self, recents):
        found = recents.get(self._clock.now())
        if found is not None:
            return found
        with self._lock:
            return recents.find(self.peers.values(), self._clock.now())
