"""Traffic.

The actor on the request path: admission, choice of backend server, outcomes.
"""

import logging
import random

from ..actors import Actor, Tick
from ..ejection.journal import log_event
from ..ejection.messages import EvidenceArrived, EvidenceWanted
from ..ejection.outcome import Kind, Outcome
from ..errors import PersimmonError, Refusal
from ..limits.admission import Admission
from ..limits.borrower import Borrower
from ..limits.messages import LoansChanged
from ..membership.messages import LoadReported, PeersChanged, ServersChanged
from ..reporting.ledger import Ledger, UnixClock
from ..traces.recorder import open_recorder
from ..verdicts import Verdict
from .budgets import SharedBudget
from .dispatcher import Dispatcher
from .indexing import DocumentIndexed
from .plans import (
    Abandoned,
    Arrival,
    AttemptEnded,
    ConnectionSuspected,
    RequestEnded,
    Snapshot,
)

log = logging.getLogger("persimmonlane.traffic")

MS_PER_S = 1000.0


class ProbeEnded:
    """A probe of a backend server has ended.

    Attributes:
        service: Name of the service.
        address: Address of the backend server.
        ok: Whether the answer was good.
        latency_s: Seconds until the answer or the failure.
    """

    __slots__ = ("service", "address", "ok", "latency_s")

    def __init__(self, service, address, ok, latency_s):
        self.service = service
        self.address = address
        self.ok = ok
        self.latency_s = latency_s


class Surrender:
    """Asks to hand all loans back, since no request will come any more."""

    __slots__ = ()


class RecordsWanted:
    """Asks for the records since the last time."""

    __slots__ = ()


class WaitingArrival:
    """An arrival that waits for a loan.

    Attributes:
        arrival: The `Arrival`.
        until: Monotonic seconds at which it is refused.
    """

    __slots__ = ("arrival", "until")

    def __init__(self, arrival, until):
        self.arrival = arrival
        self.until = until


