"""Forwarder.

Takes one request through admission, its attempts and its answer.
"""

import itertools
import logging
import urllib.parse

import pykka

from ..ejection.outcome import Kind, Outcome
from ..errors import Refusal
from ..invariants import check_invariant
from ..keys import Header, extract_keys
from ..retries.attempts import RequestAttempts
from ..verdicts import Verdict
from .bodies import BodyError
from .exchange import Attempt, AttemptError, Exchange
from .headers import (
    DEADLINE,
    ORGANISATION,
    OWN,
    REQUEST_ID,
    drop_hop_by_hop,
    find_values,
)
from .plans import Abandoned, Arrival, AttemptEnded, ConnectionSuspected, RequestEnded
from .requests import ForwardedAnswer

log = logging.getLogger("persimmonlane.forwarding")

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
SERVER_FAULT = 500
KEPT_ANSWER_BYTES = 64 * 1024
MS_PER_S = 1000.0
REPLY_MARGIN_S = 1.0


class Forwarder:
    """Forwards requests; its methods may be called from many threads.

    Attributes:
        snapshot: The `Snapshot` in force, or None before the first document.
        is_isolated: Callable that tells whether keyed requests are refused, since
            the node can't know of withdrawn keys.
    """

    __slots__ = ("snapshot", "is_isolated", "_traffic", "_pool", "_clock")

    def __init__(self, traffic, pool, clock):
        self.snapshot = None
        self.is_isolated = is_never_isolated
        self._traffic = traffic
        self._pool = pool
        self._clock = clock

    def forward(self, request):
        """Return the `ForwardedAnswer` for a request.

        Raises:
            Refusal: If the node answers itself.
            CallerLeft: If the caller went away.
        """
        try:
            return self._forward(request)
        except Refusal as refusal:
            check_refusal(request, refusal)
            raise

    def _forward(self, request):
        self._identify(request)
        request.body.read_ahead()
        request.attempts = self._create_attempts(request)
        return self._run_attempts(request, request.attempts)

    def note_end(self, request, status, code, verdict):
        """Report the end of a request for measures.

        Args:
            request: The `Request`.
            status: HTTP status, 0 if the caller left.
            code: Stable error code, or an empty string.
            verdict: Whether the request may have run.
        """
        service = request.service.name if request.service else ""
        latency_s = self._clock.now() - request.arrived
        self._traffic.tell(
            RequestEnded(
                service, request.organisation, status, code, verdict, latency_s
            )
        )

    def _identify(self, request):
        snapshot = self.snapshot
        if snapshot is None:
            raise Refusal(503, "no-document", "no document is in force", retry_after=1)
        if request.method not in METHODS:
            raise Refusal(405, "method-refused", "the method is not served")
        extraction = extract_keys(request.headers, request.target)
        request.target = extraction.target
        request.route = snapshot.view.find_route(
            request.method, decode_path(request.target)
        )
        self._check_isolation()
        request.organisation = snapshot.keys.authenticate(extraction.presented)
        check_allowed(request.route, request.organisation)
        request.service = snapshot.view.get_service(request.route.service)
        request.budget = snapshot.budgets[request.route.service]
        request.idempotent = is_idempotent(request.route, request.method)
        request.deadline = request.arrived + find_time_s(request)
        request.headers = self._clean(request, extraction.headers)

    def _check_isolation(self):
        if self.is_isolated():
            raise Refusal(
                503,
                "node-isolated",
                "the node hears neither store nor peers",
                retry_after=1,
            )

    def _clean(self, request, headers):
        kept = [
            header
            for header in drop_hop_by_hop(headers)
            if header.name.lower() not in OWN
        ]
        kept.append(Header(ORGANISATION, request.organisation))
        kept.append(Header(REQUEST_ID, request.id))
        check_organisation(kept, request.organisation)
        return kept

    def _create_attempts(self, request):
        return RequestAttempts(
            request.idempotent,
            request.deadline,
            request.service.retries,
            request.budget,
            self._clock,
        )

    def _run_attempts(self, request, attempts):
        plan = self._plan(request, attempts)
        while True:
            attempts.begin(plan.address)
            try:
                return self._run_attempt(request, plan, attempts)
            except AttemptError as error:
                attempts.end(error.verdict)
                plan = self._plan_retry(request, attempts, error)

    def _plan_retry(self, request, attempts, error):
        """Return the plan of the next attempt, or refuse with the last error."""
        failure = describe_failure(error, attempts.verdict)
        if not request.body.can_replay() or not attempts.may_retry(error.verdict):
            raise failure from error
        log.debug("Forwarding: retries after %s.", error.code)
        try:
            return self._plan(request, attempts)
        except Refusal:
            # The request may have run before, so this refusal's verdict is wrong.
            raise failure from error

    def _plan(self, request, attempts):
        arrival = Arrival(
            request.organisation,
            request.service.name,
            request.idempotent,
            request.deadline,
            frozenset(attempts.tried),
            attempts.count > 0,
            pykka.ThreadingFuture(),
        )
        self._traffic.tell(arrival)
        remaining_s = request.deadline - self._clock.now()
        try:
            return arrival.reply.get(timeout=max(0.0, remaining_s) + REPLY_MARGIN_S)
        except pykka.Timeout:
            self._traffic.tell(Abandoned(arrival))
            raise Refusal(504, "deadline-passed", "no time is left") from None

    def _run_attempt(self, request, plan, attempts):
        started = self._clock.now()
        exchange = Exchange(
            self._build_attempt(request, plan), self._pool, self._clock, request.caller
        )
        report = AttemptReport(self._traffic, request.service.name, plan, started)
        try:
            answer = self._read_answer(request, attempts, exchange, report)
        except AttemptError as error:
            exchange.close()
            report.end(error.kind, error.verdict, self._clock.now())
            raise
        except BodyError as error:
            report.end(Kind.CANCELLED, error.verdict, self._clock.now())
            raise Refusal(
                400, error.code, error.message, verdict=error.verdict
            ) from error
        except BaseException:
            report.end(Kind.CANCELLED, Verdict.MAY_HAVE_RUN, self._clock.now())
            raise
        attempts.end(Verdict.RAN)
        return answer

    def _read_answer(self, request, attempts, exchange, report):
        answer = exchange.run()
        if answer.shed:
            raise AttemptError(
                Kind.SHED, Verdict.NOT_RUN, "backend-shed", "the backend server is full"
            )
        if self._is_worth_retry(request, attempts, answer):
            raise AttemptError(
                Kind.ERROR,
                Verdict.MAY_HAVE_RUN,
                "backend-failed",
                f"the backend server answered {answer.status}",
            )
        pieces = self._pass_pieces(answer, report, self._clock.now())
        return ForwardedAnswer(
            answer.status,
            drop_hop_by_hop(answer.headers),
            answer.length,
            read_ahead(pieces, answer.length),
            pieces,
        )

    def _is_worth_retry(self, request, attempts, answer):
        if answer.status < SERVER_FAULT or not request.idempotent:
            return False
        last = attempts.count >= request.service.retries.attempts
        return request.body.can_replay() and not last

    def _pass_pieces(self, answer, report, head_at):
        try:
            yield from answer.pieces()
        except AttemptError as error:
            report.end(error.kind, error.verdict, self._clock.now())
            raise
        except GeneratorExit:
            report.end(Kind.CANCELLED, Verdict.RAN, head_at)
            raise
        report.end(find_kind(answer.status), Verdict.RAN, head_at)

    def _build_attempt(self, request, plan):
        remaining_s = request.deadline - self._clock.now()
        deadline_ms = max(1, int(remaining_s * MS_PER_S))
        service = request.service

        def note_silence():
            self._traffic.tell(
                ConnectionSuspected(service.name, plan.address, plan.attempt)
            )

        return Attempt(
            address=plan.address,
            method=request.method,
            target=request.target,
            headers=[*request.headers, Header(DEADLINE, str(deadline_ms))],
            body=request.body,
            request_id=request.id,
            idempotent=request.idempotent,
            deadline=request.deadline,
            connect_timeout_s=service.connect_timeout_ms / MS_PER_S,
            response_timeout_s=service.response_timeout_ms / MS_PER_S,
            silence_s=plan.silence_s,
            on_silence=note_silence,
        )


