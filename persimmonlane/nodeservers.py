"""HTTP servers of a node, with their threads and their shares of the descriptors."""

import threading

from .serving.controlgateways import HeartbeatGateway, ReadinessGateway
from .serving.gateways import CallerGateway, PeerGateway
from .serving.servers import RECEIVE_BUFFER_BYTES, NodeHTTPServer

CALLER_THREADS = 72
PEER_THREADS = 40
CONTROL_THREADS = 2
IDLE_TIMEOUT_MARGIN_S = 2.0
# Shares of the descriptors that the process may have open. The rest, 18 in 100, is for
# listeners, for connections in use to other nodes and backend servers, and for the two
# descriptors that each running request takes beside them.
CALLER_DESCRIPTORS_SHARE = 0.4
PEER_DESCRIPTORS_SHARE = 0.25
CONTROL_DESCRIPTORS_SHARE = 0.035
POOL_DESCRIPTORS_SHARE = 0.1
# Shares of the memory for the receive buffers of the connections that a server accepts.
CALLER_BUFFERS_SHARE = 0.1
PEER_BUFFERS_SHARE = 0.07
CONTROL_BUFFERS_SHARE = 0.015


class NodeServers:
    """The servers for readiness probes, heartbeats, other nodes and callers."""

    __slots__ = ("_node", "_stalls", "_servers", "_request_servers")

    def __init__(self, settings, node, stalls, memory):
        """Create the servers.

        Args:
            settings: The `FleetSettings`.
            node: The `SiteNode`, which the gateways use.
            stalls: The `StallTracker`, which the servers share.
            memory: The `MemoryAccount` for heads of requests.
        """
        self._node = node
        self._stalls = stalls
        control = count_connections(
            settings, CONTROL_DESCRIPTORS_SHARE, CONTROL_BUFFERS_SHARE
        )
        self._servers = [
            self._build(
                settings.readiness_address, ReadinessGateway, CONTROL_THREADS, control
            ),
            self._build(
                settings.heartbeat_address, HeartbeatGateway, CONTROL_THREADS, control
            ),
            self._build(
                settings.peer_address,
                PeerGateway,
                PEER_THREADS,
                count_connections(settings, PEER_DESCRIPTORS_SHARE, PEER_BUFFERS_SHARE),
            ),
            self._build(
                settings.caller_address,
                CallerGateway,
                CALLER_THREADS,
                count_connections(
                    settings, CALLER_DESCRIPTORS_SHARE, CALLER_BUFFERS_SHARE
                ),
            ),
        ]
        self._request_servers = self._servers[2:]
        for server in self._request_servers:
            server.memory = memory

    def _build(self, address, gateway, max_workers, max_connections):
        return NodeHTTPServer(
            address,
            lambda request: gateway(request, self._node),
            max_workers,
            self._stalls,
            max_connections,
        )

    def start(self):
        """Start the servers in threads of their own."""
        for server in self._servers:
            server.start_in_background()

    def stop_accepting(self):
        """Accept no more connections for requests."""
        for server in self._request_servers:
            server.stop_accepting()

    def stop(self):
        """Stop the servers side by side, and wait until all have stopped."""
        threads = [threading.Thread(target=server.stop) for server in self._servers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def is_idle(self):
        """Return whether no request of callers or other nodes is served."""
        return not any(server.count_active() for server in self._request_servers)

    def count_open(self):
        """Return the numbers of open connections, one for each server."""
        return [server.count_open() for server in self._servers]

    def apply_limits(self, limits):
        """Apply the limits of a document to the servers for requests.

        Args:
            limits: The limits of the rulebook.
        """
        for server in self._request_servers:
            server.header_timeout_s = limits.header_timeout_s
            server.timeout = limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
            server.max_request_header_size = limits.header_bytes * 2


def count_connections(settings, descriptors_share, buffers_share):
    """Return the number of connections that a server may have open.

    Args:
        settings: The `FleetSettings`.
        descriptors_share: Share of the descriptors that they may take.
        buffers_share: Share of the memory that their buffers may take.
    """
    return min(
        count_descriptors(settings, descriptors_share),
        int(settings.memory_bytes * buffers_share / RECEIVE_BUFFER_BYTES),
    )


def count_descriptors(settings, share):
    """Return the number of descriptors in a share of those that may be open."""
    return int(settings.max_descriptors * share)
