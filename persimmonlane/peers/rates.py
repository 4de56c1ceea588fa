"""Rates.

Which live node holds an organisation's rate, and what this node grants of it.
"""

import threading

from ..quotas.limiter import Limiter


class RateKeeper:
    """Decides on the rates of organisations; may be used from any thread."""

    __slots__ = ("_table", "_limiter", "_lock", "_live", "_live_by_name")

    def __init__(self, own_name, clock, table):
        self._table = table
        self._limiter = Limiter(own_name, clock)
        self._lock = threading.Lock()
        self._live = None
        self._live_by_name = {}

    def find_holder(self, organisation):
        """Return the `Peer` that holds the rate, or None if this node does."""
        live = self._table.find_live()
        with self._lock:
            if live is not self._live:
                self._live = live
                self._live_by_name = {peer.name: peer for peer in live}
            name = self._limiter.find_holder(organisation.name, self._live_by_name)
            return self._live_by_name.get(name)

    def decide_held(self, organisation):
        """Decide on a request as the holder; return the seconds to wait."""
        live = len(self._table.find_live()) + 1
        members = self._table.count_members()
        with self._lock:
            return self._limiter.decide(organisation, live, members)

    def decide_from_share(self, organisation):
        """Decide by this node's share; return the seconds to wait."""
        members = self._table.count_members()
        with self._lock:
            return self._limiter.decide_from_share(organisation, members)
