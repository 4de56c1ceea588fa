"""Fleet whose nodes keep their documents up to date, on a simulated clock.

The nodes call a store's stand-in through the real client, without a network.
"""

import msgspec
import urllib3.exceptions

from ...localities import Locality, RegionMap
from ...owner.departures import Departures
from ...owner.evacuation import EvacuationGate
from ...peers.tests.simulation import STEP_S, Fleet
from ...platform.documents import DOCUMENT_KEY
from ...platform.store import SiteStore
from ...standins.store import StoreState
from ..documents import REMOTE_FETCH_DELAY_S, DocumentHolder
from ..entries import NODE_PREFIX
from ..evacuations import EvacuationHolder
from ..storesync import StoreSync
from ..watching import RETRY_DELAY_S

# Time that a call to a node or a store which does not answer takes.
FETCH_TIMEOUT_S = 0.6
STORE_TIMEOUT_S = 1.5
# Time within which a new version must be in force, by the operators' bound.
APPLY_S = 2.0
# Time within which an evacuation must be in force.
EVACUATION_S = 5.0
# Answers of the store beyond this size are long.
LONG_BYTES = 128 * 1024
# Rounds of datagrams that follow each other without a noticeable delay.
EXCHANGES = 3
WATCH_PATH = "/persimmonlane/kv-watch"
# A watch that does not wait asks for the changes so far.
PROBE_END = "WaitMs=0"


class Rulebook:
    def __init__(self, raw):
        self.version = int(raw.partition(b":")[0])
        self.raw = bytes(raw)


class WrittenDocument:
    """A document that the operator wrote, and when that was confirmed."""

    def __init__(self, version, raw, at):
        self.version = version
        self.raw = raw
        self.at = at


class Store:
    """The store, and the operator who changes the document.

    Attributes:
        state: The `StoreState`.
        version: Version of the document.
        written: The `WrittenDocument`s that the operator has first written, in order.
        cut: Hosts that it does not answer.
        is_away: Whether it refuses all calls.
        read_count: Calls that read an item, or ask for changes without waiting.
        call_count: All calls; a watch counts once, however long it waits.
        late_answers: Response that the next call of a host gets, by the host.
        transactions: Bodies of the calls that write.
        long_reads: Number of long answers that were read.
    """

    def __init__(self, clock):
        self.state = StoreState()
        self.state.era = 1
        self.version = 0
        self.written = []
        self.cut = set()
        self.is_away = False
        self.read_count = 0
        self.call_count = 0
        self.late_answers = {}
        self.transactions = []
        self.long_reads = 0
        self._clock = clock
        self.change()

    def change(self, contents=""):
        """Write the next version of the document."""
        self.version += 1
        raw = f"{self.version}:{contents}".encode()
        self.state.put(DOCUMENT_KEY, raw)
        self.written.append(WrittenDocument(self.version, raw, self._clock.now()))

    def write_again(self, since):
        """Write again the documents that were written at a time or later.

        Args:
            since: Clock seconds.
        """
        for document in self.written:
            if document.at >= since:
                self.state.put(DOCUMENT_KEY, document.raw)

    def note_read(self, size):
        """Note that the body of an answer was read, with its size in bytes."""
        self.long_reads += size > LONG_BYTES

    def find_newest(self, at):
        """Return the newest version that was confirmed before a time in seconds."""
        return max((item.version for item in self.written if item.at < at), default=0)


class StillWaiting(BaseException):
    """A watch that has nothing to tell yet; no part of the product may catch this."""


class StoreResponse:
    def __init__(self, status, data, headers, note_read=lambda size: None):
        self.status = status
        self.headers = headers
        self._data = data
        self._note_read = note_read

    def peek(self):
        """Return the body without counting it as read."""
        return self._data

    @property
    def data(self):
        self._note_read(len(self._data))
        return self._data

    def close(self):
        """Leave the body unread."""


