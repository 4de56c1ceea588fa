"""Keeping of departures beyond the end of the node's process.

The acknowledgement of a departure is a promise, so it has to be known elsewhere before
it is given: in the store, or at other nodes while the store fails.
"""

import logging

import pykka

from ..peers.commands import DepartureCheck

log = logging.getLogger("persimmonlane.owner")

# Both together are within the second in which a heartbeat has to be answered.
STORE_TIMEOUT_S = 0.45
REPLY_TIMEOUT_S = 0.15
# Datagrams may be lost.
MAX_REPORTS = 2


class DepartureKeeper:
    """Makes sure that departures are not forgotten with this process; thread-safe."""

    __slots__ = ("_store", "_actor")

    def __init__(self, store, actor):
        """Create the keeper.

        Args:
            store: The `StoreSync`.
            actor: Reference to the `Gossip` actor, which sends the datagrams.
        """
        self._store = store
        self._actor = actor

    def keep(self):
        """Return whether all departures are kept elsewhere."""
        if self._store.keep_departures(STORE_TIMEOUT_S):
            return True
        unkept = self._store.list_unkept_departures()
        if not all(departure.is_exact for departure in unkept):
            # The other nodes know departures by their processes.
            return False
        return any(self._tell_nodes(unkept) for _ in range(MAX_REPORTS))

    def _tell_nodes(self, departures):
        reply = pykka.ThreadingFuture()
        self._actor.tell(DepartureCheck(departures, reply))
        try:
            is_kept = reply.get(timeout=REPLY_TIMEOUT_S)
        except pykka.Timeout:
            return False
        if is_kept:
            log.warning(
                "Owner: a departure is kept by other nodes only.",
                extra={"event": "departure-kept-by-nodes"},
            )
        return is_kept