class AttemptReport:
    """Reports the end of one attempt to the traffic actor, once."""

    __slots__ = ("_traffic", "_service", "_plan", "_started", "_ended")

    def __init__(self, traffic, service, plan, started):
        self._traffic = traffic
        self._service = service
        self._plan = plan
        self._started = started
        self._ended = False

    def end(self, kind, verdict, at):
        """Report the end; later calls change nothing.

        Args:
            kind: The `Kind` of the outcome.
            verdict: Whether the request may have run.
            at: Monotonic seconds of the answer's head or of the failure.
        """
        if self._ended:
            return
        self._ended = True
        outcome = Outcome(
            self._plan.address, self._plan.attempt, kind, at - self._started, verdict
        )
        self._traffic.tell(AttemptEnded(self._service, outcome))


def check_organisation(headers, organisation):
    """Check that a backend server is told of the key's organisation alone.

    Raises:
        InvariantError: If it would be told of another one, or of several.
    """
    stated = find_values(headers, ORGANISATION.lower())
    check_invariant(
        "organisation",
        stated == [organisation],
        f"{len(stated)} organisations would be stated",
    )


def check_refusal(request, refusal):
    """Check that a request refused as not run was not sent to a server that ran it.

    Raises:
        InvariantError: If an attempt may have run.
    """
    attempts = request.attempts
    untouched = attempts is None or attempts.verdict is Verdict.NOT_RUN
    check_invariant(
        "not-run",
        untouched or refusal.verdict is not Verdict.NOT_RUN,
        f"a request refused with {refusal.code} may have run",
    )


