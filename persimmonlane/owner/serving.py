"""Serving.

Takes one request from the gate to the backend server beside the node and back.
"""

import logging
import threading

from ..errors import Refusal
from ..explaining.events import OwnerEnded, tell
from ..headers import drop_hop_by_hop
from ..outcomes import Kind
from ..platform import headers as wire
from ..routing.orders import OwnerReport
from ..serving.callers import CallerLeft
from ..serving.departure import NodeEnding
from ..serving.exchange import Call, Exchange, ExchangeError
from ..signals import Signal
from ..verdicts import Verdict
from .fates import Fates
from .gate import Gate, Ticket
from .standing import DOUBT_SCORE, ServerRecord, Standing
from .times import WorkTimes

log = logging.getLogger("persimmonlane.owner")

CONNECT_S = 0.5
LEAST_LEFT_S = 0.02
WATCH_S = 0.25
SERVER_FAULT = 500
MISDIRECTED = 421
ERROR_WEIGHT = 0.6
SHED_WEIGHT = 0.4
TRIAL_SLOTS = 1
# Seconds on trial after which a server gets what can't be repeated, too.
TRIAL_UNSAFE_S = 4.0


class Owner:
    """The backend server beside the node, its gate and what is known of it.

    Attributes:
        hosted: The `HostedServer`.
        record: The `ServerRecord`.
        gate: The `Gate`.
    """

    __slots__ = (
        "hosted",
        "record",
        "gate",
        "on_change",
        "_settings",
        "_clock",
        "_pool",
        "_lock",
        "_changed_since_tick",
        "_misdirected",
        "_times",
        "_leaving",
        "_fates",
    )

    def __init__(self, settings, hosted, clock, pool, may_eject):
        self.hosted = hosted
        self.record = ServerRecord(clock, may_eject)
        self.gate = Gate(clock)
        self.on_change = lambda: None
        self._settings = settings
        self._clock = clock
        self._pool = pool
        self._lock = threading.Lock()
        self._changed_since_tick = False
        self._misdirected = None
        self._times = WorkTimes()
        self._leaving = False
        self._fates = Fates(clock)

    def leave(self):
        """Close the gate for good: the node was told to stop.

        What runs goes on; what waits is refused as not run, so that it is placed
        elsewhere.
        """
        with self._lock:
            self._leaving = True
            self._update_gate()

    def withdraw(self, request_id):
        """Keep a request from the backend server from now on.

        Returns:
            Whether it was never handed over, and so never runs.
        """
        with self._lock:
            return self._fates.withdraw(request_id)

    def take_heartbeat(self, heartbeat):
        """Take a heartbeat of the backend server."""
        with self._lock:
            before = self.hosted.current
            changed = self.hosted.note_heartbeat(heartbeat)
            current = self.hosted.current
            if changed and (before is None or before.born != current.born):
                self.record.reset()
                self._misdirected = None
            self._update_gate()
        if changed:
            log.info("Owner: %s is %s.", current.server_id, current.state.value)
            self.on_change()

    def take_departure(self, server_id, born):
        """Take the departure of the backend server."""
        with self._lock:
            changed = self.hosted.note_departure(server_id, born)
            self._update_gate()
        if changed:
            log.info("Owner: %s has left.", server_id)
            self.on_change()

    def tick(self):
        """End ejections and forget a server that is silent for too long."""
        with self._lock:
            slots = self.gate.slots
            if self.record.tick():
                self._changed_since_tick = True
            self._weigh_running()
            self._update_gate()
            changed = self._changed_since_tick or slots != self.gate.slots
            self._changed_since_tick = False
        if changed:
            self.on_change()

    def is_ready(self):
        """Return whether the backend server takes new requests."""
        return self.gate.slots > 0

    def is_doubtful(self):
        """Return whether requests that can't be repeated are turned away for now."""
        return self.record.suspicion > DOUBT_SCORE

    def report(self, verdict, code="", wait_s=0.0):
        """Return the `OwnerReport` that goes with an answer."""
        return OwnerReport(
            verdict.value,
            code,
            self.gate.running,
            self.gate.waiting,
            self.record.standing.value,
            wait_s,
            self.is_doubtful(),
        )

    def judge(self, order):
        """Return the `OwnerReport` on whether a request would be taken now.

        It promises nothing: what comes later is judged again. The report's code is
        empty if there is room.
        """
        with self._lock:
            try:
                self._check(order)
                self.gate.judge(self._build_ticket(order, self._clock.now(), None))
            except Refusal as refusal:
                wait_s = refusal.retry_after or 0.0
                return self.report(Verdict.NOT_RUN, refusal.code, wait_s)
        return self.report(Verdict.NOT_RUN)

    def serve(self, order, call, caller):
        """Return the backend server's whole answer to a request.

        Args:
            order: The `Order`.
            call: The `OwnedCall` with method, target, headers and body.
            caller: The `CallerWatch` of who waits for the answer.

        Raises:
            Refusal: If the request was not handed to the backend server.
            ExchangeError: If it was, and no whole answer came.
            CallerLeft: If the caller went away.
        """
        wakener = Signal()
        with self._lock:
            ticket = self._build_ticket(order, call.arrived, wakener.set)
        outcome, verdict, status = "given-up", "", 0
        try:
            answer = self._pass(order, call, ticket, wakener, caller)
            outcome, verdict, status = "answered", Verdict.RAN.value, answer.status
            return answer
        except (Refusal, ExchangeError) as error:
            outcome, verdict = error.code, error.verdict.value
            raise
        finally:
            wakener.close()
            self._tell(order, call, ticket, outcome, verdict, status)

    def _pass(self, order, call, ticket, wakener, caller):
        self._enter(order, ticket)
        try:
            self._await_slot(ticket, wakener, caller)
            self._hand(order)
            return self._exchange(order, call, ticket, caller)
        finally:
            with self._lock:
                self.gate.leave(ticket)

    def _hand(self, order):
        with self._lock:
            if not self._fates.hand(order.request_id):
                raise refuse("request-withdrawn", "its ingress node took it back")

    def _tell(self, order, call, ticket, outcome, verdict, status):
        now = self._clock.now()
        granted_at = ticket.granted_at if ticket.granted_at is not None else now
        tell(
            OwnerEnded(
                order.request_id,
                order.route,
                order.server_id,
                outcome,
                verdict,
                status,
                order.rank,
                granted_at - call.arrived,
                now - granted_at,
                self.gate.running,
                self.gate.waiting,
                self.record.standing.value,
            )
        )

    def _update_gate(self):
        ready = self.hosted.is_ready() and not self._leaving
        if ready and self.hosted.is_current(self._misdirected):
            ready = False
        slots = self.hosted.current.slots if ready else 0
        if slots != self.gate.slots:
            self.gate.resize(slots)

    def _build_ticket(self, order, arrived, wake):
        times = self._times.find(order.route, order.objective_s)
        deadline = arrived + order.left_s
        return Ticket(times, order.rank, deadline, order.patience_s, wake)

    def _enter(self, order, ticket):
        with self._lock:
            self._check(order)
            self.gate.enter(ticket)

    def _check(self, order):
        self._update_gate()
        if not self.hosted.is_current(order.server_id):
            raise refuse("server-gone", "the backend server is gone")
        self._check_standing(order)

    def _check_standing(self, order):
        record = self.record
        if order.insist:
            return
        if record.standing is Standing.EJECTED:
            raise refuse("server-ejected", "the backend server is ejected")
        if record.standing is Standing.TRIAL:
            self._check_trial(order)
            return
        self._weigh_running()
        if not order.idempotent and self.is_doubtful():
            raise refuse("server-suspect", "the backend server may be failing")

    def _check_trial(self, order):
        since = self.record.since
        fit = order.idempotent or self._clock.now() - since > TRIAL_UNSAFE_S
        tried = sum(1 for item in self.gate.list_running() if item.granted_at >= since)
        if not fit or tried >= TRIAL_SLOTS:
            raise refuse("server-on-trial", "the backend server is on trial")

    def _await_slot(self, ticket, wakener, caller):
        while ticket.granted_at is None:
            if ticket.refusal is not None:
                raise ticket.refusal
            left_s = ticket.deadline - self._clock.now()
            if left_s <= LEAST_LEFT_S:
                raise refuse("deadline-passed", "no slot became free in time")
            waits_s = ticket.waits_until - self._clock.now()
            if waits_s <= 0:
                raise refuse("server-busy", "no slot became free soon enough")
            try:
                caller.wait(wakener, min(waits_s, WATCH_S))
            except NodeEnding as error:
                raise refuse("server-leaving", "the node ends") from error
        if ticket.deadline - self._clock.now() <= LEAST_LEFT_S:
            raise refuse("deadline-passed", "no time is left")

    def _exchange(self, order, call, ticket, caller):
        server_id = order.server_id
        left_s = ticket.deadline - self._clock.now()
        headers = drop_hop_by_hop(call.headers)
        headers += wire.build_backend_headers(order, left_s, server_id)
        exchange = Exchange(
            Call(
                address=self._settings.server,
                method=call.method,
                target=call.target,
                headers=headers,
                body=call.body,
                request_id=order.request_id,
                deadline=ticket.deadline,
                connect_s=CONNECT_S,
                find_id=find_request_id,
                on_wait=call.on_wait,
            ),
            self._pool,
            self._clock,
            caller,
        )
        try:
            answer = exchange.run()
            self._check_answer(answer, server_id)
        except ExchangeError as error:
            if error.kind is Kind.TIMEOUT:
                self._note(error.kind, self._note_abandoned, ticket)
            else:
                self._note(error.kind, self.record.note_failure, 1.0)
            raise
        except Refusal:
            self._note(Kind.SHED, self.record.note_failure, SHED_WEIGHT)
            raise
        except Exception:
            self._note(Kind.CANCELLED, self._note_abandoned, ticket)
            raise
        if answer.status >= SERVER_FAULT:
            self._note(Kind.ERROR, self.record.note_failure, ERROR_WEIGHT)
        else:
            self._note(Kind.OK, self._note_success, ticket)
        return answer

    def _check_answer(self, answer, server_id):
        marks = wire.parse_response_headers(answer.headers)
        if marks.not_run or answer.status == MISDIRECTED:
            if answer.status == MISDIRECTED:
                self._note_misdirected(server_id)
            raise refuse("server-shed", "the backend server did not run it")
        encoded = any(h.name.lower() == "content-encoding" for h in answer.headers)
        if encoded or (answer.status < 300 and not marks.signed):
            raise ExchangeError(
                Kind.WRONG,
                Verdict.MAY_HAVE_RUN,
                "answer-refused",
                "the answer is not the backend server's own",
            )

    def _note_misdirected(self, server_id):
        with self._lock:
            self._misdirected = server_id
            self._update_gate()
        log.warning("Owner: another backend server has the address of %s.", server_id)
        self.on_change()

    def _weigh_running(self):
        """Weigh the running requests; return whether the standing has changed."""
        now = self._clock.now()
        running = [
            (ticket.granted_at, ticket.times.find_survival(now - ticket.granted_at))
            for ticket in self.gate.list_running()
        ]
        before = self.record.standing
        self.record.weigh_running(running)
        return self._has_changed(before, "overdue requests")

    def _find_survival(self, ticket):
        return ticket.times.find_survival(self._clock.now() - ticket.granted_at)

    def _note_success(self, ticket):
        self.record.note_success(self._find_survival(ticket))
        ticket.times.learn(self._clock.now() - ticket.granted_at)

    def _note_abandoned(self, ticket):
        self.record.note_abandoned(ticket.granted_at, self._find_survival(ticket))

    def _note(self, kind, note, argument):
        with self._lock:
            before = self.record.standing
            note(argument)
            changed = self._has_changed(before, kind.value)
        if changed:
            self.on_change()

    def _has_changed(self, before, cause):
        after = self.record.standing
        if before is after:
            return False
        log.info("Owner: the backend server is %s after %s.", after.value, cause)
        self._changed_since_tick = True
        if after is Standing.EJECTED:
            self.gate.turn_away("server-ejected")
        return True


class OwnedCall:
    """A request as it reached the owner.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: The `Header`s for the backend server.
        body: Bytes.
        arrived: Seconds at which it came.
        on_wait: Called now and then while the answer is awaited; returns the seconds
            until the next call.
    """

    __slots__ = ("method", "target", "headers", "body", "arrived", "on_wait")

    def __init__(self, method, target, headers, body, arrived, on_wait):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived = arrived
        self.on_wait = on_wait


def find_request_id(headers):
    """Return the identifier of the request that an answer echoes."""
    return wire.parse_response_headers(headers).request_id


def refuse(code, message):
    """Return the refusal of a request that the backend server did not run."""
    return Refusal(503, code, message, retry_after=0.0)


__all__ = ["CallerLeft", "OwnedCall", "Owner", "refuse"]
