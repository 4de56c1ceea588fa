"""Log events and counts for the requests that a node serves as the ingress."""

from ..explaining.events import AttemptEnded, RequestEnded, RequestUnfinished, log_event
from ..verdicts import Verdict


class RequestEvents:
    """Logs and counts what happened to callers' requests."""

    __slots__ = ("_clock", "_ledger", "_documents", "_table", "_own_name", "_shutdown")

    def __init__(self, clock, ledger, documents, table, own_name, shutdown):
        self._clock = clock
        self._ledger = ledger
        self._documents = documents
        self._table = table
        self._own_name = own_name
        self._shutdown = shutdown

    def note_refused(self, request, refusal):
        """Log and count a request that the node answered itself."""
        self._ledger.count_refusal(
            request.service,
            get_organisation_name(request),
            refusal.status,
            refusal.code,
        )
        self._log_end(
            request, refusal.status, refusal.code, refusal.verdict, refusal.message
        )

    def note_disconnect(self, request):
        """Log a request whose caller disconnected before the answer."""
        self._log_end(request, 0, "caller-left", None, "the caller disconnected")

    def note_answered(self, request, status):
        """Log and count a request that a backend server answered."""
        self._ledger.count_answer(
            request.service,
            get_organisation_name(request),
            status,
            self._clock.now() - request.arrived_at,
            request.route.objective_s,
        )
        self._log_end(request, status, "answered", Verdict.RAN, "")

    def note_attempt(self, request, choice, second, began, attempt, outcome):
        """Log the end of an attempt.

        Args:
            request: The `IngressRequest`.
            choice: The `PlacementChoice`.
            second: Whether it was a hedge, which ran beside a first attempt.
            began: Start of the attempt, in seconds of the clock.
            attempt: The `Attempt`, or None if it was abandoned.
            outcome: Stable code of how it ended.
        """
        if attempt is not None and attempt.is_success() and not second:
            # The log lines of the owner and of the request hold all there is to know.
            return
        now = self._clock.now()
        candidate = choice.candidate
        peer = candidate.peer
        log_event(
            AttemptEnded(
                request.metadata.request_id,
                request.route.name,
                request.service,
                candidate.server.server_id,
                peer.name if peer else self._own_name,
                candidate.same_data_centre,
                candidate.locality.name.lower(),
                choice.reason,
                second,
                choice.last_resort,
                outcome,
                attempt.verdict.value if attempt else "",
                attempt.answer.status if attempt and attempt.answer else 0,
                choice.max_wait_s,
                attempt.wait_s if attempt else 0.0,
                request.deadline - began,
                now - began,
                candidate.server.running,
                candidate.server.standing,
                now - peer.heard_at if peer else 0.0,
            )
        )

    def note_unfinished(self, request):
        """Log a request that is still in progress when the node stops."""
        log_event(
            RequestUnfinished(
                request.metadata.request_id,
                request.route.name if request.route else "",
                request.service,
                request.stage.value,
                request.server_id,
                self._clock.now() - request.arrived_at,
                compute_receive_s(request),
                self._shutdown.get_elapsed_s(),
            )
        )

    def _log_end(self, request, status, code, verdict, reason):
        log_event(
            RequestEnded(
                request.metadata.request_id,
                request.route.name if request.route else "",
                request.service,
                get_organisation_name(request),
                status,
                code,
                verdict.value if verdict else "",
                reason,
                self._documents.version,
                self._table.freshness.encode_age(),
                self._clock.now() - request.arrived_at,
                compute_receive_s(request),
                self._shutdown.get_elapsed_s(),
            )
        )


def compute_receive_s(request):
    """Return the seconds from arrival until the body was read, -1 if it was not."""
    if request.body_read_at is None:
        return -1.0
    return request.body_read_at - request.arrived_at


def get_organisation_name(request):
    """Return the name of a request's organisation, or an empty string."""
    return request.organisation.name if request.organisation else ""