class StorePool:
    """Takes the place of the connections of one host to the store.

    Attributes:
        timed_out: Whether a call was not answered since this was last reset.
    """

    def __init__(self, store, host, clock):
        self.timed_out = False
        self._store = store
        self._host = host
        self._clock = clock
        self._watch = None
        self._watch_until = 0.0

    def urlopen(
        self,
        method,
        target,
        body=None,
        headers=None,
        timeout=None,
        decode_content=True,
        preload_content=True,
    ):
        if not target.startswith(WATCH_PATH):
            return self._call(method, target, body)
        if target.endswith(PROBE_END):
            self._store.read_count += 1
            return self._call(method, target, body)
        return self._wait(method, target)

    def _call(self, method, target, body=None):
        if self._host in self._store.cut:
            self.timed_out = True
            self._watch = None
            raise urllib3.exceptions.ProtocolError("no answer")
        if self._store.is_away:
            self._watch = None
            raise urllib3.exceptions.ProtocolError("refused")
        if self._host in self._store.late_answers:
            return self._store.late_answers.pop(self._host)
        self._store.call_count += 1
        self._store.read_count += "/kv-key?" in target
        if target.endswith("/kv-txn"):
            self._store.transactions.append(msgspec.json.decode(body))
        state = self._store.state
        status, answer = state.handle(method, target, body or b"")
        data = msgspec.json.encode(answer)
        headers = {**dict(state.build_headers()), "Content-Length": str(len(data))}
        return StoreResponse(status, data, headers, self._store.note_read)

    def _wait(self, method, target):
        """Return the response to a watch, which waits for as long as it was told to."""
        path, _, wait_ms = target.rpartition("=")
        now = self._clock.now()
        if self._watch is None:
            self._watch = path
            self._watch_until = now + int(wait_ms) / 1000
        else:
            self._store.call_count -= 1
        response = self._call(method, f"{self._watch}=0")
        has_events = b'"Key"' in response.peek()
        if response.status == 200 and not has_events and now < self._watch_until:
            raise StillWaiting
        self._watch = None
        return response


class ActorReference:
    def __init__(self, actor):
        self._actor = actor

    def tell(self, message):
        self._actor.on_receive(message)


class SyncedNode:
    """A node whose threads are replaced by calls of `step`.

    Attributes:
        documents: Its `DocumentHolder`.
        applied_at: Clock seconds at which each version came into force.
        history: The versions that came into force, in order.
        table: Its `PeerTable`.
        departures: Its `Departures`.
        evacuations: Its `EvacuationHolder`, or None without evacuations.
        started_at: Clock seconds of its start.
        read_departures: The lists of `Departure`s that it has read from the store.
    """

    def __init__(self, fleet, node):
        self.departures = Departures()
        self.read_departures = []
        regions = RegionMap(node.data_centre, {})
        self.documents = DocumentHolder(Rulebook, regions.locate, fleet.rng)
        self.applied_at = {}
        self.history = []
        self.table = node.table
        self._fleet = fleet
        self._clock = fleet.clock
        self._host = node.host
        self._pool = StorePool(fleet.store, node.host, fleet.clock)
        generations = node.generations
        generations.add_listener(self._note_restored)
        store = SiteStore("store:80", generations)
        store._pool = self._pool
        settings = node.gossip._settings
        self._settings = settings
        settings.min_lease_s = 1.0
        settings.document_apply_s = APPLY_S
        settings.evacuation_s = EVACUATION_S
        self.evacuations = None
        self.started_at = fleet.clock.now()
        if fleet.has_evacuations:
            self.evacuations = EvacuationHolder(settings, fleet.clock)
            self.evacuations.add_listener(self._note_evacuations)
        self._sync = StoreSync(
            settings,
            fleet.clock,
            store,
            generations,
            self.documents,
            ActorReference(node.gossip),
            node.table,
            self._fetch,
            fleet.rng,
            self.departures,
            self.read_departures.append,
            self.evacuations,
        )
        self._tasks_at = 0.0
        self._watch_at = 0.0
        self._fetch_at = 0.0
        self._to_ask = []
        self.documents.add_listener(self._note_applied)
        gossip = node.gossip
        for part in (gossip, gossip._remotes, gossip._rates):
            part._document = self.documents
        for part in (gossip, gossip._remotes):
            part._evacuations = self.evacuations

    def may_admit(self):
        """Return whether its owner sends requests to the backend server."""
        gate = EvacuationGate(self._settings, self._clock, self.evacuations)
        return gate.is_open()

    def _note_applied(self, rulebook):
        self.applied_at[rulebook.version] = self._clock.now()
        self.history.append(rulebook.version)
        self._fleet.changed.add(self._host)

    def _note_evacuations(self):
        self._fleet.changed.add(self._host)

    def _note_restored(self, event):
        self._fleet.changed.add(self._host)

    @property
    def confirmed_at(self):
        """Clock seconds at which its document was confirmed as the newest, or None."""
        return self.table.freshness.confirmed_at

    def keep_departures(self):
        """Return whether the store holds all departures; it is called if not."""
        return self._sync.keep_departures(STORE_TIMEOUT_S)

    def stop_watching(self):
        """Let its watch hear nothing any more."""
        self._watch_at = float("inf")

    def step(self):
        now = self._clock.now()
        if now >= self._tasks_at:
            self._sync.run_due_tasks()
            if self._has_timed_out():
                self._tasks_at = now + STORE_TIMEOUT_S + RETRY_DELAY_S
        if now >= self._watch_at:
            self._wait_for_changes(now)
        if now >= self._fetch_at:
            self._fetch_next(now)

    def _wait_for_changes(self, now):
        try:
            self._watch_at = now + self._sync.watch.wait()
        except StillWaiting:
            return
        if self._has_timed_out():
            self._watch_at = now + STORE_TIMEOUT_S

    def _has_timed_out(self):
        timed_out, self._pool.timed_out = self._pool.timed_out, False
        return timed_out

    def _fetch_next(self, now):
        if not self._to_ask:
            if not self.documents._sources:
                return
            self.documents._stopped.set()
            self._to_ask = self.documents.wait_for_sources(0.0)
            if not any(
                source.locality is Locality.DATA_CENTRE for source in self._to_ask
            ):
                self._fetch_at = now + REMOTE_FETCH_DELAY_S
                return
        while self._to_ask and now >= self._fetch_at:
            source = self._to_ask.pop(0)
            if source.stamp > self.documents.stamp:
                self._sync.fetch_from(source.address)

    def _fetch(self, address):
        source = self._fleet.find_running(address.split(":")[0])
        if source is None:
            self._fetch_at = self._clock.now() + FETCH_TIMEOUT_S
        elif source.documents.rulebook is not None:
            held = source.documents.held
            self.documents.apply(
                held.rulebook.raw, address, held.stamp.generation, held.revision
            )


