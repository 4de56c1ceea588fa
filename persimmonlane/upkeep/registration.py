"""Registration of the node in the store.

Keeps the node's entry under a lease, and lists the entries of the other nodes.
"""

import logging
import urllib.parse

import msgspec

from ..peers.commands import NodesRegistered, RegisteredNode
from ..platform.store import LeaseGone

log = logging.getLogger("persimmonlane.upkeep")

NODE_PREFIX = "nodes/"
ENTRY_LEASE_S = 30.0
LEASE_RENEWAL_INTERVAL_S = 10.0
LIST_INTERVAL_S = 20.0


class NodeEntry(msgspec.Struct):
    """A node's registration in the store.

    Attributes:
        address: Address for requests from other nodes.
        data_centre: Name of its data centre; empty in entries of older releases.
    """

    address: str
    data_centre: str = ""


class Registration:
    """The node's entry in the store, and what the entries of the others say.

    Its methods raise `StoreError` if the store fails.
    """

    __slots__ = (
        "_settings",
        "_store",
        "_gossip",
        "_rng",
        "_lease",
        "_renew_at",
        "_renewal_due",
        "_list_at",
    )

    def __init__(self, settings, store, gossip, rng):
        """Create the registration of a node that has no entry yet.

        Args:
            settings: The `FleetSettings`.
            store: The `SiteStore`.
            gossip: Actor that is told of registered nodes.
            rng: The `random.Random` that spreads the nodes' calls.
        """
        self._settings = settings
        self._store = store
        self._gossip = gossip
        self._rng = rng
        self._lease = None
        self._renew_at = 0.0
        self._renewal_due = True
        self._list_at = 0.0

    def request_renewal(self):
        """Renew the lease as soon as the store serves, as it may have lapsed."""
        self._renewal_due = True

    def is_renewal_requested(self):
        """Return whether the lease is to be renewed as soon as the store serves."""
        return self._renewal_due

    def run_due_tasks(self, now):
        """Renew the lease and list the nodes, if it is time to.

        Args:
            now: Clock seconds.
        """
        if now >= self._renew_at or self._renewal_due:
            self._renew(now)
            self._renewal_due = False
        if now >= self._list_at:
            self._list_nodes(now)

    def build_key(self):
        """Return the key of the node's entry."""
        return NODE_PREFIX + urllib.parse.quote(self._settings.name, safe="")

    def _renew(self, now):
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
        self._store.write(self.build_key(), entry, granted.lease)
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
