"""Membership part.

Builds the membership of a node and answers the questions of other parts.
"""

import random

import grpc
import pykka

from ..actors import Ticker, tell
from ..application import Part
from ..reporting.metrics import NoMetrics
from . import codec, membership_pb2_grpc
from .actor import (
    CALL_TIMEOUT_S,
    LeaseChanged,
    LeavingAsked,
    MembershipActor,
    RequestReceived,
    Snapshot,
    SubscriptionAsked,
    read_incarnation,
)
from .announcements import Announcement
from .gossip import Gossip
from .hosted import HostedGroup
from .poller import Poller
from .table import ServerTable

DEFAULT_LEASE_S = 3.0
TICK_S = 0.05


class MembershipServicer(membership_pb2_grpc.MembershipServicer):
    """Takes the requests of other nodes."""

    def __init__(self, actor_ref):
        self._actor = actor_ref

    def Exchange(self, request, context):  # noqa: N802
        """Answer one exchange."""
        message = RequestReceived(codec.decode_request(request))
        try:
            reply = self._actor.ask(message, timeout=CALL_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            context.abort(grpc.StatusCode.UNAVAILABLE, "the node is stopping")
        return codec.encode_reply(reply)


class MembershipPart(Part):
    """The membership of a node.

    Attributes:
        actor_ref: The actor that owns it.
    """

    name = "membership"

    def __init__(self, actor_ref, snapshot, settings):
        self.actor_ref = actor_ref
        self._snapshot = snapshot
        self._ticker = Ticker(actor_ref, TICK_S)
        self._pollers = [
            Poller(server.address, actor_ref) for server in settings.servers
        ]

    def start(self):
        """Begin to exchange announcements and to watch hosted servers."""
        self._ticker.start()
        for poller in self._pollers:
            poller.start()

    def stop(self):
        """End the threads and the actor."""
        for poller in self._pollers:
            poller.stop()
        self._ticker.stop()
        self.actor_ref.stop()

    def subscribe(self, actor_ref):
        """Tell an actor `ServersChanged`, `PeersChanged` and `LoadReported`."""
        self.actor_ref.tell(SubscriptionAsked(actor_ref))

    def set_lease(self, lease_s):
        """Take the announcement lease of the document in force, in seconds."""
        tell(self.actor_ref, LeaseChanged(lease_s))

    def announce_leaving(self, address=None):
        """Announce that a hosted server, or with None the node, is leaving.

        Raises:
            HostedError: If the backend server is not announced here.
        """
        self.actor_ref.ask(LeavingAsked(address))

    def servers(self):
        """Return the backend servers that take new work, as a tuple."""
        return self._snapshot.servers

    def peers(self):
        """Return the nodes heard of lately, as a tuple of `Peer`."""
        return self._snapshot.peers

    def hosted_load(self):
        """Return how many requests the hosted backend servers say they hold."""
        return self._snapshot.hosted_load

    def heard_at(self):
        """Return the monotonic seconds at which any peer was last heard."""
        return self._snapshot.heard_at


def build_membership(application, settings, clock, rpc_server, channels, metrics=None):
    """Build the membership part of a node and add its service to the server.

    Args:
        application: The application.
        settings: The `NodeSettings`.
        clock: Clock in monotonic seconds.
        rpc_server: The `RpcServer` of the process.
        channels: The `Channels` of the process.
        metrics: Metrics of the process, or None.
    """
    announcement = Announcement(
        group=settings.name,
        data_centre=settings.data_centre,
        rpc=settings.rpc,
        incarnation=read_incarnation(),
        version=1,
        ingress="ingress" in settings.roles,
    )
    hosted = HostedGroup(clock, announcement)
    table = ServerTable(clock, DEFAULT_LEASE_S)
    gossip = Gossip(clock, random.Random(), hosted, table, settings.seeds)
    snapshot = Snapshot()
    actor_ref = MembershipActor.start(
        application, settings, gossip, channels, snapshot, metrics or NoMetrics()
    )
    membership_pb2_grpc.add_MembershipServicer_to_server(
        MembershipServicer(actor_ref), rpc_server.server
    )
    return application.add(MembershipPart(actor_ref, snapshot, settings))
