"""Admission.

Decides whether a caller's request may run at all: its route, its organisation's key and
rate, by a document that is known to be recent.
"""

import logging

import pykka

from ..errors import Refusal
from ..headers import find_first
from ..peers.gossip import RateWanted, ShareWanted

log = logging.getLogger("persimmonlane.serving")

# The document must have been the newest within this much less than the time in which
# a withdrawn key stops working.
FRESHNESS_MARGIN_S = 0.4
# An older document may lack routes and keys that are in force.
TRUSTED_AGE_S = 3.0
RATE_ANSWER_S = 0.08
SHARE_ANSWER_S = 0.5
RETRY_AFTER_S = 0.3


class Admission:
    """Admits callers' requests; its methods may be called from any thread."""

    __slots__ = ("_settings", "_holder", "_table", "_actor")

    def __init__(self, settings, holder, table, actor):
        """Take what decides.

        Args:
            settings: The `FleetSettings`.
            holder: The `DocumentHolder`.
            table: The `PeerTable`, which knows how new the document is.
            actor: Reference of the `Gossip` actor, which asks for rates.
        """
        self._settings = settings
        self._holder = holder
        self._table = table
        self._actor = actor

    def identify(self, request):
        """Find a request's route, organisation and deadline.

        Raises:
            Refusal: If the document does not allow the request.
        """
        rulebook = self._holder.rulebook
        if rulebook is None:
            raise Refusal(
                503, "no-document", "no document is in force", retry_after=RETRY_AFTER_S
            )
        path = request.target.partition("?")[0]
        request.route = rulebook.find_route(find_first(request.headers, "host"), path)
        if request.route is None:
            raise self._deny(404, "no-route", "no route matches")
        self._authenticate(request, rulebook)
        time_s = request.route.timeout_s
        if request.metadata.time_left_s is not None:
            time_s = min(time_s, request.metadata.time_left_s)
        request.deadline = request.arrived + time_s

    def check_rate(self, request):
        """Take the request from its organisation's rate.

        Raises:
            Refusal: Not run, with code `rate-exceeded` or `rate-unknown`.
        """
        organisation = request.organisation
        if organisation is None or organisation.rate <= 0:
            return
        wait_s = self._ask_rate(organisation)
        if wait_s > 0:
            raise Refusal(
                429,
                "rate-exceeded",
                "the organisation is beyond its rate",
                retry_after=min(wait_s, RETRY_AFTER_S * 10),
            )

    def _ask_rate(self, organisation):
        """Return the seconds to wait for leave to run, 0 if it is given."""
        try:
            return self._ask(RateWanted, organisation, RATE_ANSWER_S)
        except pykka.Timeout:
            log.debug("Serving: the holder of a rate did not answer.")
        try:
            return self._ask(ShareWanted, organisation, SHARE_ANSWER_S)
        except pykka.Timeout as error:
            raise Refusal(
                503,
                "rate-unknown",
                "the node can't decide on the organisation's rate",
                retry_after=RETRY_AFTER_S,
            ) from error

    def _ask(self, question, organisation, timeout_s):
        wanted = question(organisation, pykka.ThreadingFuture())
        self._actor.tell(wanted)
        return wanted.reply.get(timeout=timeout_s)

    def _authenticate(self, request, rulebook):
        if request.route.open:
            return
        request.organisation = rulebook.find_organisation(request.metadata.key)
        if request.organisation is None:
            raise self._deny(401, "key-unknown", "the key is not known")
        # The request was sent before this moment, so a document that was the newest
        # shortly before it knows every key that had to be withdrawn by then.
        limit_s = self._settings.withdrawal_s - FRESHNESS_MARGIN_S
        if self._table.find_fresh_age() > limit_s:
            raise Refusal(
                503,
                "document-stale",
                "the node can't know of withdrawn keys",
                retry_after=RETRY_AFTER_S,
            )

    def _deny(self, status, code, message):
        if self._table.find_fresh_age() > TRUSTED_AGE_S:
            return Refusal(503, "document-stale", message, retry_after=RETRY_AFTER_S)
        return Refusal(status, code, message)
