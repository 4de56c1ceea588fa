"""Health of the other backend servers of a service, as their owners report it."""

from .health import FailureRisk, HealthState

# Ejected servers are probed every second or two, so that each still gets requests.
MAX_UNHEALTHY_FRACTION = 0.34
PERCENT = 100.0


class FleetHealth:
    """Reports about the other backend servers of one service."""

    __slots__ = ("_service", "_table")

    def __init__(self, service, table):
        """Create the view of a service.

        Args:
            service: Name of the service.
            table: The `PeerTable`.
        """
        self._service = service
        self._table = table

    def may_eject(self):
        """Return whether enough healthy servers would remain after an ejection.

        At least one server may be ejected, whatever the size of the service.
        """
        others = self._list_others()
        unhealthy_count = sum(
            1 for item in others if item.standing != HealthState.HEALTHY.value
        )
        return unhealthy_count + 1 <= max(
            1.0, MAX_UNHEALTHY_FRACTION * (len(others) + 1)
        )

    def list_risks(self):
        """Return the `FailureRisk`s of the other servers."""
        return [
            FailureRisk(item.error_risk / PERCENT, item.hang_risk / PERCENT)
            for item in self._list_others()
        ]

    def _list_others(self):
        servers = [peer.announcement.server for peer in self._table.list_live()]
        return [item for item in servers if item and item.service == self._service]
