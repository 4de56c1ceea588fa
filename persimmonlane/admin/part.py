"""Administration part.

Serves the administration API of a node.
"""

import threading
from concurrent import futures

import cheroot.wsgi
import msgspec

from ..application import Part
from ..config.transport import PeerUnreachable, SpreadClient
from ..settings import split_address
from .api import AdminApi
from .operations import NodeState, StoreOperations

SERVER_THREADS = 4
STATUS_THREADS = 16


class AdminPart(Part):
    """The administration API of one node.

    Attributes:
        port: The bound port, known once started.
    """

    name = "admin"

    def __init__(self, address, api):
        self.port = None
        self._server = cheroot.wsgi.Server(
            split_address(address), api, numthreads=SERVER_THREADS
        )
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self):
        """Begin to serve."""
        self._server.prepare()
        self.port = self._server.bind_addr[1]
        self._thread.start()

    def stop(self):
        """Stop serving."""
        self._server.stop()


class StateReader:
    """Asks all nodes how far they are with the document."""

    __slots__ = ("_status", "_peers", "_client")

    def __init__(self, status, peers, channels):
        """Create a reader.

        Args:
            status: Returns this node's `NodeStatus`, or None.
            peers: Returns a tuple of the `Peer`s heard of lately.
            channels: The `Channels`.
        """
        self._status = status
        self._peers = peers
        self._client = SpreadClient(channels)

    def list_states(self):
        """Return the `NodeState` of each node, sorted by name."""
        own = self._status()
        states = [] if own is None else [describe_status(own)]
        with futures.ThreadPoolExecutor(STATUS_THREADS) as pool:
            states += pool.map(self._read_state, self._peers())
        return tuple(sorted(states, key=lambda state: state.node))

    def _read_state(self, peer):
        try:
            return describe_status(self._client.get_status(peer.rpc))
        except PeerUnreachable:
            return NodeState(
                node=peer.name, data_centre=peer.data_centre, reachable=False
            )


def describe_status(status):
    """Return a `NodeStatus` as a `NodeState`."""
    return msgspec.convert(status, NodeState, from_attributes=True)


def build_admin(
    application, settings, config_part, store, channels, peers, get_records=tuple
):
    """Create the administration API and add it to the application.

    Args:
        application: The `Application`.
        settings: The `NodeSettings`; without an `admin` address there is no API.
        config_part: The `ConfigPart`.
        store: The store's client.
        channels: The `Channels`.
        peers: Returns a tuple of the `Peer`s heard of lately; thread-safe.
        get_records: Returns the `ServiceRecord`s that this node keeps.

    Returns:
        The `AdminPart`, or None.
    """
    if settings.admin is None:
        return None
    reader = StateReader(config_part.status, peers, channels)
    operations = StoreOperations(store, reader.list_states, config_part.view)

    def get_fleet():
        view = config_part.view()
        return view.fleet if view else None

    api = AdminApi(operations, get_fleet, get_records)
    return application.add(AdminPart(settings.admin, api))
