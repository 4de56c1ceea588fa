"""Fleet.

Nodes made of the decision classes, before fake backend servers and callers.
"""

import random

from ..balancing import Choice, create_balancer
from ..ejection import create_ejector
from ..ejection.evidence import decode_evidence, encode_evidence
from ..ejection.outcome import Kind, Outcome
from ..limits.admission import Admission
from ..reporting import measures as ms
from ..retries import RequestAttempts, RetryBudget
from ..store.memory import MemoryStore
from ..verdicts import Verdict
from .audits import Audit
from .backends import FakeBackend
from .limiters import limiters
from .network import FakeNetwork
from .nodes import Desk, Node, Request
from .schedule import Schedule, SkewedClock

TICK_S = 0.05
EVIDENCE_S = 0.25
REPORT_S = 0.5
REPORT_AGE_S = 0.25
WAIT_S = 0.02
PROBE_S = 0.02
DEADLINE_S = 3.0
IDEMPOTENT_SHARE = 0.7
MAX_OFFSET_S = 1000.0
LOCAL_DELAY_S = 0.0002
MAX_DRIFT = 0.001
CLOSING = (Kind.TIMEOUT, Kind.SHORT, Kind.CONNECT)
SEEN = {
    "suspected": ms.ServerSuspected,
    "ejected": ms.ServerEjected,
    "returned": ms.ServerReturned,
}


