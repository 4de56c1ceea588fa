"""Serving.

Takes one request from the gate to the backend server beside the node and back.
"""

import logging
import os
import threading

from ..ejection.outcome import Kind
from ..errors import Refusal
from ..forwarding.callers import CallerLeft
from ..headers import drop_hop_by_hop
from ..platform import headers as wire
from ..routing.orders import OwnerReport
from ..serving.exchange import Call, Exchange, ExchangeError
from ..verdicts import Verdict
from .gate import Gate, Ticket
from .standing import ServerRecord, Standing

log = logging.getLogger("persimmonlane.owner")

CONNECT_S = 0.5
# A request that takes this many times its route's usual time counts as failed.
OVERDUE_FACTOR = 3.0
OVERDUE_LEAST_S = 0.25
# What can be sent elsewhere is given up sooner once the server is in doubt.
DOUBT_FACTOR = 2.0
# Share of the time limit that a request that is sent elsewhere keeps at least.
KEPT_SHARE = 0.4
LEAST_LEFT_S = 0.02
WATCH_S = 0.25
SERVER_FAULT = 500
MISDIRECTED = 421
ERROR_WEIGHT = 0.6
SHED_WEIGHT = 0.4
TRIAL_SLOTS = 1


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
        "_misdirected",
    )

    def __init__(self, settings, hosted, clock, pool):
        self.hosted = hosted
        self.record = ServerRecord(clock)
        self.gate = Gate(clock)
        self.on_change = lambda: None
        self._settings = settings
        self._clock = clock
        self._pool = pool
        self._lock = threading.Lock()
        self._misdirected = None

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
            changed = self.record.tick()
            self._update_gate()
            changed = changed or slots != self.gate.slots
        if changed:
            self.on_change()

    def is_ready(self):
        """Return whether the backend server takes new requests."""
        return self.gate.slots > 0

    def report(self, verdict, code="", wait_s=0.0):
        """Return the `OwnerReport` that goes with an answer."""
        return OwnerReport(
            verdict.value,
            code,
            self.gate.running,
            self.gate.waiting,
            self.record.standing.value,
            wait_s,
        )

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
        deadline = call.arrived + order.left_s
        wakener = Wakener()
        ticket = Ticket(
            order.route, order.rank, deadline, order.patience_s, wakener.wake
        )
        try:
            self._enter(order, ticket)
            done = False
            try:
                self._await_slot(ticket, wakener, caller)
                answer = self._exchange(order, call, ticket, caller)
                done = answer.status < SERVER_FAULT
                return answer
            finally:
                with self._lock:
                    self.gate.leave(ticket, done)
        finally:
            wakener.close()

    def _update_gate(self):
        ready = self.hosted.is_ready()
        if ready and self.hosted.is_current(self._misdirected):
            ready = False
        slots = self.hosted.current.slots if ready else 0
        if slots != self.gate.slots:
            self.gate.resize(slots)

    def _enter(self, order, ticket):
        with self._lock:
            self._update_gate()
            if not self.hosted.is_current(order.server_id):
                raise refuse("server-gone", "the backend server is gone")
            self._check_standing(order)
            self.gate.enter(ticket)

    def _check_standing(self, order):
        standing = self.record.standing
        if standing is Standing.SOUND or order.insist:
            return
        if standing is Standing.EJECTED:
            raise refuse("server-ejected", "the backend server is ejected")
        if not order.idempotent or self.gate.running >= TRIAL_SLOTS:
            raise refuse("server-on-trial", "the backend server is on trial")

    def _await_slot(self, ticket, wakener, caller):
        while ticket.granted_at is None:
            if ticket.refusal is not None:
                raise ticket.refusal
            left_s = ticket.deadline - self._clock.now()
            if left_s <= LEAST_LEFT_S:
                raise refuse("deadline-passed", "no slot became free in time")
            caller.wait(wakener, min(left_s, WATCH_S))
        if ticket.deadline - self._clock.now() <= LEAST_LEFT_S:
            raise refuse("deadline-passed", "no time is left")

    def _exchange(self, order, call, ticket, caller):
        server_id = order.server_id
        left_s = ticket.deadline - self._clock.now()
        headers = drop_hop_by_hop(call.headers)
        headers += wire.build_backend_headers(order, left_s, server_id)
        watch = OverdueWatch(self, order, ticket)
        exchange = Exchange(
            Call(
                address=self._settings.server,
                method=call.method,
                target=call.target,
                headers=headers,
                body=call.body,
                request_id=order.request_id,
                idempotent=order.idempotent,
                deadline=ticket.deadline,
                connect_s=CONNECT_S,
                find_id=find_request_id,
                on_wait=watch.check,
            ),
            self._pool,
            self._clock,
            caller,
        )
        try:
            answer = exchange.run()
            self._check_answer(answer, server_id)
        except ExchangeError as error:
            if not watch.counted:
                self._note(error.kind, 1.0)
            raise
        except Refusal:
            self._note(Kind.SHED, SHED_WEIGHT)
            raise
        if answer.status >= SERVER_FAULT:
            self._note(Kind.ERROR, ERROR_WEIGHT)
        elif not watch.counted:
            self._note(Kind.OK, 0.0)
        return answer

    def _check_answer(self, answer, server_id):
        marks = wire.read_marks(answer.headers)
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

    def note_failure(self, kind, weight=1.0):
        """Count a failure of the backend server."""
        self._note(kind, weight)

    def _note(self, kind, weight):
        with self._lock:
            before = self.record.standing
            if kind is Kind.OK:
                self.record.note_success()
            else:
                self.record.note_failure(weight)
            after = self.record.standing
        if before is not after:
            log.info(
                "Owner: the backend server is %s after %s.", after.value, kind.value
            )
            self.on_change()

    def is_doubtful(self):
        """Return whether the backend server is not known to be sound."""
        return self.record.standing is not Standing.SOUND

    def find_usual(self, route):
        """Return the usual seconds that the server works on a route's request."""
        return self.gate.find_work(route)


