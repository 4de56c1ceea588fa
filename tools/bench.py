"""Benchmark.

Compares requests sent directly and through one node, side by side in one run.
"""

import argparse
import json
import multiprocessing
import pathlib
import sys
import tempfile
import time
from concurrent import futures

import msgspec
import urllib3

from persimmonlane.admin.operations import StoreOperations
from persimmonlane.config.model import (
    Document,
    FleetPolicy,
    Key,
    Organisation,
    Route,
    Service,
)
from persimmonlane.keys import compute_digest, create_key
from persimmonlane.standins.backend import Behaviour
from persimmonlane.store import create_client

from .fleet import Fleet

SALT = "5a" * 16
RATE = 230.0
SERVERS = 10
THREADS = 64
TARGET_P99_MS = 2.0
OUTPUT = pathlib.Path(__file__).parent.parent / "bench"
MS_PER_S = 1000.0
SWITCH_INTERVAL_S = 0.0005
KB = 1024


class Summary(msgspec.Struct):
    """Latencies of one way through, in milliseconds, and its failures."""

    requests: int
    failed: int
    p50_ms: float
    p99_ms: float


class Usage(msgspec.Struct):
    """What the node used.

    Attributes:
        cpu_share: Share of one core over the run.
        memory_mb: Resident memory at the end.
        idle_cpu_share: Share of one core without requests.
    """

    cpu_share: float
    memory_mb: float
    idle_cpu_share: float


class Report(msgspec.Struct):
    """Result of the benchmark.

    Attributes:
        rate: Requests per second on each way.
        seconds: Length of the run.
        direct: Requests sent directly to backend servers.
        proxied: Requests sent through the node.
        added_p50_ms: Difference of the medians.
        added_p99_ms: Difference of the 99th percentiles.
        target_p99_ms: Target of the added 99th percentile.
        usage: What the node used.
    """

    rate: float
    seconds: float
    direct: Summary
    proxied: Summary
    added_p50_ms: float
    added_p99_ms: float
    target_p99_ms: float
    usage: Usage


class Sender:
    """Sends requests at a fixed rate to URLs in turn and keeps the latencies."""

    def __init__(self, urls, headers, rate):
        self.latencies = []
        self.failed = 0
        self._urls = urls
        self._headers = headers
        self._rate = rate
        self._http = urllib3.PoolManager(
            num_pools=32, maxsize=THREADS, retries=False, timeout=5.0
        )
        self._executor = futures.ThreadPoolExecutor(THREADS)

    def run(self, seconds):
        """Send for a time in seconds and wait for the answers."""
        begun = time.monotonic()
        for number in range(int(seconds * self._rate)):
            due = begun + number / self._rate
            time.sleep(max(0.0, due - time.monotonic()))
            self._executor.submit(self._send, number, due)
        self._executor.shutdown(wait=True)

    def summarise(self):
        """Return the `Summary`."""
        ordered = sorted(self.latencies)
        return Summary(
            len(ordered) + self.failed,
            self.failed,
            find_quantile(ordered, 0.5),
            find_quantile(ordered, 0.99),
        )

    def _send(self, number, due):
        url = self._urls[number % len(self._urls)]
        sent = time.monotonic()
        try:
            answer = self._http.request("GET", url, headers=self._headers)
        except urllib3.exceptions.HTTPError:
            self.failed += 1
            return
        if answer.status == 200:
            self.latencies.append((time.monotonic() - sent) * MS_PER_S)
        else:
            self.failed += 1


def send(urls, headers, seconds):
    """Send at the benchmark's rate; return the `Summary`."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    sender = Sender(urls, headers, RATE)
    sender.run(seconds)
    return sender.summarise()


def find_quantile(ordered, share):
    """Return a quantile of sorted values, rounded to microseconds."""
    return round(ordered[int(share * (len(ordered) - 1))], 3) if ordered else 0.0


def build_document(key):
    """Return a document with one service and one organisation."""
    digest = compute_digest(SALT, key)
    return Document(
        fleet=FleetPolicy(key_salt=SALT, limiter_shards=8),
        services=(Service(name="bench", slots=16),),
        routes=(Route(name="bench", path="/bench", service="bench"),),
        organisations=(
            Organisation(
                name="bench", rate=5000, burst=5000, keys=(Key(id="a", digest=digest),)
            ),
        ),
    )


def read_cpu(pid):
    """Return the processor time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / 100.0


