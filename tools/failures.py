"""Failures.

Breaks a small fleet of separate processes in one way a run, under traffic, and
checks from outside that what must always hold did hold.
"""

import argparse
import signal
import sys
import tempfile
import time

import msgspec

from persimmonlane.standins.backend import Behaviour

from .bench import read_memory
from .cooperativa import USUAL, WATCHER, Cooperativa, say
from .demo import show_logs
from .load import upload

WARM_S = 3.0
FROZEN_S = 20.0
SETTLE_S = 3.0
OUTAGE_S = 15.0
# Time after which callers notice that a node leaves.
NOTICED_S = 1.0
UPLOAD_BYTES = 50 * 1024 * 1024
UPLOAD_LIMIT_MB = 10.0

scenarios = {}


def scenario(function):
    """Register a scenario under its name; usable as a decorator."""
    scenarios[function.__name__.replace("_", "-")] = function
    return function


@scenario
def node_killed(cooperativa):
    """A node is killed; another takes its place."""
    node = cooperativa.fleet.nodes["node-0"]
    cooperativa.note("node-killed", node.name)
    node.signal(signal.SIGKILL)
    node.wait()
    cooperativa.note("node-unreachable", node.settings.http)
    cooperativa.avoid_node(node)
    time.sleep(SETTLE_S)
    cooperativa.fleet.run_node(node.settings)
    cooperativa.wait_serving()
    cooperativa.note("node-reachable", node.settings.http)
    cooperativa.use_all_nodes()
    time.sleep(SETTLE_S)


@scenario
def node_frozen(cooperativa):
    """A node stands still for 20 s and continues."""
    node = cooperativa.fleet.nodes["node-0"]
    cooperativa.note("node-frozen", node.name)
    cooperativa.note("node-unreachable", node.settings.http)
    node.signal(signal.SIGSTOP)
    time.sleep(1.0)
    cooperativa.avoid_node(node)
    time.sleep(FROZEN_S)
    node.signal(signal.SIGCONT)
    cooperativa.use_all_nodes()
    time.sleep(SETTLE_S)
    cooperativa.note("node-reachable", node.settings.http)
    time.sleep(SETTLE_S)


@scenario
def store_away(cooperativa):
    """The store goes for good; a node is replaced meanwhile."""
    cooperativa.withdraw_key("feria")
    time.sleep(SETTLE_S)
    cooperativa.note("store-away", "store")
    cooperativa.fleet.store.signal(signal.SIGKILL)
    time.sleep(OUTAGE_S)
    stop_gracefully(cooperativa, "node-1")
    cooperativa.fleet.run_node(cooperativa.fleet.nodes["node-1"].settings)
    cooperativa.wait_serving()
    cooperativa.use_all_nodes()
    time.sleep(SETTLE_S)


@scenario
def answers_cut(cooperativa):
    """Requests reach a backend server but its answers don't come back."""
    server = cooperativa.find_server("uy-sur-a", "submissions")
    cooperativa.note("answers-cut", server.address)
    cooperativa.fleet.behave(server.address, Behaviour(hang=True))
    time.sleep(2 * SETTLE_S)


@scenario
def requests_cut(cooperativa):
    """Nothing reaches a backend server, though it accepts connections."""
    server = cooperativa.find_server("uy-sur-a", "baskets")
    cooperativa.note("requests-cut", server.address)
    cooperativa.fleet.behave(server.address, Behaviour(deaf=True))
    time.sleep(2 * SETTLE_S)


@scenario
def connections_silent(cooperativa):
    """Open connections to a backend server go silent while new ones work."""
    server = cooperativa.find_server("uy-sur-a", "baskets")
    cooperativa.note("connections-silent", server.address)
    behaviour = msgspec.structs.replace(USUAL, mute_open=True)
    cooperativa.fleet.behave(server.address, behaviour)
    time.sleep(2 * SETTLE_S)


@scenario
def resets(cooperativa):
    """Backend servers reset requests before and after they ran, and shed."""
    behaviour = msgspec.structs.replace(
        USUAL,
        reset_before_share=0.05,
        reset_after_share=0.05,
        shed_share=0.05,
        short_share=0.02,
        long_share=0.02,
        wrong_share=0.02,
    )
    for process in cooperativa.fleet.standins.values():
        for server in process.servers:
            cooperativa.fleet.behave(server.address, behaviour)
    cooperativa.note("resets", "all backend servers")
    time.sleep(3 * SETTLE_S)


@scenario
def rolling_stop(cooperativa):
    """Every node is replaced in turn, as planned, under traffic."""
    for name in list(cooperativa.fleet.nodes):
        stop_gracefully(cooperativa, name)
        cooperativa.fleet.run_node(cooperativa.fleet.nodes[name].settings)
        cooperativa.wait_serving()
        cooperativa.use_all_nodes()
        time.sleep(1.0)


@scenario
def large_upload(cooperativa):
    """A photo of 50 MB passes in bounded memory."""
    node = cooperativa.fleet.nodes["node-0"]
    before = read_memory(node.popen.pid)
    status = upload(
        f"http://{node.settings.http}/photos/9",
        cooperativa.keys[WATCHER],
        UPLOAD_BYTES,
    )
    grown = read_memory(node.popen.pid) - before
    say(f"upload: status {status}, memory grew by {grown:.1f} MB")
    if status != 200 or grown > UPLOAD_LIMIT_MB:
        cooperativa.note("failed", f"upload with status {status}, {grown:.1f} MB")


def stop_gracefully(cooperativa, name):
    """Stop a node with SIGTERM while callers still use it."""
    node = cooperativa.fleet.nodes[name]
    cooperativa.note("node-stopping", name)
    node.signal(signal.SIGTERM)
    time.sleep(NOTICED_S)
    cooperativa.avoid_node(node)
    status = node.wait()
    cooperativa.note("node-stopped", f"{name} with status {status}")


def run_steps(name, cooperativa):
    """Run the steps of a scenario; one that is not reached counts as failed."""
    try:
        scenarios[name](cooperativa)
    except TimeoutError as error:
        cooperativa.note("failed", str(error))


def run_scenario(name):
    """Run one scenario; return its exit status."""
    say(f"=== {name}: {scenarios[name].__doc__}")
    with tempfile.TemporaryDirectory() as directory:
        cooperativa = Cooperativa(directory)
        try:
            cooperativa.start()
            cooperativa.start_flows()
            time.sleep(WARM_S)
            run_steps(name, cooperativa)
            verification = cooperativa.finish()
        finally:
            cooperativa.fleet.stop()
            show_logs(directory)
    return verification.report()


def main():
    """Run scenarios; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="scenarios; all if none are named")
    options = parser.parse_args()
    failed = [name for name in options.names or scenarios if run_scenario(name)]
    say(f"failed scenarios: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
