"""Placement.

Chooses the backend server for a request. Answers uneven load, cold starts, ejections
and nodes that can't be reached; random by free slots, so that nodes with the same old
news do not all choose the same server.
"""

from ..owner.standing import Standing

# Weight of a server in another data centre against one in this one; a long body is
# worth keeping near.
FAR_WEIGHT = 0.6
FAR_WEIGHT_LONG = 0.25
LONG_BODY_BYTES = 16 * 1024
OWN_WEIGHT = 1.5
COLD_WEIGHT = 0.5
TRIAL_WEIGHT = 0.15
FULL_WEIGHT = 0.05
FULL_DECAY = 0.5


class Candidate:
    """A backend server that could take a request.

    Attributes:
        server: Its `ServerNews`.
        peer: The `Peer` that owns it, or None for this node.
        near: Whether it is in this node's data centre.
    """

    __slots__ = ("server", "peer", "near")

    def __init__(self, server, peer, near):
        self.server = server
        self.peer = peer
        self.near = near


class Placement:
    """Chooses among the candidates of a service."""

    __slots__ = ("_rng", "_floor_share")

    def __init__(self, rng, floor_share):
        self._rng = rng
        self._floor_share = floor_share

    def choose(self, candidates, idempotent, body_bytes):
        """Return a candidate, or None if there is none that may take the request.

        Args:
            candidates: The `Candidate`s that were not tried yet.
            idempotent: Whether the request may run more than once.
            body_bytes: Length of its body.
        """
        usable = [item for item in candidates if is_usable(item, idempotent)]
        if not usable:
            return None
        weights = [weigh(item, body_bytes) for item in usable]
        return self._rng.choices(usable, weights)[0]

    def insists(self, candidates):
        """Return whether so many servers are ejected that they are needed."""
        sound = sum(1 for item in candidates if is_sound(item))
        return sound < self._floor_share * len(candidates)


def is_sound(candidate):
    """Return whether a backend server is not ejected."""
    return candidate.server.standing != Standing.EJECTED.value


def is_usable(candidate, idempotent):
    """Return whether a backend server may take a request."""
    standing = candidate.server.standing
    if standing == Standing.SOUND.value:
        return True
    return standing == Standing.TRIAL.value and idempotent


def weigh(candidate, body_bytes):
    """Return the weight with which a backend server is chosen."""
    server = candidate.server
    pending = candidate.peer.pending if candidate.peer is not None else 0
    busy = max(server.running + server.waiting, pending)
    free = server.slots - busy
    weight = free if free > 0 else FULL_WEIGHT * FULL_DECAY ** min(-free, 8)
    if not candidate.near:
        weight *= FAR_WEIGHT_LONG if body_bytes > LONG_BODY_BYTES else FAR_WEIGHT
    elif candidate.peer is None:
        weight *= OWN_WEIGHT
    if server.cold_s > 0:
        weight *= COLD_WEIGHT
    if server.standing == Standing.TRIAL.value:
        weight *= TRIAL_WEIGHT
    return weight