class Fleet:
    """A fleet in trial.

    Attributes:
        schedule: The `Schedule`.
        network: The `FakeNetwork`.
        store: The `MemoryStore`.
        document: The document in force.
        nodes: The nodes.
        backends: The `FakeBackend`s by address.
        measures: The `Measures` over all nodes.
        audit: The `Audit`.
        ejections: The ejectors' events of all nodes, with the node's name.
    """

    def __init__(self, site, document, seed, limiter="lending", recorder=None, nodes=6):
        """Build a fleet.

        Args:
            site: The `Site`.
            document: The document in force.
            seed: Seed of all random generators.
            limiter: Name of the limiter.
            recorder: Called with the first node's clock; returns a `Recorder`
                for the ejector and balancer of its first service.
            nodes: Number of nodes that take requests.
        """
        self.site = site
        self.document = document
        self.schedule = Schedule()
        self.rng = random.Random(seed)
        self.store = MemoryStore(self.schedule.clock)
        self.network = FakeNetwork(self.schedule, self.derive_rng(), self._find_delay)
        self.backends = {
            server.address: FakeBackend(server, self.derive_rng())
            for server in site.list_servers()
        }
        self.measures = ms.Measures(document.organisations)
        self.audit = Audit(document, self.backends)
        self.ejections = []
        self.nodes = [self._create_node(number) for number in range(nodes)]
        self.recorder = recorder and recorder(self.nodes[0].clock)
        for node in self.nodes:
            self._open_desks(node)
        self.limiter = limiters.get_by_name(limiter)(self)
        self._requests = 0

    def run(self, duration_s):
        """Send the site's loads for a time in seconds, then let all end."""
        for load in self.site.list_loads():
            self.send_load(load, duration_s)
        for node in self.nodes:
            self.repeat(node, TICK_S, self._tick, node)
            self.repeat(node, EVIDENCE_S, self._share, node)
        self.schedule.call_every(REPORT_S, self._report_loads)
        self.schedule.run(duration_s + DEADLINE_S)

    def send_load(self, load, until_s):
        """Send an organisation's requests at random times up to a time."""
        rng = self.derive_rng()

        def send():
            if self.schedule.clock.seconds >= until_s:
                return
            self._submit(rng, load.organisation)
            self.schedule.call_later(rng.expovariate(load.rate), send)

        self.schedule.call_later(rng.expovariate(load.rate), send)

    def fail(self, address, name):
        """Let a backend server fail in a way, by its name."""
        now = self.schedule.clock.seconds
        self.backends[address].fail(name, now)
        if self.backends[address].failure.visible:
            self.measures.observe(ms.ServerFailed(now, address))

    def recover(self, address):
        """End a backend server's failure."""
        now = self.schedule.clock.seconds
        self.backends[address].fail(None, now)
        self.measures.observe(ms.ServerRecovered(now, address))

    def leave(self, address, delay_s):
        """Let a backend server leave; nodes learn of it within a delay."""
        backend = self.backends[address]
        backend.leaving_at = self.schedule.clock.seconds
        for node in self.nodes:
            delay = self.rng.random() * delay_s
            self.schedule.call_later(
                delay, node.run, self._remove, node, backend.server
            )

    def pause(self, node, duration_s):
        """Pause a node's process; what comes meanwhile waits."""
        node.paused_until = self.schedule.clock.seconds + duration_s

    def repeat(self, node, interval_s, method, *arguments):
        """Call a method on a node at a fixed interval in seconds."""
        offset_s = self.rng.random() * interval_s
        self.schedule.call_every(
            interval_s, lambda: node.run(method, *arguments), offset_s
        )

    def derive_rng(self):
        """Return a random generator that depends on the seed alone."""
        return random.Random(self.rng.getrandbits(53))

    def _create_node(self, number):
        data_centres = self.site.data_centres
        offset_s = self.rng.random() * MAX_OFFSET_S
        pace = 1 + self.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        clock = SkewedClock(self.schedule.clock, offset_s, pace)
        data_centre = data_centres[number % len(data_centres)]
        return Node(f"node-{number}", data_centre, clock, self.schedule)

    def _open_desks(self, node):
        for number, service in enumerate(self.document.services):
            servers = tuple(
                each.server
                for each in self.backends.values()
                if each.server.service == service.name
            )
            recorded = self.recorder is not None and number == 0
            node.desks[service.name] = self._open_desk(
                node, service, servers, recorded and node is self.nodes[0]
            )

    def _open_desk(self, node, service, servers, recorded):
        make_ejector, make_balancer = create_ejector, create_balancer
        if recorded:
            make_ejector = self.recorder.create_ejector
            make_balancer = self.recorder.create_balancer
        ejector = make_ejector(service, node.clock, self.derive_rng())
        ejector.update_servers(servers)
        ejector.update_peers(self._count_peers(node))
        balancer = make_balancer(
            service, node.data_centre, node.clock, self.derive_rng()
        )
        budget = RetryBudget(service.retries, node.clock)
        return Desk(service, servers, ejector, balancer, budget)

    def _count_peers(self, node):
        near = [each for each in self.nodes if each.data_centre == node.data_centre]
        return len(near) - 1

    def _find_delay(self, source, target):
        places = {node.name: node.data_centre for node in self.nodes}
        same = places[source] == places[target]
        return LOCAL_DELAY_S if same else self.site.delay_s

    def _remove(self, node, server):
        desk = node.desks[server.service]
        desk.servers = tuple(each for each in desk.servers if each is not server)
        desk.ejector.update_servers(desk.servers)

    def _submit(self, rng, organisation):
        node = rng.choice(self.nodes)
        self._requests += 1
        request = Request(
            self._requests,
            organisation,
            rng.choice(self.document.services).name,
            rng.random() < IDEMPOTENT_SHARE,
            self.schedule.clock.seconds,
        )
        node.run(self._admit, node, request, False)

    def _admit(self, node, request, again):
        now = self.schedule.clock.seconds
        admission = self.limiter.admit(node, request.organisation, again)
        waited_ms = (now - request.at) * 1000
        if admission is Admission.ADMITTED:
            self._begin(node, request)
        elif (
            admission is Admission.WAIT and waited_ms < self.document.fleet.loan_wait_ms
        ):
            self.schedule.call_later(WAIT_S, node.run, self._admit, node, request, True)
        else:
            self._refuse(request, "rate-exceeded")

    def _begin(self, node, request):
        now = self.schedule.clock.seconds
        desk = node.desks[request.service]
        self.audit.check_admission(request.organisation, now)
        self.measures.observe(ms.RequestAdmitted(now, request.organisation))
        request.attempts = RequestAttempts(
            request.idempotent,
            node.clock.now() + DEADLINE_S,
            desk.service.retries,
            desk.budget,
            node.clock,
        )
        self._attempt(node, desk, request)

    def _attempt(self, node, desk, request):
        choice = Choice(
            idempotent=request.idempotent,
            excluded=frozenset(request.attempts.tried),
            standings=desk.ejector.standing,
        )
        server = desk.balancer.choose(desk.servers, choice)
        if server is None:
            self._end(request, desk, 503, request.attempts.verdict, None)
            return
        self._send(node, desk, request, server)

    def _send(self, node, desk, request, server):
        now = self.schedule.clock.seconds
        address = server.address
        self.audit.check_attempt(address, now)
        request.attempts.begin(address)
        opened, pooled = self._connect(node, desk, address)
        number = desk.ejector.start(address, pooled)
        desk.balancer.start(address)
        answer = self.backends[address].answer(request.number, now, opened)
        outcome = self._receive(node, desk, server, number, answer)
        self.schedule.call_later(
            outcome.latency_s,
            node.run,
            self._finish,
            node,
            desk,
            request,
            outcome,
            opened,
        )

    def _connect(self, node, desk, address):
        """Return the time at which the connection was opened, and if it was open."""
        trusted = node.clock.find_time(desk.ejector.connections_since(address))
        idle = desk.idle[address]
        idle[:] = [opened for opened in idle if opened >= trusted]
        if idle:
            return idle.pop(), True
        return self.schedule.clock.seconds, False

    def _receive(self, node, desk, server, number, answer):
        """Return the `Outcome` as the node will see it."""
        local = server.data_centre == node.data_centre
        latency_s = answer.latency_s + 2 * (
            LOCAL_DELAY_S if local else self.site.delay_s
        )
        timeout_s = desk.service.response_timeout_ms / 1000
        if answer.kind is None or latency_s > timeout_s:
            return Outcome(
                server.address, number, Kind.TIMEOUT, timeout_s, Verdict.MAY_HAVE_RUN
            )
        verdict = answer.verdict
        if answer.kind in (Kind.ERROR, Kind.SHORT):
            verdict = Verdict.MAY_HAVE_RUN
        return Outcome(server.address, number, answer.kind, latency_s, verdict)

    def _finish(self, node, desk, request, outcome, opened):
        ok = outcome.kind is Kind.OK
        if outcome.kind not in CLOSING:
            desk.idle[outcome.address].append(opened)
        desk.balancer.finish(outcome.address, outcome.latency_s, ok)
        desk.ejector.observe(outcome)
        request.attempts.end(outcome.verdict)
        if ok:
            self._end(request, desk, 200, Verdict.RAN, request.number)
        elif request.attempts.may_retry(outcome.verdict):
            self._attempt(node, desk, request)
        else:
            self._end(request, desk, 502, request.attempts.verdict, None)

    def _refuse(self, request, code):
        now = self.schedule.clock.seconds
        self.audit.check_end(request, Verdict.NOT_RUN, None)
        self.measures.observe(ms.RequestRefused(now, request.organisation, code))

    def _end(self, request, desk, status, verdict, answer):
        now = self.schedule.clock.seconds
        self.audit.check_end(request, verdict, answer)
        latency_s = now - request.at + 2 * self.site.client_delay_s
        late = latency_s * 1000 > desk.service.objectives.latency_ms
        self.measures.observe(
            ms.RequestEnded(now, request.organisation, status, latency_s, late)
        )

    def _tick(self, node):
        self.limiter.tick(node)
        for desk in node.desks.values():
            desk.ejector.tick()
            self._drain_events(node, desk)
            self.audit.check_floor(desk.service, desk.servers, desk.ejector.standing)
            for address in desk.ejector.due_probes():
                self._probe(node, desk, address)

    def _drain_events(self, node, desk):
        now = self.schedule.clock.seconds
        for event in desk.ejector.events():
            self.ejections.append((now, node.name, event.name, event.address))
            seen = SEEN.get(event.name)
            if seen is not None:
                self.measures.observe(seen(now, event.address, node.name))

    def _probe(self, node, desk, address):
        answer = self.backends[address].probe(self.schedule.clock.seconds)
        ok = answer.kind is Kind.OK
        delay = PROBE_S if answer.kind else desk.service.response_timeout_ms / 1000
        self.schedule.call_later(
            delay,
            node.run,
            desk.ejector.record_probe,
            address,
            ok,
            answer.latency_s,
        )

    def _report_loads(self):
        now = self.schedule.clock.seconds
        for address, backend in self.backends.items():
            running, waiting = backend.measure_load(now)
            for node in self.nodes:
                balancer = node.desks[backend.server.service].balancer
                arguments = address, running, waiting, REPORT_AGE_S
                self.schedule.call_later(
                    REPORT_AGE_S, node.run, balancer.report_load, *arguments
                )

    def _share(self, node):
        for name, desk in node.desks.items():
            evidence = desk.ejector.export_evidence()
            if evidence is None:
                continue
            data = encode_evidence(evidence)
            for peer in self.nodes:
                if peer is not node and peer.data_centre == node.data_centre:
                    self.network.send(
                        node.name,
                        peer.name,
                        peer.run,
                        self._merge,
                        node,
                        peer,
                        name,
                        data,
                    )

    def _merge(self, node, peer, service, data):
        ejector = peer.desks[service].ejector
        ejector.merge_evidence(node.name, decode_evidence(data))
