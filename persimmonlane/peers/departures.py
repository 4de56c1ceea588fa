"""Backend servers that have said that they leave.

A node that is restarted no longer knows that its backend server leaves, and an earlier
heartbeat may reach it late. The other nodes still know.
"""

import logging

from .commands import PendingDepartureReport
from .messages import (
    MAX_DEPARTED_PROCESSES,
    DepartedProcess,
    DepartureReceipt,
    DepartureReport,
)

log = logging.getLogger("persimmonlane.peers")

MAX_SERVERS = 4096
# Nodes of this data centre, and of all others, that are asked to remember a departure.
# A datagram may be lost, so these are more than are needed.
NEAR_COUNT = 4
FAR_COUNT = 4


class DepartedServers:
    """The processes of backend servers that leave or have left; thread-safe."""

    __slots__ = ("_servers",)

    def __init__(self):
        self._servers = {}

    def note(self, server):
        """Note what a `ServerStatus` says, which may be None."""
        if server is not None and server.leaving and server.born:
            self.add(server)

    def add(self, process):
        """Note that the process with a `server_id` and a start `born` leaves.

        The oldest processes are forgotten when there are too many.
        """
        self._servers[build_key(process)] = None
        while len(self._servers) > MAX_SERVERS:
            self._servers.pop(next(iter(self._servers)), None)

    def has(self, server):
        """Return whether the process of a `ServerStatus` is known to leave."""
        return build_key(server) in self._servers


class DepartureSpread:
    """Has other nodes remember departures that the store does not hold yet."""

    __slots__ = ("_settings", "_table", "_pending", "_transport", "_rng")

    def __init__(self, settings, table, pending, transport, rng):
        """Create the spread.

        Args:
            settings: The `FleetSettings`.
            table: The `PeerTable`.
            pending: The `PendingQueries`.
            transport: The `DatagramTransport`.
            rng: The `random.Random` that draws the nodes.
        """
        self._settings = settings
        self._table = table
        self._pending = pending
        self._transport = transport
        self._rng = rng

    def report(self, command):
        """Ask other nodes to remember departures.

        Args:
            command: The `DepartureCheck`.
        """
        near, far = self._draw(True, NEAR_COUNT), self._draw(False, FAR_COUNT)
        if not near and not far:
            command.reply.set(False)
            return
        pending = PendingDepartureReport(near, far, command.reply)
        processes = [
            DepartedProcess(item.server_id, item.born) for item in command.departures
        ]
        newest = processes[-MAX_DEPARTED_PROCESSES:]
        report = DepartureReport(self._pending.add(pending), newest)
        for host in near | far:
            self._transport.send((host, self._settings.gossip_port), report)

    def handle_report(self, report, sender):
        """Remember the departures of a `DepartureReport`, and say so."""
        if not self._table.is_known_host(sender[0]):
            log.warning(
                "Peers: a report of departures came from an unknown host.",
                extra={"event": "departure-report-forged"},
            )
            return
        for process in report.processes:
            self._table.departed.add(process)
        self._transport.send(sender, DepartureReceipt(report.correlation_id))

    def handle_receipt(self, receipt, sender):
        """Count a `DepartureReceipt`."""
        pending = self._pending.find(receipt.correlation_id, PendingDepartureReport)
        if pending is None:
            return
        pending.receipts.add(sender[0])
        if pending.has_enough():
            self._pending.pop(receipt.correlation_id, PendingDepartureReport)
            pending.reply.set(True)

    def _draw(self, is_near, count):
        """Return the hosts of some live nodes, in this data centre or in others."""
        hosts = [
            peer.host
            for peer in self._table.list_live()
            if (peer.data_centre == self._settings.data_centre) is is_near
            and peer.announcement is not None
            and peer.announcement.keeps_departures
        ]
        return set(self._rng.sample(hosts, min(count, len(hosts))))


def build_key(server):
    """Return what identifies the process of a server: its identifier may come back."""
    return server.server_id, server.born
