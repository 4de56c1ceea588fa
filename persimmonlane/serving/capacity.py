"""Questions to the owners of other data centres before a body is sent to them."""

import logging

import pykka

from ..outcomes import OutcomeKind
from ..peers.commands import CapacityCheck
from ..verdicts import Verdict
from .attempts import Attempt

log = logging.getLogger("persimmonlane.serving")

REPLY_TIMEOUT_S = 0.06
# Length of a body from which on the owner is asked first.
MIN_BODY_BYTES = 1024


class CapacityClient:
    """Asks owners whether they would admit a request; thread-safe."""

    __slots__ = ("_settings", "_actor")

    def __init__(self, settings, actor):
        """Create the client.

        Args:
            settings: The `FleetSettings`.
            actor: Reference to the `Gossip` actor, which sends the datagrams.
        """
        self._settings = settings
        self._actor = actor

    def check(self, request, order, peer):
        """Ask an owner in another data centre before a long body is sent to it.

        Args:
            request: The `IngressRequest`.
            order: The `Order` that would be sent.
            peer: The `Peer` that owns the backend server.

        Returns:
            The rejected `Attempt` if the owner has no capacity, else None.
        """
        if peer.data_centre == self._settings.data_centre:
            return None
        if len(request.body) < MIN_BODY_BYTES:
            return None
        query = CapacityCheck(peer.address, order, pykka.ThreadingFuture())
        self._actor.tell(query)
        try:
            report = query.reply.get(timeout=REPLY_TIMEOUT_S)
        except pykka.Timeout:
            # Connecting to the owner will show whether it is reachable.
            log.debug("Serving: %s did not answer the capacity query.", peer.name)
            return None
        if not report.code:
            return None
        peer.apply_report(order.server_id, report)
        return Attempt(
            None, Verdict.NOT_RUN, report.code, report.wait_s, OutcomeKind.ERROR
        )
