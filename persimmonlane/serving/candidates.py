"""The backend servers that a request may be sent to."""

from .notices import ServerNotices
from .placement import Candidate


class CandidateFinder:
    """Finds the backend servers of a service; thread-safe.

    Attributes:
        notices: The `ServerNotices` of this node.
    """

    __slots__ = (
        "notices",
        "_settings",
        "_clock",
        "_describe",
        "_table",
        "_evacuations",
    )

    def __init__(self, settings, clock, describe, table, evacuations=None):
        """Create the finder.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            describe: Callable that returns the `NodeState` of this node.
            table: The `PeerTable`.
            evacuations: The `EvacuationHolder`; None where operators evacuate no data
                centres.
        """
        self.notices = ServerNotices()
        self._settings = settings
        self._clock = clock
        self._describe = describe
        self._table = table
        self._evacuations = evacuations

    def find(self, service):
        """Return the `Candidate`s of a service that are ready and reachable."""
        found = []
        own = self._describe().server
        is_own_open = self._is_open(self._settings.data_centre)
        if own is not None and is_own_open and self._takes_requests(own, service):
            found.append(Candidate(own, None, True))
        now = self._clock.now()
        for peer in self._table.list_live():
            server = peer.announcement.server
            if server is None or not self._takes_requests(server, service):
                continue
            if peer.announcement.leaving or peer.backoff_until > now:
                continue
            if not self._is_open(peer.data_centre):
                continue
            same_data_centre = peer.data_centre == self._settings.data_centre
            found.append(Candidate(server, peer, same_data_centre))
        return found

    def count_nodes(self):
        """Return the number of live nodes, including this one."""
        return len(self._table.list_live()) + 1

    def _is_open(self, data_centre):
        """Return whether requests may be sent to a data centre, by its evacuations."""
        evacuations = self._evacuations
        return evacuations is None or evacuations.may_send_to(data_centre)

    def _takes_requests(self, server, service):
        if server.service != service or not server.ready:
            return False
        return not (self.notices.is_leaving(server) or self._table.departed.has(server))
