"""Choice of the backend server for a request.

Servers are chosen at random, weighted by their free slots, so that nodes with the same
outdated state do not all choose the same server. The weights account for uneven load,
cold starts, ejections and unreachable nodes.
"""

import math

from ..localities import Locality
from ..owner.health import HealthState
from ..routing.rulebook import NO_COLD_START

# Weight of a server in another data centre relative to one in this data centre. There
# are many such servers, and together they must get few requests while a server in this
# data centre has a free slot.
REMOTE_WEIGHT = 0.002
REMOTE_WEIGHT_LONG_BODY = 0.0005
LONG_BODY_BYTES = 16 * 1024
LOCAL_WEIGHT = 1.5
COLD_START_WEIGHT = 0.5
# Applies to requests that are not idempotent, at a server that rejects them because it
# is suspected of failing.
SUSPECT_WEIGHT = 0.01
# How strongly the probability that a server fails lowers its weight: a request that is
# not idempotent is lost there, while others may find out.
RISK_DECAY = 6.0
RISK_DECAY_NOT_IDEMPOTENT = 10.0
# Idempotent requests show when a server is healthy again, so it must get some.
MIN_RISK_FACTOR = 0.03
HALF_OPEN_WEIGHT = 4.0
HALF_OPEN_BUSY_WEIGHT = 0.02
# Least weight of a server that got no request for a while, as a share of all weights:
# without requests nothing would show that it is healthy again.
QUIET_SHARE = 0.15
# Added to the estimated wait of a server, as the cost of the risk that it fails.
HEALTH_PENALTIES_S = {
    HealthState.HEALTHY.value: 0.05,
    HealthState.HALF_OPEN.value: 0.4,
    HealthState.EJECTED.value: 0.8,
}
# Lowest limit in such estimates, in requests per second.
MIN_LIMIT_RATE = 0.1
# Assumed for a server that has not reported an expected wait.
DEFAULT_WAIT_S = 0.1
# Weight of a server without a free slot; halves with each of its first 8 queued
# requests.
FULL_WEIGHT = 0.0005
FULL_QUEUE_DECAY = 0.5


class Candidate:
    """A backend server that could serve a request.

    Attributes:
        server: The `ServerStatus` last received about it.
        peer: The `Peer` that owns it, or None if this node does.
        same_data_centre: Whether it is in this node's data centre.
        locality: The `Locality` of its data centre.
    """

    __slots__ = ("server", "peer", "same_data_centre", "locality")

    def __init__(self, server, peer, same_data_centre, locality=None):
        self.server = server
        self.peer = peer
        self.same_data_centre = same_data_centre
        if locality is None:
            locality = Locality.DATA_CENTRE if same_data_centre else Locality.REGION
        self.locality = locality


class Placement:
    """Chooses among the candidates of a service.

    Attributes:
        find_cold_start: Callable that returns the `ColdStart` of a service, or None.
    """

    __slots__ = ("find_cold_start", "_rng")

    def __init__(self, rng):
        self.find_cold_start = lambda service: NO_COLD_START
        self._rng = rng

    def choose(self, candidates, idempotent, body_bytes, mean_s=0.0):
        """Return a random candidate, or None if all of them would refuse the request.

        Args:
            candidates: The `Candidate`s that were not tried yet.
            idempotent: Whether the request may run more than once.
            body_bytes: Length of the request body.
            mean_s: Mean processing time of such requests, in seconds.
        """
        usable = [item for item in candidates if admits(item, idempotent)]
        if not usable:
            return None
        cold_start = self.find_cold_start(usable[0].server.service) or NO_COLD_START
        weights = [
            calculate_weight(item, idempotent, body_bytes, mean_s, cold_start.rate)
            for item in usable
        ]
        if idempotent:
            weights = raise_quiet_weights(usable, weights)
        return self._rng.choices(usable, weights)[0]

    def choose_last_resort(self, candidates, rejections):
        """Return the candidate with the shortest expected wait, or None.

        Args:
            candidates: The `Candidate`s that rejected the request or were not tried.
            rejections: Rejected `Attempt`s by identifier of the backend server.
        """
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda item: (
                self._estimate_wait_s(item, rejections) * self._rng.uniform(0.8, 1)
            ),
        )

    def _estimate_wait_s(self, candidate, rejections):
        rejection = rejections.get(candidate.server.server_id)
        if rejection is not None:
            wait_s = rejection.wait_s
        else:
            wait_s = get_default_wait_s(candidate.server)
        return wait_s + HEALTH_PENALTIES_S[candidate.server.standing]


