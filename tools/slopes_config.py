"""Slopes of the configuration.

Measures what a document costs as it grows, and what spreading costs the store as
nodes grow.
"""

import gc
import random
import time
import tracemalloc

import msgspec

from persimmonlane.clocks import SystemClock
from persimmonlane.config.checks import validate
from persimmonlane.config.jobs import build_view
from persimmonlane.config.loading import load_snapshot
from persimmonlane.config.model import (
    Document,
    FleetPolicy,
    Key,
    Organisation,
    Route,
    Service,
)
from persimmonlane.config.part import ConfigPart
from persimmonlane.config.publishing import Publisher
from persimmonlane.config.root import encode
from persimmonlane.membership.peers import Peer
from persimmonlane.rpc import Channels, RpcServer
from persimmonlane.settings import NodeSettings
from persimmonlane.store.memory import MemoryStore

SEED = 1
MS_PER_S = 1000
US_PER_S = 1_000_000
LOOKUPS = 2000
SETTLE_S = 4.0
MEASURED_S = 10.0
POLL_S = 0.005
SPREAD_LIMIT_S = 20.0
DATA_CENTRES = 3
CHANGES = 5
TOKEN = "a token for measurements"
# Organisations and routes.
DOCUMENTS = ((8, 12), (1_000, 100), (10_000, 1_000), (40_000, 4_000))
NODES = (2, 4, 8, 16)
LARGE = (10_000, 1_000)


class DocumentSlope(msgspec.Struct, frozen=True):
    """What a document of one size costs.

    Attributes:
        organisations: Number of organisations.
        routes: Number of routes.
        validate_ms: Time to validate its JSON text.
        publish_ms: Time to publish it into an empty store in memory.
        change_ms: Time to publish a change of one organisation.
        change_bytes: Bytes of the parts and the root that the change wrote.
        swap_ms: Time to build its view from its parts, off the request path.
        change_swap_ms: The same for a change of one organisation.
        find_route_us: Time to find a route.
        find_organisation_us: Time to find an organisation.
        root_bytes: Bytes of the root.
        organisation_bytes: Memory of its view and parts per organisation,
            without the routes'.
        route_bytes: Memory of its view and parts per route.
    """

    organisations: int
    routes: int
    validate_ms: float
    publish_ms: float
    change_ms: float
    change_bytes: int
    swap_ms: float
    change_swap_ms: float
    find_route_us: float
    find_organisation_us: float
    root_bytes: int
    organisation_bytes: float
    route_bytes: float


class SpreadSlope(msgspec.Struct, frozen=True):
    """What spreading costs with one number of nodes, in one process.

    Attributes:
        nodes: Number of nodes, spread over the data centres.
        organisations: Number of organisations.
        store_calls_per_s: Calls that all nodes make to the store at rest.
        in_force_ms: Longest time from acceptance until a change was in force at
            all nodes, of several changes.
        cpu_ms_per_s: Processor time of one node in a second at rest.
    """

    nodes: int
    organisations: int
    store_calls_per_s: float
    in_force_ms: float
    cpu_ms_per_s: float


def build_document(organisations, routes, rate=5.0):
    """Return a document of a size; `rate` is that of its first organisation."""
    rng = random.Random(SEED)
    return Document(
        fleet=FleetPolicy(key_salt="00112233445566778899aabbccddeeff"),
        services=(Service(name="prices"), Service(name="photos")),
        routes=tuple(
            Route(name=f"route-{n}", path=f"/area-{n % 40}/item-{n}", service="prices")
            for n in range(routes)
        ),
        organisations=tuple(
            Organisation(
                name=f"organisation-{n}",
                rate=5.0 if n else rate,
                burst=10.0,
                keys=(Key(id="first", digest=rng.randbytes(32).hex()),),
            )
            for n in range(organisations)
        ),
    )


def measure_time(work):
    """Return the seconds that a call takes and its result."""
    started = time.perf_counter()
    result = work()
    return time.perf_counter() - started, result


def measure_memory(organisations, routes):
    """Return the bytes of a view with its parts."""
    store = MemoryStore(SystemClock())
    Publisher(store).publish(build_document(organisations, routes))
    gc.collect()
    tracemalloc.start()
    # A copy of each part, as if it had come over the network.
    snapshot = load_snapshot(store)
    for digest, content in snapshot.contents.items():
        snapshot.contents[digest] = bytes(bytearray(content))
    view = build_view(snapshot)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del view
    return size


