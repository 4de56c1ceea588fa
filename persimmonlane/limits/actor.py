"""Limits actor.

Owns the limits of this node and carries out the steps that they ask for.
"""

import logging
import threading
from concurrent import futures

from ..actors import Actor, Tick, tell
from ..errors import StoreError
from ..store.client import StoreConflict
from . import limits_pb2_grpc
from .lease import AskPromise, ReadKey, WriteKey
from .messages import LoansChanged
from .node import AskLoans, DeliverLoans
from .policy import ANSWER_S
from .wire import (
    decode_answer,
    decode_shards,
    encode_demands,
    encode_promise_request,
)

log = logging.getLogger("persimmonlane.limits")

STORE_THREADS = 2


class ViewChanged:
    """Another revision of the document is in force.

    Attributes:
        view: The `DocumentView`.
    """

    __slots__ = ("view",)

    def __init__(self, view):
        self.view = view


class Connect:
    """Names the actor that takes loans.

    Attributes:
        traffic_ref: The actor.
    """

    __slots__ = ("traffic_ref",)

    def __init__(self, traffic_ref):
        self.traffic_ref = traffic_ref


class SendDemands:
    """Demands of this node's borrower, to be sent to the holders.

    Attributes:
        demands: The `Demands`.
    """

    __slots__ = ("demands",)

    def __init__(self, demands):
        self.demands = demands


class AnswerDemands:
    """Demands of another node's borrower.

    Attributes:
        demands: The `Demands`.
        relay: Whether to name the holder that they should be passed on to.
    """

    __slots__ = ("demands", "relay")

    def __init__(self, demands, relay):
        self.demands = demands
        self.relay = relay


class NoteFailure:
    """A call to a node failed outside of the actor.

    Attributes:
        member: The node.
    """

    __slots__ = ("member",)

    def __init__(self, member):
        self.member = member


class GivePromise:
    """Another holder asks for promises.

    Attributes:
        shards: Its shards, as a tuple of `ShardEpoch`.
    """

    __slots__ = ("shards",)

    def __init__(self, shards):
        self.shards = shards


class Answered:
    """A node has answered demands, or failed to.

    Attributes:
        call: The `AskLoans`.
        answer: The `Answer`, or None.
    """

    __slots__ = ("call", "answer")

    def __init__(self, call, answer):
        self.call = call
        self.answer = answer


class Promised:
    """A node has promised.

    Attributes:
        step: The `AskPromise`.
        reply: The `PromiseReply`.
    """

    __slots__ = ("step", "reply")

    def __init__(self, step, reply):
        self.step = step
        self.reply = reply


class StoreAnswered:
    """The store has answered, or failed to.

    Attributes:
        step: The `ReadKey` or `WriteKey`.
        entry: The `Entry` that the store holds, or None.
    """

    __slots__ = ("step", "entry")

    def __init__(self, step, entry):
        self.step = step
        self.entry = entry


class Drain:
    """Asks to give up all shards.

    Attributes:
        released: Event to be set once no shard is held.
    """

    __slots__ = ("released",)

    def __init__(self):
        self.released = threading.Event()


class Stubs:
    """Stubs for calls to other nodes; each channel has one."""

    __slots__ = ("_channels", "_stubs")

    def __init__(self, channels):
        self._channels = channels
        self._stubs = {}

    def get(self, member):
        """Return the stub for calls to a node."""
        channel = self._channels.get_channel(member.rpc)
        kept = self._stubs.get(member.rpc)
        if kept is None or kept.channel is not channel:
            kept = KeptStub(channel, limits_pb2_grpc.LimitsStub(channel))
            self._stubs[member.rpc] = kept
        return kept.stub


class KeptStub:
    """A stub and the channel that it was made for.

    Attributes:
        channel: The channel.
        stub: The stub.
    """

    __slots__ = ("channel", "stub")

    def __init__(self, channel, stub):
        self.channel = channel
        self.stub = stub


