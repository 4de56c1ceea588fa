"""Membership table of the fleet.

Tracks which nodes are live and the status of their backend servers. Handles restarts
and suspensions of nodes and network partitions.
"""

import logging
import operator
import threading

from .cache import RecentPeers
from .departures import DepartedServers
from .digests import DS_PER_S, apply_member_state, matches_state
from .freshness import DocumentFreshness, SendTimes
from .peer import MEMBER_TIMEOUT_S, REMOTE_LIVE_TIMEOUT_S, Peer, create_moved_peer
from .relays import RELAY_COUNT, rank_relays

log = logging.getLogger("persimmonlane.peers")


class PeerTable:
    """The other nodes of the fleet by name; methods are thread-safe.

    Attributes:
        peers: Dict of `Peer`s by name. Copy it before iterating.
        freshness: The `DocumentFreshness` of the document in force.
        send_times: The `SendTimes` of this node's announcements.
        departed: The `DepartedServers` of the other nodes.
    """

    __slots__ = (
        "peers",
        "freshness",
        "send_times",
        "departed",
        "_clock",
        "_lock",
        "_own_name",
        "_data_centre",
        "_boot",
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
        self.departed = DepartedServers()
        self._clock = clock
        self._lock = threading.RLock()
        self._own_name = own_name
        self._data_centre = data_centre
        self._boot = boot
        self._store_listed_at = float("-inf")
        self._by_boot = {}
        self._by_host = {}
        self._live = RecentPeers(operator.attrgetter("live_until"))
        self._members = RecentPeers(Peer.get_member_until)

    def update_registered(self, nodes):
        """Add all nodes that are registered in the store.

        Nodes with an invalid address are logged and skipped.

        Args:
            nodes: The `RegisteredNode`s.
        """
        with self._lock:
            self._store_listed_at = self._clock.now()
            for node in nodes:
                try:
                    self.add_registered(
                        node.name, node.address, node.data_centre, node.member_s
                    )
                except ValueError:
                    log.warning(
                        "Peers: invalid address of node %s in the store.",
                        node.name,
                        extra={"event": "store-entry-invalid"},
                    )

    def add_registered(self, name, address, data_centre="", member_s=MEMBER_TIMEOUT_S):
        """Add or refresh a node that is registered in the store.

        Args:
            name: Name of the node.
            address: Address for requests from other nodes.
            data_centre: Name of its data centre, empty if it is not known.
            member_s: Seconds for which it counts as a member if it is not heard of.

        Raises:
            ValueError: If the address is new and invalid.
        """
        if name == self._own_name:
            return
        with self._lock:
            now = self._clock.now()
            seen_at = now - MEMBER_TIMEOUT_S + member_s
            peer = self.peers.get(name)
            if peer is None or (peer.address != address and not peer.is_live(now)):
                self.peers[name] = Peer(name, address, seen_at, data_centre)
                self._index()
            else:
                peer.last_seen_at = max(peer.last_seen_at, seen_at)
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
            if known is not None and known.is_stale(announcement, now):
                return None
            peer = known
            if known is None or known.address != announcement.address:
                peer = create_moved_peer(known, announcement, now)
            if peer is not known:
                self._invalidate_lists()
            self._refresh_lists_for(peer, now)
            peer.apply_announcement(announcement, now)
            self._store(peer)
            return peer

    def apply_member(self, announcement, heard_at):
        """Apply the announcement of a node of another data centre, from a third node.

        Only its own announcements tell of a node of this data centre; of such a node
        no more than the address is taken, so that it can be asked.

        Args:
            announcement: The `Announcement`.
            heard_at: Clock seconds at which the node was alive for certain.

        Raises:
            ValueError: If the announced address is invalid.
        """
        if announcement.data_centre == self._data_centre:
            if announcement.node not in self.peers:
                self.add_registered(
                    announcement.node, announcement.address, announcement.data_centre
                )
            return
        with self._lock:
            now = self._clock.now()
            known = self.peers.get(announcement.node)
            if known is not None and known.is_outdated(announcement, heard_at):
                return
            peer = known
            if known is None or known.address != announcement.address:
                peer = create_moved_peer(known, announcement, heard_at)
            self._invalidate_lists()
            peer.apply_announcement(
                announcement, min(heard_at, now), REMOTE_LIVE_TIMEOUT_S
            )
            self._store(peer)

    def apply_states(self, states, sent_at):
        """Apply the states of nodes of other data centres from a digest.

        Args:
            states: The `MemberState`s.
            sent_at: Clock seconds before which the digest was not sent, or None if that
                is not known. Then nothing is applied.

        Returns:
            Boot numbers of the nodes whose announcements are needed first.
        """
        unknown = []
        with self._lock:
            for state in states:
                peer = self._by_boot.get(state.boot)
                if peer is None or not matches_state(peer.announcement, state):
                    if state.boot != self._boot:
                        unknown.append(state.boot)
                elif sent_at is not None and self.is_remote(peer):
                    self._apply_state(peer, state, sent_at)
        return unknown

    def is_remote(self, peer):
        """Return whether digests tell of a `Peer`, instead of its announcements."""
        return (
            bool(peer.data_centre)
            and peer.data_centre != self._data_centre
            and peer.accepts_digests
        )

    def _apply_state(self, peer, state, sent_at):
        if state.sequence < peer.announcement.sequence:
            return
        if state.sequence > peer.announcement.sequence:
            peer.announcement = apply_member_state(state, peer.announcement)
        now = self._clock.now()
        self._refresh_lists_for(peer, now)
        heard_at = min(now, sent_at - state.age_ds / DS_PER_S)
        peer.extend_life(heard_at, REMOTE_LIVE_TIMEOUT_S)

    def _store(self, peer):
        self.peers[peer.name] = peer
        self.departed.note(peer.announcement.server)
        if self._by_boot.get(peer.announcement.boot) is not peer:
            self._index()

    def _refresh_lists_for(self, peer, now):
        """Invalidate the cached lists if they may lack a peer that is heard now."""
        if not peer.is_live(now):
            self._invalidate_lists()

    def _invalidate_lists(self):
        self._live.invalidate()
        self._members.invalidate()

    def find_by_boot(self, boot):
        """Return the `Peer` whose current process has a boot number, or None."""
        return self._by_boot.get(boot)

    def is_known_host(self, host):
        """Return whether a host is that of a node which is known."""
        return host in self._by_host

    def is_local_host(self, host):
        """Return whether a host is that of a known node in this data centre."""
        peer = self._by_host.get(host)
        return peer is not None and peer.data_centre == self._data_centre

    def find_data_centre(self, host):
        """Return the name of the data centre of a host, empty if it is not known."""
        peer = self._by_host.get(host)
        return peer.data_centre if peer is not None else ""

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

    def rank_relays(self, data_centre, count=RELAY_COUNT):
        """Return the names of a data centre's relays, the first choice first.

        Nodes of older releases relay nothing.

        Args:
            data_centre: Name of the data centre.
            count: Largest number of relays.
        """
        names = [
            peer.name
            for peer in self.list_live()
            if peer.data_centre == data_centre
            and peer.accepts_digests
            and not peer.announcement.leaving
        ]
        if data_centre == self._data_centre:
            names.append(self._own_name)
        return rank_relays(data_centre, names, count)

    def is_relay(self, data_centre, relay_count):
        """Return whether this node is a relay of its data centre.

        Args:
            data_centre: Name of this node's data centre.
            relay_count: Number of relays per data centre.
        """
        return self._own_name in self.rank_relays(data_centre, relay_count)

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
