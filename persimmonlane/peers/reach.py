"""Number of nodes that are in reach of this one."""

COUNT_INTERVAL_S = 0.25
# News of a data centre that are older don't show that it is still in reach.
REACH_S = 3.3
# A node of this data centre whose last echo is of an older message may not hear this
# one, and look for another holder. An echo takes two rounds, or three with a loss.
HEARD_S = 3.6
# For this long after the start of a process, an echo can't be expected.
FIRST_ECHO_S = 1.5
# A node that left in good order grants nothing. It is missed once it doesn't return.
RETURN_S = 8.0


class ReachCounter:
    """Counts the nodes that are live and in reach; not thread-safe."""

    __slots__ = (
        "_data_centre",
        "_clock",
        "_table",
        "_started_at",
        "_counted_at",
        "_reachable",
    )

    def __init__(self, data_centre, clock, table):
        """Create the counter of a node.

        Args:
            data_centre: Name of the node's data centre.
            clock: Clock in seconds.
            table: The `PeerTable`.
        """
        self._data_centre = data_centre
        self._clock = clock
        self._table = table
        self._started_at = clock.now()
        self._counted_at = float("-inf")
        self._reachable = 1

    def reset(self):
        """Count anew the next time."""
        self._counted_at = float("-inf")

    def count(self):
        """Return the number of nodes that are live and in reach, with this one.

        The nodes of a data centre of which there is no recent news don't count: this
        node may be cut off, and they may grant their share by themselves.
        """
        now = self._clock.now()
        if now - self._counted_at < COUNT_INTERVAL_S:
            return self._reachable
        self._counted_at = now
        groups = {}
        for peer in self._table.list_live():
            groups.setdefault(peer.data_centre, []).append(peer)
        self._reachable = 1 + self._count_stopped(now)
        for data_centre, peers in groups.items():
            newest = max(peer.heard_at for peer in peers)
            if data_centre == self._data_centre:
                self._reachable += sum(self._is_heard_by(peer, now) for peer in peers)
            elif now - newest < REACH_S:
                self._reachable += len(peers)
        return self._reachable

    def _is_heard_by(self, peer, now):
        """Return whether a `Peer` of this data centre has heard this node lately."""
        is_new = now - max(self._started_at, peer.started_at) < FIRST_ECHO_S
        if is_new or peer.announcement.leaving:
            return True
        latest = peer.announcement
        sent_at = self._table.send_times.find(latest.echo, latest.echo_boot)
        return sent_at is not None and now - sent_at < HEARD_S

    def _count_stopped(self, now):
        """Return the number of nodes that have just ended after a planned stop."""
        return sum(
            peer.announcement is not None
            and peer.announcement.leaving
            and not peer.is_live(now)
            and now - peer.heard_at < RETURN_S
            for peer in list(self._table.peers.values())
        )
