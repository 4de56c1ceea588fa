"""Directory.

Knows which node to ask for the loans of a shard.
"""

from .lease import Member
from .policy import SUSPECT_S, rank_names

RANKED = 3
NEVER = float("-inf")


class Directory:
    """Leases and failures that this node has heard of."""

    __slots__ = ("_member", "_clock", "_peers", "_leases", "_suspects", "_ranks")

    def __init__(self, member, clock):
        self._member = member
        self._clock = clock
        self._peers = {}
        self._leases = {}
        self._suspects = {}
        self._ranks = {}

    def set_peers(self, peers):
        """Take over the nodes that were heard of lately."""
        members = {peer.name: Member(peer.name, peer.rpc) for peer in peers}
        members[self._member.name] = self._member
        if members != self._peers:
            self._peers = members
            self._ranks.clear()

    def learn(self, shard, lease):
        """Note the lease of a shard unless a later one is known."""
        known = self._leases.get(shard)
        if known is None or known.epoch <= lease.epoch:
            self._leases[shard] = lease

    def note_failure(self, member):
        """Note that a call to a node failed."""
        self._suspects[member.name] = self._clock.now() + SUSPECT_S

    def note_success(self, member):
        """Note that a call to a node succeeded."""
        self._suspects.pop(member.name, None)

    def find_lease(self, shard):
        """Return the lease of a shard as far as it is known, or None."""
        return self._leases.get(shard)

    def is_suspect(self, member):
        """Return whether a call to a node failed lately."""
        return self._clock.now() < self._suspects.get(member.name, NEVER)

    def needs_relay(self, shard, member):
        """Return whether a node should pass demands on to a shard's holder.

        That is so where the holder is known but a call to it failed lately: the
        path to it may be cut, perhaps one way only, while others reach it.
        """
        lease = self._leases.get(shard)
        if lease is None or lease.holder.name == member.name:
            return False
        return self.is_suspect(lease.holder)

    def choose(self, shard, tried=()):
        """Return the node to ask for a shard, or None if all were tried.

        Args:
            shard: Number of the shard.
            tried: Names of nodes already asked.
        """
        candidates = [one for one in self._list(shard) if one.name not in tried]
        for member in candidates:
            if not self.is_suspect(member):
                return member
        return candidates[0] if candidates else None

    def _list(self, shard):
        lease = self._leases.get(shard)
        members = []
        if lease is not None and not lease.released:
            members = [lease.holder, *lease.successors]
        if shard not in self._ranks:
            names = rank_names(shard, self._peers)[:RANKED]
            self._ranks[shard] = [self._peers[name] for name in names]
        return members + self._ranks[shard]
