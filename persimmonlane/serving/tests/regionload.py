"""Model of a service in several data centres under load, without a network.

The nodes run the `Ingress` with its placement; the backend servers are queues. Nodes
learn of each other's servers once a second, and from the answers to their own requests.
"""

import heapq
import itertools
import math
import random

import msgspec

from ...clocks import ManualClock
from ...errors import Refusal
from ...localities import Locality
from ...peers.statuses import Announcement, ServerStatus
from ...peers.table import PeerTable
from ...quarantine.ledger import CrashLedger
from ...routing.metadata import OwnerReport
from ...verdicts import Verdict
from ..attempts import Attempt
from ..ingress import Ingress
from ..isolation import IsolationPolicy
from ..responses import CompleteResponse
from ..selection import build_selector
from ..shutdown import Shutdown
from .test_regions import (
    Actor,
    Budget,
    Events,
    NodeState,
    RouteKind,
    build_request,
    build_route,
    build_settings,
)

ANNOUNCE_S = 1.0
DEVIATION = 0.4
RUN_S = 60.0
# A request that hangs holds its slot for so long.
HANG_S = 5.0
HANG_PROBABILITY = 0.75
PATHS_S = {Locality.DATA_CENTRE: 0.0005, Locality.REGION: 0.003}


class Server:
    """A backend server with its owner's queue."""

    def __init__(self, number, data_centre, slots, hangs):
        self.id = f"i-{number}"
        self.number = number
        self.data_centre = data_centre
        self.slots = slots
        self.hangs = hangs
        self.ends = []

    def trim(self, now):
        self.ends = [end for end in self.ends if end > now]

    def estimate_start(self, now):
        self.trim(now)
        if len(self.ends) < self.slots:
            return now
        return sorted(self.ends)[len(self.ends) - self.slots]

    def count_running(self, now):
        self.trim(now)
        return min(len(self.ends), self.slots)

    def count_waiting(self, now):
        self.trim(now)
        return max(0, len(self.ends) - self.slots)


class Totals:
    """Counts of one run.

    Attributes:
        offered: Requests.
        good: Those answered within their objective.
        refused: Those refused.
        moved: Requests sent to another data centre of the region, then elsewhere.
        moved_bytes: Their bodies and responses, in bytes.
    """

    def __init__(self):
        self.offered = self.good = self.refused = 0
        self.moved = {Locality.REGION: 0, Locality.ELSEWHERE: 0}
        self.moved_bytes = {Locality.REGION: 0, Locality.ELSEWHERE: 0}
        self.pairs = []

    def __repr__(self):
        return (
            f"good {self.good}/{self.offered} refused {self.refused} "
            f"region {self.moved[Locality.REGION]} "
            f"elsewhere {self.moved[Locality.ELSEWHERE]} "
            f"bytes {self.moved_bytes[Locality.ELSEWHERE]}"
        )


class Load:
    """What is offered to a service.

    Attributes:
        zones: Dict of regions by data centre.
        servers: Dict of the number of servers by data centre.
        utilisation: Mean load, as a share of what all servers can process.
        mean_s: Mean processing time, in seconds.
        objective_s: Latency objective, in seconds.
        slots: Slots of each server.
        variation: Amplitude of the periodic variation, phase-shifted between data
            centres.
        period_s: Its period, in seconds.
        bursts: Dict of factors by data centre, from 20 to 26 s.
        hanging: Share of the servers that let three in four requests hang.
        delay_s: Seconds by which announcements to other data centres are late.
        elsewhere_s: One-way path to other regions, in seconds, by time.
        body_bytes: Length of a request's body.
        response_bytes: Length of a response.
        idempotent: Whether requests may run more than once.
        rates: Dict of weights of the offered load by data centre.
    """

    def __init__(self, zones, servers, **fields):
        self.zones = zones
        self.servers = servers
        self.utilisation = 0.7
        self.mean_s = 0.5
        self.objective_s = 2.5
        self.slots = 4
        self.variation = 0.0
        self.period_s = 17.0
        self.bursts = {}
        self.hanging = 0.0
        self.delay_s = 0.0
        self.elsewhere_s = lambda now: 0.012
        self.body_bytes = 2000
        self.response_bytes = 6000
        self.rates = None
        for name, value in fields.items():
            assert name in self.__dict__, name
            setattr(self, name, value)