def measure_document(organisations, routes):
    """Return the `DocumentSlope` of one size."""
    data = msgspec.json.encode(build_document(organisations, routes))
    validate_s, document = measure_time(lambda: validate(data))
    store = MemoryStore(SystemClock())
    publisher = Publisher(store)
    publish_s, _ = measure_time(lambda: publisher.publish(document))
    before = store.export_entries()
    changed = build_document(organisations, routes, rate=6.0)
    change_s, _ = measure_time(lambda: publisher.publish(changed))
    after = store.export_entries()
    written = [
        len(entry.value)
        for key, entry in after.items()
        if key not in before or before[key].version != entry.version
    ]
    snapshot = load_snapshot(store)
    swap_s, view = measure_time(lambda: build_view(snapshot))
    publisher.publish(build_document(organisations, routes, rate=7.0))
    following = load_snapshot(store, snapshot.contents)
    change_swap_s, view = measure_time(lambda: build_view(following, view))
    rng = random.Random(SEED)
    numbers = [rng.randrange(routes) for _ in range(LOOKUPS)]
    paths = [f"/area-{n % 40}/item-{n}/detail" for n in numbers]
    route_s, _ = measure_time(lambda: [view.find_route("GET", path) for path in paths])
    names = [f"organisation-{rng.randrange(organisations)}" for _ in range(LOOKUPS)]
    name_s, _ = measure_time(lambda: [view.find_organisation(name) for name in names])
    base = measure_memory(0, 0)
    return DocumentSlope(
        organisations=organisations,
        routes=routes,
        validate_ms=round(validate_s * MS_PER_S, 2),
        publish_ms=round(publish_s * MS_PER_S, 2),
        change_ms=round(change_s * MS_PER_S, 2),
        change_bytes=sum(written),
        swap_ms=round(swap_s * MS_PER_S, 2),
        change_swap_ms=round(change_swap_s * MS_PER_S, 2),
        find_route_us=round(route_s / LOOKUPS * US_PER_S, 2),
        find_organisation_us=round(name_s / LOOKUPS * US_PER_S, 2),
        root_bytes=len(encode(snapshot.root)),
        organisation_bytes=round(
            (measure_memory(organisations, 0) - base) / organisations, 1
        ),
        route_bytes=round((measure_memory(0, routes) - base) / routes, 1),
    )


class MeasuredFleet:
    """Configuration parts with their own servers, in one process."""

    def __init__(self, size, store):
        self.parts = []
        self.peers = ()
        self._owned = []
        for number in range(size):
            self._add(number, store)

    def _add(self, number, store):
        server = RpcServer("127.0.0.1:0", TOKEN)
        channels = Channels(TOKEN)
        settings = NodeSettings(
            name=f"node-{number}",
            data_centre=f"dc-{number % DATA_CENTRES}",
            rpc=f"127.0.0.1:{server.port}",
            store="127.0.0.1:1",
            fleet_token=TOKEN,
        )
        known = KnownPeers(self, settings.name)
        part = ConfigPart(
            None, settings, SystemClock(), server, channels, store, known.list_peers
        )
        peer = Peer(settings.name, settings.data_centre, settings.rpc)
        self.peers = (*self.peers, peer)
        self.parts.append(part)
        self._owned += [server, channels, part]

    def start(self):
        """Start all parts."""
        for part in self._owned:
            part.start()

    def stop(self):
        """Stop all parts."""
        for part in reversed(self._owned):
            part.stop()

    def wait_for(self, revision):
        """Return the seconds until a revision is in force at all nodes."""
        started = time.monotonic()
        while not self._have(revision):
            if time.monotonic() - started > SPREAD_LIMIT_S:
                raise TimeoutError(f"revision {revision} is not in force everywhere")
            time.sleep(POLL_S)
        return time.monotonic() - started

    def _have(self, revision):
        views = [part.view() for part in self.parts]
        return all(view and view.revision >= revision for view in views)


class KnownPeers:
    """The peers of one node: all others, in one tuple that stays the same."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self._peers = None

    def list_peers(self):
        """Return the peers."""
        if self._peers is None:
            peers = self._fleet.peers
            self._peers = tuple(peer for peer in peers if peer.name != self._name)
        return self._peers


def measure_spread(nodes, organisations, routes):
    """Return the `SpreadSlope` of one number of nodes."""
    store = MemoryStore(SystemClock(), waits=True)
    publisher = Publisher(store)
    publisher.publish(build_document(organisations, routes))
    fleet = MeasuredFleet(nodes, store)
    fleet.start()
    try:
        fleet.wait_for(1)
        time.sleep(SETTLE_S)
        calls, used = sum(store.counts.values()), time.process_time()
        time.sleep(MEASURED_S)
        calls = sum(store.counts.values()) - calls
        used = time.process_time() - used
        spread_s = []
        for number in range(CHANGES):
            changed = build_document(organisations, routes, rate=6.0 + number)
            made = publisher.publish(changed)
            spread_s.append(fleet.wait_for(made.revision))
    finally:
        fleet.stop()
    return SpreadSlope(
        nodes=nodes,
        organisations=organisations,
        store_calls_per_s=round(calls / MEASURED_S, 1),
        in_force_ms=round(max(spread_s) * MS_PER_S, 1),
        cpu_ms_per_s=round(used / MEASURED_S / nodes * MS_PER_S, 2),
    )


def measure():
    """Return all slopes as a list."""
    # The first validation loads the registries of the variants.
    validate(msgspec.json.encode(build_document(1, 1)))
    slopes = [measure_document(*size) for size in DOCUMENTS]
    slopes += [measure_spread(nodes, 8, 12) for nodes in NODES]
    slopes.append(measure_spread(NODES[-1], *LARGE))
    return slopes


def main():
    """Print the slopes as JSON lines."""
    for slope in measure():
        print(msgspec.json.encode(slope).decode(), flush=True)


if __name__ == "__main__":
    main()
