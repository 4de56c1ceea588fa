"""Synchronisation with the store.

Runs the threads that register the node in the store, keep its document up to date and
confirm that the document is the newest version.
"""

import logging
import math
import threading
import urllib.parse

import msgspec

from ..application import Part
from ..errors import StoreError
from ..peers.commands import FreshnessConfirmed, NodesRegistered, RegisteredNode
from ..platform.documents import DOCUMENT_KEY, DOCUMENT_PREFIX
from ..platform.store import HistoryGone, LeaseGone
from .probing import ProbeSchedule

log = logging.getLogger("persimmonlane.upkeep")

NODE_PREFIX = "nodes/"
ENTRY_LEASE_S = 30.0
LEASE_RENEWAL_INTERVAL_S = 10.0
RETRY_DELAY_S = 0.7
# Number of nodes in each data centre that probe the store or watch the document for the
# others.
PROBING_RELAYS = 1
WATCHING_RELAYS = 2
WATCH_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1
LIST_INTERVAL_S = 20.0


class NodeEntry(msgspec.Struct):
    """A node's registration in the store.

    Attributes:
        address: Address for requests from other nodes.
        data_centre: Name of its data centre; empty in entries of older releases.
    """

    address: str
    data_centre: str = ""


class StoreSync(Part):
    """Keeps the node's entry, its document and the document's freshness up to date.

    Args:
        settings: The `FleetSettings`.
        clock: Clock that gives the time in seconds.
        store: The `SiteStore`.
        documents: The `DocumentHolder`.
        gossip: Actor that is told of registered nodes and of the document's freshness.
        table: Table of the known nodes.
        fetch_document: Function that fetches the document from the node at an address
            and puts it into force if it is newer.
        rng: The `random.Random` that spreads the nodes' calls.
    """

    name = "upkeep"

    def __init__(
        self, settings, clock, store, documents, gossip, table, fetch_document, rng
    ):
        self._settings = settings
        self._clock = clock
        self._store = store
        self._documents = documents
        self._gossip = gossip
        self._table = table
        self._fetch_document = fetch_document
        self._rng = rng
        self._probes = ProbeSchedule(settings, rng)
        self._stopped = threading.Event()
        self._lease = None
        self._renew_at = 0.0
        self._list_at = 0.0
        self._retry_at = 0.0
        self._document_revision = None
        self._renewal_due = True
        documents.add_listener(self._log_unconfirmed_time)
        self._threads = [
            threading.Thread(target=self._run_periodic_tasks, daemon=True),
            threading.Thread(target=self._run_document_watch, daemon=True),
            threading.Thread(target=self._fetch_from_peers, daemon=True),
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Make the threads stop after the call that they are in."""
        self._stopped.set()

    def _log_unconfirmed_time(self, rulebook):
        """Log for how long the node could not know that there was a new version."""
        age_s = self._table.freshness.compute_age()
        if math.isfinite(age_s):
            log.info(
                "Upkeep: version %08x replaces one that was confirmed %.2f s before.",
                rulebook.version,
                age_s,
            )

    def _run_periodic_tasks(self):
        while not self._stopped.wait(POLL_INTERVAL_S):
            now = self._clock.now()
            if now < self._retry_at:
                continue
            try:
                self._run_due_tasks(now)
            except StoreError as error:
                log.warning("Upkeep: %s.", error)
                self._retry_at = now + RETRY_DELAY_S * self._rng.uniform(0.8, 1.2)
                self._renewal_due = True
            except Exception:
                log.exception("Upkeep: a periodic task failed.")
                self._retry_at = now + RETRY_DELAY_S

    def _run_due_tasks(self, now):
        if self._documents.version == 0 or self._is_probe_due(now):
            self._probe(now)
        if now >= self._renew_at or self._renewal_due:
            self._renew_entry(now)
            self._renewal_due = False
        if now >= self._list_at:
            self._list_nodes(now)

    def _is_probe_due(self, now):
        age_s = self._table.freshness.compute_age()
        return self._probes.is_due(now, age_s, self._is_probing_relay)

    def _is_probing_relay(self):
        return self._table.is_relay(self._settings.data_centre, PROBING_RELAYS)

    def _probe(self, now):
        """Check that the document is still the newest, at the lowest cost.

        The store's revision increases with every change. While it is the same as at the
        last read of the document, the document has not changed, and reading the node's
        own small entry is enough to learn the revision.
        """
        if self._document_revision is None:
            self._read_document()
        else:
            started_at = self._clock.now()
            item = self._store.read(self._build_entry_key())
            if item.as_of != self._document_revision:
                self._read_document()
            else:
                self._gossip.tell(FreshnessConfirmed(started_at))
        self._probes.note_probe(now)

    def _read_document(self):
        started_at = self._clock.now()
        item = self._store.read(DOCUMENT_KEY)
        if item.value is not None and self._documents.apply(item.value, "the store"):
            self._document_revision = item.as_of
            self._gossip.tell(FreshnessConfirmed(started_at))

    def _renew_entry(self, now):
        if self._lease is not None:
            try:
                self._store.renew_lease(self._lease)
                self._renew_at = now + LEASE_RENEWAL_INTERVAL_S
                return
            except LeaseGone:
                log.warning("Upkeep: the lease of the node's entry has expired.")
                self._lease = None
        granted = self._store.grant_lease(
            max(ENTRY_LEASE_S, self._settings.min_lease_s)
        )
        settings = self._settings
        entry = msgspec.json.encode(
            NodeEntry(settings.peer_address, settings.data_centre)
        )
        self._store.write(self._build_entry_key(), entry, granted.lease)
        self._lease = granted.lease
        self._renew_at = now + min(LEASE_RENEWAL_INTERVAL_S, granted.duration_s / 3.0)
        self._list_nodes(now)

    def _list_nodes(self, now):
        nodes = []
        for item in self._store.list(NODE_PREFIX):
            name = urllib.parse.unquote(item.key[len(NODE_PREFIX) :])
            try:
                entry = msgspec.json.decode(item.value or b"", type=NodeEntry)
            except msgspec.MsgspecError as error:
                log.warning(
                    "Upkeep: the store's entry of node %s is invalid: %s.", name, error
                )
                continue
            nodes.append(RegisteredNode(name, entry.address, entry.data_centre))
        self._gossip.tell(NodesRegistered(nodes))
        self._list_at = now + LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)

    def _build_entry_key(self):
        return NODE_PREFIX + urllib.parse.quote(self._settings.name, safe="")

    def _run_document_watch(self):
        after = None
        while not self._stopped.wait(POLL_INTERVAL_S):
            if not self._table.is_relay(self._settings.data_centre, WATCHING_RELAYS):
                after = None
                self._stopped.wait(RETRY_DELAY_S)
                continue
            if self._document_revision is None:
                continue
            try:
                after = self._wait_for_changes(after or self._document_revision)
            except HistoryGone:
                log.warning(
                    "Upkeep: the store no longer has the changes; reading the document."
                )
                after = self._reload_document()
            except StoreError as error:
                log.warning("Upkeep: watching the document failed: %s.", error)
                self._stopped.wait(RETRY_DELAY_S)
            except Exception:
                log.exception("Upkeep: unexpected error while watching the document.")
                self._stopped.wait(RETRY_DELAY_S)

    def _wait_for_changes(self, after):
        changes = self._store.watch(DOCUMENT_PREFIX, after, WATCH_TIMEOUT_S)
        for event in changes.events:
            if event.key == DOCUMENT_KEY and event.value is not None:
                self._documents.apply(event.value, "a watch")
        return changes.as_of or after

    def _reload_document(self):
        """Read the document; return None, so that the watch resumes at its revision."""
        try:
            self._read_document()
        except StoreError as error:
            log.warning("Upkeep: reading the document failed: %s.", error)
        return

    def _fetch_from_peers(self):
        while not self._stopped.is_set():
            self._fetch_newer_document()

    def _fetch_newer_document(self):
        asked = set()
        for source in self._documents.wait_for_sources(RETRY_DELAY_S):
            # A source may have been restarted since, and have an older version now.
            if source.version > self._documents.version and source.address not in asked:
                asked.add(source.address)
                self._try_fetch(source.address)

    def _try_fetch(self, address):
        try:
            self._fetch_document(address)
        except Exception:
            log.exception("Upkeep: fetching the document from %s failed.", address)
