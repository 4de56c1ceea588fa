"""Slopes of ejection.

Measures what the exchange of evidence and the ejector cost, for docs/CAPACITY.md.
"""

import random
import time
import tracemalloc

import msgspec

from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import Service
from persimmonlane.ejection import create_ejector
from persimmonlane.ejection.evidence import decode_evidence, encode_evidence
from persimmonlane.ejection.outcome import Kind, Outcome
from persimmonlane.membership.servers import BackendServer
from persimmonlane.verdicts import Verdict

TICK_S = 0.05
LATENCY_S = 0.02
RATE = 20.0
WARM_S = 5.0
FAULT_S = 1.0
IDLE_S = 20.0
BUSY_S = 10.0
MERGES = 300


class Slope(msgspec.Struct):
    """Cost of ejection at one size.

    Attributes:
        servers: Backend servers of the service.
        suspects: Backend servers under suspicion.
        evidence_bytes: Bytes of one report to one other node.
        export_us: Microseconds to make and encode it.
        merge_us: Microseconds to decode and merge it.
        idle_us: Microseconds a second for a service without traffic.
        request_us: Microseconds per request, with ticks and windows.
        request_rate: Requests per second at which that was measured.
        server_bytes: Memory per backend server with traffic.
        quiet_server_bytes: Memory per backend server without traffic.
    """

    servers: int
    suspects: int
    evidence_bytes: int
    export_us: float
    merge_us: float
    idle_us: float
    request_us: float
    request_rate: float
    server_bytes: int
    quiet_server_bytes: int


class Load:
    """One ejector with regular requests to all its servers."""

    def __init__(self, servers, seed):
        self.clock = ManualClock()
        self.addresses = [f"10.0.{n // 250}.{n % 250}:80" for n in range(servers)]
        self.ejector = create_ejector(
            Service(name="basket"), self.clock, random.Random(seed)
        )
        self.ejector.update_peers(1)
        self.ejector.update_servers(
            [BackendServer(address, "basket", "east", 4) for address in self.addresses]
        )

    def run(self, seconds, failing=()):
        """Send `RATE` requests a second to each server; return CPU seconds."""
        began = time.process_time()
        for _ in range(int(seconds * RATE)):
            started = [(a, self.ejector.start(a)) for a in self.addresses]
            self.clock.advance(LATENCY_S)
            for address, attempt in started:
                kind = Kind.ERROR if address in failing else Kind.OK
                self.ejector.observe(
                    Outcome(address, attempt, kind, LATENCY_S, Verdict.RAN)
                )
                self.ejector.standing(address)
            self.clock.advance(1.0 / RATE - LATENCY_S)
            self.ejector.tick()
        return time.process_time() - began

    def idle(self, seconds):
        """Tick without traffic; return CPU seconds."""
        began = time.process_time()
        for _ in range(int(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.ejector.tick()
        return time.process_time() - began


def measure_size(servers, suspects, seed):
    """Return the `Slope` at one size."""
    tracemalloc.start()
    load = Load(servers, seed)
    quiet_memory = tracemalloc.get_traced_memory()[0]
    load.run(WARM_S)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    busy_s = load.run(BUSY_S)
    load.run(FAULT_S, frozenset(load.addresses[:suspects]))
    data, export_s = time_export(load)
    merge_s = time_merge(servers, decode_evidence(data), seed)
    quiet = Load(servers, seed)
    requests = servers * RATE * BUSY_S
    return Slope(
        servers=servers,
        suspects=suspects,
        evidence_bytes=len(data),
        export_us=round(1e6 * export_s, 1),
        merge_us=round(1e6 * merge_s, 1),
        idle_us=round(1e6 * quiet.idle(IDLE_S) / IDLE_S, 1),
        request_us=round(1e6 * busy_s / requests, 1),
        request_rate=servers * RATE,
        server_bytes=memory // servers,
        quiet_server_bytes=quiet_memory // servers,
    )


def time_export(load):
    """Return one report and the seconds that it took."""
    load.ejector.export_evidence()
    load.clock.advance(1.0)
    began = time.process_time()
    evidence = load.ejector.export_evidence()
    data = encode_evidence(evidence)
    return data, time.process_time() - began


def time_merge(servers, evidence, seed):
    """Return the seconds that one report takes at its receiver."""
    receiver = Load(servers, seed + 1)
    receiver.run(1.0)
    began = time.process_time()
    for _ in range(MERGES):
        evidence.sequence += 1
        data = encode_evidence(evidence)
        receiver.ejector.merge_evidence("node-1", decode_evidence(data))
    return (time.process_time() - began) / MERGES


def measure(seed=1):
    """Return the slopes at a few sizes."""
    sizes = ((6, 1), (15, 1), (15, 5), (58, 1), (58, 20))
    return [measure_size(servers, suspects, seed) for servers, suspects in sizes]


def main():
    """Print one JSON line per slope."""
    for slope in measure():
        print(msgspec.json.encode(slope).decode(), flush=True)


if __name__ == "__main__":
    main()
