"""Request handling by the owner, the node on the VM of a backend server.

Admits a request, forwards it to the local backend server and returns the answer.
"""

import logging
import threading

from ..errors import Refusal
from ..explaining.events import OwnerEnded, log_event
from ..outcomes import OutcomeKind
from ..platform import headers as wire
from ..quarantine.refusals import check_quarantine
from ..routing.rulebook import NO_COLD_START
from ..serving.exchange import ExchangeError
from ..serving.memory import DEFAULT_LIMIT_BYTES
from ..serving.shutdown import NodeShutdown
from ..signals import PollableEvent
from ..verdicts import Verdict
from .admission import AdmissionQueue, Ticket
from .backend import ServerState
from .calls import build_crash_error, build_not_run_refusal
from .client import ServerClient
from .crashes import CrashObserver, is_listening
from .dispatch import DispatchLog
from .evacuation import SERVER_EVACUATED, EvacuationGate
from .evidence import HealthEvidence
from .health import FailureDetector, estimate_prior
from .heldbodies import RETRY_AFTER_S, HeldBodies
from .latency import LatencyModels
from .newcomers import Condition, ServerStatement
from .status import OwnerStatus
from .statuscheck import StatusCheck

log = logging.getLogger("persimmonlane.owner")

MIN_TIME_LEFT_S = 0.02
POLL_INTERVAL_S = 0.25
MIN_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
PRIOR_INTERVAL_S = 1.0