def read_memory(pid):
    """Return the resident memory of a process, in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB
    return 0.0


def measure(fleet, key, seconds):
    """Run both ways side by side; return the `Report`."""
    node = fleet.nodes["bench"]
    servers = fleet.standins["bench"].servers
    direct_urls = [f"http://{server.address}/bench/1" for server in servers]
    proxied_urls = [f"http://{node.settings.http}/bench/1"]
    headers = {"X-Persimmon-Key": key}
    idle_share = measure_idle(node.popen.pid)
    cpu = read_cpu(node.popen.pid)
    begun = time.monotonic()
    # A process each, so that one way does not wait for the other's interpreter.
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(2, mp_context=context) as executor:
        ways = (
            executor.submit(send, direct_urls, {}, seconds),
            executor.submit(send, proxied_urls, headers, seconds),
        )
        direct, proxied = (way.result() for way in ways)
    elapsed = time.monotonic() - begun
    cpu_share = (read_cpu(node.popen.pid) - cpu) / elapsed
    usage = Usage(round(cpu_share, 3), read_memory(node.popen.pid), idle_share)
    return build_report(direct, proxied, usage, seconds)


def measure_idle(pid, seconds=4.0):
    """Return the share of one core that a process uses without requests."""
    cpu = read_cpu(pid)
    time.sleep(seconds)
    return round((read_cpu(pid) - cpu) / seconds, 4)


def build_report(direct, proxied, usage, seconds):
    """Return the `Report` of both ways."""
    return Report(
        RATE,
        seconds,
        direct,
        proxied,
        round(proxied.p50_ms - direct.p50_ms, 3),
        round(proxied.p99_ms - direct.p99_ms, 3),
        TARGET_P99_MS,
        usage,
    )


def describe(report):
    """Return the report as a table."""
    return "\n".join(
        (
            "| way | requests | failed | p50 ms | p99 ms |",
            "|---|---|---|---|---|",
            describe_row("direct", report.direct),
            describe_row("through one node", report.proxied),
            "",
            f"Added: p50 {report.added_p50_ms:.2f} ms, p99 {report.added_p99_ms:.2f} "
            f"ms (target {report.target_p99_ms:.0f} ms). Node: "
            f"{report.usage.cpu_share:.2f} of a core, "
            f"{report.usage.memory_mb:.0f} MB; idle {report.usage.idle_cpu_share:.3f} "
            "of a core.",
            "",
        )
    )


def describe_row(name, summary):
    """Return one row of the table."""
    return (
        f"| {name} | {summary.requests} | {summary.failed} "
        f"| {summary.p50_ms:.2f} | {summary.p99_ms:.2f} |"
    )


def main():
    """Run the benchmark and write its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    key = create_key("bench")
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory)
        try:
            fleet.start_store()
            store = StoreOperations(create_client("grpc", fleet.store_address))
            data = msgspec.json.encode(build_document(key))
            store.publish(data, None, "bench", None)
            behaviour = Behaviour(latency_s=0.002)
            fleet.start_standins("bench", ["bench"] * SERVERS, behaviour, slots=16)
            servers = fleet.standins["bench"].servers
            # A slot holds one process beside one backend server or a few, so the
            # other servers are announced by a sidecar.
            fleet.start_node("bench", "bench", servers[:1])
            fleet.start_sidecar("sidecar", "bench", servers[1:])
            fleet.wait_serving("/bench/1", key)
            report = measure(fleet, key, options.seconds)
        finally:
            fleet.stop()
    table = describe(report)
    print(table)
    OUTPUT.mkdir(exist_ok=True)
    (OUTPUT / "latency.md").write_text(table)
    text = json.dumps(msgspec.to_builtins(report), indent=2)
    (OUTPUT / "latency.json").write_text(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
