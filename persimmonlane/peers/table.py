"""Membership table of the fleet.

Tracks which nodes are live and the status of their backend servers. Handles restarts
and suspensions of nodes and network partitions.
"""

import logging
import operator
import threading

from .cache import RecentPeers
from .freshness import DocumentFreshness, SendTimes
from .peer import LIVE_TIMEOUT_S, MEMBER_TIMEOUT_S, Peer, create_moved_peer

log = logging.getLogger("persimmonlane.peers")


class PeerTable:
    """The other nodes of the fleet by name; methods are thread-safe.

    Attributes:
        peers: Dict of `Peer`s by name. Copy it before iterating.
        freshness: The `DocumentFreshness` of the document in force.
        send_times: The `SendTimes` of this node's announcements.
    """

    __slots__ = (
        "peers",
        "freshness",
        "send_times",
        "_clock",
        "_lock",
        "_own_name",
        "_data_centre",
        "_store_listed_at",
        "_by_boot",
        "_by_host",
        "_live",
        "_members",
    )

    def __init__(self, own_name, data_centre, boot, clock):
        self.peers = {}
        self.freshness = DocumentFreshness(clock)
        self.send_times = SendTimes(boot, clock)
        self._clock = clock
        self._lock = threading.RLock()
        self._own_name = own_name
        self._data_centre = data_centre
        self._store_listed_at = float("-inf")
        self._by_boot = {}
        self._by_host = {}
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
                self._index()
            else:
                peer.last_seen_at = now
            self._members.invalidate()

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
                self._index()
            return peer

    def find_by_boot(self, boot):
        """Return the `Peer` whose current process has a boot number, or None."""
        return self._by_boot.get(boot)

    def is_local_host(self, host):
        """Return whether a host is that of a known node in this data centre."""
        peer = self._by_host.get(host)
        return peer is not None and peer.data_centre == self._data_centre

    def compute_fresh_at(self, message):
        """Return the time at which the sender's version was the newest, or None.

        Args:
            message: The `Announcement`, with the age and the echo of the sender.

        Returns:
            Clock seconds, or None if the sender does not know the age or echoes no
            announcement whose send time is known.
        """
        sent_at = self.send_times.find(message.echo, message.echo_boot)
        if sent_at is None or message.fresh_age_s < 0:
            return None
        return sent_at - message.fresh_age_s

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
                self._index()

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

    def _index(self):
        peers = list(self.peers.values())
        self._by_host = {peer.host: peer for peer in peers}
        self._by_boot = {
            peer.announcement.boot: peer for peer in peers if peer.announcement
        }

    def _list_recent(self, recents):
        cached = recents.get(self._clock.now())
        if cached is not None:
            return cached
        with self._lock:
            return recents.refresh(self.peers.values(), self._clock.now())
