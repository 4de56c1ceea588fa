"""Rate limiting of organisations across the nodes of the fleet."""

import threading

from ..quotas.limiter import Limiter


class FleetRateLimiter:
    """Enforces the rates of organisations; thread-safe.

    For each organisation, one live node holds the rate and decides on the requests of
    all nodes.
    """

    __slots__ = ("_table", "_limiter", "_lock", "_live", "_live_by_name")

    def __init__(self, own_name, clock, table):
        self._table = table
        self._limiter = Limiter(own_name, clock)
        self._lock = threading.Lock()
        self._live = None
        self._live_by_name = {}

    def find_holder(self, organisation):
        """Return the `Peer` that holds the rate, or None if this node holds it."""
        live = self._table.list_live()
        with self._lock:
            if live is not self._live:
                self._live = live
                self._live_by_name = {peer.name: peer for peer in live}
            name = self._limiter.find_holder(organisation.name, self._live_by_name)
            return self._live_by_name.get(name)

    def decide_as_holder(self, organisation):
        """Apply the rate as its holder.

        Returns:
            Seconds to wait, 0 or less if the request is within the rate.
        """
        live = len(self._table.list_live()) + 1
        members = self._table.count_members()
        with self._lock:
            return self._limiter.decide(organisation, live, members)

    def decide_from_share(self, organisation):
        """Apply this node's share of the rate.

        Returns:
            Seconds to wait, 0 or less if the request is within the share.
        """
        members = self._table.count_members()
        with self._lock:
            return self._limiter.decide_from_share(organisation, members)
