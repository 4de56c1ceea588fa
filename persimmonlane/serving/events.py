"""Events.

What the ingress of a node tells of its requests: log lines and counts.
"""

from ..explaining.events import AttemptEnded, RequestEnded, RequestUnfinished, log_event
from ..verdicts import Verdict


class RequestEvents:
    """Tells what happened to callers' requests."""

    __slots__ = ("_clock", "_ledger", "_documents", "_table", "_own_name", "_departure")

    def __init__(self, clock, ledger, documents, table, own_name, departure):
        self._clock = clock
        self._ledger = ledger
        self._documents = documents
        self._table = table
        self._own_name = own_name
        self._departure = departure

    def note_refused(self, request, refusal):
        """Note a request that the node answered itself."""
        self._ledger.count_refusal(
            request.service, find_organisation(request), refusal.status, refusal.code
        )
        self._tell(
            request, refusal.status, refusal.code, refusal.verdict, refusal.message
        )

    def note_left(self, request):
        """Note a request whose caller went away."""
        self._tell(request, 0, "caller-left", None, "the caller went away")

    def note_answered(self, request, status):
        """Note a request that a backend server answered."""
        self._ledger.count_answer(
            request.service,
            find_organisation(request),
            status,
            self._clock.now() - request.arrived,
            request.route.objective_s,
        )
        self._tell(request, status, "answered", Verdict.RAN, "")

    def note_attempt(self, request, choice, second, began, attempt, outcome):
        """Note the end of an attempt.

        Args:
            request: The `IngressRequest`.
            choice: The `Choice`.
            second: Whether it ran beside a first one.
            began: Seconds at which it began.
            attempt: The `Attempt`, or None if nobody waited any more.
            outcome: Stable code of the end.
        """
        if attempt is not None and attempt.is_good() and not second:
            # The owner's line and the request's own say it all.
            return
        now = self._clock.now()
        candidate = choice.candidate
        peer = candidate.peer
        log_event(
            AttemptEnded(
                request.wishes.request_id,
                request.route.name,
                request.service,
                candidate.server.server_id,
                peer.name if peer else self._own_name,
                candidate.near,
                second,
                choice.insist,
                outcome,
                attempt.verdict.value if attempt else "",
                attempt.answer.status if attempt and attempt.answer else 0,
                choice.patience_s,
                attempt.wait_s if attempt else 0.0,
                request.deadline - began,
                now - began,
                candidate.server.running,
                candidate.server.standing,
                now - peer.heard_at if peer else 0.0,
            )
        )

    def note_unfinished(self, request):
        """Note a request that still runs though the node ends now."""
        log_event(
            RequestUnfinished(
                request.wishes.request_id,
                request.route.name if request.route else "",
                request.service,
                request.stage.value,
                request.server_id,
                self._clock.now() - request.arrived,
                find_received(request),
                self._departure.find_age(),
            )
        )

    def _tell(self, request, status, code, verdict, reason):
        log_event(
            RequestEnded(
                request.wishes.request_id,
                request.route.name if request.route else "",
                request.service,
                find_organisation(request),
                status,
                code,
                verdict.value if verdict else "",
                reason,
                self._documents.version,
                self._table.tell_fresh_age(),
                self._clock.now() - request.arrived,
                find_received(request),
                self._departure.find_age(),
            )
        )


def find_received(request):
    """Return the seconds until a request's body had been read, -1 if it never was."""
    if request.received_at is None:
        return -1.0
    return request.received_at - request.arrived


def find_organisation(request):
    """Return the name of a request's organisation, or an empty string."""
    return request.organisation.name if request.organisation else ""
