"""Fleet whose nodes keep their documents up to date, on a simulated clock."""

from ...errors import StoreError
from ...peers.tests.simulation import STEP_S, Fleet
from ...platform.documents import DOCUMENT_KEY
from ...platform.store import GrantedLease, ReadResult, StoreItem, WatchResult
from ..documents import REMOTE_FETCH_DELAY_S, DocumentHolder
from ..storesync import RETRY_DELAY_S, WATCHING_RELAYS, StoreSync

# Time that a call to a node or a store which does not answer takes.
FETCH_TIMEOUT_S = 0.6
STORE_TIMEOUT_S = 1.5
LEASE_S = 30.0
# Time within which a new version must be in force, by the operators' bound.
APPLY_S = 2.0
# Rounds of datagrams that follow each other without a noticeable delay.
EXCHANGES = 3


class Rulebook:
    def __init__(self, version):
        self.version = version


class Store:
    """The store.

    Attributes:
        version: Version of the document.
        revision: Revision of the newest change.
        document_revision: Revision of the document's newest change.
        cut: Hosts that it does not answer.
        reads: Calls of `read`.
    """

    def __init__(self):
        self.version = 1
        self.revision = 1
        self.document_revision = 1
        self.cut = set()
        self.reads = 0

    def change(self):
        self.revision += 1
        self.document_revision = self.revision
        self.version += 1


class StoreClient:
    """The client of one host."""

    def __init__(self, store, host):
        self._store = store
        self._host = host

    def _check(self):
        if self._host in self._store.cut:
            raise StoreError("no answer")

    def read(self, key):
        self._check()
        self._store.reads += 1
        value = self._store.version if key == DOCUMENT_KEY else b""
        return ReadResult(value, self._store.revision)

    def watch(self, prefix, after, wait_s):
        self._check()
        store = self._store
        if store.document_revision <= after:
            return WatchResult([], after)
        event = StoreItem(DOCUMENT_KEY, store.version, store.document_revision)
        return WatchResult([event], store.revision)

    def list(self, prefix):
        self._check()
        return []

    def grant_lease(self, duration_s):
        self._check()
        return GrantedLease(1, LEASE_S)

    def renew_lease(self, lease):
        self._check()

    def write(self, key, value, lease):
        self._check()
        self._store.revision += 1


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
    """

    def __init__(self, fleet, node):
        self.documents = DocumentHolder(Rulebook)
        self.applied_at = {}
        self._fleet = fleet
        self._clock = fleet.clock
        self._table = node.table
        self._host = node.host
        self._settings = settings = node.gossip._settings
        settings.min_lease_s = 1.0
        settings.document_apply_s = APPLY_S
        self._sync = StoreSync(
            self._settings,
            fleet.clock,
            StoreClient(fleet.store, node.host),
            self.documents,
            ActorReference(node.gossip),
            node.table,
            self._fetch,
            fleet.rng,
        )
        self._tasks_at = 0.0
        self._watch_at = 0.0
        self._fetch_at = 0.0
        self._after = None
        self._to_ask = []
        self.documents.add_listener(self._note_applied)

    def _note_applied(self, rulebook):
        self.applied_at[rulebook.version] = self._clock.now()
        self._fleet.changed.add(self._host)

    def step(self):
        now = self._clock.now()
        if now >= self._tasks_at:
            self._run_tasks(now)
        if now >= self._watch_at:
            self._watch(now)
        if now >= self._fetch_at:
            self._fetch_next(now)

    def _run_tasks(self, now):
        try:
            self._sync._run_due_tasks(now)
        except StoreError:
            self._sync._renewal_due = True
            self._tasks_at = now + STORE_TIMEOUT_S + RETRY_DELAY_S

    def _watch(self, now):
        if not self._table.is_relay(self._settings.data_centre, WATCHING_RELAYS):
            self._after = None
            self._watch_at = now + RETRY_DELAY_S
        elif self._sync._document_revision is not None:
            after = self._after or self._sync._document_revision
            try:
                self._after = self._sync._wait_for_changes(after)
            except StoreError:
                self._watch_at = now + STORE_TIMEOUT_S

    def _fetch_next(self, now):
        if not self._to_ask:
            if not self.documents._sources:
                return
            self.documents._stopped.set()
            self._to_ask = self.documents.wait_for_sources(0.0)
            if not any(source.is_local for source in self._to_ask):
                self._fetch_at = now + REMOTE_FETCH_DELAY_S
                return
        while self._to_ask and now >= self._fetch_at:
            source = self._to_ask.pop(0)
            if source.version > self.documents.version:
                self._sync._try_fetch(source.address)

    def _fetch(self, address):
        source = self._fleet.find_running(address.split(":")[0])
        if source is None:
            self._fetch_at = self._clock.now() + FETCH_TIMEOUT_S
        else:
            self.documents.apply(source.documents.version, address)


class SyncedFleet:
    """A fleet of `SyncedNode`s.

    Attributes:
        clock: The `ManualClock`.
        store: The `Store`.
        rng: The `random.Random` of the fleet.
        paused: Hosts that stand still.
        changed: Hosts that announce themselves before the next step.
    """

    def __init__(self, sizes, seed):
        self._fleet = Fleet(sizes, seed)
        self.clock = self._fleet.clock
        self.rng = self._fleet.rng
        self.paused = self._fleet.network.paused
        self.store = Store()
        self.changed = set()
        self.synced = {}
        for host, node in self._fleet.nodes.items():
            self.synced[host] = synced = SyncedNode(self, node)
            gossip = node.gossip
            for part in (gossip, gossip._remotes, gossip._rates):
                part._document = synced.documents

    def find_running(self, host):
        return None if host in self.paused else self.synced[host]

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
