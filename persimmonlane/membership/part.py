"""Membership part.

Carries the exchange of announcements between nodes and tells subscribers.
"""

import logging
import random
import time

import grpc
import pykka

from ..actors import Actor, Tick, Ticker, tell
from ..application import Part
from ..reporting.metrics import NoMetrics
from . import codec, membership_pb2_grpc
from .announcements import Announcement
from .gossip import Gossip
from .hosted import HostedGroup
from .messages import PeersChanged, ServersChanged
from .poller import Poller
from .table import ServerTable
from .watch import Advice, HealthSeen, ServerWatch

log = logging.getLogger("persimmonlane.membership")

DEFAULT_LEASE_S = 3.0
TICK_S = 0.05
CALL_TIMEOUT_S = 1.0
MS_PER_S = 1000
NEVER = float("-inf")


class RequestReceived:
    """Another node has sent a request.

    Attributes:
        request: The `Exchange`.
    """

    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


class ReplyReceived:
    """Another node has replied.

    Attributes:
        message: The `Message` that it replied to.
        reply: The `Exchange`.
    """

    __slots__ = ("message", "reply")

    def __init__(self, message, reply):
        self.message = message
        self.reply = reply


class LeavingAsked:
    """A backend server, or with None the whole node, is leaving.

    Attributes:
        address: Address of the backend server, or None.
    """

    __slots__ = ("address",)

    def __init__(self, address):
        self.address = address


class SubscriptionAsked:
    """An actor wants to be told of changes.

    Attributes:
        actor_ref: The actor.
    """

    __slots__ = ("actor_ref",)

    def __init__(self, actor_ref):
        self.actor_ref = actor_ref


class LeaseChanged:
    """The document sets another lease.

    Attributes:
        lease_s: Time an announcement stands without renewal, in seconds.
    """

    __slots__ = ("lease_s",)

    def __init__(self, lease_s):
        self.lease_s = lease_s


class Snapshot:
    """What other threads may read of the membership.

    Attributes:
        servers: Backend servers that take new work, as a tuple.
        peers: Nodes heard of lately, as a tuple of `Peer`.
        heard_at: Monotonic seconds at which any peer was last heard.
        hosted_load: Requests that the hosted backend servers say they hold.
    """

    __slots__ = ("servers", "peers", "heard_at", "hosted_load")

    def __init__(self):
        self.servers = ()
        self.peers = ()
        self.heard_at = NEVER
        self.hosted_load = 0


class MembershipActor(Actor):
    """Owns the gossip of this node."""

    handlers = {
        Tick: "tick",
        RequestReceived: "answer",
        ReplyReceived: "take_reply",
        HealthSeen: "take_health",
        LeavingAsked: "leave",
        SubscriptionAsked: "subscribe",
        LeaseChanged: "set_lease",
    }

    def __init__(self, application, settings, gossip, channels, snapshot, metrics):
        super().__init__(application)
        self._metrics = metrics
        self._gossip = gossip
        self._channels = channels
        self._snapshot = snapshot
        self._subscribers = []
        self._hosted = {server.address: server for server in settings.servers}
        self._watches = {address: ServerWatch() for address in self._hosted}

    def tick(self, message):
        """Send what is due and tell subscribers what has changed."""
        if self._gossip.is_due():
            for outgoing in self._gossip.start_round():
                self._send(outgoing)
            self._gossip.table.forget()
            self._metrics.gauge("membership.servers", len(self._snapshot.servers))
            self._metrics.gauge("membership.peers", len(self._snapshot.peers))
        self._publish()

    def answer(self, message):
        """Return the reply to a request of another node."""
        reply = self._gossip.receive_request(message.request)
        self._publish()
        return reply

    def take_reply(self, message):
        """Take in the reply of another node."""
        follow_up = self._gossip.receive_reply(message.message, message.reply)
        if follow_up is not None:
            self._send(follow_up)
        self._publish()

    def take_health(self, message):
        """Take in a look at the health of a hosted backend server."""
        advice = self._watches[message.address].observe(message.health)
        if message.running is not None:
            waiting = message.waiting or 0
            self._gossip.hosted.report(message.address, message.running, waiting)
            self._snapshot.hosted_load = self._gossip.hosted.total_load()
        if advice is Advice.ANNOUNCE:
            self._announce(self._hosted[message.address], message.slots)
        elif advice is Advice.LEAVE:
            self.leave(LeavingAsked(message.address))

    def leave(self, message):
        """Announce that a backend server or the whole node is leaving."""
        self._gossip.hosted.leave(message.address)
        log.info("Membership: %s is leaving.", message.address or "this node")
        self._spread()

    def subscribe(self, message):
        """Add a subscriber and tell it the present state."""
        self._subscribers.append(message.actor_ref)
        message.actor_ref.tell(ServersChanged(self._snapshot.servers))
        message.actor_ref.tell(PeersChanged(self._snapshot.peers))

    def set_lease(self, message):
        """Take the lease of the document in force."""
        self._gossip.table.lease_s = message.lease_s

    def _announce(self, server, slots):
        known = self._gossip.hosted.find(server.address)
        incarnation = max(known.incarnation + 1 if known else 0, read_incarnation())
        slots = server.slots or slots or 0
        self._gossip.hosted.add(server.address, server.service, slots, incarnation)
        log.info("Membership: announced %s for %s.", server.address, server.service)
        self._spread()

    def _spread(self):
        self._gossip.note_hosted()
        self.tick(Tick())

    def _send(self, message):
        channel = self._channels.get_channel(message.address)
        stub = membership_pb2_grpc.MembershipStub(channel)
        call = stub.Exchange.future(
            codec.encode_request(message.exchange),
            timeout=CALL_TIMEOUT_S,
            metadata=self._channels.metadata,
        )
        call.add_done_callback(lambda ended: self._hand_over(message, ended))

    def _hand_over(self, message, call):
        # Runs in a thread of gRPC: nothing but a tell may happen here.
        if call.cancelled() or call.exception() is not None:
            return
        try:
            reply = codec.decode_reply(call.result())
            self.actor_ref.tell(ReplyReceived(message, reply))
        except pykka.ActorDeadError:
            return

    def _publish(self):
        snapshot = self._snapshot
        snapshot.heard_at = self._gossip.heard_at
        servers = self._gossip.table.servers()
        if list(map(describe_server, servers)) != list(
            map(describe_server, snapshot.servers)
        ):
            snapshot.servers = servers
            self._tell(ServersChanged(servers))
            log.info("Membership: %d backend servers take work.", len(servers))
        peers = self._gossip.table.peers(self._gossip.hosted.announcement.group)
        if list(map(describe_peer, peers)) != list(map(describe_peer, snapshot.peers)):
            snapshot.peers = peers
            self._tell(PeersChanged(peers))
            log.info("Membership: %d peers are heard.", len(peers))
        for report in self._gossip.table.take_loads():
            self._tell(report)

    def _tell(self, message):
        for subscriber in list(self._subscribers):
            try:
                subscriber.tell(message)
            except pykka.ActorDeadError:
                self._subscribers.remove(subscriber)


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


def describe_server(server):
    """Return what subscribers are told of a backend server, for comparison."""
    return (server.address, server.incarnation, server.service, server.slots)


def describe_peer(peer):
    """Return what subscribers are told of a peer, for comparison."""
    return (peer.name, peer.incarnation, peer.rpc, peer.ingress, peer.leaving)


def read_incarnation():
    """Return a number that rises with time, in milliseconds."""
    return int(time.time() * MS_PER_S)


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
    return MembershipPart(actor_ref, snapshot, settings)
