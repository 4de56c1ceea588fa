"""Membership table of the fleet.

Tracks which nodes are live, the status of their backend servers, and when the document
in force was last confirmed as the newest. Handles restarts and suspensions of nodes and
network partitions.
"""

import logging
import operator
import threading

from .cache import RecentPeers
from .peer import LIVE_TIMEOUT_S, MEMBER_TIMEOUT_S, Peer, create_moved_peer

log = logging.getLogger("persimmonlane.peers")

MAX_SEND_TIMES = 256


class ConfirmedVersion:
    """A version of the document that was confirmed as the newest.

    Attributes:
        version: Number of the version.
        confirmed_at: Clock seconds at which it was the newest.
    """

    __slots__ = ("version", "confirmed_at")

    def __init__(self, version, confirmed_at):
        self.version = version
        self.confirmed_at = confirmed_at


class PeerTable:
    """The other nodes of the fleet by name; methods are thread-safe.

    Attributes:
        peers: Dict of `Peer`s by name. Copy it before iterating.
        fresh_at: Clock seconds at which the document in force was last confirmed as
            the newest, or None.
    """

    __slots__ = (
        "peers",
        "fresh_at",
        "_clock",
        "_lock",
        "_own_name",
        "_boot",
        "_sent_at",
        "_store_listed_at",
        "_unapplied_version",
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
        self._store_listed_at = float("-inf")
        self._unapplied_version = None
        self._by_boot = {}
        self._live = RecentPeers(LIVE_TIMEOUT_S, operator.attrgetter("heard_at"))
        self._members = RecentPeers(
            MEMBER_TIMEOUT_S, operator.attrgetter("last_seen_at")
        )

    def update_registered(self, addresses):
        """Add all nodes that are registered in the store.

        Nodes with an invalid address are logged and skipped.

        Args:
            addresses: Dict of node addresses by node name.
        """
        with self._lock:
            self._store_listed_at = self._clock.now()
            for name, address in addresses.items():
                try:
                    self.add_registered(name, address)
                except ValueError:
                    log.warning("Peers: invalid address of node %s in the store.", name)

    def add_registered(self, name, address):
        """Add or refresh a node that is registered in the store.

        Raises:
            ValueError: If the address is new and invalid.
        """
        if name == self._own_name:
            return
        with self._lock:
            now = self._clock.now()
            peer = self.peers.get(name)
            if peer is None or (peer.address != address and not peer.is_live(now)):
                self.peers[name] = Peer(name, address, now)
                self._index_boots()
            else:
                peer.last_seen_at = now
            self._members.invalidate()

    def record_send_time(self, sequence):
        """Record the current time as the send time of an announcement."""
        self._sent_at[sequence] = self._clock.now()
        while len(self._sent_at) > MAX_SEND_TIMES:
            self._sent_at.pop(next(iter(self._sent_at)))

    def apply_announcement(self, announcement):
        """Apply an announcement of another node.

        Returns:
            The `Peer`, or None if the announcement is stale or this node's own.

        Raises:
            ValueError: If the announced address is invalid.
        """
        if announcement.node == self._own_name:
            return None
        with self._lock:
            now = self._clock.now()
            known = self.peers.get(announcement.node)
            if known is not None and known.is_stale(announcement):
                return None
            peer = known
            if known is None or known.address != announcement.address:
                peer = create_moved_peer(known, announcement, now)
            # The cached lists stay valid only if they already contain this peer.
            if peer is not known or not peer.is_live(now):
                self._live.invalidate()
                self._members.invalidate()
            peer.apply_announcement(announcement, now)
            self.peers[announcement.node] = peer
            if self._by_boot.get(announcement.boot) is not peer:
                self._index_boots()
            return peer

    def find_by_boot(self, boot):
        """Return the `Peer` whose current process has a boot number, or None."""
        return self._by_boot.get(boot)

    def compute_fresh_at(self, announcement):
        """Return the time at which a peer's version was the newest, or None.

        The announced age is subtracted from the time at which this node sent the
        announcement that the peer echoes. A delay on the way back therefore can't make
        the version look fresher than it is.

        Returns:
            Clock seconds, or None if the peer does not know the age or echoes no
            announcement whose send time is known.
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
        """Record that the document in force was the newest at a time in seconds."""
        with self._lock:
            if self.fresh_at is None or at > self.fresh_at:
                self.fresh_at = at

    def mark_version_fresh(self, version, at, in_force):
        """Record that a version was the newest at a time.

        Versions only increase, so a newer version in force was at least as fresh at
        that time. If the version in force is older, the time is kept and applied once
        the version comes into force.

        Args:
            version: Number of the version.
            at: Clock seconds at which it was the newest.
            in_force: Number of the version in force.
        """
        with self._lock:
            if version <= in_force:
                self.mark_fresh(at)
            elif (
                self._unapplied_version is None
                or at > self._unapplied_version.confirmed_at
            ):
                self._unapplied_version = ConfirmedVersion(version, at)

    def apply_version_in_force(self, version):
        """Apply a kept confirmation if the version in force has reached it."""
        with self._lock:
            unapplied = self._unapplied_version
            if unapplied is not None and unapplied.version <= version:
                self.mark_fresh(unapplied.confirmed_at)
                self._unapplied_version = None

    def compute_fresh_age(self):
        """Return the seconds since the document was last confirmed as the newest.

        The age is infinite if the document was never confirmed.
        """
        if self.fresh_at is None:
            return float("inf")
        return self._clock.now() - self.fresh_at

    def encode_fresh_age(self):
        """Return the age in seconds as sent to peers: -1.0 if it is not known."""
        age_s = self.compute_fresh_age()
        return age_s if age_s != float("inf") else -1.0

    def list_live(self):
        """Return the live `Peer`s; callers must not modify the list."""
        return self._list_recent(self._live)

    def count_members(self):
        """Return the number of nodes in the fleet, including this one."""
        return 1 + len(self._list_recent(self._members))

    def remove_expired(self):
        """Remove nodes that neither the store nor a datagram has named recently.

        No node is removed while the store is unavailable: a node that restarts then
        learns of the others only from their announcements.
        """
        with self._lock:
            oldest = min(self._clock.now() - MEMBER_TIMEOUT_S, self._store_listed_at)
            expired = [
                peer for peer in self.peers.values() if peer.last_seen_at < oldest
            ]
            for peer in expired:
                del self.peers[peer.name]
            if expired:
                self._index_boots()

    def is_relay(self, data_centre, relay_count):
        """Return whether this node is a relay of its data centre.

        The relays are the first live nodes by name that are not leaving.

        Args:
            data_centre: Name of this node's data centre.
            relay_count: Number of relays per data centre.
        """
        preceding = sum(
            1
            for peer in self.list_live()
            if peer.data_centre == data_centre
            and peer.name < self._own_name
            and not peer.announcement.leaving
        )
        return preceding < relay_count

    def _index_boots(self):
        heard = [peer for peer in self.peers.values() if peer.announcement is not None]
        self._by_boot = {peer.announcement.boot: peer for peer in heard}

    def _list_recent(self, recents):
        cached = recents.get(self._clock.now())
        if cached is not None:
            return cached
        with self._lock:
            return recents.refresh(self.peers.values(), self._clock.now())
