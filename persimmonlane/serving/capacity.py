"""Questions to the owners of other data centres before a body is sent to them."""

import logging

import pykka

from ..localities import Locality
from ..outcomes import OutcomeKind
from ..peers.commands import CapacityCheck
from ..verdicts import Verdict
from .attempts import Attempt

log = logging.getLogger("persimmonlane.serving")

REPLY_TIMEOUT_S = 0.06
# The same in another region, where no request is sent without an answer.
ELSEWHERE_TIMEOUT_S = 0.2
# Code of a rejection for want of an answer.
CAPACITY_UNKNOWN = "capacity-unknown"
# Length of a body from which on the owner is asked first.
MIN_BODY_BYTES = 1024


class CapacityClient:
    """Asks owners whether they would admit a request; thread-safe."""

    __slots__ = ("_clock", "_actor", "_regions", "_link_budget")

    def __init__(self, settings, clock, actor, link_budget=None):
        """Create the client.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            actor: Reference to the `Gossip` actor, which sends the datagrams.
            link_budget: The `LinkBudget` that the round trips adapt, or None.
        """
        self._clock = clock
        self._actor = actor
        self._regions = settings.build_region_map()
        self._link_budget = link_budget

    def check(self, request, order, peer):
        """Ask an owner in another data centre before a request is sent to it.

        In this region, only long bodies are worth a question.

        Args:
            request: The `IngressRequest`.
            order: The `Order` that would be sent.
            peer: The `Peer` that owns the backend server.

        Returns:
            The rejected `Attempt` if the owner has no capacity, else None.
        """
        locality = self._regions.locate(peer.data_centre)
        if locality is Locality.DATA_CENTRE:
            return None
        if locality is Locality.ELSEWHERE:
            return self._check_elsewhere(order, peer)
        if len(request.body) < MIN_BODY_BYTES:
            return None
        try:
            return self._ask(order, peer, REPLY_TIMEOUT_S)
        except pykka.Timeout:
            # Connecting to the owner will show whether it is reachable.
            log.debug("Serving: %s did not answer the capacity query.", peer.name)
            return None

    def _check_elsewhere(self, order, peer):
        """Ask an owner in another region; no answer counts as no capacity."""
        began = self._clock.now()
        try:
            return self._ask(order, peer, ELSEWHERE_TIMEOUT_S)
        except pykka.Timeout:
            log.debug("Serving: %s did not answer the capacity query.", peer.name)
            return Attempt(
                None, Verdict.NOT_RUN, CAPACITY_UNKNOWN, kind=OutcomeKind.TIMEOUT
            )
        finally:
            if self._link_budget is not None:
                region = self._regions.find_region(peer.data_centre)
                took_s = self._clock.now() - began
                self._link_budget.note_round_trip(region, took_s)

    def _ask(self, order, peer, timeout_s):
        """Return the rejected `Attempt` if the owner has no capacity, else None.

        Raises:
            pykka.Timeout: If there is no answer in time.
        """
        query = CapacityCheck(peer.address, order, pykka.ThreadingFuture())
        self._actor.tell(query)
        report = query.reply.get(timeout=timeout_s)
        if not report.code:
            return None
        peer.apply_report(order.server_id, report)
        return Attempt(
            None, Verdict.NOT_RUN, report.code, report.wait_s, OutcomeKind.ERROR
        )
