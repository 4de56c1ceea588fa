"""Demonstration.

Runs a small site on loopback, breaks it in several ways and prints what happened.
"""

import collections
import sys
import tempfile
import time

from persimmonlane.standins.backend import Script

from .load import Flow
from .site import HOST, KEY, Site

SERVICES = ("prices", "baskets")
ZONES = ("uy-sur-a", "uy-sur-b", "uy-sur-c")
STEP_S = 3.0
RATE_PER_S = 20.0
WORK_S = 0.02
BODY = b"x" * 4000


def run(site):
    """Run all steps; return the flows by name."""
    for vm in site.vms:
        vm.server.script = Script(work_s=WORK_S)
    addresses = [vm.callers for vm in site.vms]
    flows = {
        "lookups": Flow(addresses, RATE_PER_S, "GET", "/prices/safe/", HOST, KEY),
        "submissions": Flow(
            addresses, RATE_PER_S, "POST", "/baskets/unsafe/", HOST, KEY, BODY
        ),
    }
    for flow in flows.values():
        flow.start()
    time.sleep(STEP_S)
    step("A backend server of prices hangs.")
    site.vms[0].server.script = Script(hang=True)
    time.sleep(STEP_S)
    step("A backend server of baskets leaves.")
    site.vms[3].state = "draining"
    time.sleep(STEP_S)
    step("A node stops; its callers go to the others.")
    leaving = site.vms[4]
    for flow in flows.values():
        flow.addresses = [item for item in addresses if item != leaving.callers]
    leaving.stop()
    time.sleep(STEP_S)
    step("The store is away.")
    site.store.state.error_status = 503
    time.sleep(STEP_S)
    step("It is back, and the key is withdrawn.")
    site.store.state.error_status = 0
    site.publish(("another-key",))
    time.sleep(STEP_S)
    return flows


def step(text):
    """Print what is done."""
    print(text, flush=True)


def report(site, flows):
    """Print what came back; return whether every promise was kept."""
    runs = collections.Counter(
        headers.get("x-request-id", "")
        for vm in site.vms
        for _, headers, _ in vm.server.requests
    )
    kept = True
    for name, flow in flows.items():
        results = flow.results
        counts = collections.Counter((r.status, r.verdict or "served") for r in results)
        step(f"{name}: {len(results)} requests")
        for (status, verdict), count in sorted(counts.items()):
            step(f"  {status} {verdict}: {count}")
        false = [r for r in results if r.verdict == "not-run" and runs[r.request_id]]
        step(f"  said not to have run, though a backend server got them: {len(false)}")
        kept = kept and (not false or name == "lookups")
    twice = [r for r in flows["submissions"].results if runs[r.request_id] > 1]
    step(f"submissions that a backend server got twice: {len(twice)}")
    return kept and not twice


def main():
    """Run the demonstration; return its exit status."""
    with tempfile.TemporaryDirectory() as directory:
        site = Site(directory, SERVICES, ZONES)
        try:
            site.start()
            flows = run(site)
            for flow in flows.values():
                flow.stop()
        finally:
            site.stop()
        return 0 if report(site, flows) else 1


if __name__ == "__main__":
    sys.exit(main())
