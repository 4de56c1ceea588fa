"""Upkeep part.

The threads that talk to the store: the node's entry, the document, its freshness.
"""

import logging
import random
import threading
import urllib.parse

import msgspec

from ..application import Part
from ..errors import StoreError
from ..peers.gossip import FreshnessConfirmed, NodesRegistered
from ..platform.documents import DOCUMENT_KEY, DOCUMENT_PREFIX
from ..platform.store import HistoryGone, LeaseGone

log = logging.getLogger("persimmonlane.upkeep")

NODE_PREFIX = "nodes/"
LEASE_S = 30.0
RENEWAL_S = 10.0
RETRY_S = 0.7
PROBE_S = 1.2
# Others ask the store themselves once the relays' knowledge is this old.
STALE_S = 2.6
RELAYS_PROBING = 1
RELAYS_WATCHING = 2
WATCH_S = 10.0
STEP_S = 0.1
LIST_S = 20.0


class NodeEntry(msgspec.Struct):
    """A node's entry in the store.

    Attributes:
        address: Address for requests from other nodes.
    """

    address: str


class Upkeep(Part):
    """Keeps entry, document and freshness by calls to the store."""

    name = "upkeep"

    def __init__(self, settings, clock, store, holder, gossip, table, fetch):
        self._settings = settings
        self._clock = clock
        self._store = store
        self._holder = holder
        self._gossip = gossip
        self._table = table
        self._fetch = fetch
        self._ended = threading.Event()
        self._lease = None
        self._renew_at = 0.0
        self._list_at = 0.0
        self._probe_at = 0.0
        self._retry_at = 0.0
        self._as_of = None
        self._was_stale = True
        self._threads = [
            threading.Thread(target=self._run_entry, daemon=True),
            threading.Thread(target=self._run_watch, daemon=True),
            threading.Thread(target=self._run_fetch, daemon=True),
        ]

    def start(self):
        """Begin to talk to the store."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """End the threads after their present call."""
        self._ended.set()

    def _run_entry(self):
        while not self._ended.wait(STEP_S):
            now = self._clock.now()
            if now < self._retry_at:
                continue
            try:
                self._do_due(now)
            except StoreError as error:
                log.warning("Upkeep: %s.", error)
                self._retry_at = now + RETRY_S * random.uniform(0.8, 1.2)
                self._was_stale = True
            except Exception:
                log.exception("Upkeep: a step failed.")
                self._retry_at = now + RETRY_S

    def _do_due(self, now):
        if self._holder.version == 0 or self._needs_probe(now):
            self._probe(now)
        if now >= self._renew_at or self._was_stale:
            self._renew(now)
            self._was_stale = False
        if now >= self._list_at:
            self._list(now)

    def _needs_probe(self, now):
        age_s = self._table.compute_fresh_age()
        if age_s > STALE_S:
            return True
        is_relay = self._table.is_relay(self._settings.data_centre, RELAYS_PROBING)
        return is_relay and now >= self._probe_at

    def _probe(self, now):
        """Learn whether the document is still the newest, at the least cost.

        The store's revision rises with every change; while it stands where it was
        at the last read of the document, the document has not changed.
        """
        if self._as_of is None:
            self._read_document()
        else:
            begun = self._clock.now()
            item = self._store.read(self._own_key())
            if item.as_of != self._as_of:
                self._read_document()
            else:
                self._gossip.tell(FreshnessConfirmed(begun))
        self._probe_at = now + PROBE_S

    def _read_document(self):
        begun = self._clock.now()
        item = self._store.read(DOCUMENT_KEY)
        if item.value is not None and self._holder.offer(item.value, "the store"):
            self._as_of = item.as_of
            self._gossip.tell(FreshnessConfirmed(begun))

    def _renew(self, now):
        if self._lease is not None:
            try:
                self._store.renew_lease(self._lease)
                self._renew_at = now + RENEWAL_S
                return
            except LeaseGone:
                log.warning("Upkeep: the entry's lease had lapsed.")
                self._lease = None
        granted = self._store.grant_lease(max(LEASE_S, self._settings.least_lease_s))
        entry = msgspec.json.encode(NodeEntry(self._settings.nodes))
        self._store.write(self._own_key(), entry, granted.lease)
        self._lease = granted.lease
        self._renew_at = now + min(RENEWAL_S, granted.duration_s / 3.0)
        self._list(now)

    def _list(self, now):
        addresses = {}
        for item in self._store.list(NODE_PREFIX):
            name = urllib.parse.unquote(item.key[len(NODE_PREFIX) :])
            try:
                entry = msgspec.json.decode(item.value or b"", type=NodeEntry)
            except msgspec.MsgspecError as error:
                log.warning("Upkeep: the entry of %s is invalid: %s.", name, error)
                continue
            addresses[name] = entry.address
        self._gossip.tell(NodesRegistered(addresses))
        self._list_at = now + LIST_S * random.uniform(0.8, 1.2)

    def _own_key(self):
        return NODE_PREFIX + urllib.parse.quote(self._settings.name, safe="")

    def _run_watch(self):
        after = None
        while not self._ended.wait(STEP_S):
            if not self._table.is_relay(self._settings.data_centre, RELAYS_WATCHING):
                after = None
                self._ended.wait(RETRY_S)
                continue
            if self._as_of is None:
                continue
            try:
                after = self._watch(after or self._as_of)
            except HistoryGone:
                log.warning("Upkeep: the store has dropped its history.")
                after = self._read_anew()
            except StoreError as error:
                log.warning("Upkeep: the watch ended: %s.", error)
                self._ended.wait(RETRY_S)
            except Exception:
                log.exception("Upkeep: the watch failed.")
                self._ended.wait(RETRY_S)

    def _watch(self, after):
        changes = self._store.watch(DOCUMENT_PREFIX, after, WATCH_S)
        for event in changes.events:
            if event.key == DOCUMENT_KEY and event.value is not None:
                self._holder.offer(event.value, "a watch")
        return changes.as_of or after

    def _read_anew(self):
        try:
            self._read_document()
        except StoreError as error:
            log.warning("Upkeep: the document was not read: %s.", error)
        return

    def _run_fetch(self):
        while not self._ended.is_set():
            addresses = self._holder.await_wanted(RETRY_S)
            for address in dict.fromkeys(addresses):
                if self._fetch(address):
                    break
