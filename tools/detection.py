"""Replay of the failure detector and the placement at several request rates.

Simulates the backend servers of a service, which fail for some seconds now and then by
errors or by hanging, and counts the requests that this costs. Runs without nodes or
sockets, so that two releases can be compared on the same load.
"""

import random
import statistics
import sys

from persimmonlane.clocks import ManualClock
from persimmonlane.owner import health
from persimmonlane.owner.health import FailureDetector, HealthState
from persimmonlane.owner.latency import LatencyModel
from persimmonlane.peers.statuses import ServerStatus
from persimmonlane.serving.placement import Candidate, Placement

RATES = (1.0, 3.0, 10.0)
KINDS = ("errors", "hang", "healthy")
STEP_S = 0.05
SERVERS = 30
SECONDS = 240.0
SLOTS = 5
# Periods of health and of failure alternate.
HEALTHY_S = 21.0
FAILING_S = 9.0
FAILING_RATIO = 0.75
ERROR_RATIO = 0.012
TAIL_RATIO = 0.01
TAIL_FACTOR = 5.0
IDEMPOTENT_RATIO = 0.3
MEDIAN_S = 0.25
DEVIATION = 0.4
DEADLINE_S = 4.0
# Nodes announce themselves at this interval.
ANNOUNCE_STEPS = 20
MAX_PLACEMENTS = 4
MAX_UNHEALTHY_FRACTION = 0.34
# What the owner passes on with an error answer; a weight in former releases.
ERROR_ARGUMENT = (
    getattr(health, "HEALTHY_ERROR_RATIO", 0.6)
    if hasattr(health, "estimate_prior")
    else 0.6,
)
SECONDS_PER_HOUR = 3600.0


class Request:
    """A simulated request; it ends at `ends_at` or is never answered (None)."""

    __slots__ = ("started_at", "ends_at", "is_error", "idempotent")

    def __init__(self, started_at, ends_at, is_error, idempotent):
        self.started_at = started_at
        self.ends_at = ends_at
        self.is_error = is_error
        self.idempotent = idempotent

    def is_failure(self):
        """Return whether the request fails."""
        return self.is_error or self.ends_at is None


class Totals:
    """Counts over all simulated servers."""

    def __init__(self):
        self.unsafe = self.lost = 0
        self.idempotent = self.retried = 0
        self.unplaced = 0
        self.delays = []
        self.undetected = 0
        self.false = 0
        self.healthy_s = self.unused_s = 0.0


class SimulatedServer:
    """One backend server with its detector and its owner's rules of admission."""

    def __init__(self, number, kind, clock, rng, totals):
        self.rng = rng
        self.clock = clock
        self.detector = FailureDetector(clock, lambda: may_eject(self.others))
        self.others = []
        self.latency = LatencyModel(1.0)
        self.kind = kind
        self.totals = totals
        self.running = []
        self.failing = False
        self.detected = False
        self.failing_since = None
        self.switch_at = clock.now() + rng.random() * HEALTHY_S + FAILING_S
        self.status = ServerStatus(
            f"i-{number}", "census", True, SLOTS, 0, 0, "sound", 0.0
        )

    def step(self):
        """Handle what has happened since the last step."""
        self.switch()
        self.detector.tick()
        self.finish_requests()
        before = self.detector.state
        now = self.clock.now()
        self.detector.evaluate_running(
            [
                (r.started_at, self.latency.compute_survival(now - r.started_at))
                for r in self.running
            ]
        )
        self.note_ejection(before)

    def switch(self):
        """Begin or end a failure when it is time."""
        if not self.failing:
            self.totals.healthy_s += STEP_S
            if self.detector.state is not HealthState.HEALTHY:
                self.totals.unused_s += STEP_S
        now = self.clock.now()
        if self.kind == "healthy" or now < self.switch_at:
            return
        if self.failing and not self.detected:
            self.totals.undetected += 1
        self.failing = not self.failing
        self.detected = self.detector.state is HealthState.EJECTED
        self.failing_since = now
        self.switch_at = now + (FAILING_S if self.failing else HEALTHY_S)

    def admits(self, idempotent):
        """Return whether the owner admits a request, by the rules of `Owner`."""
        state = self.detector.state
        if state is HealthState.EJECTED:
            return False
        if state is HealthState.HALF_OPEN:
            return not self.is_probing() and (idempotent or self.admits_unsafe_probes())
        return idempotent or not self.is_suspect()

    def is_probing(self):
        """Return whether a half-open server runs its probe."""
        if self.detector.state is not HealthState.HALF_OPEN:
            return False
        return any(r.started_at >= self.detector.since for r in self.running)

    def is_suspect(self):
        """Return whether requests that are not idempotent are refused."""
        if hasattr(self.detector, "is_suspect"):
            return self.detector.is_suspect()
        return self.detector.suspicion_score > 2.0

    def admits_unsafe_probes(self):
        """Return whether requests that are not idempotent may test the server."""
        if hasattr(self.detector, "is_suspect"):
            return False
        return self.clock.now() - self.detector.since > 4.0

    def start(self, idempotent):
        """Start a request and return it."""
        now = self.clock.now()
        duration_s = self.rng.lognormvariate(0.0, DEVIATION) * MEDIAN_S
        if self.rng.random() < TAIL_RATIO:
            duration_s *= TAIL_FACTOR
        is_error = self.rng.random() < ERROR_RATIO
        if self.failing and self.rng.random() < FAILING_RATIO:
            if self.kind == "hang":
                duration_s, is_error = None, False
            else:
                duration_s, is_error = 0.01, True
        ends_at = now + duration_s if duration_s is not None else None
        request = Request(now, ends_at, is_error, idempotent)
        self.running.append(request)
        return request

    def finish_requests(self):
        """Record the requests that have ended."""
        now = self.clock.now()
        for request in list(self.running):
            timed_out = now - request.started_at >= DEADLINE_S
            if not timed_out and (request.ends_at is None or request.ends_at > now):
                continue
            self.running.remove(request)
            before = self.detector.state
            survival = self.latency.compute_survival(now - request.started_at)
            if request.is_error:
                self.detector.record_failure(*ERROR_ARGUMENT)
            elif request.ends_at is None:
                self.detector.record_unanswered(request.started_at, survival)
            else:
                self.detector.record_success(survival)
                self.latency.learn(now - request.started_at)
            self.note_ejection(before)
            self.announce()

    def announce(self):
        """Let the placement know the present state."""
        status = self.status
        status.running = len(self.running)
        status.standing = self.detector.state.value
        status.suspect = self.is_suspect()
        if hasattr(status, "probing"):
            status.probing = self.is_probing()
        if hasattr(status, "error_risk"):
            status.error_risk = self.detector.risk.error_percent
            status.hang_risk = self.detector.risk.hang_percent

    def note_ejection(self, before):
        """Count an ejection that has just happened."""
        after = self.detector.state
        if before is not after:
            self.announce()
        if after is not HealthState.EJECTED or before is HealthState.EJECTED:
            return
        if not self.failing:
            if before is HealthState.HEALTHY:
                self.totals.false += 1
        elif not self.detected:
            self.detected = True
            self.totals.delays.append(self.clock.now() - self.failing_since)


