"""Forwarding of admitted requests to backend servers.

The ingress chooses a backend server for each request, and retries or hedges the request
where this is allowed.
"""

import functools
import logging
import random
import threading

from ..owner.calls import SERVER_CRASHED
from ..owner.latency import LatencyModels
from ..quarantine.refusals import QUARANTINED, build_quarantine_refusal
from ..routing.rulebook import choose_service, intersect_regions
from ..verdicts import Verdict
from .attempts import (
    SERVER_ERROR_STATUS,
    Attempt,
    BackendErrorResponse,
    PlacementChoice,
    Stage,
    build_failure_refusal,
)
from .candidates import CandidateFinder
from .hedge import Hedge, Superseded
from .placement import Placement
from .refusals import RefusalBuilder
from .returns import ReturnSchedule
from .sending import AttemptSender

log = logging.getLogger("persimmonlane.serving")

# Longest accepted wait for a slot, by the number of rejections so far.
MAX_QUEUE_WAITS_S = (0.05, 0.15, 0.5)
HEDGE_MAX_WAIT_S = 0.02
# After this many rejections only last resorts are tried.
MAX_PLACEMENTS = 4
MAX_LAST_RESORTS = 2
# Share of the time left that a request may wait for a slot as a last resort.
LAST_RESORT_WAIT_SHARE = 0.35
# The same wait as a share of the latency objective. After a longer wait the answer
# would come too late to be useful, and would delay the requests queued behind it.
OBJECTIVE_WAIT_SHARE = 0.6
MIN_TIME_LEFT_S = 0.03
# Code of a rejection by the backend server itself. The request reached the server, so a
# further attempt takes a token from the retry budget.
SHED_BY_SERVER = "server-shed"