def is_usable(candidate):
    """Return whether a backend server is not ejected."""
    return candidate.server.standing != HealthState.EJECTED.value


def admits(candidate, idempotent):
    """Return whether the health of a backend server, as far as known, admits a request.

    Its owner admits no other requests to a half-open server than its probes.
    """
    server = candidate.server
    if server.standing != HealthState.HALF_OPEN.value:
        return is_usable(candidate)
    return idempotent and not server.probing


def get_default_wait_s(server):
    """Return the wait in seconds to assume at a server that has not reported one."""
    if server.limit is None:
        return DEFAULT_WAIT_S
    return max(DEFAULT_WAIT_S, 1.0 / max(MIN_LIMIT_RATE, server.limit))


def estimate_concurrency(server, mean_s, cold_rate=None):
    """Return the number of requests that a server can run at the same time.

    By Little's law, a limited server runs no more than its limit times the processing
    time on average.

    Args:
        server: The `ServerStatus`.
        mean_s: Mean processing time of the requests, in seconds.
        cold_rate: Requests per second that it takes while it is cold, or None.
    """
    rates = [server.limit, cold_rate if server.cold_s > 0 else None]
    return min([server.slots, *(rate * mean_s for rate in rates if rate is not None)])


def calculate_weight(candidate, idempotent, body_bytes, mean_s=0.0, cold_rate=None):
    """Return the relative probability with which a candidate is chosen."""
    server = candidate.server
    in_flight = candidate.peer.in_flight if candidate.peer is not None else 0
    busy = max(server.running + server.waiting, in_flight)
    free = estimate_concurrency(server, mean_s, cold_rate) - busy
    weight = free if free > 0 else FULL_WEIGHT * FULL_QUEUE_DECAY ** min(-free, 8)
    if candidate.peer is None:
        weight *= LOCAL_WEIGHT
    if server.cold_s > 0 and cold_rate is None:
        weight *= COLD_START_WEIGHT
    if server.standing == HealthState.HALF_OPEN.value:
        weight = HALF_OPEN_WEIGHT if server.may_probe else HALF_OPEN_BUSY_WEIGHT
    else:
        weight *= calculate_risk_factor(server.risk, idempotent)
        if server.suspect and not idempotent:
            weight *= SUSPECT_WEIGHT
    if not candidate.same_data_centre:
        weight *= (
            REMOTE_WEIGHT_LONG_BODY if body_bytes > LONG_BODY_BYTES else REMOTE_WEIGHT
        )
    return weight


def raise_quiet_weights(candidates, weights):
    """Return the weights, with higher ones for servers that got no requests.

    Only those in this data centre and with free slots are raised.
    """
    least = sum(weights) * QUIET_SHARE
    return [
        max(weight, least) if is_quiet(item) else weight
        for item, weight in zip(candidates, weights, strict=True)
    ]


def is_quiet(candidate):
    """Return whether a server nearby has free slots and got no request for a while."""
    server = candidate.server
    return (
        candidate.same_data_centre
        and server.quiet
        and server.standing == HealthState.HEALTHY.value
        and server.running < server.slots
    )


def calculate_risk_factor(risk, idempotent):
    """Return by how much the probability of a failure lowers a server's weight."""
    if idempotent:
        return max(MIN_RISK_FACTOR, math.exp(-RISK_DECAY * risk))
    return math.exp(-RISK_DECAY_NOT_IDEMPOTENT * risk)
