"""Registration of the node in the store.

Keeps the node's entry under a lease, and lists the entries of the other nodes. After a
restore of the store, entries and leases of before mean nothing: each node registers
anew, and an entry of an earlier generation may be that of a node that has left.
"""

import logging
import threading

import msgspec

from ..errors import StoreError
from ..peers.commands import NodesRegistered, RegisteredNode
from ..peers.peer import MEMBER_TIMEOUT_S
from ..platform.store import LeaseGone, RevisionConflict
from .entries import (
    NODE_PREFIX,
    NodeEntry,
    build_departures,
    build_entry_key,
    decode_entry,
    encode_departures,
    parse_name,
)
from .generations import SETTLE_S, UNKNOWN_GENERATION

log = logging.getLogger("persimmonlane.upkeep")

ENTRY_LEASE_S = 30.0
LEASE_RENEWAL_INTERVAL_S = 10.0
LIST_INTERVAL_S = 20.0
LIST_SPREAD_S = 2.0
# Keeps the nodes from registering at the same moment after a restore.
RESTORE_SPREAD_S = 0.25
# Calls to write the entry once: the first one may meet the entry of the last process,
# and the second one a write of that process which is executed late.
MAX_WRITES = 4
ENTRY_TIMEOUT_S = 1.5


class KeptDepartures:
    """The `Departure`s that a generation of the store holds in the node's entry."""

    __slots__ = ("generation", "departures")

    def __init__(self, generation, departures):
        self.generation = generation
        self.departures = departures


