"""Limits part.

Takes the calls of other nodes, and leads the limits through their life-cycle.
"""

import secrets

import grpc
import pykka

from ..actors import Ticker, tell
from ..application import Part
from . import limits_pb2_grpc
from .actor import (
    AnswerDemands,
    Connect,
    Drain,
    GivePromise,
    LimitsActor,
    NoteFailure,
    SendDemands,
    Stubs,
    ViewChanged,
)
from .lease import Member
from .node import LimitsNode
from .policy import ANSWER_S, RELAY_S
from .wire import (
    decode_demands,
    decode_shards,
    encode_answer,
    encode_promise_reply,
)

TICK_S = 0.1
DRAIN_S = 1.0
INCARNATION_BYTES = 8


class LimitsServicer(limits_pb2_grpc.LimitsServicer):
    """Takes the calls of other nodes."""

    def __init__(self, node, actor_ref, channels):
        self._name = node.member.name
        self._incarnation = node.incarnation
        self._actor = actor_ref
        self._channels = channels
        self._stubs = Stubs(channels)

    def Lend(self, request, context):  # noqa: N802
        """Answer demands."""
        message = AnswerDemands(decode_demands(request), request.relay)
        answer = self._ask(message, context)
        if answer.relay is not None:
            relayed = self._relay(request, answer.relay)
            if relayed is not None:
                return relayed
        return encode_answer(answer)

    def Promise(self, request, context):  # noqa: N802
        """Promise not to claim shards."""
        promised = self._ask(GivePromise(decode_shards(request.shards)), context)
        return encode_promise_reply(self._name, self._incarnation, promised)

    def _relay(self, request, member):
        """Return the holder's answer in wire form, or None."""
        request.relay = False
        try:
            return self._stubs.get(member).Lend(
                request, timeout=RELAY_S, metadata=self._channels.metadata
            )
        except grpc.RpcError:
            self._actor.tell(NoteFailure(member))
            return None

    def _ask(self, message, context):
        try:
            return self._actor.ask(message, timeout=ANSWER_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            context.abort(grpc.StatusCode.UNAVAILABLE, "no answer in time")


class LimitsPart(Part):
    """Life-cycle of the limits; see `build_limits`."""

    name = "limits"

    def __init__(self, actor_ref):
        self._actor = actor_ref
        self._ticker = Ticker(actor_ref, TICK_S)

    def start(self):
        """Begin to tick."""
        self._ticker.start()

    def set_view(self, view):
        """Take a revision of the document into use."""
        tell(self._actor, ViewChanged(view))

    def connect(self, traffic_ref):
        """Name the actor that takes `LoansChanged`."""
        self._actor.tell(Connect(traffic_ref))

    def send(self, demands):
        """Send the `Demands` of this node's borrower; returns at once."""
        tell(self._actor, SendDemands(demands))

    def drain(self):
        """Give up all shards, so that others may take them at once."""
        message = Drain()
        self._actor.tell(message)
        message.released.wait(DRAIN_S)

    def stop(self):
        """End the actor."""
        self._ticker.stop()
        self._actor.stop()


def build_limits(application, settings, clock, rpc_server, channels, store, peers):
    """Build the limits part and add it to the application.

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
    host = settings.rpc.rpartition(":")[0]
    member = Member(settings.name, f"{host}:{rpc_server.port}")
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    node = LimitsNode(member, incarnation, clock)
    actor_ref = LimitsActor.start(application, node, channels, store, peers)
    servicer = LimitsServicer(node, actor_ref, channels)
    limits_pb2_grpc.add_LimitsServicer_to_server(servicer, rpc_server.server)
    return application.add(LimitsPart(actor_ref))