class OverdueWatch:
    """Counts a request that takes too long, and gives up what can run elsewhere.

    Attributes:
        counted: Whether the request has been counted as a failure.
    """

    __slots__ = ("counted", "_owner", "_order", "_ticket", "_clock", "_began")

    def __init__(self, owner, order, ticket):
        self.counted = False
        self._owner = owner
        self._order = order
        self._ticket = ticket
        self._clock = owner._clock
        self._began = self._clock.now()

    def check(self):
        """Return the seconds until the next check.

        Raises:
            ExchangeError: If the request is better sent elsewhere.
        """
        now = self._clock.now()
        age_s = now - self._began
        usual_s = self._owner.find_usual(self._order.route)
        overdue_s = max(OVERDUE_LEAST_S, usual_s * OVERDUE_FACTOR)
        if age_s >= overdue_s and not self.counted:
            self.counted = True
            self._owner.note_failure(Kind.TIMEOUT)
        if self._order.may_abandon:
            self._consider_abandoning(now, age_s, overdue_s, usual_s)
        return WATCH_S if age_s >= overdue_s else min(WATCH_S, overdue_s - age_s + 0.01)

    def _consider_abandoning(self, now, age_s, overdue_s, usual_s):
        left_s = self._ticket.deadline - now
        if left_s < usual_s * DOUBT_FACTOR * KEPT_SHARE:
            return
        doubtful = self._owner.is_doubtful()
        limit_s = usual_s * DOUBT_FACTOR if doubtful else overdue_s
        limit_s = min(limit_s, (age_s + left_s) * (1.0 - KEPT_SHARE))
        if age_s >= max(OVERDUE_LEAST_S, limit_s):
            if not self.counted:
                self.counted = True
                self._owner.note_failure(Kind.TIMEOUT)
            raise ExchangeError(
                Kind.TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                "server-overdue",
                "it takes too long",
            )


class OwnedCall:
    """A request as it reached the owner.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: The `Header`s for the backend server.
        body: Bytes.
        arrived: Seconds at which it came.
    """

    __slots__ = ("method", "target", "headers", "body", "arrived")

    def __init__(self, method, target, headers, body, arrived):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived = arrived


class Wakener:
    """Wakes a thread that waits for a slot; it can be polled."""

    __slots__ = ("_number",)

    def __init__(self):
        self._number = os.eventfd(0, os.EFD_NONBLOCK)

    def fileno(self):
        """Return the descriptor that becomes readable."""
        return self._number

    def wake(self):
        """Wake the thread."""
        os.eventfd_write(self._number, 1)

    def close(self):
        """Release the descriptor."""
        os.close(self._number)


def find_request_id(headers):
    """Return the identifier of the request that an answer echoes."""
    return wire.read_marks(headers).request_id


def refuse(code, message):
    """Return the refusal of a request that the backend server did not run."""
    return Refusal(503, code, message, retry_after=0.0)


__all__ = ["CallerLeft", "OwnedCall", "Owner", "refuse"]
