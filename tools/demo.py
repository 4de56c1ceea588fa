"""Demonstration of failures.

Runs a small site on loopback, injects several failures and prints the results.
"""

import collections
import sys
import tempfile
import time

from persimmonlane.standins.backend import Script

from .load import RequestStream
from .site import HOST, KEY, Site

SERVICES = ("prices", "baskets")
ZONES = ("uy-sur-a", "uy-sur-b", "uy-sur-c")
STEP_S = 3.0
RATE_PER_S = 20.0
WORK_S = 0.02
BODY = b"x" * 4000


def run(site):
    """Run all steps; return the `RequestStream`s by name."""
    for vm in site.vms:
        vm.server.script = Script(work_s=WORK_S)
    addresses = [vm.callers for vm in site.vms]
    streams = {
        "lookups": RequestStream(
            addresses, RATE_PER_S, "GET", "/prices/safe/", HOST, KEY
        ),
        "submissions": RequestStream(
            addresses, RATE_PER_S, "POST", "/baskets/unsafe/", HOST, KEY, BODY
        ),
    }
    for stream in streams.values():
        stream.start()
    time.sleep(STEP_S)
    print_line("A backend server of prices hangs.")
    site.vms[0].server.script = Script(hang=True)
    time.sleep(STEP_S)
    print_line("A backend server of baskets drains.")
    site.vms[3].state = "draining"
    time.sleep(STEP_S)
    print_line("A node stops; its callers switch to the others.")
    stopped_vm = site.vms[4]
    for stream in streams.values():
        stream.addresses = [item for item in addresses if item != stopped_vm.callers]
    stopped_vm.stop()
    time.sleep(STEP_S)
    print_line("The store is unavailable.")
    site.store.state.error_status = 503
    time.sleep(STEP_S)
    print_line("The store is available again, and the API key is revoked.")
    site.store.state.error_status = 0
    site.publish(("another-key",))
    time.sleep(STEP_S)
    return streams


def print_line(text):
    """Print a line and flush it."""
    print(text, flush=True)


def report(site, streams):
    """Print the results; return whether every guarantee was kept.

    The guarantees are that a submission reaches a backend server at most once, and
    that none with the verdict `not-run` has reached one.
    """
    runs = collections.Counter(
        headers.get("x-request-id", "")
        for vm in site.vms
        for _, headers, _ in vm.server.requests
    )
    promises_kept = True
    for name, stream in streams.items():
        results = stream.results
        counts = collections.Counter((r.status, r.verdict or "served") for r in results)
        print_line(f"{name}: {len(results)} requests")
        for (status, verdict), count in sorted(counts.items()):
            print_line(f"  {status} {verdict}: {count}")
        false_not_run = [
            r for r in results if r.verdict == "not-run" and runs[r.request_id]
        ]
        print_line(
            "  verdict not-run, though received by a backend server: "
            f"{len(false_not_run)}"
        )
        promises_kept = promises_kept and (not false_not_run or name == "lookups")
    duplicates = [r for r in streams["submissions"].results if runs[r.request_id] > 1]
    print_line(
        f"submissions received more than once by backend servers: {len(duplicates)}"
    )
    return promises_kept and not duplicates


def main():
    """Run the demonstration; return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        site = Site(directory, SERVICES, ZONES)
        try:
            site.start()
            streams = run(site)
            for stream in streams.values():
                stream.stop()
        finally:
            site.stop()
        return 0 if report(site, streams) else 1


if __name__ == "__main__":
    sys.exit(main())
