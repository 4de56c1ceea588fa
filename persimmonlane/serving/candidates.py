"""The backend servers that a request may be sent to."""

from ..localities import Locality
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
        "_regions",
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
        self._regions = settings.build_region_map()

    def find(self, service, allowed_regions=None):
        """Return the `Candidate`s of a service that are ready and reachable.

        Args:
            service: Name of the service.
            allowed_regions: Names of the only regions that may serve the request, or
                None if all may.
        """
        found = []
        own = self._describe().server
        if (
            own is not None
            and self._takes_requests(own, service)
            and self._may_serve(self._settings.data_centre, allowed_regions)
        ):
            found.append(Candidate(own, None, True))
        now = self._clock.now()
        for peer in self._table.list_live():
            server = peer.announcement.server
            if server is None or not self._takes_requests(server, service):
                continue
            if peer.announcement.leaving or peer.backoff_until > now:
                continue
            if not self._may_serve(peer.data_centre, allowed_regions):
                continue
            locality = self._regions.locate(peer.data_centre)
            same_data_centre = locality is Locality.DATA_CENTRE
            found.append(Candidate(server, peer, same_data_centre, locality))
        return found

    def count_nodes(self):
        """Return the number of live nodes, including this one."""
        return len(self._table.list_live()) + 1

    def _may_serve(self, data_centre, allowed_regions):
        """Return whether a request may be served in a data centre.

        One that is evacuated serves none, and one whose region is not known serves no
        restricted request.
        """
        evacuations = self._evacuations
        if evacuations is not None and not evacuations.may_send_to(data_centre):
            return False
        if allowed_regions is None:
            return True
        return self._regions.find_region(data_centre) in allowed_regions

    def _takes_requests(self, server, service):
        if server.service != service or not server.ready:
            return False
        return not (self.notices.is_leaving(server) or self._table.departed.has(server))
