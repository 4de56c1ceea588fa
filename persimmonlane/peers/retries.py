"""Retry tokens that the nodes of a data centre share.

For each service, one live node of the data centre keeps the pool.
"""

import threading

from ..quotas.buckets import find_holder
from ..quotas.retries import RetryPool
from .commands import RetryCheck
from .messages import RetryRequest, RetryResponse


class FleetRetryBudget:
    """Decides on retries, or asks the node that does; thread-safe."""

    __slots__ = (
        "_settings",
        "_clock",
        "_table",
        "_boot",
        "_pending",
        "_transport",
        "_pool",
        "_lock",
    )

    def __init__(self, settings, clock, table, boot, pending, transport):
        """Create the budget of a node.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            table: The `PeerTable`.
            boot: Boot number of this process.
            pending: The `PendingQueries`.
            transport: The `DatagramTransport`.
        """
        self._settings = settings
        self._clock = clock
        self._table = table
        self._boot = boot
        self._pending = pending
        self._transport = transport
        self._pool = RetryPool(settings, clock)
        self._lock = threading.Lock()

    def check(self, command):
        """Decide on a `RetryCheck`, or ask the node that keeps the pool."""
        holder = self._find_holder(command.service)
        if holder is None:
            granted = self._decide(
                command.service, self._boot, command.requests, command.reply is not None
            )
            if command.reply is not None:
                command.reply.set(granted)
            return
        correlation_id = 0 if command.reply is None else self._pending.add(command)
        request = RetryRequest(
            correlation_id, command.service, self._boot, command.requests
        )
        self._transport.send((holder.host, self._settings.gossip_port), request)

    def answer_request(self, request, sender):
        """Answer a `RetryRequest`."""
        wants_token = request.correlation_id != 0
        granted = self._decide(
            request.service, request.boot, request.requests, wants_token
        )
        if wants_token:
            response = RetryResponse(request.correlation_id, granted)
            self._transport.send(sender, response)

    def apply_response(self, response, _):
        """Pass the decision in a `RetryResponse` on to the waiting request."""
        command = self._pending.pop(response.correlation_id, RetryCheck)
        if command is not None:
            command.reply.set(response.granted)

    def _decide(self, service, boot, requests, wants_token):
        near = self._list_near()
        share = (len(near) + 1) / max(1, self._table.count_members())
        with self._lock:
            self._pool.report(service, min(1.0, share), boot, requests)
            return wants_token and self._pool.take(service, min(1.0, share))

    def _find_holder(self, service):
        by_name = {peer.name: peer for peer in self._list_near()}
        by_name[self._settings.name] = None
        return by_name[find_holder(service, by_name)]

    def _list_near(self):
        """Return the live nodes of this data centre that share their tokens."""
        return [
            peer
            for peer in self._table.list_live()
            if peer.data_centre == self._settings.data_centre
            and peer.accepts_digests
            and not peer.announcement.leaving
        ]