class Ingress:
    """Forwards callers' requests to backend servers; thread-safe."""

    __slots__ = (
        "_clock",
        "_budget",
        "_lock",
        "_rng",
        "_placement",
        "_latency_models",
        "_events",
        "_shutdown",
        "_isolation",
        "_candidates",
        "_refusals",
        "_sender",
        "_selector",
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
        traffic,
        isolation,
        evacuations=None,
        selector=None,
    ):
        """Create the ingress.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            owner: The `Owner` of the local backend server.
            describe: Callable that returns the `NodeState` of this node.
            table: The `PeerTable`.
            actor: Reference to the `Gossip` actor.
            pool: The `ConnectionPool`.
            budget: The `RetryBudget`.
            events: The `RequestEvents`.
            shutdown: The `Shutdown`.
            cancellations: The `CancellationClient`.
            traffic: The `TrafficCounter`.
            isolation: The `IsolationPolicy`.
            evacuations: The `EvacuationHolder`; None where operators evacuate no data
                centres.
            selector: The `DataCentreSelector`, or None where leaving the data centre
                is not weighed.
        """
        self._clock = clock
        self._budget = budget
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._placement = Placement(self._rng)
        self._latency_models = LatencyModels()
        self._events = events
        self._shutdown = shutdown
        self._isolation = isolation
        self._selector = selector
        self._candidates = CandidateFinder(
            settings, clock, describe, table, evacuations
        )
        self._refusals = RefusalBuilder(
            self._lock,
            self._candidates,
            shutdown,
            isolation,
            ReturnSchedule(clock, self._rng),
        )
        self._sender = AttemptSender(
            settings,
            clock,
            owner,
            actor,
            pool,
            self._candidates.notices,
            shutdown,
            cancellations,
            traffic,
            selector.budget if selector is not None else None,
        )

    def set_cold_starts(self, find_cold_start):
        """Set the callable that returns the `ColdStart` of a service, or None."""
        self._placement.find_cold_start = find_cold_start

    def forward(self, request):
        """Return the `CompleteResponse` for an admitted request whose body was read.

        Args:
            request: The `IngressRequest`.

        Raises:
            Refusal: If no backend server answered; the node answers itself.
            BackendErrorResponse: If the last answer is a server error that could not
                be retried.
            CallerDisconnected: If the caller closed its connection.
            NodeShutdown: If the node stops first.
        """
        request.stage = Stage.PLACEMENT
        request.allowed_regions = intersect_regions(request.route, request.organisation)
        service = request.service = choose_service(request.route, self._rng)
        self._budget.note_request(service)
        return self._run_attempts(request, service)

    def _run_attempts(self, request, service):
        tried, rejections = set(), {}
        dispatched = 0
        failure = None
        while True:
            if failure is None:
                self._isolation.check(request)
            choice = self._choose_next(request, service, tried, rejections)
            if choice is None:
                raise failure or self._refusals.build(request, service, rejections)
            if failure is not None and not self._budget.take(service):
                raise failure
            attempt, hedge_count = self._run_hedged(request, choice, dispatched)
            server_id = choice.candidate.server.server_id
            tried.add(server_id)
            if attempt.code == SERVER_CRASHED:
                request.crashes += 1
            if attempt.code == QUARANTINED:
                # The owner knows what this node has not heard yet.
                raise failure or build_quarantine_refusal(
                    request.fingerprint, attempt.wait_s
                )
            if attempt.verdict is Verdict.NOT_RUN:
                attempt.last_resort = choice.last_resort
                rejections[server_id] = attempt
                if attempt.code == SHED_BY_SERVER and not self._budget.take(service):
                    raise failure or self._refusals.build_overload(
                        request, service, rejections
                    )
                continue
            dispatched += 1 + hedge_count
            if not self._may_retry(request, attempt, dispatched):
                if attempt.answer is not None:
                    return attempt.answer
                raise build_failure_refusal(attempt)
            failure = build_failure_refusal(attempt)
            if attempt.answer is not None:
                failure = BackendErrorResponse(attempt.answer)

    def _run_hedged(self, request, choice, dispatched):
        """Run an attempt, and hedge it if it takes too long.

        Args:
            request: The `IngressRequest`.
            choice: The `PlacementChoice` of the first attempt.
            dispatched: Number of earlier attempts that may have run.

        Returns:
            The `Attempt` to use, and the number of hedges that were started.
        """
        candidate = choice.candidate
        route = request.route
        if not route.idempotent or dispatched + 1 >= route.max_attempts or choice.alone:
            return self._attempt(request, choice), 0
        now = self._clock.now()
        with self._lock:
            latency = self._get_latency_model(route)
        hedge = Hedge(self, request, candidate, latency, now)
        try:
            attempt = self._attempt(request, choice, hedge)
            if attempt.is_success():
                with self._lock:
                    latency.learn(self._clock.now() - now)
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
        """Take a retry token for a hedge; return whether it may be sent now."""
        if not self._shutdown.may_dispatch() or self._isolation.is_isolated(request):
            return False
        return self._budget.take(request.service)

    def run_hedge(self, request, watch, first_server_id):
        """Return the `Attempt` of a hedge, or None if no server accepts it.

        Args:
            request: The `IngressRequest`.
            watch: The `AttemptWatch` that ends the attempt early.
            first_server_id: Identifier of the backend server of the first attempt.

        Raises:
            Superseded: If the attempt was cancelled.
        """
        tried, rejections = {first_server_id}, {}
        while True:
            choice = self._choose_next(request, request.service, tried, rejections)
            if choice is None or choice.last_resort:
                # The first attempt may still be answered, so a last resort is not
                # worth a slot.
                self._budget.refund(request.service)
                return None
            choice.max_wait_s = HEDGE_MAX_WAIT_S
            try:
                watch.check()
            except Superseded:
                self._budget.refund(request.service)
                raise
            attempt = self._attempt(request, choice, watch=watch)
            if attempt.verdict is not Verdict.NOT_RUN or attempt.code == SHED_BY_SERVER:
                return attempt
            tried.add(choice.candidate.server.server_id)
            rejections[choice.candidate.server.server_id] = attempt

    def _may_retry(self, request, attempt, dispatched):
        if attempt.answer is not None and attempt.answer.status < SERVER_ERROR_STATUS:
            return False
        left_s = request.deadline - self._clock.now()
        return (
            request.route.idempotent
            and dispatched < request.route.max_attempts
            and left_s > MIN_TIME_LEFT_S
            and self._isolation.may_retry(request)
        )

    def _choose_next(self, request, service, tried, rejections):
        """Return the next `PlacementChoice`, or None if no attempt may be made.

        Args:
            request: The `IngressRequest`.
            service: Name of the service.
            tried: Identifiers of the backend servers that were tried.
            rejections: Rejected `Attempt`s by identifier of the backend server.
        """
        left_s = request.deadline - self._clock.now()
        if left_s <= MIN_TIME_LEFT_S or not self._shutdown.may_dispatch():
            return None
        candidates = self._candidates.find(service, request.allowed_regions)
        untried = [item for item in candidates if item.server.server_id not in tried]
        if self._isolation.is_isolated(request):
            return self._choose_alone(request, untried, rejections)
        usable, max_wait_s, reason = self._select(
            request, service, candidates, tried, rejections
        )
        chosen = None
        if len(rejections) < MAX_PLACEMENTS and not any(
            map(Attempt.was_last_resort, rejections.values())
        ):
            chosen = self._placement.choose(
                usable,
                request.route.idempotent,
                len(request.body),
                self._estimate_mean_s(request.route),
            )
        if chosen is not None:
            wait_s = self._shutdown.limit_wait(max_wait_s)
            return PlacementChoice(chosen, wait_s, False, reason=reason)
        if sum(map(Attempt.was_last_resort, rejections.values())) >= MAX_LAST_RESORTS:
            return None
        # As a last resort, queue the request where the expected wait is shortest
        # instead of refusing it.
        remaining = [
            item
            for item in candidates
            if item.server.server_id not in tried or item.server.server_id in rejections
        ]
        remaining = [
            item
            for item in remaining
            if item.server.server_id not in rejections
            or not rejections[item.server.server_id].last_resort
        ]
        if self._selector is not None:
            remaining = self._selector.keep_in_region(request, remaining)
        chosen = self._placement.choose_last_resort(remaining, rejections)
        if chosen is None:
            return None
        max_wait_s = min(
            left_s * LAST_RESORT_WAIT_SHARE,
            request.route.objective_s * OBJECTIVE_WAIT_SHARE,
        )
        return PlacementChoice(chosen, self._shutdown.limit_wait(max_wait_s), True)

    def _select(self, request, service, candidates, tried, rejections):
        """Return the candidates to choose from, the accepted wait and the reason.

        Args:
            request: The `IngressRequest`.
            service: Name of the service.
            candidates: All `Candidate`s of the service.
            tried: Identifiers of the backend servers that were tried.
            rejections: Rejected `Attempt`s by identifier of the backend server.
        """
        if self._selector is None:
            untried = [it for it in candidates if it.server.server_id not in tried]
            return untried, MAX_QUEUE_WAITS_S[min(len(rejections), 2)], ""
        mean_s = self._estimate_mean_s(request.route)
        selection = self._selector.select(
            request, service, candidates, rejections, tried, mean_s
        )
        return selection.candidates, selection.max_wait_s, selection.reason

    def _choose_alone(self, request, untried, rejections):
        """Return the `PlacementChoice` of a request that must run alone, or None.

        Args:
            request: The `IngressRequest`.
            untried: The `Candidate`s that were not tried yet.
            rejections: Rejected `Attempt`s by identifier of the backend server.
        """
        if len(rejections) >= MAX_PLACEMENTS:
            return None
        narrow = None
        if self._selector is not None:
            narrow = functools.partial(self._selector.keep_in_region, request)
        usable = self._isolation.select(untried, request.route.idempotent, narrow)
        chosen = self._placement.choose(
            usable,
            request.route.idempotent,
            len(request.body),
            self._estimate_mean_s(request.route),
        )
        if chosen is None:
            return None
        wait_s = self._shutdown.limit_wait(MAX_QUEUE_WAITS_S[min(len(rejections), 2)])
        return PlacementChoice(chosen, wait_s, False, True)

    def _attempt(self, request, choice, hedge=None, watch=None):
        started_at = self._clock.now()
        request.stage = Stage.SERVER
        request.server_id = choice.candidate.server.server_id
        attempt, outcome = None, "given-up"
        if self._selector is not None:
            self._selector.note_chosen(choice.candidate, choice.reason)
        try:
            attempt = self._sender.send(request, choice, hedge, watch)
            outcome = attempt.code or "answered"
            if attempt.is_success():
                self._isolation.note_served(request)
            if attempt.answer is not None:
                self._candidates.notices.note_answer(
                    choice.candidate.server, attempt.answer
                )
            self._adopt_figures(request, attempt)
        finally:
            self._events.note_attempt(
                request, choice, watch is not None, started_at, attempt, outcome
            )
        return attempt

    def _adopt_figures(self, request, attempt):
        if attempt.figures is None:
            return
        with self._lock:
            model = self._get_latency_model(request.route)
            model.adopt(attempt.figures)

    def _estimate_mean_s(self, route):
        with self._lock:
            return self._get_latency_model(route).estimate_mean()

    def _get_latency_model(self, route):
        return self._latency_models.get_model(route.name, route.objective_s)