class KnowingIngress(Ingress):
    """An ingress that knows the mean processing time."""

    mean_s = 0.0

    def _estimate_mean_s(self, route):
        return self.mean_s


class Node:
    """A node that takes callers' requests."""

    def __init__(self, model, name, data_centre, is_weighed, seed):
        regions = model.load.zones if is_weighed else {}
        self.settings = build_settings(
            regions=regions,
            name=name,
            data_centre=data_centre,
            has_overload=is_weighed,
            link_bytes_per_s=2_500_000.0,
        )
        self.table = PeerTable(name, data_centre, 1, model.clock)
        self.data_centre = data_centre
        self.selector = build_selector(
            self.settings, model.clock, random.Random(seed), lambda service: None
        )
        self.ingress = KnowingIngress(
            self.settings,
            model.clock,
            None,
            lambda: NodeState(False, None),
            self.table,
            Actor(),
            None,
            Budget(),
            Events(),
            Shutdown(model.clock),
            None,
            None,
            IsolationPolicy(CrashLedger(model.clock), list),
            selector=self.selector,
        )
        self.ingress._rng.seed(seed + 1)
        self.ingress.mean_s = model.load.mean_s
        self.ingress._sender = model
        self.at = 0.0


class Model:
    """A run of a load; also takes the place of the nodes' `AttemptSender`."""

    def __init__(self, load, is_weighed, seed=1, nodes_per_data_centre=4):
        self.load = load
        self.clock = ManualClock(0.0)
        self.rng = random.Random(seed)
        # Separate, so that both placements are offered the same requests.
        self.arrivals = random.Random(seed)
        self.totals = Totals()
        self._events = []
        self._sequence = itertools.count()
        self._announced = 0
        numbers = itertools.count(1)
        self.servers = {}
        for zone, count in load.servers.items():
            for place in range(count):
                hangs = place < round(count * load.hanging)
                server = Server(next(numbers), zone, load.slots, hangs)
                self.servers[server.id] = server
        self.nodes = {
            zone: [
                Node(self, f"{zone}-{place}", zone, is_weighed, seed * 1000 + place)
                for place in range(nodes_per_data_centre)
            ]
            for zone in load.zones
        }
        self.route = self._build_route()

    def _build_route(self):
        return build_route(
            kind=RouteKind.UNSAFE, objective_s=self.load.objective_s, timeout_s=8.0
        )

    def push(self, at, action, *values):
        heapq.heappush(self._events, (at, next(self._sequence), action, values))

    def run(self, run_s=RUN_S):
        self.announce()
        for zone in self.load.zones:
            self.push(self.draw_gap(zone, 0.0), self.arrive, zone)
        while self._events and self._events[0][0] < run_s:
            at, _, action, values = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            action(*values)
        return self.totals

    def rate(self, zone, now):
        load = self.load
        slots = sum(load.servers.values()) * load.slots
        weights = load.rates or dict.fromkeys(load.zones, 1.0)
        rate = load.utilisation * slots / load.mean_s
        rate *= weights[zone] / sum(weights.values())
        phase = list(load.zones).index(zone) / len(load.zones)
        turn = 2 * math.pi * (now / load.period_s + phase)
        rate *= 1.0 + load.variation * math.sin(turn)
        if 20.0 <= now < 26.0:
            rate *= load.bursts.get(zone, 1.0)
        return rate

    def draw_gap(self, zone, now):
        return now + self.arrivals.expovariate(max(0.01, self.rate(zone, now)))

    def announce(self):
        now = self.clock.now()
        self._announced += 1
        for server in self.servers.values():
            status = self.describe(server, now)
            for zone, nodes in self.nodes.items():
                delay_s = self.load.delay_s if zone != server.data_centre else 0.0
                self.push(
                    now + delay_s + self.rng.uniform(0.0, 0.1),
                    self.hear,
                    nodes,
                    server,
                    status,
                    self._announced,
                    now,
                )
        self.push(now + ANNOUNCE_S, self.announce)

    def describe(self, server, now):
        # A server that hangs is suspected by its owner, as its risk says.
        return ServerStatus(
            server.id,
            "prices",
            True,
            server.slots,
            server.count_running(now),
            server.count_waiting(now),
            "sound",
            0.0,
            hang_risk=50 if server.hangs else 0,
        )

    def hear(self, nodes, server, status, sequence, sent_at):
        for node in nodes:
            peer = node.table.apply_announcement(
                Announcement(
                    f"n-{server.id}",
                    1,
                    sequence,
                    f"10.0.{server.number // 250}.{server.number % 250 + 1}:80",
                    server.data_centre,
                    False,
                    1,
                    0.1,
                    0,
                    0,
                    msgspec.structs.replace(status),
                )
            )
            if peer is not None:
                peer.heard_at = sent_at
                peer.live_until = self.clock.now() + 10.0

    def arrive(self, zone):
        now = self.clock.now()
        self.push(self.draw_gap(zone, now), self.arrive, zone)
        node = self.rng.choice(self.nodes[zone])
        request = build_request(
            self.clock, self.route, body=b"x" * self.load.body_bytes
        )
        self.totals.offered += 1
        self._node = node
        self._spent_s = 0.0
        try:
            node.ingress.forward(request)
        except Refusal:
            self.totals.refused += 1
        if node.at > 0.0 and node.at - now <= self.load.objective_s:
            self.totals.good += 1
        node.at = 0.0

    def send(self, request, choice, hedge, watch):
        """Run an attempt, as `AttemptSender.send` does."""
        now = self.clock.now()
        peer = choice.candidate.peer
        server = self.servers[choice.candidate.server.server_id]
        path_s = self._find_path_s(server, now)
        self._spent_s += 2 * path_s
        wait_s = server.estimate_start(now) - now
        is_rejected = wait_s > choice.max_wait_s
        if not is_rejected:
            self._start(server, now + wait_s)
        peer.apply_report(server.id, self._report(server, now, wait_s))
        if is_rejected:
            return Attempt(None, Verdict.NOT_RUN, "server-busy", wait_s)
        return Attempt(CompleteResponse(200, [], b"", None), Verdict.RAN)

    def _start(self, server, at):
        duration_s = self.load.mean_s * self.rng.lognormvariate(
            -(DEVIATION**2) / 2, DEVIATION
        )
        if server.hangs and self.rng.random() < HANG_PROBABILITY:
            duration_s = HANG_S
        server.ends.append(at + duration_s)
        self._node.at = at + duration_s + self._spent_s
        locality = self._locate(server)
        if locality is not Locality.DATA_CENTRE:
            size = self.load.body_bytes + self.load.response_bytes
            self.totals.moved[locality] += 1
            self.totals.moved_bytes[locality] += size
            self.totals.pairs.append(
                (self.clock.now(), self._node.data_centre, server.data_centre)
            )
            if locality is Locality.ELSEWHERE and self._node.selector is not None:
                region = self.load.zones[server.data_centre]
                self._node.selector.budget.spend(region, size)

    def _locate(self, server):
        zones = self.load.zones
        if server.data_centre == self._node.data_centre:
            return Locality.DATA_CENTRE
        if zones[server.data_centre] == zones[self._node.data_centre]:
            return Locality.REGION
        return Locality.ELSEWHERE

    def _find_path_s(self, server, now):
        locality = self._locate(server)
        if locality is not Locality.ELSEWHERE:
            return PATHS_S[locality]
        path_s = self.load.elsewhere_s(now)
        if self._node.selector is not None:
            region = self.load.zones[server.data_centre]
            self._node.selector.budget.note_round_trip(region, 2 * path_s)
        return path_s

    def _report(self, server, now, wait_s):
        return OwnerReport(
            "ran",
            "",
            server.count_running(now),
            server.count_waiting(now),
            "sound",
            wait_s,
            hang_risk=50 if server.hangs else 0,
        )
