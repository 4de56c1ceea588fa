"""Cooperativa.

The Cooperativa's deployment in small: its document, processes and callers.
"""

import time

import msgspec

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
SHARE_SENT = 0.6
USUAL = Behaviour(latency_s=0.008)
WATCHER = "oficina"
PATHS = ("/baskets/1", "/submissions/1", "/photos/1")


class Moment(msgspec.Struct):
    """Something that was done to the fleet.

    Attributes:
        name: What was done.
        at: Monotonic seconds.
        subject: The backend server, organisation or node concerned.
    """

    name: str
    at: float
    subject: str


class Cooperativa:
    """The Cooperativa's deployment in small.

    Attributes:
        fleet: The processes.
        keys: Key of each organisation.
        document: The document that was published last.
        moments: What was done.
        flows: The callers.
    """

    def __init__(self, directory, share_sent=SHARE_SENT):
        self.keys = {name: create_key(name) for name in RATES}
        self.fleet = Fleet(directory, secrets=self.keys.values())
        self.document = build_document(self.keys)
        self.moments = []
        self.flows = []
        self._share_sent = share_sent

    def start(self):
        """Start all processes and wait until every node serves."""
        begun = time.monotonic()
        self.fleet.start_store()
        self.publish()
        services = [name for names in SERVICES.values() for name in names]
        for data_centre in DATA_CENTRES:
            self.fleet.start_standins(data_centre, services, USUAL)
        for number, data_centre in enumerate(DATA_CENTRES):
            servers = self.fleet.standins[data_centre].servers
            self.fleet.start_node(f"node-{number}", data_centre, servers)
        self.wait_serving()
        say(f"the fleet serves after {time.monotonic() - begun:.1f} s")

    def wait_serving(self):
        """Wait until every node serves each route."""
        for path in PATHS:
            self.fleet.wait_serving(path, self.keys[WATCHER])

    def publish(self):
        """Publish the document."""
        operations = StoreOperations(create_client("grpc", self.fleet.store_address))
        data = msgspec.json.encode(self.document)
        return operations.publish(data, None, "development", None)

    def start_flows(self):
        """Start the callers of all organisations."""
        nodes = [node.settings.http for node in self.fleet.nodes.values()]
        for name, rate in RATES.items():
            share = GREEDY_FACTOR if name == GREEDY else self._share_sent
            self.flows.extend(build_flows(name, self.keys[name], rate * share, nodes))
        for flow in self.flows:
            flow.start()

    def avoid_node(self, node):
        """Let callers use the other nodes from now on."""
        others = [
            other.settings.http for other in self.fleet.nodes.values() if other != node
        ]
        for flow in self.flows:
            flow.nodes = others

    def use_all_nodes(self):
        """Let callers use all nodes."""
        for flow in self.flows:
            flow.nodes = [node.settings.http for node in self.fleet.nodes.values()]

    def finish(self):
        """Stop the callers; return the `Verification`."""
        results = [result for flow in self.flows for result in flow.stop()]
        for name in self.fleet.list_leaks():
            self.note("failed", f"a key stands in the log of {name}")
        return Verification(
            self.document,
            results,
            self.fleet.count(),
            self.moments,
            self.fleet.list_ejected(),
        )

    def note(self, name, subject):
        """Record and print something that was done."""
        self.moments.append(Moment(name, time.monotonic(), subject))
        say(f"{name}: {subject}")

    def find_server(self, data_centre, service):
        """Return a backend server of a service in a data centre."""
        servers = self.fleet.standins[data_centre].servers
        return next(server for server in servers if server.service == service)

    def withdraw_key(self, organisation):
        """Publish a document in which an organisation has no key."""
        kept = tuple(
            msgspec.structs.replace(item, keys=())
            if item.name == organisation
            else item
            for item in self.document.organisations
        )
        self.document = msgspec.structs.replace(self.document, organisations=kept)
        self.publish()
        self.note("key-withdrawn", organisation)


def build_flows(name, key, rate, nodes):
    """Return the flows of one organisation: lookups, submissions and photos."""
    return (
        Flow(name, key, rate * 0.6, "GET", "/baskets/7", nodes),
        Flow(name, key, rate * 0.3, "POST", "/submissions/7", nodes, b"9"),
        Flow(name, key, rate * 0.1, "PUT", "/photos/7", nodes, b"p" * 20000),
    )


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
    """Print one line on the run."""
    print(f"demo: {sentence}", flush=True)
