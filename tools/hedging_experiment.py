"""Hedging experiment.

Measures what a second attempt after a delay would gain for idempotent requests, with
the noisy backend servers of the ejection experiment and the ejector at work. Latency
does not depend on load here, so what the added attempts cost others is not in the
latencies; it shows in `load` alone. Each line of output is a JSON object.
"""

import argparse
import itertools

import msgspec

from persimmonlane.ejection.outcome import Kind, Outcome
from persimmonlane.verdicts import Verdict

from . import ejection_experiment
from .ejection_experiment import TIMEOUT_S, faults

RUN_S = 80.0


class Hedging(msgspec.Struct):
    """What hedging gave under one fault.

    Attributes:
        fault: Name of the fault, from 20 s on.
        delay_s: Seconds before the second attempt, None without hedging.
        seed: Seed.
        p50_s: Median latency in seconds.
        p99_s: 99th percentile.
        p999_s: 99.9th percentile.
        failed: Share of requests without a good answer.
        load: Attempts as a multiple of requests.
    """

    fault: str
    delay_s: float | None
    seed: int
    p50_s: float
    p99_s: float
    p999_s: float
    failed: float
    load: float


class HedgingRun(ejection_experiment.Run):
    """A run in which requests may be sent twice."""

    def __init__(self, options, fault, seed, delay_s):
        super().__init__(options, fault, seed)
        self.delay_s = delay_s
        self.latencies = []
        self.failed = 0
        self.attempts = 0

    def measure(self):
        """Return the `Hedging` after the run."""
        self.run(RUN_S)
        ordered = sorted(self.latencies)
        count = len(ordered)
        return Hedging(
            fault=self.fault.name,
            delay_s=self.delay_s,
            seed=self.options.seed,
            p50_s=round(ordered[count // 2], 4),
            p99_s=round(ordered[int(count * 0.99)], 4),
            p999_s=round(ordered[int(count * 0.999)], 4),
            failed=round(self.failed / count, 5),
            load=round(self.attempts / count, 4),
        )

    def _arrive(self, node):
        self._plan_arrival(node)
        self.requests += 1
        first = self._send(node, node.choose())
        latency_s, good = first.latency_s, first.kind is Kind.OK
        if self.delay_s is not None and latency_s > self.delay_s:
            second = self._send(node, self._choose_other(node, first.address))
            hedged_s = self.delay_s + second.latency_s
            if second.kind is Kind.OK and (hedged_s < latency_s or not good):
                latency_s, good = hedged_s, True
        self.latencies.append(min(latency_s, TIMEOUT_S))
        self.failed += not good

    def _choose_other(self, node, address):
        candidates = (node.choose() for _ in itertools.count())
        return next(other for other in candidates if other != address)

    def _send(self, node, address):
        now = self.clock.seconds
        attempt = node.ejector.start(address)
        node.in_flight[address] += 1
        self.attempts += 1
        latency_s, kind = self.servers[address].answer(now, node.index, 1.0)
        outcome = Outcome(address, attempt, kind, latency_s, Verdict.RAN)
        self._plan(now + latency_s, self._complete, node, outcome)
        return outcome


def main():
    """Print one JSON line per fault and delay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    options = ejection_experiment.parse_options(["--days", "3", "--seed", str(seed)])
    for name in ("none", "slow-10x", "hung"):
        for delay_s in (None, 0.06, 0.12):
            fault = faults.get_by_name(name)()
            record = HedgingRun(options, fault, seed, delay_s).measure()
            print(msgspec.json.encode(record).decode(), flush=True)


if __name__ == "__main__":
    main()