class Owner:
    """Local backend server with its admission queue and failure detector.

    Attributes:
        hosted: The `HostedServer`.
        detector: The `FailureDetector`.
        admission_queue: The `AdmissionQueue`.
        crashes: The `CrashObserver`.
        status: The `OwnerStatus`.
        evacuation: The `EvacuationGate`.
        on_change: Callable that is called after the server's status has changed.
        find_status_path: Callable that returns the path of the server's status check;
            empty if it has none, None if that is not known yet.
        find_cold_start: Callable that returns the `ColdStart` of the server's service,
            None if there is no document yet.
    """

    __slots__ = (
        "find_status_path",
        "find_cold_start",
        "_status_check",
        "hosted",
        "detector",
        "admission_queue",
        "crashes",
        "status",
        "evacuation",
        "on_change",
        "_clock",
        "_client",
        "_ledger",
        "_lock",
        "_misdirected_id",
        "_latency_models",
        "_admission_stopped",
        "_dispatch_log",
        "_fleet",
        "_prior_at",
        "_evidence",
        "_held_bodies",
    )

    def __init__(
        self,
        settings,
        hosted,
        clock,
        pool,
        ledger,
        held_limit_bytes=DEFAULT_LIMIT_BYTES,
        evacuations=None,
    ):
        """Create the owner.

        Args:
            settings: The `FleetSettings`.
            hosted: The `HostedServer`.
            clock: Clock in seconds.
            pool: The `ConnectionPool`.
            ledger: The `CrashLedger`.
            held_limit_bytes: Bytes of long bodies that the backend server may hold.
            evacuations: The `EvacuationHolder`; None where operators evacuate no data
                centres.
        """
        self.hosted = hosted
        self.evacuation = EvacuationGate(settings, clock, evacuations)
        self.crashes = CrashObserver(
            clock, hosted, ledger, lambda: is_listening(settings.server)
        )
        self._fleet = None
        self.detector = FailureDetector(clock, self._may_eject)
        self.admission_queue = AdmissionQueue(clock, settings)
        self.on_change = lambda: None
        self.find_status_path = lambda: None
        self.find_cold_start = lambda: NO_COLD_START
        self._status_check = StatusCheck(settings, clock, pool)
        self._clock = clock
        self._client = ServerClient(settings, clock, pool)
        self._ledger = ledger
        self._lock = threading.Lock()
        self._evidence = HealthEvidence(clock, self.detector, self.admission_queue)
        self._misdirected_id = None
        self._latency_models = LatencyModels()
        self.status = OwnerStatus(
            clock,
            hosted,
            self.admission_queue,
            self.detector,
            self._evidence,
            self._latency_models,
        )
        self._admission_stopped = False
        self._dispatch_log = DispatchLog(clock)
        self._prior_at = float("-inf")
        self._held_bodies = HeldBodies(clock, held_limit_bytes)

    def watch_fleet(self, fleet):
        """Set the `FleetHealth` of the other servers of the service."""
        self._fleet = fleet

    def stop_admitting(self):
        """Stop admitting requests for good, because the node was told to stop.

        Running requests continue. Waiting requests are refused as not run, so that
        their ingress nodes send them to other servers.
        """
        with self._lock:
            self._admission_stopped = True
            self._update_slots()

    def apply_evacuations(self):
        """Close or open admission after a change of the evacuations.

        Running requests continue. Waiting requests are refused as not run.
        """
        with self._lock:
            slots = self.admission_queue.slots
            self._update_slots()
            changed = slots != self.admission_queue.slots
        if changed:
            self.on_change()

    def cancel(self, request_id, time_left_s):
        """Cancel a request unless it was already sent to the backend server.

        Args:
            request_id: Identifier of the request.
            time_left_s: Seconds until its deadline.

        Returns:
            Whether it was not sent yet; it will then never run.
        """
        with self._lock:
            return self._dispatch_log.cancel(request_id, time_left_s)

    def handle_heartbeat(self, heartbeat):
        """Handle a heartbeat of the backend server.

        Returns:
            Whether it was believed, if it says that the server leaves.
        """
        self._change_server(self.hosted.apply_heartbeat, heartbeat)
        self._check_newcomer()
        is_leaving = heartbeat.state is ServerState.DRAINING
        return not is_leaving or self.hosted.departures.find(heartbeat) is not None

    def learn_departures(self, departures):
        """Learn what the store holds of departures.

        Args:
            departures: The `Departure`s.
        """
        self.hosted.newcomers.note_departures_read()
        self._change_server(self.hosted.learn_departures, departures)
        self._change_server(self.hosted.use_newcomer)

    def _check_newcomer(self):
        """Ask a process that is held back for its status, if it is time to."""
        path = self.find_status_path()
        if path is None:
            return
        with self._lock:
            heartbeat = self.hosted.newcomers.begin_check()
        if heartbeat is None:
            return
        if not path:
            absent = ServerStatement("", Condition.ABSENT)
            self._note_statement(heartbeat, absent)
            return
        self._status_check.begin(
            path, lambda statement: self._note_statement(heartbeat, statement)
        )

    def _note_statement(self, heartbeat, statement):
        with self._lock:
            self.hosted.newcomers.note_statement(heartbeat, statement)
        if statement.condition is Condition.ILL:
            log.info("Owner: %s says that it leaves or fails.", heartbeat.server_id)
        self._change_server(self.hosted.use_newcomer)

    def _check_cold(self):
        """Ask the backend server whether it is cold, if this is to be known now."""
        path = self.find_status_path()
        if not path:
            return
        with self._lock:
            asked_at = self.admission_queue.cold.begin_check()
            current = self.hosted.current
        if asked_at is not None:
            self._status_check.begin(
                path,
                lambda statement: self._note_cold(asked_at, current, statement),
            )

    def _note_cold(self, asked_at, incarnation, statement):
        with self._lock:
            if statement.is_cold_malformed:
                self.admission_queue.cold.note_malformed()
            is_same = self.hosted.is_incarnation(incarnation)
            is_same = is_same and statement.server_id == incarnation.server_id
            changed = self.admission_queue.cold.note_statement(
                asked_at, statement.cold_s if is_same else None
            )
            self.admission_queue.admit_waiting()
        if changed:
            is_cold = statement.cold_s > 0.0
            log.info("Owner: the backend server is %s.", "cold" if is_cold else "warm")
            self.on_change()

    def _change_server(self, change, *arguments):
        """Change what is known of the backend server.

        Args:
            change: Method of the `HostedServer` that returns whether it has changed.
            arguments: Its arguments.
        """
        with self._lock:
            before, held_before = self.hosted.current, self.hosted.newcomers.held
            changed = change(*arguments)
            current, held = self.hosted.current, self.hosted.newcomers.held
            is_new = changed and (before is None or before.born != current.born)
            if is_new:
                self.detector.reset()
                self.admission_queue.limit.reset()
                self.admission_queue.cold.reset()
                self._misdirected_id = None
            if current is not before:
                self.admission_queue.cold.note_heartbeat(current.cold_s)
            self._update_slots()
        if not changed:
            if held is not None and held_before is None:
                log.info("Owner: %s waits for what is known of it.", held.server_id)
                self.on_change()
            return
        log.info("Owner: %s is %s.", current.server_id, self._describe_state())
        if is_new and before is not None:
            self.crashes.note_started(before)
        self.on_change()

    def _describe_state(self):
        return "leaving" if self.hosted.is_leaving() else "ready"

    def handle_departure(self, server_id, born):
        """Handle the departure of the backend server; return whether it was believed.

        Args:
            server_id: Identifier of the backend server that departs.
            born: Unix milliseconds of its start, or None if not given.
        """
        with self._lock:
            known = self.hosted.departures.list()
            is_believed = self.hosted.may_depart(server_id, born)
            changed = self.hosted.apply_departure(server_id, born)
            self._update_slots()
        if changed:
            log.info("Owner: %s has departed.", server_id)
            self.on_change()
        elif known != self.hosted.departures.list():
            log.info(
                "Owner: %s, born %s, says that it leaves; in use is %s.",
                server_id,
                born,
                self._describe_current(),
                extra={"event": "departure-of-another"},
            )
        return is_believed

    def _describe_current(self):
        current = self.hosted.current
        return "none" if current is None else f"{current.server_id}, {current.born}"

    def tick(self):
        """Update the health state, and close admission when heartbeats are overdue."""
        self._update_prior()
        self._check_newcomer()
        self._change_server(self.hosted.use_newcomer)
        self._check_cold()
        with self._lock:
            slots = self.admission_queue.slots
            self.admission_queue.cold.observe()
            self._evidence.end_ejection()
            self._evidence.evaluate_running()
            self._update_slots()
            self.admission_queue.admit_waiting()
            changed = self._evidence.has_changed or slots != self.admission_queue.slots
            self._evidence.has_changed = False
        if changed:
            self.on_change()

    def note_nested_failure(self):
        """Note that a call which the backend server made of its own has failed."""
        with self._lock:
            self._evidence.note_nested_failure()

    def is_ready(self):
        """Return whether the backend server takes new requests."""
        return self.admission_queue.slots > 0

    def check_admission(self, order):
        """Return the `OwnerReport` on whether a request would be admitted now.

        This reserves no slot: the request is checked again when it arrives. The
        report's code is empty if the request would be admitted.
        """
        with self._lock:
            try:
                self._check(order)
                self.admission_queue.check_admission(
                    self._build_ticket(order, self._clock.now(), None)
                )
            except Refusal as refusal:
                wait_s = refusal.retry_after or 0.0
                return self.status.report(Verdict.NOT_RUN, refusal.code, wait_s)
        return self.status.report(Verdict.NOT_RUN)

    def serve(self, order, call, caller):
        """Forward a request and return the backend server's complete answer.

        Args:
            order: The `Order`.
            call: The `ForwardedCall` with method, target, headers and body.
            caller: The `CallerWatch` of the caller's connection.

        Raises:
            Refusal: If the backend server did not run the request.
            ExchangeError: If it was sent, and no complete answer was received.
            CallerDisconnected: If the caller disconnected.
        """
        order.fingerprint = order.fingerprint or call.compute_fingerprint(order)
        wakeup = PollableEvent()
        with self._lock:
            ticket = self._build_ticket(order, call.received_at, wakeup.set)
        outcome, verdict, status = "given-up", "", 0
        try:
            answer = self._process(order, call, ticket, wakeup, caller)
            outcome, verdict, status = "answered", Verdict.RAN.value, answer.status
            return answer
        except (Refusal, ExchangeError) as error:
            outcome, verdict = error.code, error.verdict.value
            raise
        finally:
            wakeup.close()
            self._log_end(order, call, ticket, outcome, verdict, status)

    def _process(self, order, call, ticket, wakeup, caller):
        self._admit(order, ticket)
        try:
            self._await_slot(ticket, wakeup, caller)
            check_quarantine(self._ledger, order.fingerprint)
            return self._dispatch(order, call, ticket, caller)
        finally:
            with self._lock:
                self.admission_queue.release(ticket)

    def _dispatch(self, order, call, ticket, caller):
        size = len(call.body)
        with self._lock:
            has_room = self._held_bodies.add(size)
        if not has_room:
            raise build_not_run_refusal(
                "server-full", "the backend server holds enough bodies", RETRY_AFTER_S
            )
        may_be_held = True
        try:
            answer = self._run(order, call, ticket, caller)
            may_be_held = False
            return answer
        except (Refusal, ExchangeError) as error:
            may_be_held = error.verdict is not Verdict.NOT_RUN
            raise
        finally:
            with self._lock:
                self._held_bodies.remove(size, not may_be_held)

    def _run(self, order, call, ticket, caller):
        with self._lock:
            self._mark_dispatched(order, ticket)
        try:
            return self._exchange(order, call, ticket, caller)
        finally:
            with self._lock:
                self._dispatch_log.mark_ended(order.request_id)

    def _mark_dispatched(self, order, ticket):
        """Record that a request is about to be sent; the caller holds the lock.

        Raises:
            Refusal: Not run, if it must not be sent any more.
        """
        self.evacuation.check()
        if not self.admission_queue.cold.confirm(ticket.granted_at):
            raise build_not_run_refusal(
                "server-cold", "the request was to be dispatched too late"
            )
        if not self._dispatch_log.mark_dispatched(order.request_id, ticket.deadline):
            raise build_not_run_refusal(
                "request-withdrawn", "its ingress node cancelled it"
            )

    def _log_end(self, order, call, ticket, outcome, verdict, status):
        now = self._clock.now()
        granted_at = ticket.granted_at if ticket.granted_at is not None else now
        log_event(
            OwnerEnded(
                order.request_id,
                order.route,
                order.server_id,
                outcome,
                verdict,
                status,
                order.priority,
                granted_at - call.received_at,
                now - granted_at,
                self.admission_queue.running,
                self.admission_queue.waiting,
                self.detector.state.value,
            )
        )

    def _update_slots(self):
        self.admission_queue.cold.set_start(self.find_cold_start())
        ready = self.hosted.is_ready() and not self._admission_stopped
        if ready and self.hosted.is_current(self._misdirected_id):
            ready = False
        self.evacuation.note_state(self.admission_queue.running)
        if not self.evacuation.is_open():
            self.evacuation.refused += self.admission_queue.waiting
            self.admission_queue.refuse_waiting(SERVER_EVACUATED)
            ready = False
        slots = self.hosted.current.slots if ready else 0
        if slots != self.admission_queue.slots:
            self.admission_queue.resize(slots)

    def _build_ticket(self, order, received_at, wake):
        latency = self._latency_models.get_model(order.route, order.objective_s)
        deadline = received_at + order.time_left_s
        is_alone = order.alone or self._ledger.must_run_alone(order.fingerprint)
        return Ticket(
            latency,
            order.priority,
            deadline,
            order.max_wait_s,
            wake,
            is_alone,
            order.organisation,
        )

    def _admit(self, order, ticket):
        with self._lock:
            self._check(order)
            self.admission_queue.admit(ticket)

    def _check(self, order):
        self._update_slots()
        self.evacuation.check()
        if self.hosted.is_current(order.server_id):
            self.admission_queue.limit.adopt(order.limit)
        if not self.hosted.is_current(order.server_id):
            raise build_not_run_refusal("server-gone", "the backend server is gone")
        check_quarantine(self._ledger, order.fingerprint)
        self._evidence.check(order)

    def _await_slot(self, ticket, wakeup, caller):
        while ticket.granted_at is None:
            if ticket.refusal is not None:
                raise ticket.refusal
            time_left_s = ticket.deadline - self._clock.now()
            if time_left_s <= MIN_TIME_LEFT_S:
                raise build_not_run_refusal(
                    "deadline-passed", "no slot became free in time"
                )
            wait_left_s = ticket.wait_deadline - self._clock.now()
            if wait_left_s <= 0:
                raise build_not_run_refusal(
                    "server-busy", "no slot became free soon enough"
                )
            try:
                caller.wait(wakeup, min(wait_left_s, POLL_INTERVAL_S))
            except NodeShutdown as error:
                raise build_not_run_refusal(
                    "server-leaving", "the node ends"
                ) from error
        if ticket.deadline - self._clock.now() <= MIN_TIME_LEFT_S:
            raise build_not_run_refusal("deadline-passed", "no time is left")

    def _exchange(self, order, call, ticket, caller):
        incarnation = self.hosted.current
        running = self.crashes.enter(order, order.fingerprint, incarnation)
        try:
            answer = self._client.run(order, call, ticket.deadline, caller)
            self._note_statements(answer, incarnation)
            self._check_answer(answer, order.server_id)
        except ExchangeError as error:
            if error.kind is OutcomeKind.TIMEOUT:
                self._record(self._evidence.record_unanswered, error.kind, ticket)
            elif self._has_crashed(error, running):
                self._close_admission()
                raise build_crash_error() from error
            else:
                self._record(self._evidence.record_break, error.kind)
            raise
        except Refusal:
            self._record(self._evidence.record_shed)
            raise
        except Exception:
            cancelled = OutcomeKind.CANCELLED
            self._record(self._evidence.record_unanswered, cancelled, ticket)
            raise
        finally:
            self.crashes.leave(running)
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self._record(self._evidence.record_error, ticket)
        else:
            self._record(self._evidence.record_success, ticket)
            self._note_served(order)
        return answer

    def _has_crashed(self, error, running):
        """Return whether an exchange broke since the server's process has ended.

        Args:
            error: The `ExchangeError`.
            running: The `RunningRequest`.
        """
        if error.kind not in (OutcomeKind.ERROR, OutcomeKind.INVALID):
            return False
        return self.crashes.examine_break(running)

    def _close_admission(self):
        with self._lock:
            self._update_slots()
        self.on_change()

    def _note_served(self, order):
        clearance = self._ledger.note_served(order.fingerprint)
        if clearance is not None:
            self.crashes.on_crash([clearance])

    def _note_statements(self, answer, incarnation):
        """Apply what the backend server says of itself in an answer.

        Args:
            answer: The `CompleteResponse`.
            incarnation: A `Heartbeat` of the process that it came from.
        """
        marks = wire.parse_response_headers(answer.headers)
        if not marks.is_genuine() or answer.status == MISDIRECTED_STATUS:
            return
        with self._lock:
            if not self.hosted.is_incarnation(incarnation):
                return
            if self.admission_queue.limit.apply_answer(marks):
                self._evidence.has_changed = True
        if marks.leaving:
            self.handle_departure(incarnation.server_id, incarnation.born)

    def _check_answer(self, answer, server_id):
        marks = wire.parse_response_headers(answer.headers)
        if marks.not_run or answer.status == MISDIRECTED_STATUS:
            if answer.status == MISDIRECTED_STATUS:
                self._set_misdirected(server_id)
            raise build_not_run_refusal(
                "server-shed", "the backend server did not run it"
            )
        encoded = any(h.name.lower() == "content-encoding" for h in answer.headers)
        if encoded or (answer.status < 300 and not marks.signed):
            raise ExchangeError(
                OutcomeKind.INVALID,
                Verdict.MAY_HAVE_RUN,
                "answer-refused",
                "the answer is not the backend server's own",
            )

    def _set_misdirected(self, server_id):
        with self._lock:
            self._misdirected_id = server_id
            self._update_slots()
        log.warning(
            "Owner: another backend server answers at the address of %s.", server_id
        )
        self.on_change()

    def _record(self, record, *fields):
        """Record an outcome by a method of the `HealthEvidence`."""
        with self._lock:
            changed = record(*fields)
        if changed:
            self.on_change()

    def _may_eject(self):
        return self._fleet is None or self._fleet.may_eject()

    def _update_prior(self):
        now = self._clock.now()
        if self._fleet is not None and now - self._prior_at >= PRIOR_INTERVAL_S:
            self._prior_at = now
            self.detector.prior = estimate_prior(self._fleet.list_risks())
