"""Ejection experiment.

Feeds a few ejectors with synthetic outcomes of a service in which one backend
server fails, and prints detection times and false ejections. Healthy backend
servers are noisy in bursts: they pause, fail for a moment, and answer late now and
then. Each line of output is a JSON object.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics
import time

import msgspec

from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import DetectionPolicy, Service
from persimmonlane.ejection import create_ejector
from persimmonlane.ejection.events import Ejected, Suspected
from persimmonlane.ejection.evidence import decode_evidence, encode_evidence
from persimmonlane.ejection.outcome import Kind, Outcome
from persimmonlane.membership.servers import BackendServer
from persimmonlane.registries import Registry
from persimmonlane.verdicts import Verdict

DAY_S = 86400.0
SLOTS = 4
TICK_S = 0.05
EXCHANGE_S = 0.25
FAULT_AT_S = 20.0
AFTER_S = 40.0
TIMEOUT_S = 5.0
PROBE_S = 0.025
MEDIAN_S = 0.02
SIGMA = 0.5
TAIL_SHARE = 0.01
TAIL_FACTOR = 8.0
PAUSE_EVERY_S = 20.0
PAUSE_MEAN_S = 0.12
PAUSE_MOST_S = 0.6
ERROR_BURST_EVERY_S = 120.0
ERROR_BURST_MEAN_S = 0.1
ERROR_BURST_SHARE = 0.6
ERROR_SHARE = 0.002
REMOTE_S = 0.01
DATA_CENTRES = ("east", "west", "south")

faults = Registry("fault")


class Fault:
    """A fault of one backend server; the base is no fault at all.

    A subclass changes the latency and kind of an answer.
    """

    name = "none"
    aliases = ()
    options = ()

    def apply(self, rng, node, age_s, latency_s, kind):
        """Return latency in seconds and kind of an answer under the fault."""
        return latency_s, kind


class Slow(Fault):
    """Answers take longer by a factor."""

    factor = 1.0

    def apply(self, rng, node, age_s, latency_s, kind):
        """Return a slower answer."""
        return latency_s * self.factor, kind


class Failing(Fault):
    """A share of answers is of a bad kind."""

    share = 0.0
    kind = Kind.ERROR

    def apply(self, rng, node, age_s, latency_s, kind):
        """Return a bad answer now and then."""
        return latency_s, self.kind if rng.random() < self.share else kind


@faults.register
class Healthy(Fault):
    """No fault."""


@faults.register
class Slow10(Slow):
    """Ten times slower."""

    name = "slow-10x"
    factor = 10.0


@faults.register
class Slow3(Slow):
    """Three times slower."""

    name = "slow-3x"
    factor = 3.0


@faults.register
class Hung(Fault):
    """Takes requests and never answers."""

    name = "hung"

    def apply(self, rng, node, age_s, latency_s, kind):
        """Return a time-out."""
        return TIMEOUT_S, Kind.TIMEOUT


@faults.register
class Errors50(Failing):
    """Half of the answers are errors."""

    name = "errors-50"
    share = 0.5


@faults.register
class Errors5(Failing):
    """One answer in twenty is an error."""

    name = "errors-5"
    share = 0.05


@faults.register
class Wrong20(Failing):
    """One answer in five is wrong."""

    name = "wrong-20"
    share = 0.2
    kind = Kind.WRONG


@faults.register
class Short20(Failing):
    """One answer in five ends short."""

    name = "short-20"
    share = 0.2
    kind = Kind.SHORT


@faults.register
class Flapping(Fault):
    """Fails for one second in every three."""

    name = "flapping"

    def apply(self, rng, node, age_s, latency_s, kind):
        """Return an error in the bad phase."""
        return latency_s, Kind.ERROR if age_s % 3.0 < 1.0 else kind


@faults.register
class OneWay(Fault):
    """Answers to one node are lost; to the others they come."""

    name = "one-way"

    def apply(self, rng, node, age_s, latency_s, kind):
        """Return a time-out at the first node."""
        return (TIMEOUT_S, Kind.TIMEOUT) if node == 0 else (latency_s, kind)


class Noise:
    """Bursts of trouble on one healthy backend server."""

    __slots__ = ("_rng", "_every_s", "_mean_s", "_most_s", "_begin", "_end")

    def __init__(self, rng, every_s, mean_s, most_s=math.inf):
        self._rng = rng
        self._every_s = every_s
        self._mean_s = mean_s
        self._most_s = most_s
        self._begin = self._end = 0.0
        self._plan()

    def find_end(self, now):
        """Return the end of the burst at a time, or None between bursts."""
        while now >= self._end:
            self._plan()
        return self._end if now >= self._begin else None

    def _plan(self):
        self._begin = self._end + self._rng.expovariate(1.0 / self._every_s)
        length_s = self._rng.expovariate(1.0 / self._mean_s)
        self._end = self._begin + min(length_s, self._most_s)


class SyntheticServer:
    """A backend server that answers by chance."""

    __slots__ = ("record", "fault", "fault_at", "_rng", "_pauses", "_errors")

    def __init__(self, record, rng, noisy):
        self.record = record
        self.fault = Healthy()
        self.fault_at = math.inf
        self._rng = rng
        often = 1.0 if noisy else 1e9
        self._pauses = Noise(rng, PAUSE_EVERY_S * often, PAUSE_MEAN_S, PAUSE_MOST_S)
        self._errors = Noise(rng, ERROR_BURST_EVERY_S * often, ERROR_BURST_MEAN_S)

    def answer(self, now, node, slowness):
        """Return latency in seconds and kind of the answer to a request."""
        rng = self._rng
        latency_s = MEDIAN_S * math.exp(rng.gauss(0.0, SIGMA)) * slowness
        if rng.random() < TAIL_SHARE:
            latency_s *= TAIL_FACTOR
        share = ERROR_SHARE
        if self._errors.find_end(now) is not None:
            share = ERROR_BURST_SHARE
        kind = Kind.ERROR if rng.random() < share else Kind.OK
        if now >= self.fault_at:
            age_s = now - self.fault_at
            latency_s, kind = self.fault.apply(rng, node, age_s, latency_s, kind)
        pause_end = self._pauses.find_end(now)
        if pause_end is not None:
            latency_s += pause_end - now
        if self.record.data_centre != DATA_CENTRES[0]:
            latency_s += REMOTE_S
        if latency_s >= TIMEOUT_S:
            return TIMEOUT_S, Kind.TIMEOUT
        return latency_s, kind


class Node:
    """One ejector with a balancer of two random choices before it."""

    __slots__ = ("index", "ejector", "in_flight", "states", "_rng", "_addresses")

    def __init__(self, index, ejector, addresses, rng):
        self.index = index
        self.ejector = ejector
        self.in_flight = dict.fromkeys(addresses, 0)
        self.states = []
        self._rng = rng
        self._addresses = addresses

    def choose(self):
        """Return the address for a request."""
        first, second = self._pick(), self._pick()
        return min(first, second, key=self.in_flight.__getitem__)

    def _pick(self):
        while True:
            address = self._rng.choice(self._addresses)
            weight = self.ejector.standing(address).weight
            if weight >= 1.0 or self._rng.random() < weight:
                return address


class Result(msgspec.Struct):
    """What one run gave.

    Attributes:
        first_s: Time until a first node avoided the failing server.
        avoided_s: Time until half of the nodes avoided the failing server.
        ejected_s: Time until half of the nodes had ejected it.
        share_ejected: Share of the nodes that ejected it.
        false_ejections: Ejections of healthy servers, counted once per server and
            five seconds, however many nodes took part.
        false_suspicions: Suspicions of healthy servers.
        server_days: Days of healthy servers that were simulated.
        cpu_us: Microseconds of processor time per request in the ejectors.
        seconds: Seconds that the run took.
        culprits: Symptoms of the false ejections.
    """

    first_s: float | None
    avoided_s: float | None
    ejected_s: float | None
    share_ejected: float
    false_ejections: int
    false_suspicions: int
    server_days: float
    cpu_us: float
    seconds: float
    culprits: list[str]


class Run:
    """One discrete-event run."""

    def __init__(self, options, fault, seed):
        self.options = options
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.fault = fault
        detection = DetectionPolicy(
            detector=options.detector, false_ejection_days=options.days
        )
        service = Service(name="basket", slots=SLOTS, detection=detection)
        self.servers = {}
        for number in range(options.servers):
            address = f"10.0.0.{number + 1}:80"
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            record = BackendServer(address, service.name, data_centre, SLOTS)
            self.servers[address] = SyntheticServer(record, self._fork(), options.noisy)
        addresses = list(self.servers)
        self.failing = addresses[0]
        self.servers[self.failing].fault = fault
        self.servers[self.failing].fault_at = FAULT_AT_S
        self.nodes = []
        for index in range(options.nodes):
            ejector = create_ejector(service, self.clock, self._fork())
            ejector.update_peers(options.nodes - 1)
            ejector.update_servers([s.record for s in self.servers.values()])
            self.nodes.append(Node(index, ejector, addresses, self._fork()))
        self.queue = []
        self.order = itertools.count()
        self.requests = 0
        self.avoided = {}
        self.ejected = {}
        self.false_ejections = []
        self.false_suspicions = 0
        self.cpu_s = 0.0

    def run(self, until_s):
        """Run until a time and return the `Result`."""
        began = time.perf_counter()
        for node in self.nodes:
            phase_s = self.rng.random()
            self._plan(phase_s * TICK_S, self._tick, node)
            self._plan(phase_s * EXCHANGE_S, self._exchange, node)
            self._plan_arrival(node)
        while self.queue[0][0] <= until_s:
            at, _, action, arguments = heapq.heappop(self.queue)
            self.clock.seconds = at
            action(*arguments)
        return self._sum_up(until_s, time.perf_counter() - began)

    def _fork(self):
        return random.Random(self.rng.randrange(1 << 60))

    def _plan(self, at, action, *arguments):
        heapq.heappush(self.queue, (at, next(self.order), action, arguments))

    def _plan_arrival(self, node):
        rate = self.options.rate * self.options.servers / self.options.nodes
        at = self.clock.seconds + self.rng.expovariate(rate)
        self._plan(at, self._arrive, node)

    def _arrive(self, node):
        now = self.clock.seconds
        self._plan_arrival(node)
        began = time.perf_counter()
        address = node.choose()
        attempt = node.ejector.start(address)
        self.cpu_s += time.perf_counter() - began
        self.requests += 1
        node.in_flight[address] += 1
        slowness = self.options.slowness if now >= FAULT_AT_S else 1.0
        latency_s, kind = self.servers[address].answer(now, node.index, slowness)
        outcome = Outcome(address, attempt, kind, latency_s, Verdict.RAN)
        self._plan(now + latency_s, self._complete, node, outcome)

    def _complete(self, node, outcome):
        node.in_flight[outcome.address] -= 1
        began = time.perf_counter()
        node.ejector.observe(outcome)
        self.cpu_s += time.perf_counter() - began

    def _tick(self, node):
        self._plan(self.clock.seconds + TICK_S, self._tick, node)
        began = time.perf_counter()
        node.ejector.tick()
        self.cpu_s += time.perf_counter() - began
        for event in node.ejector.events():
            self._note(node, event)
        for address in node.ejector.due_probes():
            self._plan(self.clock.seconds + PROBE_S, self._probe, node, address)

    def _probe(self, node, address):
        # The health endpoint always answers: it says nothing of gray failures.
        node.ejector.record_probe(address, True, PROBE_S)

    def _exchange(self, node):
        self._plan(self.clock.seconds + EXCHANGE_S, self._exchange, node)
        evidence = node.ejector.export_evidence()
        if evidence is None:
            return
        data = encode_evidence(evidence)
        for peer in self.nodes:
            lost = self.rng.random() < self.options.loss
            if peer is not node and not lost:
                delay_s = self.rng.uniform(0.001, 0.01)
                self._plan(self.clock.seconds + delay_s, self._merge, peer, node, data)

    def _merge(self, node, sender, data):
        began = time.perf_counter()
        node.ejector.merge_evidence(f"node-{sender.index}", decode_evidence(data))
        self.cpu_s += time.perf_counter() - began

    def _note(self, node, event):
        guilty = event.address == self.failing and event.at >= FAULT_AT_S
        guilty = guilty and not isinstance(self.fault, Healthy)
        if isinstance(event, (Ejected, Suspected)) and guilty:
            self.avoided.setdefault(node.index, event.at - FAULT_AT_S)
        if isinstance(event, Ejected) and guilty:
            self.ejected.setdefault(node.index, event.at - FAULT_AT_S)
        if isinstance(event, Ejected) and not guilty:
            self._note_false(event)
        if isinstance(event, Suspected) and not guilty:
            self.false_suspicions += 1

    def _note_false(self, event):
        for other in self.false_ejections:
            if other.address == event.address and event.at - other.at < 5.0:
                return
        self.false_ejections.append(event)

    def _sum_up(self, until_s, seconds):
        healthy = self.options.servers
        if not isinstance(self.fault, Healthy):
            healthy -= 1
        return Result(
            first_s=min(self.avoided.values(), default=None),
            avoided_s=find_half(self.avoided, len(self.nodes)),
            ejected_s=find_half(self.ejected, len(self.nodes)),
            share_ejected=len(self.ejected) / len(self.nodes),
            false_ejections=len(self.false_ejections),
            false_suspicions=self.false_suspicions,
            server_days=healthy * until_s / DAY_S,
            cpu_us=1e6 * self.cpu_s / max(1, self.requests),
            seconds=seconds,
            culprits=[event.symptom for event in self.false_ejections],
        )


def find_half(times, nodes):
    """Return the time by which half of the nodes had come to it, or None."""
    reached = sorted(times.values())
    needed = (nodes + 1) // 2
    return reached[needed - 1] if len(reached) >= needed else None


class Summary(msgspec.Struct):
    """What the runs of one fault gave.

    Attributes:
        detector: Name of the detector.
        fault: Name of the fault.
        runs: Number of runs, with seeds from the first on.
        seed: First seed.
        nodes: Nodes that share evidence.
        servers: Backend servers of the service.
        rate: Requests per second and server, over all nodes.
        first_median_s: Median time until a first node avoided the failing server.
        avoided: Runs in which half of the nodes avoided the failing server.
        avoided_median_s: Median time until then.
        avoided_worst_s: Worst time until then.
        ejected: Runs in which half of the nodes ejected it.
        ejected_median_s: Median time until then.
        ejected_worst_s: Worst time until then.
        share_ejected: Mean share of nodes that ejected it.
        false_ejections: Ejections of healthy servers.
        false_suspicions: Suspicions of healthy servers by single nodes.
        server_days: Server-days of healthy servers.
        false_per_day: False ejections per server-day.
        cpu_us: Microseconds per request in the ejector.
        culprits: Symptoms of the false ejections.
    """

    detector: str
    fault: str
    runs: int
    seed: int
    nodes: int
    servers: int
    rate: float
    first_median_s: float | None
    avoided: int
    avoided_median_s: float | None
    avoided_worst_s: float | None
    ejected: int
    ejected_median_s: float | None
    ejected_worst_s: float | None
    share_ejected: float
    false_ejections: int
    false_suspicions: int
    server_days: float
    false_per_day: float
    cpu_us: float
    culprits: list[str]


def summarise(options, fault, results):
    """Return the `Summary` of some runs."""
    avoided = [r.avoided_s for r in results if r.avoided_s is not None]
    ejected = [r.ejected_s for r in results if r.ejected_s is not None]
    server_days = sum(r.server_days for r in results)
    false_ejections = sum(r.false_ejections for r in results)
    return Summary(
        detector=options.detector,
        fault=fault,
        runs=len(results),
        seed=options.seed,
        nodes=options.nodes,
        servers=options.servers,
        rate=options.rate,
        first_median_s=find_median(
            [r.first_s for r in results if r.first_s is not None]
        ),
        avoided=len(avoided),
        avoided_median_s=find_median(avoided),
        avoided_worst_s=round(max(avoided), 2) if avoided else None,
        ejected=len(ejected),
        ejected_median_s=find_median(ejected),
        ejected_worst_s=round(max(ejected), 2) if ejected else None,
        share_ejected=round(statistics.mean(r.share_ejected for r in results), 2),
        false_ejections=false_ejections,
        false_suspicions=sum(r.false_suspicions for r in results),
        server_days=round(server_days, 3),
        false_per_day=round(false_ejections / server_days, 3),
        cpu_us=round(statistics.mean(r.cpu_us for r in results), 1),
        culprits=[culprit for r in results for culprit in r.culprits],
    )


def find_median(values):
    """Return the rounded median, or None if there are no values."""
    return round(statistics.median(values), 2) if values else None


def parse_options(arguments=None):
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--detector", default="cusum")
    parser.add_argument("--faults", nargs="*", default=faults.names())
    parser.add_argument("--servers", type=int, default=10)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--days", type=float, default=30.0)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.02)
    parser.add_argument("--slowness", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=FAULT_AT_S + AFTER_S)
    parser.add_argument("--calm", dest="noisy", action="store_false")
    return parser.parse_args(arguments)


def main():
    """Run the experiment and print one JSON line per fault."""
    options = parse_options()
    for name in options.faults:
        results = []
        for seed in range(options.seed, options.seed + options.runs):
            fault = faults.get_by_name(name)()
            results.append(Run(options, fault, seed).run(options.seconds))
        line = msgspec.json.encode(summarise(options, name, results))
        print(line.decode(), flush=True)


if __name__ == "__main__":
    main()
