"""Limits part.

Carries demands and loans between the borrower of this node and the holders.
"""

import logging

import grpc
import pykka

from ..actors import Actor, Tick, Ticker
from ..application import Part
from . import limits_pb2_grpc
from .holder import Holder
from .messages import Loans, LoansChanged
from .policy import ANSWER_S, find_shard, rank_names
from .wire import decode_demands, decode_loans, encode_demands, encode_loans

log = logging.getLogger("persimmonlane.limits")

TICK_S = 0.1
DRAIN_S = 2.0
FOREVER = float("inf")


class ViewChanged:
    """Another revision of the document is in force."""

    __slots__ = ("view",)

    def __init__(self, view):
        self.view = view


class Connect:
    """Names the actor that takes loans."""

    __slots__ = ("traffic_ref",)

    def __init__(self, traffic_ref):
        self.traffic_ref = traffic_ref


class SendDemands:
    """Demands of this node's borrower, to be sent to the holders."""

    __slots__ = ("demands",)

    def __init__(self, demands):
        self.demands = demands


class Lend:
    """Demands of another node's borrower."""

    __slots__ = ("demands",)

    def __init__(self, demands):
        self.demands = demands


class LimitsActor(Actor):
    """Shell around the holder and the choice of holders."""

    handlers = {
        ViewChanged: "handle_view",
        Connect: "handle_connect",
        SendDemands: "handle_demands",
        Lend: "handle_lend",
        Tick: "handle_tick",
    }

    def __init__(self, application, node, clock, channels, peers):
        super().__init__(application)
        self._node = node
        self._channels = channels
        self._peers = peers
        self._holder = Holder(clock)
        self._traffic = None

    def handle_view(self, message):
        """Take a revision of the document into use."""
        self._holder.set_view(message.view)

    def handle_connect(self, message):
        """Remember the actor that takes loans."""
        self._traffic = message.traffic_ref

    def handle_tick(self, message):
        """Do what is due."""

    def handle_lend(self, message):
        """Answer another node's demands."""
        for demand in message.demands.items:
            self._claim(demand.organisation)
        return self._holder.lend(message.demands)

    def handle_demands(self, message):
        """Send the demands of this node's borrower to the holders."""
        demands = message.demands
        for address, items in self._group(demands.items).items():
            if address is None:
                self._lend_here(demands)
            else:
                self._call(address, encode_demands(demands, items))

    def _group(self, items):
        addresses = {peer.name: peer.rpc for peer in self._peers()}
        groups = {}
        for item in items:
            shard = find_shard(item.organisation, self._holder.shard_count)
            name = rank_names(shard, [self._node, *addresses])[0]
            groups.setdefault(addresses.get(name), []).append(item)
        return groups

    def _claim(self, organisation):
        shard = find_shard(organisation, self._holder.shard_count)
        if shard not in self._holder.shards:
            self._holder.take(shard, 1, FOREVER, first=True, longest_loan_s=0.0)

    def _lend_here(self, demands):
        for demand in demands.items:
            self._claim(demand.organisation)
        self._tell(self._holder.lend(demands))

    def _call(self, address, message):
        stub = limits_pb2_grpc.LimitsStub(self._channels.get_channel(address))
        future = stub.Lend.future(
            message, timeout=ANSWER_S, metadata=self._channels.metadata
        )
        future.add_done_callback(self._take_answer)

    def _take_answer(self, future):
        if future.cancelled() or future.exception() is not None:
            return
        self._tell(decode_loans(future.result()))

    def _tell(self, loans):
        if self._traffic is None:
            return
        try:
            self._traffic.tell(LoansChanged(loans))
        except pykka.ActorDeadError:
            log.info("Limits: loans came after the end of the traffic.")


class LimitsServicer(limits_pb2_grpc.LimitsServicer):
    """Takes calls of other nodes."""

    def __init__(self):
        self.actor = None

    def Lend(self, request, context):  # noqa: N802
        """Answer demands."""
        if self.actor is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "not started")
        loans = self.actor.ask(Lend(decode_demands(request)), timeout=ANSWER_S)
        return encode_loans(loans or Loans(request.sequence, ()))


class LimitsPart(Part):
    """Life-cycle of the limits; see `build_limits`."""

    name = "limits"

    def __init__(self, create_actor, servicer):
        self._create_actor = create_actor
        self._servicer = servicer
        self._actor = create_actor()
        self._ticker = Ticker(self._actor, TICK_S)
        servicer.actor = self._actor

    def start(self):
        """Begin to tick."""
        self._ticker.start()

    def set_view(self, view):
        """Take a revision of the document into use."""
        self._actor.tell(ViewChanged(view))

    def connect(self, traffic_ref):
        """Name the actor that takes `LoansChanged`."""
        self._actor.tell(Connect(traffic_ref))

    def send(self, demands):
        """Send the `Demands` of this node's borrower; returns at once."""
        self._actor.tell(SendDemands(demands))

    def stop(self):
        """End the actor."""
        self._ticker.stop()
        self._actor.stop()


def build_limits(application, settings, clock, rpc_server, channels, store, peers):
    """Build the limits part.

    Args:
        application: The application, told of failures.
        settings: The node's settings.
        clock: Clock in monotonic seconds.
        rpc_server: Server that takes calls of other nodes.
        channels: Channels to other nodes.
        store: Client of the platform's key-value service.
        peers: Callable that returns the other nodes as a tuple of `Peer`.

    Returns:
        A `LimitsPart`.
    """
    servicer = LimitsServicer()
    limits_pb2_grpc.add_LimitsServicer_to_server(servicer, rpc_server.server)

    def create_actor():
        return LimitsActor.start(application, settings.name, clock, channels, peers)

    return LimitsPart(create_actor, servicer)
