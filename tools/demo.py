"""Demonstration.

Runs the Cooperativa in small on loopback, breaks it in several ways and prints
what happened.
"""

import pathlib
import signal
import sys
import tempfile
import time

import msgspec

from persimmonlane.standins.backend import Behaviour

from .cooperativa import USUAL, Cooperativa, say

WITHDRAWN = "feria"
STEP_S = 3.0
WARM_S = 4.0
LOG_LINES = 4
SLOW = Behaviour(latency_s=0.008, slow_factor=40.0)
WRONG = Behaviour(latency_s=0.008, wrong_share=0.6)


def run(cooperativa):
    """Run all steps; return the `Verification` of what was seen."""
    cooperativa.start()
    cooperativa.start_flows()
    time.sleep(WARM_S)
    spoil(cooperativa, "slow", "uy-sur-a", SLOW)
    spoil(cooperativa, "wrong", "uy-sur-b", WRONG)
    cooperativa.withdraw_key(WITHDRAWN)
    time.sleep(STEP_S)
    drain_server(cooperativa)
    stop_node(cooperativa)
    time.sleep(STEP_S)
    return cooperativa.finish()


def spoil(cooperativa, name, data_centre, behaviour):
    """Let a backend server misbehave."""
    server = cooperativa.find_server(data_centre, "baskets")
    cooperativa.note(name, server.address)
    cooperativa.fleet.behave(server.address, behaviour)
    time.sleep(STEP_S)


def drain_server(cooperativa):
    """Let a backend server leave."""
    server = cooperativa.find_server("uy-sur-c", "submissions")
    cooperativa.note("leaving", server.address)
    behaviour = msgspec.structs.replace(USUAL, state="draining")
    cooperativa.fleet.behave(server.address, behaviour)
    time.sleep(STEP_S)


def stop_node(cooperativa):
    """Stop a node gracefully while callers use it."""
    node = cooperativa.fleet.nodes["node-2"]
    cooperativa.note("node-stopping", node.name)
    node.signal(signal.SIGTERM)
    cooperativa.avoid_node(node)
    status = node.wait()
    cooperativa.note("node-stopped", f"{node.name} with status {status}")


def show_logs(directory):
    """Print the first few error lines of each of the fleet's logs."""
    for path in sorted(pathlib.Path(directory).glob("*.log")):
        lines = path.read_text().splitlines()
        errors = [line for line in lines if " ERROR " in line or "Error: " in line]
        for line in errors[:LOG_LINES]:
            say(f"{path.stem}: {line}")


def main():
    """Run the demonstration; return its exit status."""
    with tempfile.TemporaryDirectory() as directory:
        cooperativa = Cooperativa(directory)
        try:
            verification = run(cooperativa)
        finally:
            cooperativa.fleet.stop()
            show_logs(directory)
    return verification.report()


if __name__ == "__main__":
    sys.exit(main())
