"""Benchmark.

Time that the nodes add: the same request sent to a backend server directly, through
the node beside it, and through two nodes, in turn.
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
WARM_ROUNDS = 40
MS_PER_S = 1000.0


def measure(pool, url):
    """Return the milliseconds of one request."""
    fields = {
        "Host": HOST,
        headers.CREDENTIAL: KEY,
        headers.REQUEST_ID: "one",
        headers.TIMEOUT: "3000",
    }
    began = time.perf_counter()
    answer = pool.request("GET", url, headers=fields, retries=False)
    took_ms = (time.perf_counter() - began) * MS_PER_S
    if answer.status != 200:
        raise RuntimeError(f"status {answer.status} from {url}")
    return took_ms


def run(site):
    """Return the milliseconds of each round by way."""
    near, far = site.vms
    for vm in site.vms:
        vm.server.script = Script()
    urls = {
        "direct": f"http://{near.app}/prices/safe/",
        "one node": f"http://{near.callers}/prices/safe/",
        "two nodes": f"http://{near.callers}/baskets/safe/",
    }
    pool = urllib3.PoolManager()
    rounds = [
        {way: measure(pool, url) for way, url in urls.items()}
        for _ in range(WARM_ROUNDS + ROUNDS)
    ]
    return rounds[WARM_ROUNDS:]


def report(rounds):
    """Print the percentiles, and what the nodes add in each round."""
    for way in rounds[0]:
        print_row(way, [row[way] for row in rounds])
    for way in ("one node", "two nodes"):
        print_row(f"{way}, added", [row[way] - row["direct"] for row in rounds])


def print_row(name, values):
    """Print median and 99th percentile of values in milliseconds."""
    cuts = statistics.quantiles(values, n=100)
    print(f"{name:20} p50 {cuts[49]:7.3f} ms  p99 {cuts[98]:7.3f} ms")


def main():
    """Run the benchmark; return its exit status."""
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
