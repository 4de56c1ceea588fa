"""Shelf.

The revision in force as other threads read it.
"""

import math

from .loading import Snapshot
from .root import EMPTY_ROOT


class Shelf:
    """The view and the parts in force; replaced whole.

    Attributes:
        view: The `DocumentView`, or None before the first.
        snapshot: The root and the contents of its parts.
        status: The node's `NodeStatus`, or None before the first tick.
        fresh_until: Monotonic seconds until which the node is not isolated.
    """

    __slots__ = ("view", "snapshot", "status", "fresh_until")

    def __init__(self):
        self.view = None
        self.snapshot = Snapshot(EMPTY_ROOT, {})
        self.status = None
        self.fresh_until = -math.inf

    def put(self, view, snapshot):
        """Put a revision on the shelf."""
        self.snapshot = snapshot
        self.view = view

    def find_part(self, ref):
        """Return the content of a part that is in force."""
        return self.snapshot.contents[ref.digest]


class NodeStatus:
    """How far a node is with the document.

    Attributes:
        node: Name of the node.
        data_centre: Name of its data centre.
        revision: Revision in force.
        digest: Digest of the document in force.
        lag_s: Seconds since a newer revision became known; 0 if none is.
        store_age_s: Seconds since the store was heard by any path, or None.
        isolated: Whether keyed requests are refused.
        relay: Whether the node follows the store.
    """

    __slots__ = (
        "node",
        "data_centre",
        "revision",
        "digest",
        "lag_s",
        "store_age_s",
        "isolated",
        "relay",
    )

    def __init__(
        self, node, data_centre, revision, digest, lag_s, store_age_s, isolated, relay
    ):
        self.node = node
        self.data_centre = data_centre
        self.revision = revision
        self.digest = digest
        self.lag_s = lag_s
        self.store_age_s = store_age_s
        self.isolated = isolated
        self.relay = relay