class LimitsActor(Actor):
    """Shell around a `LimitsNode`: carries out its steps."""

    handlers = {
        ViewChanged: "handle_view",
        Connect: "handle_connect",
        SendDemands: "handle_demands",
        AnswerDemands: "handle_question",
        GivePromise: "handle_promise",
        NoteFailure: "handle_failure",
        Answered: "handle_answered",
        Promised: "handle_promised",
        StoreAnswered: "handle_store",
        Drain: "handle_drain",
        Tick: "handle_tick",
    }

    def __init__(self, application, node, channels, store, peers):
        super().__init__(application)
        self._node = node
        self._channels = channels
        self._stubs = Stubs(channels)
        self._store = store
        self._peers = peers
        self._traffic = None
        self._released = None
        self._threads = futures.ThreadPoolExecutor(STORE_THREADS, "limits-store")
        self._steps = {
            AskLoans: self._ask_loans,
            AskPromise: self._ask_promise,
            DeliverLoans: self._deliver,
            ReadKey: self._read,
            WriteKey: self._write,
        }

    def on_receive(self, message):
        """Handle a message, then carry out what it led to."""
        result = super().on_receive(message)
        for step in self._node.take_steps():
            self._steps[type(step)](step)
        if self._released is not None and not self._node.keeper.tenures:
            self._released.set()
        return result

    def on_stop(self):
        """End the threads that call the store."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def handle_view(self, message):
        """Take a revision of the document into use."""
        self._node.set_view(message.view)

    def handle_connect(self, message):
        """Remember the actor that takes loans."""
        self._traffic = message.traffic_ref

    def handle_tick(self, message):
        """Do what is due."""
        self._node.tick(self._peers())

    def handle_demands(self, message):
        """Send the demands of this node's borrower to the holders."""
        self._node.send(message.demands)

    def handle_question(self, message):
        """Answer another node's demands."""
        return self._node.answer(message.demands, message.relay)

    def handle_failure(self, message):
        """Note that a node can't be reached."""
        self._node.directory.note_failure(message.member)

    def handle_promise(self, message):
        """Promise another holder not to claim its shards."""
        return self._node.keeper.promise(message.shards)

    def handle_answered(self, message):
        """Take another node's answer."""
        if message.answer is None:
            self._node.record_failure(message.call)
        else:
            self._node.record_answer(message.call, message.answer)

    def handle_promised(self, message):
        """Take another node's promises."""
        self._node.keeper.record_promises(
            message.reply.name,
            message.reply.incarnation,
            decode_shards(message.reply.promised),
            message.step.sent_at,
        )

    def handle_store(self, message):
        """Take the store's answer."""
        keeper, step = self._node.keeper, message.step
        if isinstance(step, ReadKey):
            if message.entry is None:
                keeper.record_failed_read(step.key)
            else:
                keeper.record_read(message.entry)
        elif message.entry is None:
            keeper.record_failed_write(step.key)
        else:
            keeper.record_write(message.entry)

    def handle_drain(self, message):
        """Give up all shards; `released` is set once the store knows."""
        self._released = message.released
        self._node.keeper.drain()

    def _ask_loans(self, call):
        future = self._stubs.get(call.member).Lend.future(
            encode_demands(call.demands, call.relay),
            timeout=ANSWER_S,
            metadata=self._channels.metadata,
        )

        def finish(done):
            failed = done.cancelled() or done.exception() is not None
            answer = None if failed else decode_answer(done.result())
            self._tell_self(Answered(call, answer))

        future.add_done_callback(finish)

    def _ask_promise(self, step):
        future = self._stubs.get(step.member).Promise.future(
            encode_promise_request(step.shards),
            timeout=ANSWER_S,
            metadata=self._channels.metadata,
        )

        def finish(done):
            if not done.cancelled() and done.exception() is None:
                self._tell_self(Promised(step, done.result()))

        future.add_done_callback(finish)

    def _read(self, step):
        self._threads.submit(self._use_store, step, lambda: self._store.get(step.key))

    def _write(self, step):
        def write():
            return self._store.compare_and_swap(step.key, step.value, step.version)

        self._threads.submit(self._use_store, step, write)

    def _use_store(self, step, operate):
        try:
            entry = operate()
        except StoreConflict as error:
            entry = error.entry
        except StoreError as error:
            log.debug("Limits: the store failed with code %s.", error.code)
            entry = None
        self._tell_self(StoreAnswered(step, entry))

    def _tell_self(self, message):
        if not tell(self.actor_ref, message):
            log.debug("Limits: an answer came after the end.")

    def _deliver(self, step):
        if self._traffic is None:
            return
        if not tell(self._traffic, LoansChanged(step.loans)):
            log.debug("Limits: loans came after the end of the traffic.")
