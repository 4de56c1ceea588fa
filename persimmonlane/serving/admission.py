"""Admission of callers' requests.

Checks a request's route, and the API key and rate limit of its organisation, against a
configuration document that is known to be recent.
"""

import logging

import pykka

from ..errors import Refusal
from ..headers import find_first
from ..peers.commands import LocalRateCheck, RateCheck

log = logging.getLogger("persimmonlane.serving")

# Keys are accepted only if the document was known to be the newest within the time in
# which a revoked key must stop working, less this margin.
FRESHNESS_MARGIN_S = 0.4
RATE_REPLY_TIMEOUT_S = 0.08
RATE_QUERIES = 2
SHARE_REPLY_TIMEOUT_S = 0.5
RETRY_AFTER_S = 0.3


class Admission:
    """Admits or refuses callers' requests; thread-safe."""

    __slots__ = ("_settings", "_holder", "_table", "_actor")

    def __init__(self, settings, holder, table, actor):
        """Initialise the admission checks.

        Args:
            settings: The `FleetSettings`.
            holder: The `DocumentHolder`.
            table: The `PeerTable`, which tracks the age of the document.
            actor: Reference to the `Gossip` actor, which decides on rates.
        """
        self._settings = settings
        self._holder = holder
        self._table = table
        self._actor = actor

    def identify(self, request):
        """Set a request's route, organisation and deadline.

        Args:
            request: The `IngressRequest`.

        Raises:
            Refusal: If there is no document, no route or no valid key, or if the
                document is too old to decide.
        """
        rulebook = self._holder.rulebook
        if rulebook is None:
            raise Refusal(
                503, "no-document", "no document is in force", retry_after=RETRY_AFTER_S
            )
        self._check_superseded()
        path = request.target.partition("?")[0]
        request.route = rulebook.find_route(find_first(request.headers, "host"), path)
        if request.route is None:
            raise self._build_denial(404, "no-route", "no route matches")
        self._authenticate(request, rulebook)
        time_s = request.route.timeout_s
        if request.metadata.time_left_s is not None:
            time_s = min(time_s, request.metadata.time_left_s)
        request.deadline = request.arrived_at + time_s

    def check_rate(self, request):
        """Count the request against the rate limit of its organisation.

        Args:
            request: The `IngressRequest`.

        Raises:
            Refusal: Not run, with code `rate-exceeded` or `rate-unknown`.
        """
        organisation = request.organisation
        if organisation is None or organisation.rate <= 0:
            return
        wait_s = self._get_rate_wait_s(organisation)
        if wait_s > 0:
            raise Refusal(
                429,
                "rate-exceeded",
                "the organisation is beyond its rate",
                retry_after=min(wait_s, RETRY_AFTER_S * 10),
            )

    def _get_rate_wait_s(self, organisation):
        """Return the seconds until the rate limit allows a request, 0 if it does now.

        Another node decides, or one that takes its place if it does not answer. If that
        one does not answer either, this node decides by its own share of the rate.
        """
        for _ in range(RATE_QUERIES):
            try:
                return self._query(RateCheck, organisation, RATE_REPLY_TIMEOUT_S)
            except pykka.Timeout:
                log.debug("Serving: the node that decides on rates did not answer.")
        try:
            return self._query(LocalRateCheck, organisation, SHARE_REPLY_TIMEOUT_S)
        except pykka.Timeout as error:
            raise Refusal(
                503,
                "rate-unknown",
                "the node can't decide on the organisation's rate",
                retry_after=RETRY_AFTER_S,
            ) from error

    def _query(self, query_class, organisation, timeout_s):
        query = query_class(organisation, pykka.ThreadingFuture())
        self._actor.tell(query)
        return query.reply.get(timeout=timeout_s)

    def _authenticate(self, request, rulebook):
        if request.route.allow_anonymous:
            return
        request.organisation = rulebook.find_organisation(request.metadata.key)
        if request.organisation is None:
            raise self._build_denial(401, "key-unknown", "the key is not known")
        # The request was sent before now, so a document that was the newest shortly
        # before lacks every key whose revocation had to be in effect by then.
        limit_s = self._settings.key_revocation_s - FRESHNESS_MARGIN_S
        if self._table.freshness.compute_age() > limit_s:
            raise Refusal(
                503,
                "document-stale",
                "the node can't know of withdrawn keys",
                retry_after=RETRY_AFTER_S,
            )

    def _check_superseded(self):
        """Refuse requests that only an outdated document would allow or route.

        Another node holds a newer document, and this one had to be out of force by now.
        """
        if not self._holder.is_superseded():
            return
        if self._table.freshness.compute_age() > self._settings.document_apply_s:
            raise Refusal(
                503,
                "document-stale",
                "a newer document is in force elsewhere",
                retry_after=RETRY_AFTER_S,
            )

    def _build_denial(self, status, code, message):
        # An older document may lack routes and keys that must be in force by now.
        if self._table.freshness.compute_age() > self._settings.document_apply_s:
            return Refusal(503, "document-stale", message, retry_after=RETRY_AFTER_S)
        return Refusal(status, code, message)
