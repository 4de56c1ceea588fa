"""Request handling by the owner, the node on the VM of a backend server.

Admits a request, forwards it to the local backend server and returns the answer.
"""

import logging
import threading

from ..errors import Refusal
from ..explaining.events import OwnerEnded, log_event
from ..quarantine.refusals import check_quarantine
from ..routing.rulebook import NO_COLD_START
from ..serving.exchange import ExchangeError
from ..serving.memory import DEFAULT_LIMIT_BYTES
from ..signals import PollableEvent
from ..verdicts import Verdict
from .admission import AdmissionQueue, Ticket
from .answers import AnswerJudge
from .backend import ServerState
from .calls import build_not_run_refusal
from .client import ServerClient
from .crashes import CrashObserver, is_listening
from .dispatch import DispatchLog
from .dispatcher import Dispatcher
from .evacuation import SERVER_EVACUATED, EvacuationGate
from .evidence import HealthEvidence
from .forwarding import Forwarder
from .health import FailureDetector, estimate_prior
from .heldbodies import HeldBodies
from .latency import LatencyModels
from .slotwait import await_slot
from .status import OwnerStatus
from .statuscheck import StatusCheck
from .statuspolling import StatusPoller
from .updates import ServerUpdates

log = logging.getLogger("persimmonlane.owner")

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
        "_poller",
        "_updates",
        "_dispatcher",
        "hosted",
        "detector",
        "admission_queue",
        "crashes",
        "status",
        "evacuation",
        "on_change",
        "_clock",
        "_ledger",
        "_lock",
        "_misdirected_id",
        "_latency_models",
        "_admission_stopped",
        "_dispatch_log",
        "_fleet",
        "_prior_at",
        "_evidence",
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
        self._clock = clock
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
        self._updates = self._build_updates()
        self._poller = self._build_poller(StatusCheck(settings, clock, pool))
        self._dispatcher = Dispatcher(
            self._lock,
            self.evacuation,
            self.admission_queue.cold,
            self._dispatch_log,
            HeldBodies(clock, held_limit_bytes),
            self._build_forwarder(ServerClient(settings, clock, pool)),
        )

    def _build_updates(self):
        return ServerUpdates(
            self._lock,
            self.hosted,
            self.admission_queue,
            self.crashes,
            self._reset_server,
            self._update_slots,
            self._announce_change,
        )

    def _build_poller(self, status_check):
        return StatusPoller(
            self._lock,
            self.hosted,
            self.admission_queue,
            status_check,
            lambda: self.find_status_path(),
            self._updates,
            self._announce_change,
        )

    def _build_forwarder(self, client):
        judge = AnswerJudge(
            self._lock,
            self.hosted,
            self.admission_queue.limit,
            self._evidence,
            self._updates,
            self._set_misdirected,
        )
        return Forwarder(
            self.hosted,
            client,
            judge,
            self.crashes,
            self._ledger,
            self._evidence,
            self._record,
            self._close_admission,
        )

    def _announce_change(self):
        # `on_change` is set after the owner has been created.
        self.on_change()

    def _reset_server(self):
        """Forget what is known of the former process; the caller holds the lock."""
        self.detector.reset()
        self.admission_queue.limit.reset()
        self.admission_queue.cold.reset()
        self._misdirected_id = None

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
        self._updates.apply(self.hosted.apply_heartbeat, heartbeat)
        self._poller.check_newcomer()
        is_leaving = heartbeat.state is ServerState.DRAINING
        return not is_leaving or self.hosted.departures.find(heartbeat) is not None

    def learn_departures(self, departures):
        """Learn what the store holds of departures.

        Args:
            departures: The `Departure`s.
        """
        self.hosted.newcomers.note_departures_read()
        self._updates.apply(self.hosted.learn_departures, departures)
        self._updates.apply(self.hosted.use_newcomer)

    def handle_departure(self, server_id, born):
        """Handle the departure of the backend server; return whether it was believed.

        Args:
            server_id: Identifier of the backend server that departs.
            born: Unix milliseconds of its start, or None if not given.
        """
        return self._updates.apply_departure(server_id, born)

    def tick(self):
        """Update the health state, and close admission when heartbeats are overdue."""
        self._update_prior()
        self._poller.check_newcomer()
        self._updates.apply(self.hosted.use_newcomer)
        self._poller.check_cold()
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
            await_slot(ticket, wakeup, caller, self._clock)
            check_quarantine(self._ledger, order.fingerprint)
            return self._dispatcher.dispatch(order, call, ticket, caller)
        finally:
            with self._lock:
                self.admission_queue.release(ticket)

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

    def _close_admission(self):
        with self._lock:
            self._update_slots()
        self.on_change()

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