class Traffic(Actor):
    """Owns the decisions on the request path of one node."""

    handlers = {
        Arrival: "arrive",
        Abandoned: "abandon",
        AttemptEnded: "end_attempt",
        ConnectionSuspected: "disregard",
        RequestEnded: "end_request",
        Tick: "tick",
        DocumentIndexed: "change_document",
        ServersChanged: "change_servers",
        PeersChanged: "change_peers",
        EvidenceWanted: "export_evidence",
        EvidenceArrived: "merge_evidence",
        LoadReported: "report_load",
        LoansChanged: "change_loans",
        ProbeEnded: "end_probe",
        RecordsWanted: "drain_records",
        Surrender: "surrender",
    }

    def __init__(self, application, settings, clock, metrics, ports):
        """Begin without a document.

        Args:
            application: The application that owns the actor.
            settings: The node's settings.
            clock: Clock in monotonic seconds.
            metrics: Where counters go.
            ports: The `Ports` through which decisions reach other parts.
        """
        super().__init__(application)
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._ports = ports
        self._rng = random.Random()
        self._view = None
        self._dispatchers = {}
        self._budgets = {}
        self._servers = ()
        self._peer_count = 0
        self._borrower = Borrower(settings.name, clock)
        self._waiting = []
        self._ledger = Ledger(UnixClock(), settings.name)
        self._recorder = open_recorder(settings, clock)

    def on_stop(self):
        """Close the trace, if one is recorded."""
        if self._recorder is not None:
            self._recorder.close()

    def arrive(self, arrival):
        """Admit a request and find its backend server."""
        try:
            self._admit(arrival)
        except PersimmonError as error:
            refuse(arrival, error)

    def abandon(self, message):
        """Give back what an arrival holds for which nobody waits."""
        arrival = message.arrival
        arrival.abandoned = True
        if arrival.plan is None:
            return
        plan = arrival.plan
        outcome = Outcome(
            plan.address, plan.attempt, Kind.CANCELLED, 0.0, Verdict.NOT_RUN
        )
        self.end_attempt(AttemptEnded(arrival.service, outcome))

    def end_attempt(self, message):
        """Take the end of an attempt."""
        dispatcher = self._dispatchers.get(message.service)
        if dispatcher is None:
            return
        dispatcher.end(message.outcome)
        self._metrics.count(f"attempts.{message.outcome.kind.value}")
        self._place_queued(dispatcher)

    def disregard(self, message):
        """Take an attempt on a dead connection out of the evidence."""
        log.info("Traffic: a connection to %s is silent.", message.address)

    def end_request(self, message):
        """Count a request."""
        self._metrics.time("requests", message.latency_s)
        self._ledger.note(
            message.service,
            message.organisation,
            message.status,
            message.verdict,
            message.latency_s,
            message.code or None,
        )

    def tick(self, message):
        """Do what is due."""
        for dispatcher in self._dispatchers.values():
            if not dispatcher.is_idle():
                self._tick_dispatcher(dispatcher)
        self._retry_waiting()
        self._send_demands()

    def _tick_dispatcher(self, dispatcher):
        dispatcher.ejector.tick()
        self._expire(dispatcher)
        self._place_queued(dispatcher)
        self._probe(dispatcher)
        self._log_events(dispatcher)
        self._purge_connections(dispatcher)

    def change_document(self, message):
        """Take another revision of the document into force."""
        view = message.view
        self._view = view
        self._borrower.set_view(view)
        self._ledger.set_view(view)
        self._update_dispatchers(view)
        self._ports.change_document(view)
        self._publish(message.keys)
        log.info("Traffic: revision %d is in force.", view.revision)

    def change_servers(self, message):
        """Take the backend servers that take new work."""
        self._servers = message.servers
        self._ports.pool.retain({server.address for server in message.servers})
        for dispatcher in self._dispatchers.values():
            self._update_servers(dispatcher)
            self._place_queued(dispatcher)

    def change_peers(self, message):
        """Take the nodes heard of lately."""
        self._peer_count = sum(self._is_observer(peer) for peer in message.peers)
        for dispatcher in self._dispatchers.values():
            dispatcher.ejector.update_peers(self._peer_count)

    def export_evidence(self, message):
        """Return the evidence that is due, as a tuple of `ServiceEvidence`."""
        due = [
            dispatcher.ejector.export_evidence()
            for dispatcher in self._dispatchers.values()
        ]
        return tuple(evidence for evidence in due if evidence is not None)

    def merge_evidence(self, message):
        """Take the evidence of another node."""
        for evidence in message.evidence:
            dispatcher = self._dispatchers.get(evidence.service)
            if dispatcher is not None:
                dispatcher.ejector.merge_evidence(message.node, evidence)

    def report_load(self, message):
        """Take a load report of a backend server."""
        for dispatcher in self._dispatchers.values():
            dispatcher.balancer.report_load(
                message.address, message.running, message.waiting, message.age_s
            )

    def change_loans(self, message):
        """Take loans, and serve who waited for them."""
        self._borrower.apply(message.loans)
        self._retry_waiting()

    def end_probe(self, message):
        """Take the answer to a probe."""
        dispatcher = self._dispatchers.get(message.service)
        if dispatcher is not None:
            dispatcher.ejector.record_probe(
                message.address, message.ok, message.latency_s
            )

    def drain_records(self, message):
        """Return the records since the last time."""
        return self._ledger.drain()

    def surrender(self, message):
        """Hand all loans back to their holders."""
        self._ports.send_demands(self._borrower.surrender())

    def _admit(self, arrival):
        if self._clock.now() >= arrival.deadline:
            raise Refusal(504, "deadline-passed", "no time is left")
        if arrival.retry:
            self._place(arrival)
            return
        admission = self._borrower.admit(arrival.organisation)
        if admission is Admission.ADMITTED:
            self._place(arrival)
        elif admission is Admission.WAIT:
            self._await_loan(arrival)
        else:
            raise self._refuse_rate(arrival)

    def _await_loan(self, arrival):
        limit_s = self._view.document.fleet.loan_wait_ms / MS_PER_S
        until = min(self._clock.now() + limit_s, arrival.deadline)
        self._waiting.append(WaitingArrival(arrival, until))
        self._send_demands()

    def _retry_waiting(self):
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            self._retry_one(item)

    def _retry_one(self, item):
        admission = self._borrower.admit(item.arrival.organisation, again=True)
        if admission is Admission.ADMITTED:
            self._place_admitted(item.arrival)
        elif admission is Admission.WAIT and self._clock.now() < item.until:
            self._waiting.append(item)
        else:
            refuse(item.arrival, self._refuse_rate(item.arrival))

    def _place_admitted(self, arrival):
        try:
            self._place(arrival)
        except PersimmonError as error:
            refuse(arrival, error)

    def _refuse_rate(self, arrival):
        return Refusal(
            429,
            "rate-exceeded",
            "the organisation is over its rate",
            retry_after=self._borrower.retry_after(arrival.organisation),
        )

    def _place(self, arrival):
        dispatcher = self._dispatchers.get(arrival.service)
        if dispatcher is None:
            raise refuse_removed()
        plan = dispatcher.place(arrival)
        if plan is not None:
            arrival.answer(plan)
        self._expire(dispatcher)

    def _place_queued(self, dispatcher):
        for placement in dispatcher.place_queued():
            placement.arrival.answer(placement.plan)

    def _expire(self, dispatcher):
        for rejection in dispatcher.expire():
            refuse(rejection.arrival, rejection.refusal)

    def _probe(self, dispatcher):
        for address in dispatcher.ejector.due_probes():
            self._ports.probe(dispatcher.service.name, address)

    def _log_events(self, dispatcher):
        for event in dispatcher.ejector.events():
            log_event(dispatcher.service.name, event)
            self._metrics.count(f"ejection.{event.name}")

    def _purge_connections(self, dispatcher):
        for address in dispatcher.running():
            since = dispatcher.ejector.connections_since(address)
            self._ports.pool.distrust(address, since)

    def _send_demands(self):
        demands = self._borrower.demands()
        if demands:
            self._ports.send_demands(demands)

    def _update_dispatchers(self, view):
        services = {service.name: service for service in view.document.services}
        for name in self._dispatchers.keys() - services.keys():
            for arrival in self._dispatchers.pop(name).dismiss():
                refuse(arrival, refuse_removed())
            del self._budgets[name]
        for name, service in services.items():
            if name in self._dispatchers:
                self._dispatchers[name].set_service(service)
                self._budgets[name].set_policy(service.retries)
            else:
                self._add_dispatcher(service)

    def _add_dispatcher(self, service):
        dispatcher = Dispatcher(
            service,
            self._settings.data_centre,
            self._find_rate,
            self._clock,
            self._rng,
            self._ports.pool.has_kept,
            self._recorder,
        )
        dispatcher.ejector.update_peers(self._peer_count)
        self._dispatchers[service.name] = dispatcher
        self._budgets[service.name] = SharedBudget(service.retries, self._clock)
        self._update_servers(dispatcher)

    def _update_servers(self, dispatcher):
        name = dispatcher.service.name
        dispatcher.update_servers([s for s in self._servers if s.service == name])

    def _is_observer(self, peer):
        return peer.ingress and peer.data_centre == self._settings.data_centre

    def _find_rate(self, organisation):
        found = self._view.find_organisation(organisation)
        return found.rate if found else 1.0

    def _publish(self, keys):
        self._ports.forwarder.snapshot = Snapshot(self._view, keys, dict(self._budgets))


def refuse_removed():
    """Return the refusal of a request whose service left the document."""
    return Refusal(
        503, "service-removed", "the service is no longer served", retry_after=1
    )


def refuse(arrival, error):
    """Answer an arrival with an error."""
    arrival.reply.set_exception((type(error), error, error.__traceback__))
