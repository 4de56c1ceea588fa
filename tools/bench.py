"""Benchmark of the latency that nodes add.

Sends the same request alternately to a backend server directly, through the node
beside it, and through two nodes.
"""

import statistics
import sys
import tempfile
import time

import urllib3

from persimmonlane.platform import headers
from persimmonlane.standins.backend import Script

from .site import HOST, KEY, Site

ROUNDS = 400
WARMUP_ROUNDS = 40
MS_PER_S = 1000.0


def measure_ms(pool, url):
    """Send one request; return its latency in milliseconds.

    Raises:
        RuntimeError: If the status is not 200.
    """
    request_headers = {
        "Host": HOST,
        headers.CREDENTIAL: KEY,
        headers.REQUEST_ID: "one",
        headers.TIMEOUT: "3000",
    }
    started = time.perf_counter()
    response = pool.request("GET", url, headers=request_headers, retries=False)
    took_ms = (time.perf_counter() - started) * MS_PER_S
    if response.status != 200:
        raise RuntimeError(f"unexpected status {response.status} from {url}")
    return took_ms


def run(site):
    """Return the latency in milliseconds by path, for each measured round."""
    first, second = site.vms
    for vm in site.vms:
        vm.server.script = Script()
    urls = {
        "direct": f"http://{first.app}/prices/safe/",
        "one node": f"http://{first.callers}/prices/safe/",
        "two nodes": f"http://{first.callers}/baskets/safe/",
    }
    pool = urllib3.PoolManager()
    rounds = [
        {path: measure_ms(pool, url) for path, url in urls.items()}
        for _ in range(WARMUP_ROUNDS + ROUNDS)
    ]
    return rounds[WARMUP_ROUNDS:]


def report(rounds):
    """Print percentiles of the latency and of the latency that nodes add."""
    for path in rounds[0]:
        print_row(path, [row[path] for row in rounds])
    for path in ("one node", "two nodes"):
        print_row(f"{path}, added", [row[path] - row["direct"] for row in rounds])


def print_row(name, values):
    """Print the median and the 99th percentile of values in milliseconds."""
    percentiles = statistics.quantiles(values, n=100)
    print(f"{name:20} p50 {percentiles[49]:7.3f} ms  p99 {percentiles[98]:7.3f} ms")


def main():
    """Run the benchmark; return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        site = Site(directory, ("prices", "baskets"), ("uy-sur-a",))
        try:
            site.start()
            rounds = run(site)
        finally:
            site.stop()
    report(rounds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