def decode_path(target):
    """Return the decoded path of a request target."""
    return urllib.parse.unquote(target.partition("?")[0])


def is_never_isolated():
    """Return False: a forwarder that no configuration part is connected to."""
    return False


def check_allowed(route, organisation):
    """Refuse an organisation that a route does not name."""
    if route.organisations is not None and organisation not in route.organisations:
        raise Refusal(403, "route-forbidden", "the route is not open to the caller")


def is_idempotent(route, method):
    """Return whether a request is idempotent by its route, else by its method."""
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def find_time_s(request):
    """Return the time allowed for a request, in seconds.

    Raises:
        Refusal: With code `deadline-malformed`.
    """
    limit_ms = request.route.deadline_ms
    for value in find_values(request.headers, DEADLINE.lower()):
        limit_ms = min(limit_ms, parse_deadline(value))
    return limit_ms / MS_PER_S


def parse_deadline(value):
    """Return a deadline header's milliseconds."""
    if value.isascii() and value.isdigit() and int(value) > 0:
        return int(value)
    raise Refusal(400, "deadline-malformed", "the deadline is not in milliseconds")


def read_ahead(pieces, length):
    """Return an iterator over an answer's body that has begun to arrive.

    A short body is read whole, so that a fault in it still can be answered by
    another attempt; of a longer one the first piece is read.

    Raises:
        AttemptError: If the body's beginning is faulty.
    """
    if length is not None and length <= KEPT_ANSWER_BYTES:
        return iter(list(pieces))
    first = next(pieces, b"")
    return itertools.chain((first,), pieces)


def find_kind(status):
    """Return the `Kind` of a complete answer."""
    return Kind.ERROR if status >= SERVER_FAULT else Kind.OK


STATUSES = {
    Kind.CONNECT: 503,
    Kind.SHED: 503,
    Kind.TIMEOUT: 504,
    Kind.CANCELLED: 504,
}
BAD_GATEWAY = 502


def describe_failure(error, verdict):
    """Return the `Refusal` for a request whose last attempt failed.

    Args:
        error: The `AttemptError` of the last attempt.
        verdict: Whether any attempt may have run.
    """
    retry_after = 1 if verdict is Verdict.NOT_RUN else None
    return Refusal(
        STATUSES.get(error.kind, BAD_GATEWAY),
        error.code,
        error.message,
        verdict=verdict,
        retry_after=retry_after,
    )
