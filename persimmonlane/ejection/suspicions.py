"""Suspicions.

The backend servers on which the nodes exchange evidence.
"""

import math

KEPT_S = 5.0
INTERVAL_S = 1.0
URGENT_S = 2.0


class Suspicion:
    """A backend server that some node suspects.

    Attributes:
        since: Monotonic seconds at which the suspicion arose.
        until: Monotonic seconds at which it lapses.
    """

    __slots__ = ("since", "until")

    def __init__(self, since):
        self.since = since
        self.until = since + KEPT_S


class Suspicions:
    """The backend servers that some node suspects, by address.

    Attributes:
        exported: Monotonic seconds at which evidence last went out.
    """

    __slots__ = ("exported", "_suspicions")

    def __init__(self):
        self.exported = -math.inf
        self._suspicions = {}

    def renew(self, address, now):
        """Note that some node suspects a backend server."""
        suspicion = self._suspicions.get(address)
        if suspicion is None:
            self._suspicions[address] = Suspicion(now)
        else:
            suspicion.until = now + KEPT_S

    def retain(self, addresses):
        """Keep only the suspicions of some addresses."""
        kept = self._suspicions.items()
        self._suspicions = {a: value for a, value in kept if a in addresses}

    def find_addresses(self, now):
        """Return the addresses under suspicion, and forget those it has left."""
        kept = self._suspicions.items()
        self._suspicions = {a: value for a, value in kept if value.until > now}
        return list(self._suspicions)

    def is_due(self, now):
        """Return whether to tell other nodes now.

        While a suspicion is new it is due each time, then once a second.
        """
        suspicions = self._suspicions.values()
        if now - self.exported >= INTERVAL_S:
            return bool(suspicions)
        return any(now - suspicion.since <= URGENT_S for suspicion in suspicions)

    def find_age(self, address, now):
        """Return for how many seconds a backend server has been suspected."""
        suspicion = self._suspicions.get(address)
        return 0.0 if suspicion is None else now - suspicion.since
