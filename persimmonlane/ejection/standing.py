"""Standings.

What the balancer is told of one backend server.
"""

import enum


class State(enum.Enum):
    """Where a backend server stands between service and ejection."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    TRIAL = "trial"


class Standing:
    """The share of work that a backend server is to get.

    Attributes:
        state: The `State`.
        weight: Factor from 0 to 1 on the server's usual share.
        idempotent_only: Whether only idempotent requests may go there.
    """

    __slots__ = ("state", "weight", "idempotent_only")

    def __init__(self, state, weight, idempotent_only=False):
        self.state = state
        self.weight = weight
        self.idempotent_only = idempotent_only


HEALTHY = Standing(State.HEALTHY, 1.0)
EJECTED = Standing(State.EJECTED, 0.0, idempotent_only=True)
