"""Placement.

Chooses the backend server for a request. Answers uneven load, cold starts, ejections
and nodes that can't be reached; random by free slots, so that nodes with the same old
news do not all choose the same server.
"""

from ..owner.standing import Standing

# Weight of a server in another data centre against one in this one. There are many of
# them, and together they are to draw little while a near one is free.
FAR_WEIGHT = 0.002
FAR_WEIGHT_LONG = 0.0005
LONG_BODY_BYTES = 16 * 1024
OWN_WEIGHT = 1.5
COLD_WEIGHT = 0.5
# A server that will not take what can't be repeated.
DOUBT_WEIGHT = 0.01
TRIAL_WEIGHT = 4.0
TRIAL_WEIGHT_UNSAFE = 0.01
TRIAL_BUSY_WEIGHT = 0.02
# Wait that stands for the risk of a server that is not sound, in seconds.
STANDING_WAITS_S = {
    Standing.SOUND.value: 0.05,
    Standing.TRIAL.value: 0.4,
    Standing.EJECTED.value: 0.8,
}
UNKNOWN_WAIT_S = 0.1
FULL_WEIGHT = 0.0005
FULL_DECAY = 0.5


class Candidate:
    """A backend server that could take a request.

    Attributes:
        server: Its `ServerNews`.
        peer: The `Peer` that owns it, or None for this node.
        same_data_centre: Whether it is in this node's data centre.
    """

    __slots__ = ("server", "peer", "same_data_centre")

    def __init__(self, server, peer, same_data_centre):
        self.server = server
        self.peer = peer
        self.same_data_centre = same_data_centre


class Placement:
    """Chooses among the candidates of a service."""

    __slots__ = ("_rng",)

    def __init__(self, rng):
        self._rng = rng

    def choose(self, candidates, idempotent, body_bytes):
        """Return a candidate, or None if there is none that may take the request.

        Args:
            candidates: The `Candidate`s that were not tried yet.
            idempotent: Whether the request may run more than once.
            body_bytes: Length of its body.
        """
        usable = [item for item in candidates if is_usable(item)]
        if not usable:
            return None
        weights = [weigh(item, idempotent, body_bytes) for item in usable]
        return self._rng.choices(usable, weights)[0]

    def choose_last(self, candidates, refusals):
        """Return the candidate at which a refused request waits least, or None.

        Args:
            candidates: The `Candidate`s that did not get the request.
            refusals: What they answered, as `Attempt`s by identifier.
        """
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda item: self._estimate(item, refusals) * self._rng.uniform(0.8, 1),
        )

    def _estimate(self, candidate, refusals):
        refusal = refusals.get(candidate.server.server_id)
        wait_s = refusal.wait_s if refusal is not None else UNKNOWN_WAIT_S
        return wait_s + STANDING_WAITS_S[candidate.server.standing]


def is_usable(candidate):
    """Return whether a backend server is not ejected."""
    return candidate.server.standing != Standing.EJECTED.value


def weigh(candidate, idempotent, body_bytes):
    """Return the weight with which a backend server is chosen."""
    server = candidate.server
    pending = candidate.peer.pending if candidate.peer is not None else 0
    busy = max(server.running + server.waiting, pending)
    free = server.slots - busy
    weight = free if free > 0 else FULL_WEIGHT * FULL_DECAY ** min(-free, 8)
    if candidate.peer is None:
        weight *= OWN_WEIGHT
    if server.cold_s > 0:
        weight *= COLD_WEIGHT
    if server.standing == Standing.TRIAL.value:
        weight = TRIAL_WEIGHT if idempotent else TRIAL_WEIGHT_UNSAFE
        weight = weight if server.running == 0 else TRIAL_BUSY_WEIGHT
    elif server.doubtful and not idempotent:
        weight *= DOUBT_WEIGHT
    if not candidate.same_data_centre:
        weight *= FAR_WEIGHT_LONG if body_bytes > LONG_BODY_BYTES else FAR_WEIGHT
    return weight
