"""Membership actor.

Owns the gossip of a node, sends its messages and tells subscribers of changes.
"""

import logging
import time

from ..actors import Actor, Tick, tell
from . import codec, membership_pb2_grpc
from .messages import PeersChanged, ServersChanged
from .watch import Advice, HealthSeen, ServerWatch

log = logging.getLogger("persimmonlane.membership")

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
        self._listed = ()
        self._hosted = {server.address: server for server in settings.servers}
        self._watches = {address: ServerWatch() for address in self._hosted}

    def tick(self, message):
        """Send what is due and tell subscribers what has changed."""
        if self._gossip.is_due():
            self._start_round()
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

    def _start_round(self):
        for outgoing in self._gossip.start_round():
            self._send(outgoing)
        for address in self._gossip.take_forgotten():
            self._channels.forget(address)
        self._gossip.table.forget()
        self._metrics.gauge("membership.servers", len(self._snapshot.servers))
        self._metrics.gauge("membership.peers", len(self._snapshot.peers))

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
        reply = codec.decode_reply(call.result())
        tell(self.actor_ref, ReplyReceived(message, reply))

    def _publish(self):
        self._snapshot.heard_at = self._gossip.heard_at
        servers = self._gossip.table.servers()
        if servers is not self._listed:
            self._listed = servers
            self._publish_servers(servers)
        self._publish_peers(self._gossip.peers())
        for report in self._gossip.table.take_loads():
            self._tell(report)

    def _publish_servers(self, servers):
        held = self._snapshot.servers
        if describe_servers(servers) == describe_servers(held):
            return
        self._snapshot.servers = servers
        self._tell(ServersChanged(servers))
        log.info("Membership: %d backend servers take work.", len(servers))

    def _publish_peers(self, peers):
        if describe_peers(peers) == describe_peers(self._snapshot.peers):
            return
        self._snapshot.peers = peers
        self._tell(PeersChanged(peers))
        log.info("Membership: %d peers are heard.", len(peers))

    def _tell(self, message):
        for subscriber in list(self._subscribers):
            if not tell(subscriber, message):
                self._subscribers.remove(subscriber)


def describe_servers(servers):
    """Return what subscribers are told of backend servers, for comparison."""
    return [
        (server.address, server.incarnation, server.service, server.slots)
        for server in servers
    ]


def describe_peers(peers):
    """Return what subscribers are told of peers, for comparison."""
    return [
        (peer.name, peer.incarnation, peer.rpc, peer.ingress, peer.leaving)
        for peer in peers
    ]


def read_incarnation():
    """Return a number that rises with time, in milliseconds."""
    return int(time.time() * MS_PER_S)
