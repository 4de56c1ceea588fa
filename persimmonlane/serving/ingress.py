"""Ingress.

Takes an admitted request to a backend server: places it, tries again, and answers.
"""

import functools
import logging
import random
import threading

import msgspec
import pykka

from ..errors import Refusal
from ..headers import Header, drop_hop_by_hop
from ..outcomes import Kind
from ..owner.serving import OwnedCall
from ..owner.times import WorkTimes
from ..peers.gossip import RoomWanted
from ..routing.orders import Order
from ..routing.rulebook import choose_part
from ..verdicts import Verdict
from .attempts import (
    SERVER_ERROR_STATUS,
    Attempt,
    BackendErrorResponse,
    PlacementChoice,
    Stage,
    get_priority,
)
from .exchange import Call, Exchange, ExchangeError
from .hedge import Hedge, Superseded
from .hops import (
    ORDER_HEADER,
    clean_headers,
    find_reported_id,
    get_default_poll_s,
    read_report,
)
from .placement import Candidate, Placement
from .withdrawal import CancelOnShutdown

log = logging.getLogger("persimmonlane.serving")

ROOM_ANSWER_S = 0.06
# A body of this length is not sent to another data centre before the owner was asked.
ASK_FIRST_BYTES = 1024
CONNECT_S = 0.4
OWNER_GRACE_S = 0.05
CONNECT_SHARE = 0.25
QUEUE_PATIENCE_S = (0.05, 0.15, 0.5)
HEDGE_PATIENCE_S = 0.02
MOST_PLACES = 4
MOST_RESORTS = 2
# Share of the time left for which a request that nobody took at once may wait.
LAST_PATIENCE_SHARE = 0.35
# Share of the objective: an answer that waited longer would come too late to matter,
# and would make those behind it late.
OBJECTIVE_PATIENCE_SHARE = 0.6
LEAST_LEFT_S = 0.03
RETRY_AFTER_S = 0.3
# Code of a refusal by the backend server itself, which counts as an arrival there.
REACHED = "server-shed"