class SyncedFleet:
    """A fleet of `SyncedNode`s.

    Attributes:
        clock: The `ManualClock`.
        store: The `Store`.
        rng: The `random.Random` of the fleet.
        paused: Hosts that stand still.
        changed: Hosts that announce themselves before the next step.
        synced: The `SyncedNode`s by host.
        has_evacuations: Whether the operator may evacuate data centres.
    """

    def __init__(self, sizes, seed, has_evacuations=False):
        self.has_evacuations = has_evacuations
        self._fleet = Fleet(sizes, seed)
        self.clock = self._fleet.clock
        self.rng = self._fleet.rng
        self.paused = self._fleet.network.paused
        self.store = Store(self.clock)
        self.changed = set()
        self.synced = {
            host: SyncedNode(self, node) for host, node in self._fleet.nodes.items()
        }

    def restart(self, host):
        """Start a new process of a node, which knows nothing."""
        self.synced[host] = SyncedNode(self, self._fleet.start(host))

    def kill(self, host):
        self._fleet.kill(host)
        del self.synced[host]

    def list_registered(self):
        """Return the hosts of the nodes whose entries are in the store."""
        keys = self.store.state.keys()
        names = [key.removeprefix(NODE_PREFIX) for key in keys if NODE_PREFIX in key]
        return {name.removeprefix("vm-") for name in names}

    def find_running(self, host):
        return None if host in self.paused else self.synced.get(host)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._fleet.run(STEP_S)
            self._exchange()
            hosts = list(self.synced)
            self.rng.shuffle(hosts)
            for host in hosts:
                if host not in self.paused:
                    self.synced[host].step()
            self._exchange()

    def _exchange(self):
        for _ in range(EXCHANGES):
            changed, self.changed = self.changed, set()
            for host in changed - self.paused:
                if host in self._fleet.nodes:
                    self._fleet.nodes[host].announce()
            self._fleet.network.deliver()

    def list_data_centres(self):
        return sorted({node.data_centre for node in self._fleet.nodes.values()})

    def list_relays(self, data_centre, count):
        """Return the hosts of a data centre's relays."""
        node = next(
            node
            for host, node in self._fleet.nodes.items()
            if node.data_centre == data_centre and host not in self.paused
        )
        names = node.table.rank_relays(data_centre, count)
        return [name.removeprefix("vm-") for name in names]

    def measure_lateness(self, limit_s):
        """Change the document; return the longest time until it is in force.

        Only nodes count that run and reach the store.

        Args:
            limit_s: Seconds to wait for it.
        """
        self.store.change()
        changed_at = self.clock.now()
        self.run(limit_s)
        never = changed_at + 2 * limit_s
        return max(
            synced.applied_at.get(self.store.version, never) - changed_at
            for host, synced in self.synced.items()
            if host not in self.paused | self.store.cut
        )
