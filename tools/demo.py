"""Demonstration.

Runs a small fleet for the Cooperativa on loopback, breaks it in several ways and
prints what happened.
"""

import pathlib
import signal
import sys
import tempfile
import time

import msgspec

from persimmonlane.config.model import (
    Document,
    FleetPolicy,
    Key,
    Organisation,
    Route,
    Service,
)
from persimmonlane.keys import compute_digest, create_key
from persimmonlane.platform import create_client
from persimmonlane.standins.backend import Behaviour

from .fleet import Fleet
from .load import Flow
from .verification import Verification

SALT = "5a" * 16
DATA_CENTRES = ("uy-sur-a", "uy-sur-b", "uy-sur-c")
SERVICES = {
    "baskets": ("baskets", "baskets"),
    "submissions": ("submissions", "submissions"),
    "photos": ("photos",),
}
RATES = {
    "indec-sur": 60.0,
    "supervisores": 40.0,
    "oficina": 30.0,
    "feria": 20.0,
    "almacen": 20.0,
    "mayorista": 15.0,
}
GREEDY = "mayorista"
GREEDY_FACTOR = 5.0
WITHDRAWN = "feria"
SHARE_SENT = 0.6
STEP_S = 3.0
WARM_S = 4.0
LOG_LINES = 4
USUAL = Behaviour(latency_s=0.008)
SLOW = Behaviour(latency_s=0.008, slow_factor=40.0)
WRONG = Behaviour(latency_s=0.008, wrong_share=0.6)


class Moment(msgspec.Struct):
    """Something that the demonstration did.

    Attributes:
        name: What was done.
        at: Monotonic seconds.
        subject: The backend server, organisation or node concerned.
    """

    name: str
    at: float
    subject: str


class Demonstration:
    """One run of the demonstration.

    Attributes:
        fleet: The processes.
        keys: Key of each organisation.
        moments: What was done.
    """

    def __init__(self, directory):
        self.keys = {name: create_key(name) for name in RATES}
        self.fleet = Fleet(directory, secrets=self.keys.values())
        self.document = build_document(self.keys)
        self.moments = []
        self.flows = []

    def run(self):
        """Run all steps; return the `Verification` of what was seen."""
        self._start()
        self._start_flows()
        time.sleep(WARM_S)
        self._slow_one()
        self._falsify_one()
        self._withdraw_key()
        self._drain_one()
        self._stop_node()
        time.sleep(STEP_S)
        results = [result for flow in self.flows for result in flow.stop()]
        return Verification(
            self.document, results, self.fleet.count(), self.moments, self.keys
        )

    def _start(self):
        begun = time.monotonic()
        self.fleet.start_store()
        self._publish()
        services = [name for names in SERVICES.values() for name in names]
        for data_centre in DATA_CENTRES:
            self.fleet.start_standins(data_centre, services, USUAL)
        for number, data_centre in enumerate(DATA_CENTRES):
            servers = self.fleet.standins[data_centre].servers
            self.fleet.start_node(f"node-{number}", data_centre, servers)
        for path in ("/baskets/1", "/submissions/1", "/photos/1"):
            self.fleet.wait_serving(path, self.keys["oficina"])
        say(f"the fleet serves after {time.monotonic() - begun:.1f} s")

    def _publish(self):
        from persimmonlane.admin.operations import StoreOperations

        operations = StoreOperations(create_client("grpc", self.fleet.store_address))
        data = msgspec.json.encode(self.document)
        return operations.publish(data, None, "demonstration", None)

    def _start_flows(self):
        nodes = [node.settings.http for node in self.fleet.nodes.values()]
        for name, rate in RATES.items():
            sent = rate * (GREEDY_FACTOR if name == GREEDY else SHARE_SENT)
            key = self.keys[name]
            parts = (
                Flow(name, key, sent * 0.6, "GET", "/baskets/7", nodes),
                Flow(name, key, sent * 0.3, "POST", "/submissions/7", nodes, b"9"),
                Flow(name, key, sent * 0.1, "PUT", "/photos/7", nodes, b"p" * 20000),
            )
            self.flows.extend(parts)
        for flow in self.flows:
            flow.start()

    def _note(self, name, subject):
        self.moments.append(Moment(name, time.monotonic(), subject))
        say(f"{name}: {subject}")

    def _slow_one(self):
        server = self._find("uy-sur-a", "baskets")
        self._note("slow", server.address)
        self.fleet.behave(server.address, SLOW)
        time.sleep(STEP_S)

    def _falsify_one(self):
        server = self._find("uy-sur-b", "baskets")
        self._note("wrong", server.address)
        self.fleet.behave(server.address, WRONG)
        time.sleep(STEP_S)

    def _withdraw_key(self):
        kept = tuple(
            msgspec.structs.replace(item, keys=()) if item.name == WITHDRAWN else item
            for item in self.document.organisations
        )
        self.document = msgspec.structs.replace(self.document, organisations=kept)
        self._publish()
        self._note("key-withdrawn", WITHDRAWN)
        time.sleep(STEP_S)

    def _drain_one(self):
        server = self._find("uy-sur-c", "submissions")
        self._note("leaving", server.address)
        behaviour = msgspec.structs.replace(USUAL, state="draining")
        self.fleet.behave(server.address, behaviour)
        time.sleep(STEP_S)

    def _stop_node(self):
        node = self.fleet.nodes["node-2"]
        self._note("node-stopping", node.name)
        others = [
            other.settings.http for other in self.fleet.nodes.values() if other != node
        ]
        node.signal(signal.SIGTERM)
        for flow in self.flows:
            flow.nodes = others
        status = node.wait()
        self._note("node-stopped", f"{node.name} with status {status}")

    def _find(self, data_centre, service):
        servers = self.fleet.standins[data_centre].servers
        return next(server for server in servers if server.service == service)


def build_document(keys):
    """Return the Cooperativa's document in small, with one key an organisation."""
    services = tuple(Service(name=name, floor=0.5) for name in SERVICES)
    routes = (
        Route(name="baskets", path="/baskets", service="baskets", deadline_ms=2000),
        Route(
            name="submissions",
            path="/submissions",
            service="submissions",
            deadline_ms=4000,
        ),
        Route(name="photos", path="/photos", service="photos", deadline_ms=8000),
    )
    organisations = tuple(
        Organisation(
            name=name,
            rate=rate,
            burst=rate,
            keys=(Key(id="first", digest=compute_digest(SALT, keys[name])),),
        )
        for name, rate in RATES.items()
    )
    return Document(
        fleet=FleetPolicy(key_salt=SALT, limiter_shards=8),
        services=services,
        routes=routes,
        organisations=organisations,
    )


def say(sentence):
    """Print one line of the demonstration."""
    print(f"demo: {sentence}", flush=True)


def main():
    """Run the demonstration; return its exit status."""
    with tempfile.TemporaryDirectory() as directory:
        demonstration = Demonstration(directory)
        try:
            verification = demonstration.run()
        finally:
            demonstration.fleet.stop()
            show_logs(pathlib.Path(directory))
    return verification.report()


def show_logs(directory):
    """Print the first few error lines of each of the fleet's logs."""
    for path in sorted(directory.glob("*.log")):
        lines = path.read_text().splitlines()
        errors = [line for line in lines if "ERROR" in line or "Error" in line]
        for line in errors[:LOG_LINES]:
            say(f"{path.stem}: {line}")


if __name__ == "__main__":
    sys.exit(main())
