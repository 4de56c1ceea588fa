"""Watch.

What a sidecar concludes from the health endpoint of a hosted backend server.
"""

import enum

REFUSALS_TO_WITHDRAW = 3
SERVING_TO_RETURN = 2


class Health(enum.Enum):
    """What one look at a health endpoint gave.

    `UNKNOWN` means that the endpoint gave no usable answer while the server's
    port took a connection, or that the look took too long.
    """

    SERVING = "serving"
    COLD = "cold"
    DRAINING = "draining"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class HealthSeen:
    """One look at the health endpoint of a hosted backend server.

    Attributes:
        address: Address of the backend server.
        health: What was seen.
        running: Requests that it says it runs, or None.
        waiting: Requests that it says wait on it, or None.
        slots: Requests that it says it runs at a time, or None.
    """

    __slots__ = ("address", "health", "running", "waiting", "slots")

    def __init__(self, address, health, running=None, waiting=None, slots=None):
        self.address = address
        self.health = health
        self.running = running
        self.waiting = waiting
        self.slots = slots


class Advice(enum.Enum):
    """What to do with the announcement of a backend server."""

    KEEP = "keep"
    ANNOUNCE = "announce"
    LEAVE = "leave"


class ServerWatch:
    """Decides whether a hosted backend server is announced.

    The endpoint is a hint. Only its word that the server drains, or a port that
    refuses connections several times, withdraws the server; a slow, silent or
    garbled endpoint changes nothing.

    Attributes:
        announced: Whether the backend server is announced as taking work.
    """

    __slots__ = ("announced", "_refusals", "_serving")

    def __init__(self):
        self.announced = False
        self._refusals = 0
        self._serving = SERVING_TO_RETURN

    def observe(self, health):
        """Take in one look at the endpoint; return an `Advice`."""
        self._refusals = self._refusals + 1 if health is Health.REFUSED else 0
        is_up = health not in (Health.REFUSED, Health.DRAINING)
        self._serving = self._serving + 1 if is_up else 0
        if self.announced:
            return self._decide_leave(health)
        return self._decide_return(is_up)

    def _decide_leave(self, health):
        refused = self._refusals >= REFUSALS_TO_WITHDRAW
        if health is Health.DRAINING or refused:
            self.announced = False
            return Advice.LEAVE
        return Advice.KEEP

    def _decide_return(self, is_up):
        if is_up and self._serving >= SERVING_TO_RETURN:
            self.announced = True
            return Advice.ANNOUNCE
        return Advice.KEEP