class Service:
    """The servers of a service, and the node that places requests on them."""

    def __init__(self, rate, kind):
        self.rng = random.Random(7)
        self.clock = ManualClock(100.0)
        self.totals = Totals()
        self.rate = rate * SERVERS
        self.servers = [
            SimulatedServer(number, kind, self.clock, self.rng, self.totals)
            for number in range(SERVERS)
        ]
        self.placement = Placement(self.rng)
        for server in self.servers:
            server.others = [other for other in self.servers if other is not server]

    def run(self):
        """Run for `SECONDS` and return the `Totals`."""
        for step in range(round(SECONDS / STEP_S)):
            self.clock.advance(STEP_S)
            if step % ANNOUNCE_STEPS == 0:
                self.announce()
            for server in self.servers:
                server.step()
            expected = self.rate * STEP_S
            count = int(expected) + (self.rng.random() < expected % 1.0)
            for _ in range(count):
                self.send(self.rng.random() < IDEMPOTENT_RATIO)
        return self.totals

    def announce(self):
        """Let all servers announce themselves, and learn of each other."""
        for server in self.servers:
            server.announce()
        if not hasattr(health, "estimate_prior"):
            return
        for server in self.servers:
            server.detector.prior = health.estimate_prior(
                [other.detector.risk for other in self.servers if other is not server]
            )

    def send(self, idempotent):
        """Place a request; one that is idempotent goes on until it succeeds."""
        totals = self.totals
        if idempotent:
            totals.idempotent += 1
        else:
            totals.unsafe += 1
        untried = list(self.servers)
        for _ in range(MAX_PLACEMENTS):
            candidates = {id(server.status): server for server in untried}
            chosen = self.placement.choose(
                [Candidate(server.status, PEER, True) for server in untried],
                idempotent,
                0,
            )
            if chosen is None:
                break
            server = candidates[id(chosen.server)]
            untried.remove(server)
            if not server.admits(idempotent):
                continue
            request = server.start(idempotent)
            if not request.is_failure():
                return
            if not idempotent:
                totals.lost += 1
                return
            totals.retried += 1
        totals.unplaced += 1


def may_eject(others):
    """Return whether another server may be ejected, by the rule of `SiteNode`."""
    unhealthy = sum(
        1 for other in others if other.detector.state is not HealthState.HEALTHY
    )
    return unhealthy + 1 <= MAX_UNHEALTHY_FRACTION * SERVERS


class Peer:
    """Stub of the peer that owns a server."""

    in_flight = 0


PEER = Peer()


def main():
    """Print the counts for each rate and kind of failure; return the exit status."""
    print(
        "rate kind     lost/1000 retried/1000 unplaced/1000 median_s undetected"
        " false/h unused"
    )
    for rate in RATES:
        for kind in KINDS:
            totals = Service(rate, kind).run()
            count = totals.unsafe + totals.idempotent
            median_s = statistics.median(totals.delays) if totals.delays else 0.0
            hours = totals.healthy_s / SECONDS_PER_HOUR
            print(
                f"{rate:4.0f} {kind:8} {1000 * totals.lost / totals.unsafe:9.1f}"
                f" {1000 * totals.retried / totals.idempotent:12.1f}"
                f" {1000 * totals.unplaced / count:13.1f}"
                f" {median_s:8.2f} {totals.undetected:10}"
                f" {totals.false / hours:7.2f}"
                f" {totals.unused_s / totals.healthy_s:6.3f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