class Ingress:
    """Serves callers' requests; its methods may be called from any thread."""

    __slots__ = (
        "_settings",
        "_clock",
        "_owner",
        "_describe",
        "_table",
        "_actor",
        "_pool",
        "_budget",
        "_lock",
        "_rng",
        "_placement",
        "_times",
        "_events",
        "_shutdown",
        "_withdrawals",
    )

    def __init__(
        self,
        settings,
        clock,
        owner,
        describe,
        table,
        actor,
        pool,
        budget,
        events,
        shutdown,
        cancellations,
    ):
        self._settings = settings
        self._clock = clock
        self._owner = owner
        self._describe = describe
        self._table = table
        self._actor = actor
        self._pool = pool
        self._budget = budget
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._placement = Placement(self._rng)
        self._times = WorkTimes()
        self._events = events
        self._shutdown = shutdown
        self._withdrawals = cancellations

    def forward(self, request):
        """Return the `WholeAnswer` for an admitted request whose body was read.

        Raises:
            Refusal: If the node answers itself.
            CallerLeft: If the caller went away.
        """
        request.stage = Stage.PLACEMENT
        service = request.service = choose_part(request.route, self._rng)
        with self._lock:
            self._budget.note_request(service, self._count_members())
        return self._place(request, service)

    def _count_members(self):
        return self._table.count_members()

    def _place(self, request, service):
        tried, waits = set(), {}
        handed = 0
        failure = None
        while True:
            choice = self._choose(request, service, tried, waits)
            if choice is None:
                raise failure or self._describe_full(service, waits)
            if failure is not None and not self._take_token(service):
                raise failure
            attempt, hedged = self._race(request, choice, handed)
            server_id = choice.candidate.server.server_id
            tried.add(server_id)
            if attempt.verdict is Verdict.NOT_RUN:
                attempt.last_resort = choice.last_resort
                waits[server_id] = attempt
                if attempt.code == REACHED and not self._take_token(service):
                    raise failure or self._describe_full(service, waits)
                continue
            handed += 1 + hedged
            if not self._may_repeat(request, attempt, handed):
                if attempt.answer is not None:
                    return attempt.answer
                raise describe_failure(attempt)
            failure = describe_failure(attempt)
            if attempt.answer is not None:
                failure = BackendErrorResponse(attempt.answer)

    def _race(self, request, choice, handed):
        """Run an attempt, and a second one beside it if it takes too long.

        Returns:
            The `Attempt` that counts, and the number of second attempts.
        """
        candidate = choice.candidate
        route = request.route
        if not route.idempotent or handed + 1 >= route.attempts:
            return self._attempt(request, choice), 0
        now = self._clock.now()
        with self._lock:
            times = self._times.find(route.name, route.objective_s)
        hedge = Hedge(self, request, candidate, times, now)
        try:
            attempt = self._attempt(request, choice, hedge)
            if attempt.is_success():
                with self._lock:
                    times.learn(self._clock.now() - now)
            elif hedge.started:
                outcome = hedge.wait_for_outcome()
                if outcome is not None and outcome.supersedes(attempt):
                    return outcome, 1
        except Superseded:
            return hedge.outcome, 1
        finally:
            hedge.close()
        return attempt, 1 if hedge.started else 0

    def acquire_hedge(self, request):
        """Return whether a second attempt of a request may be made now."""
        return self._shutdown.may_dispatch() and self._take_token(request.service)

    def run_hedge(self, request, watch, first_server_id):
        """Return the `Attempt` of a second attempt beside the first, or None.

        Args:
            request: The `IngressRequest`.
            watch: The `AttemptWatch` that ends the attempt.
            first_server_id: Identifier of the backend server of the first attempt.
        """
        tried, waits = {first_server_id}, {}
        while True:
            choice = self._choose(request, request.service, tried, waits)
            if choice is None or choice.last_resort:
                # The first attempt may still be answered: nobody's slot is worth it.
                self._return_token(request.service)
                return None
            choice.max_wait_s = HEDGE_PATIENCE_S
            attempt = self._attempt(request, choice, watch=watch)
            if attempt.verdict is not Verdict.NOT_RUN or attempt.code == REACHED:
                return attempt
            tried.add(choice.candidate.server.server_id)
            waits[choice.candidate.server.server_id] = attempt

    def _may_repeat(self, request, attempt, handed):
        if attempt.answer is not None and attempt.answer.status < SERVER_ERROR_STATUS:
            return False
        left_s = request.deadline - self._clock.now()
        return (
            request.route.idempotent
            and handed < request.route.attempts
            and left_s > LEAST_LEFT_S
        )

    def _take_token(self, service):
        with self._lock:
            return self._budget.take(service, self._count_members())

    def _return_token(self, service):
        with self._lock:
            self._budget.refund(service, self._count_members())

    def _choose(self, request, service, tried, waits):
        """Return the next `PlacementChoice`, or None."""
        left_s = request.deadline - self._clock.now()
        if left_s <= LEAST_LEFT_S or not self._shutdown.may_dispatch():
            return None
        candidates = self._find_candidates(service)
        fresh = [item for item in candidates if item.server.server_id not in tried]
        chosen = None
        if len(waits) < MOST_PLACES and not any(
            map(Attempt.was_last_resort, waits.values())
        ):
            chosen = self._placement.choose(
                fresh, request.route.idempotent, len(request.body)
            )
        if chosen is not None:
            max_wait_s = QUEUE_PATIENCE_S[min(len(waits), 2)]
            return PlacementChoice(chosen, self._shutdown.limit_wait(max_wait_s), False)
        if sum(map(Attempt.was_last_resort, waits.values())) >= MOST_RESORTS:
            return None
        # Rather than refuse the request, let it wait where that is shortest.
        untouched = [
            item
            for item in candidates
            if item.server.server_id not in tried or item.server.server_id in waits
        ]
        untouched = [
            item
            for item in untouched
            if item.server.server_id not in waits
            or not waits[item.server.server_id].last_resort
        ]
        chosen = self._placement.choose_last_resort(untouched, waits)
        if chosen is None:
            return None
        max_wait_s = min(
            left_s * LAST_PATIENCE_SHARE,
            request.route.objective_s * OBJECTIVE_PATIENCE_SHARE,
        )
        return PlacementChoice(chosen, self._shutdown.limit_wait(max_wait_s), True)

    def _find_candidates(self, service):
        now = self._clock.now()
        found = []
        own = self._describe().server
        if own is not None and own.service == service and own.ready:
            found.append(Candidate(own, None, True))
        for peer in self._table.find_live():
            news = peer.news
            server = news.server
            if server is None or server.service != service or not server.ready:
                continue
            if news.leaving or peer.avoided_until > now:
                continue
            same_data_centre = peer.data_centre == self._settings.data_centre
            found.append(Candidate(server, peer, same_data_centre))
        return found

    def _attempt(self, request, choice, hedge=None, watch=None):
        began = self._clock.now()
        request.stage = Stage.SERVER
        request.server_id = choice.candidate.server.server_id
        attempt, outcome = None, "given-up"
        try:
            attempt = self._send(request, choice, hedge, watch)
            outcome = attempt.code or "answered"
        finally:
            self._events.note_attempt(
                request, choice, watch is not None, began, attempt, outcome
            )
        return attempt

    def _send(self, request, choice, hedge, watch):
        candidate = choice.candidate
        server = candidate.server
        order = Order(
            request.metadata.request_id,
            server.server_id,
            server.service,
            self._settings.service,
            request.organisation.name if request.organisation else "",
            request.route.idempotent,
            get_priority(request),
            request.route.name,
            request.deadline - self._clock.now(),
            choice.max_wait_s,
            request.route.objective_s,
            choice.last_resort,
        )
        if hedge is not None:
            watch = hedge.watch
            on_wait = functools.partial(poll_hedge, hedge, self._clock)
        else:
            watch = watch or request.caller
            on_wait = get_default_poll_s
        if candidate.peer is None:
            return self._attempt_here(request, order, watch, on_wait)
        return self._attempt_there(request, order, candidate.peer, watch, on_wait)

    def _attempt_here(self, request, order, watch, on_wait):
        call = OwnedCall(
            request.method,
            request.target,
            clean_headers(request.headers),
            request.body,
            self._clock.now(),
            on_wait,
        )
        try:
            answer = self._owner.serve(order, call, watch)
        except Refusal as refusal:
            return Attempt(
                None, Verdict.NOT_RUN, refusal.code, refusal.retry_after or 0.0
            )
        except ExchangeError as error:
            return Attempt(None, error.verdict, error.code, kind=error.kind)
        return Attempt(answer, Verdict.RAN)

    def _attempt_there(self, request, order, peer, watch, on_wait):
        refused = self._ask_room(request, order, peer)
        if refused is not None:
            return refused
        text = msgspec.json.encode(order).decode("ascii", "backslashreplace")
        left_s = request.deadline - self._clock.now()
        withdraw = functools.partial(
            self._withdrawals.cancel, order, peer, peer.news.boot
        )
        headers = drop_hop_by_hop(clean_headers(request.headers))
        call = Call(
            address=peer.address,
            method=request.method,
            target=request.target,
            headers=[*headers, Header(ORDER_HEADER, text)],
            body=request.body,
            request_id=order.request_id,
            deadline=request.deadline + OWNER_GRACE_S,
            connect_s=min(CONNECT_S, left_s * CONNECT_SHARE),
            find_id=find_reported_id,
            on_wait=CancelOnShutdown(self._shutdown, withdraw, on_wait),
        )
        self._count_pending(peer, 1)
        try:
            answer = Exchange(call, self._pool, self._clock, watch).run()
        except ExchangeError as error:
            if error.kind in (Kind.CONNECT, Kind.ERROR):
                peer.note_unreachable(self._clock.now())
            verdict = error.verdict
            if self._may_withdraw(request, error) and withdraw():
                verdict = Verdict.NOT_RUN
            return Attempt(None, verdict, error.code, kind=error.kind)
        finally:
            self._count_pending(peer, -1)
        peer.note_reached()
        return read_report(answer, peer, order.server_id)

    def _may_withdraw(self, request, error):
        left_s = request.deadline - self._clock.now()
        if not request.metadata.request_id or left_s <= LEAST_LEFT_S:
            return False
        return error.verdict is Verdict.MAY_HAVE_RUN

    def _ask_room(self, request, order, peer):
        """Return the `Attempt` of an owner that would refuse a long body, or None."""
        if peer.data_centre == self._settings.data_centre:
            return None
        if len(request.body) < ASK_FIRST_BYTES:
            return None
        wanted = RoomWanted(peer.address, order, pykka.ThreadingFuture())
        self._actor.tell(wanted)
        try:
            report = wanted.reply.get(timeout=ROOM_ANSWER_S)
        except pykka.Timeout:
            # The connection will tell whether the owner can be reached.
            log.debug("Serving: %s did not say whether it has room.", peer.name)
            return None
        if not report.code:
            return None
        peer.note_report(order.server_id, report)
        return Attempt(None, Verdict.NOT_RUN, report.code, report.wait_s, Kind.ERROR)

    def _count_pending(self, peer, change):
        with self._lock:
            peer.pending += change

    def _describe_full(self, service, waits):
        if not self._shutdown.may_dispatch():
            return self._shutdown.build_refusal()
        refusals = list(waits.values())
        wait_s = min((item.wait_s for item in refusals), default=RETRY_AFTER_S)
        codes = ", ".join(item.code for item in refusals) or "none is known"
        return Refusal(
            503,
            "overloaded" if refusals else "no-server",
            f"no backend server of {service} can take the request: {codes}",
            retry_after=max(wait_s, 0.05),
        )


def poll_hedge(hedge, clock):
    """Look whether a second attempt is due; return the seconds until the next look."""
    return hedge.start_if_due(clock.now())


def describe_failure(attempt):
    """Return the `Refusal` for a request whose attempt may have run."""
    status = 504 if attempt.kind is Kind.TIMEOUT else 502
    return Refusal(
        status,
        attempt.code,
        "the backend server did not answer",
        verdict=Verdict.MAY_HAVE_RUN,
    )
