"""Sending of a request to the owner of a backend server."""

import functools
import threading

from ..errors import Refusal
from ..headers import Header, drop_hop_by_hop
from ..localities import Locality
from ..outcomes import OutcomeKind
from ..owner.calls import ForwardedCall
from ..peers.traffic import measure_exchange
from ..routing.metadata import Order
from ..verdicts import Verdict
from .attempts import Attempt, get_priority
from .cancellation import CancelOnShutdown
from .capacity import CapacityClient
from .exchange import Exchange, ExchangeError, OutgoingRequest
from .nodeheaders import (
    ORDER_HEADER,
    encode_json_header,
    filter_request_headers,
    get_default_poll_s,
    get_reported_request_id,
    parse_report,
)

CONNECT_TIMEOUT_S = 0.4
CONNECT_TIME_SHARE = 0.25
# Added to the request's deadline so that a timeout reported by the owner still arrives.
OWNER_DEADLINE_MARGIN_S = 0.05


class AttemptSender:
    """Sends requests to this node's backend server or to other owners; thread-safe."""

    __slots__ = (
        "_settings",
        "_clock",
        "_owner",
        "_pool",
        "_lock",
        "_notices",
        "_shutdown",
        "_cancellations",
        "_traffic",
        "_capacity",
        "_regions",
        "_link_budget",
    )

    def __init__(
        self,
        settings,
        clock,
        owner,
        actor,
        pool,
        notices,
        shutdown,
        cancellations,
        traffic,
        link_budget=None,
    ):
        """Create the sender.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            owner: The `Owner` of the local backend server.
            actor: Reference to the `Gossip` actor.
            pool: The `ConnectionPool`.
            notices: The `ServerNotices` of this node.
            shutdown: The `Shutdown`.
            cancellations: The `CancellationClient`.
            traffic: The `TrafficCounter`.
            link_budget: The `LinkBudget`, or None where leaving the data centre is not
                weighed.
        """
        self._settings = settings
        self._clock = clock
        self._owner = owner
        self._pool = pool
        self._lock = threading.Lock()
        self._notices = notices
        self._shutdown = shutdown
        self._cancellations = cancellations
        self._traffic = traffic
        self._regions = settings.build_region_map()
        self._link_budget = link_budget
        self._capacity = CapacityClient(settings, clock, actor, link_budget)

    def send(self, request, choice, hedge, watch):
        """Send a request to a backend server and return the `Attempt`.

        Args:
            request: The `IngressRequest`.
            choice: The `PlacementChoice`.
            hedge: The `Hedge` that may start meanwhile, or None.
            watch: The `AttemptWatch` that ends the attempt early, or None.
        """
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
            self._notices.find_limit(server.server_id),
            request.fingerprint,
            choice.alone,
            request.causes,
        )
        if hedge is not None:
            watch = hedge.watch
            on_wait = functools.partial(hedge.poll, self._clock)
        else:
            watch = watch or request.caller
            on_wait = get_default_poll_s
        if candidate.peer is None:
            return self._attempt_local(request, order, watch, on_wait)
        return self._attempt_remote(request, order, candidate.peer, watch, on_wait)

    def _attempt_local(self, request, order, watch, on_wait):
        call = ForwardedCall(
            request.method,
            request.target,
            filter_request_headers(request.headers),
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

    def _attempt_remote(self, request, order, peer, watch, on_wait):
        rejected = self._capacity.check(request, order, peer)
        if rejected is not None:
            return rejected
        text = encode_json_header(order)
        left_s = request.deadline - self._clock.now()
        cancel = functools.partial(
            self._cancellations.cancel,
            order.request_id,
            peer,
            peer.announcement.boot,
            request.deadline,
        )
        headers = drop_hop_by_hop(filter_request_headers(request.headers))
        call = OutgoingRequest(
            address=peer.address,
            method=request.method,
            target=request.target,
            headers=[*headers, Header(ORDER_HEADER, text)],
            body=request.body,
            request_id=order.request_id,
            deadline=request.deadline + OWNER_DEADLINE_MARGIN_S,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, left_s * CONNECT_TIME_SHARE),
            extract_request_id=get_reported_request_id,
            on_wait=CancelOnShutdown(self._shutdown, cancel, on_wait),
        )
        self._change_in_flight(peer, 1)
        answer = None
        try:
            answer = Exchange(call, self._pool, self._clock, watch, True).run()
        except ExchangeError as error:
            if error.kind in (OutcomeKind.CONNECT, OutcomeKind.ERROR):
                peer.mark_unreachable(self._clock.now())
            verdict = error.verdict
            if error.verdict is Verdict.MAY_HAVE_RUN and cancel():
                verdict = Verdict.NOT_RUN
            return Attempt(None, verdict, error.code, kind=error.kind)
        finally:
            self._change_in_flight(peer, -1)
            self._traffic.count_exchange(peer.host, call, answer)
            self._spend(peer, call, answer)
        peer.mark_reachable()
        return parse_report(answer, peer, order.server_id)

    def _spend(self, peer, call, answer):
        """Count an exchange with another region against its budget."""
        if self._link_budget is None:
            return
        if self._regions.locate(peer.data_centre) is not Locality.ELSEWHERE:
            return
        region = self._regions.find_region(peer.data_centre)
        size = measure_exchange(call, answer)
        self._link_budget.spend(region, size)

    def _change_in_flight(self, peer, change):
        with self._lock:
            peer.in_flight += change