class Registration:
    """The node's entry in the store, and what the entries of the others say.

    Its methods raise `StoreError` if the store fails.
    """

    __slots__ = (
        "_settings",
        "_store",
        "_generations",
        "_gossip",
        "_rng",
        "_is_relay",
        "_key",
        "_entry",
        "_lease",
        "_renew_at",
        "_renewal_due",
        "_list_at",
        "_spread_s",
        "_departures",
        "_on_read",
        "_write_lock",
        "_revision",
        "_kept",
    )

    def __init__(
        self, settings, store, generations, gossip, is_relay, rng, departures, on_read
    ):
        """Create the registration of a node that has no entry yet.

        Args:
            settings: The `FleetSettings`.
            store: The `SiteStore`.
            generations: The `GenerationTracker` of the store.
            gossip: Actor that is told of registered nodes.
            is_relay: Callable that tells whether the node does for others what one
                node of the data centre has to do.
            rng: The `random.Random` that spreads the nodes' calls.
            departures: The `Departures` that the entry keeps.
            on_read: Callable that is called with the `Departure`s which the entry was
                found to hold, when it is first written and whenever another call has
                written it.
        """
        self._settings = settings
        self._store = store
        self._generations = generations
        self._gossip = gossip
        self._rng = rng
        self._departures = departures
        self._on_read = on_read
        # Held during a write, so that no older contents replace newer ones.
        self._write_lock = threading.Lock()
        self._revision = 0
        self._kept = None
        self._is_relay = is_relay
        self._key = build_entry_key(settings.name)
        self._entry = None
        self._lease = None
        self._renew_at = 0.0
        self._renewal_due = True
        self._list_at = 0.0
        self._spread_s = RESTORE_SPREAD_S * rng.random()

    def request_renewal(self):
        """Renew the lease as soon as the store serves, as it may have lapsed."""
        self._renewal_due = True

    def is_renewal_requested(self):
        """Return whether the lease is to be renewed as soon as the store serves."""
        return self._renewal_due

    def run_due_renewal(self, now):
        """Renew the lease, or register the node, if it is time to.

        Args:
            now: Clock seconds.
        """
        if self._has_lost_lease():
            # Its number may be another node's by now.
            if now >= self._generations.changed_at + self._spread_s:
                self._register(now)
        elif now >= self._renew_at or self._renewal_due:
            self._renew(now)
        elif self._lease is not None and not self.keeps_departures():
            self._write_entry(self._lease, now)

    def keeps_departures(self):
        """Return whether the store holds all departures, as far as is known."""
        return self._kept is not None and not self.list_unkept_departures()

    def list_unkept_departures(self):
        """Return the `Departure`s that the store does not hold, as far as is known."""
        kept = self._kept
        if kept is None or kept.generation != self._generations.current:
            return list(self._departures.list())
        return [item for item in self._departures.list() if item not in kept.departures]

    def keep_departures(self, now, timeout_s):
        """Write the departures to the store; return whether it holds all of them.

        Args:
            now: Clock seconds.
            timeout_s: Longest time in seconds to wait for an answer.
        """
        lease = self._lease
        if self.keeps_departures():
            return True
        if lease is None or self._has_lost_lease():
            return False
        try:
            self._write_entry(lease, now, timeout_s)
        except LeaseGone:
            self._renewal_due = True
            return False
        return self.keeps_departures()

    def run_due_listing(self, now):
        """List the registered nodes, if it is time to.

        Args:
            now: Clock seconds.
        """
        if now >= self._list_at:
            self._list_nodes(now)

    def ask_for_generation(self):
        """Make a call that shows the store's generation, and changes nothing."""
        self._store.read(self._key)

    def _has_lost_lease(self):
        """Return whether the lease was lost in a restore of the store."""
        lease = self._lease
        return lease is not None and lease.generation != self._generations.current

    def _renew(self, now):
        try:
            self._renew_lease(now)
        except LeaseGone:
            if self._has_lost_lease():
                return
            log.warning("Upkeep: the lease of the node's entry has ended.")
            self._lease = None
        if self._lease is None:
            self._register(now)

    def _renew_lease(self, now):
        """Renew the lease, if there is one.

        Raises:
            LeaseGone: If it has ended.
        """
        if self._lease is None:
            return
        self._store.renew_lease(self._lease)
        self._schedule_renewal(now, LEASE_RENEWAL_INTERVAL_S)
        if not self._entry.is_settled and self._is_settled(now) and self._is_relay():
            # A node that starts later learns from it that the store lacks nothing.
            self._write_entry(self._lease, now)

    def _schedule_renewal(self, now, interval_s):
        self._renew_at = now + interval_s * self._rng.uniform(0.8, 1.0)
        self._renewal_due = False

    def _register(self, now):
        settings = self._settings
        lease = self._store.grant_lease(max(ENTRY_LEASE_S, settings.min_lease_s))
        self._write_entry(lease, now)
        is_first = self._lease is None
        self._lease = lease
        self._schedule_renewal(
            now, min(LEASE_RENEWAL_INTERVAL_S, lease.duration_s / 3.0)
        )
        if is_first:
            self._list_nodes(now)
        else:
            # By then the other nodes have registered anew as well.
            self._list_at = now + SETTLE_S + LIST_SPREAD_S * self._rng.random()

    def _write_entry(self, lease, now, timeout_s=ENTRY_TIMEOUT_S):
        if not self._write_lock.acquire(timeout=timeout_s):
            raise StoreError("the node's entry is being written")
        try:
            for _ in range(MAX_WRITES):
                try:
                    self._replace_entry(lease, now, timeout_s)
                except RevisionConflict as conflict:
                    self._read_entry(conflict.item)
                else:
                    return
        finally:
            self._write_lock.release()
        raise StoreError("the node's entry is written by others all the time")

    def _replace_entry(self, lease, now, timeout_s):
        settings = self._settings
        departures = self._departures.list()
        entry = NodeEntry(
            settings.peer_address,
            settings.data_centre,
            lease.generation,
            self._is_settled(now),
            encode_departures(departures),
        )
        raw = msgspec.json.encode(entry)
        self._revision = self._store.write(
            self._key, raw, lease, self._revision, timeout_s
        )
        is_first = self._kept is None
        self._entry = entry
        self._kept = KeptDepartures(lease.generation, departures)
        if is_first:
            self._on_read([])

    def _read_entry(self, item):
        """Take over what an entry holds that this process has not written.

        Args:
            item: The `StoreItem`, or None if there is no entry.
        """
        self._revision = item.revision if item is not None else 0
        entry = decode_entry(item) if item is not None else None
        if entry is not None and entry.departures:
            self._on_read(build_departures(entry))

    def _is_settled(self, now):
        generations = self._generations
        return generations.is_settled(generations.current, now)

    def _list_nodes(self, now):
        listing = self._store.list(NODE_PREFIX)
        nodes = []
        for item in listing.items:
            entry = decode_entry(item)
            if entry is None:
                continue
            if entry.is_settled and entry.generation == listing.generation:
                self._generations.settle(listing.generation)
            nodes.append(
                RegisteredNode(
                    parse_name(item),
                    entry.address,
                    entry.data_centre,
                    self._choose_member_s(entry, listing.generation, now),
                )
            )
        self._check_own_entry(listing)
        self._gossip.tell(NodesRegistered(nodes))
        self._list_at = now + LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)

    def _choose_member_s(self, entry, generation, now):
        """Return the seconds for which an entry makes its node a member of the fleet.

        Args:
            entry: The `NodeEntry`.
            generation: Generation of the store that it was read from.
            now: Clock seconds.
        """
        if entry.generation in (UNKNOWN_GENERATION, generation):
            return MEMBER_TIMEOUT_S
        # A node that lives has registered anew when the store has settled.
        return 0.0 if self._generations.is_settled(generation, now) else SETTLE_S

    def _check_own_entry(self, listing):
        """Register anew if the entry is not there, or under another lease.

        A write that was executed late may have put it under a lease that ends, or that
        is another node's by now.
        """
        lease = self._lease
        if lease is None or lease.generation != listing.generation:
            return
        leases = [item.lease for item in listing.items if item.key == self._key]
        if leases != [lease.number]:
            log.warning("Upkeep: the node's entry is gone, or under another lease.")
            self._lease = None
            self._renewal_due = True
