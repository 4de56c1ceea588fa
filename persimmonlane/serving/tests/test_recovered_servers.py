"""Backend servers that hang for a while and recover, as the nodes' choices see them."""

import random

import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ...outcomes import OutcomeKind
from ...owner.backend import Heartbeat, ServerState
from ...owner.fleethealth import MAX_UNHEALTHY_FRACTION
from ...owner.health import FailureRisk, HealthState
from ...owner.owner import Owner
from ...owner.tests.hosting import build_hosted
from ...owner.tests.test_owner import build_order
from ...peers.statuses import Announcement
from ...peers.table import PeerTable
from ...quarantine.ledger import CrashLedger
from ...verdicts import Verdict
from ..placement import Candidate, Placement

SERVERS = 12
SLOTS = 8
STEP_S = 0.05
ANNOUNCE_S = 1.0
REQUESTS_PER_S = 40.0
FEW_REQUESTS_PER_S = 25.0
IDEMPOTENT_RATIO = 0.3
WORK_S = 0.4
# A request that is not idempotent waits for its answer this long, others are hedged.
TIMEOUT_S = 8.0
HEDGED_S = 1.5
OBJECTIVE_S = 1.2
MAX_PLACEMENTS = 4
HUNG = 4
SUSPECTED = 5
HANG_FROM_S = 6.0
HANG_S = 3.0
RUN_S = 24.0
# The operators' bound: such a share of the sound servers get requests in each window,
# and a server is sound again this long after it failed by itself.
SHARE = 0.7
WINDOW_S = 2.0
SOUND_AFTER_S = 2.0


class Running:
    def __init__(self, ticket, ends_at, answers):
        self.ticket = ticket
        self.ends_at = ends_at
        self.answers = answers


class Server:
    """A backend server and its owner.

    Attributes:
        started: Times at which it has begun to run a request.
    """

    def __init__(self, number, clock, fleet, hangs):
        self.started = []
        self._clock = clock
        self._hangs = hangs
        self._running = []
        address = f"10.0.0.{number + 2}:80"
        hosted = build_hosted(clock, address)
        self.owner = Owner(None, hosted, clock, None, CrashLedger(clock))
        self.owner.watch_fleet(fleet)
        self.id = f"i-{number}"
        self.owner.handle_heartbeat(
            Heartbeat(self.id, "prices", address, 5, 1, ServerState.READY, SLOTS, 0.0)
        )
        self._address = address
        self._sequence = 0

    def is_hanging(self):
        return self._hangs and 0 <= self._clock.now() - HANG_FROM_S < HANG_S

    def announce(self, table):
        self._sequence += 1
        status = self.owner.status.describe(False)
        table.apply_announcement(
            Announcement(
                f"n-{self.id}",
                1,
                self._sequence,
                self._address,
                "south",
                False,
                1,
                0.1,
                0,
                0,
                status,
            )
        )

    def begin(self, order):
        now = self._clock.now()
        ticket = self.owner._build_ticket(order, now, lambda: None)
        self.owner._admit(order, ticket)
        answers = not self.is_hanging()
        patience_s = HEDGED_S if order.idempotent else TIMEOUT_S
        ends_at = now + (WORK_S if answers else patience_s)
        self._running.append(Running(ticket, ends_at, answers))
        self.started.append(now)

    def step(self):
        self.owner.tick()
        evidence = self.owner._evidence
        for item in list(self._running):
            if item.ends_at > self._clock.now():
                continue
            self._running.remove(item)
            if item.answers:
                evidence.record_success(item.ticket)
            else:
                evidence.record_unanswered(OutcomeKind.TIMEOUT, item.ticket)
            self.owner.admission_queue.release(item.ticket)


class Service:
    """The servers of one service, and a node that sends them requests.

    Attributes:
        servers: The `Server`s.
        risks: Risks of further servers of the service, which get no requests here.
    """

    def __init__(self, seed, requests_per_s, hung=0):
        self._requests_per_s = requests_per_s
        self.risks = []
        self.clock = ManualClock(0.0)
        self._rng = random.Random(seed)
        self._placement = Placement(self._rng)
        self._table = PeerTable("self", "south", 1, self.clock)
        self.servers = [Server(n, self.clock, self, n < hung) for n in range(SERVERS)]
        self._by_id = {server.id: server for server in self.servers}

    def may_eject(self):
        states = [server.owner.detector.state for server in self.servers]
        unhealthy = sum(state is not HealthState.HEALTHY for state in states)
        return unhealthy + 1 <= MAX_UNHEALTHY_FRACTION * SERVERS

    def list_risks(self):
        return [*self.risks, *(server.owner.detector.risk for server in self.servers)]

    def run(self):
        announce_at, request_at = 0.0, 1.0
        while self.clock.now() < RUN_S:
            self.clock.advance(STEP_S)
            now = self.clock.now()
            for server in self.servers:
                server.step()
            if now >= announce_at:
                announce_at += ANNOUNCE_S
                for server in self.servers:
                    server.announce(self._table)
            while request_at <= now:
                request_at += self._rng.expovariate(self._requests_per_s)
                self.send(self._rng.random() < IDEMPOTENT_RATIO)

    def send(self, idempotent):
        tried = set()
        order = build_order(
            idempotent=idempotent, time_left_s=TIMEOUT_S, objective_s=OBJECTIVE_S
        )
        for _ in range(MAX_PLACEMENTS):
            candidates = [
                Candidate(peer.announcement.server, peer, True)
                for peer in self._table.list_live()
                if peer.announcement.server.server_id not in tried
            ]
            chosen = self._placement.choose(candidates, idempotent, 0)
            if chosen is None:
                return
            order.server_id = chosen.server.server_id
            server = self._by_id[order.server_id]
            try:
                server.begin(order)
                code = ""
            except Refusal as refusal:
                code = refusal.code
            report = server.owner.status.report(Verdict.NOT_RUN, code)
            chosen.peer.apply_report(order.server_id, report)
            if not code:
                return
            tried.add(order.server_id)


class RecoveredServerTests(testtools.TestCase):
    def check_shares(self, service, since_s):
        """Check the share of servers that got requests, in each window from a time."""
        end = since_s + WINDOW_S
        while end <= RUN_S:
            used = sum(
                any(end - WINDOW_S <= at < end for at in server.started)
                for server in service.servers
            )
            self.assertGreaterEqual(used / SERVERS, SHARE, end)
            end += 0.5

    def test_servers_that_recovered_get_requests_beside_their_unanswered_ones(self):
        for seed in range(8):
            service = Service(seed, REQUESTS_PER_S, hung=HUNG)
            service.run()
            self.check_shares(service, HANG_FROM_S + HANG_S + SOUND_AFTER_S)

    def test_servers_that_are_only_suspected_get_requests(self):
        for seed in range(8):
            service = Service(seed, FEW_REQUESTS_PER_S)
            # Many servers elsewhere fail, so that suspicions don't fade by themselves.
            service.risks = [FailureRisk(0.4, 0.5)] * SERVERS
            for server in service.servers[:SUSPECTED]:
                server.owner.detector._recorded = FailureRisk(0.1, 0.6)
            service.run()
            self.check_shares(service, SOUND_AFTER_S)
