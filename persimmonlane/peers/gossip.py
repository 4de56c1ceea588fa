"""Gossip.

The actor that tells the other nodes of this one and answers their questions. News and
answers are taken in the thread that receives them.
"""

import logging
import random

from ..actors import Actor, Tick
from ..settings import split_address
from .announcing import AnnouncementBuilder
from .deltas import expand
from .messages import (
    Announcement,
    Delta,
    RateAnswer,
    RateAsk,
    RoomAnswer,
    RoomAsk,
    WithdrawalAnswer,
    WithdrawalAsk,
)
from .questions import OpenQuestions
from .rates import RateKeeper
from .table import PeerTable
from .wire import Received

log = logging.getLogger("persimmonlane.peers")

ANNOUNCE_S = 1.0
BOOT_LIMIT = 1 << 48


class PeerStarted:
    """The process of a `Peer` was heard for the first time."""

    __slots__ = ("peer",)

    def __init__(self, peer):
        self.peer = peer


class StrangerHeard:
    """A `Delta` came from a process that was not heard before.

    Attributes:
        sender: Address from which it came.
    """

    __slots__ = ("sender",)

    def __init__(self, sender):
        self.sender = sender


class NodesRegistered:
    """The nodes that the store names, as a table of names and addresses."""

    __slots__ = ("addresses",)

    def __init__(self, addresses):
        self.addresses = addresses


class FreshnessKnown:
    """The document in force was the newest at a time in seconds."""

    __slots__ = ("at",)

    def __init__(self, at):
        self.at = at


class RateWanted:
    """A request of an organisation needs leave to run; `reply` takes the wait."""

    __slots__ = ("organisation", "reply")

    def __init__(self, organisation, reply):
        self.organisation = organisation
        self.reply = reply


class ShareWanted:
    """The holder of a rate did not answer; `reply` takes the wait by this node's share.

    Attributes:
        organisation: The `Organisation`.
        reply: Future that takes seconds.
    """

    __slots__ = ("organisation", "reply")

    def __init__(self, organisation, reply):
        self.organisation = organisation
        self.reply = reply


class RelayedReply:
    """Passes the answer to a question back to the node that asked it."""

    __slots__ = ("_wire", "_sender", "_number")

    def __init__(self, wire, sender, number):
        self._wire = wire
        self._sender = sender
        self._number = number

    def set(self, wait_s):
        """Send the answer; 0 seconds of wait grant the request."""
        answer = RateAnswer(self._number, wait_s <= 0.0, wait_s)
        self._wire.send(self._sender, answer)


class RoomWanted:
    """Another node is to be asked for room; `reply` takes its `OwnerReport`."""

    __slots__ = ("address", "order", "reply")

    def __init__(self, address, order, reply):
        self.address = address
        self.order = order
        self.reply = reply


class WithdrawalWanted:
    """An owner is to keep a request from its backend server.

    Attributes:
        address: Address of the owner.
        boot: Boot number of the process to which the request was sent.
        request_id: Identifier of the request.
        reply: Future that takes whether the request is sure never to run there.
    """

    __slots__ = ("address", "boot", "request_id", "reply")

    def __init__(self, address, boot, request_id, reply):
        self.address = address
        self.boot = boot
        self.request_id = request_id
        self.reply = reply


class Gossip(Actor):
    """Knows the other nodes and holds the rates that fall to this one.

    Attributes:
        table: The `PeerTable`.
    """

    handlers = {
        Received: "take_question",
        PeerStarted: "greet",
        StrangerHeard: "introduce",
        NodesRegistered: "take_registered",
        FreshnessKnown: "take_freshness",
        RateWanted: "decide_rate",
        ShareWanted: "decide_alone",
        RoomWanted: "ask_room",
        WithdrawalWanted: "ask_withdrawal",
        Tick: "announce",
    }

    def __init__(self, application, settings, clock, wire, describe, document, owner):
        super().__init__(application)
        self._settings = settings
        self._clock = clock
        self._wire = wire
        self._describe = describe
        self._document = document
        self._owner = owner
        self._boot = random.randrange(BOOT_LIMIT)
        self._builder = AnnouncementBuilder(settings, clock, self._boot)
        self._questions = OpenQuestions()
        self.table = PeerTable(settings.name, self._boot, clock)
        self._rates = RateKeeper(settings.name, clock, self.table)
        self._takers = {
            Announcement: self._take_news,
            Delta: self._take_delta,
            RateAsk: self._answer_rate,
            RateAnswer: self._take_answer,
            RoomAnswer: self._take_room_answer,
            WithdrawalAnswer: self._take_withdrawal_answer,
        }
        self._answerers = {
            RoomAsk: self._answer_room,
            WithdrawalAsk: self._answer_withdrawal,
        }
        wire.set_taker(self.take)

    def take(self, message, sender):
        """Take a datagram in the thread that has received it.

        Args:
            message: The decoded message.
            sender: Address from which it came.

        Returns:
            The message for the actor, or None if nothing is left to do.
        """
        take = self._takers.get(type(message))
        return take(message, sender) if take is not None else Received(message, sender)

    def take_question(self, received):
        """Answer the question of another node."""
        answer = self._answerers[type(received.message)]
        try:
            answer(received.message, received.sender)
        except ValueError as error:
            log.warning("Peers: a datagram is absurd: %s.", error)

    def greet(self, message):
        """Tell a node that has just started of this one at once."""
        self._announce_to([message.peer])

    def introduce(self, message):
        """Tell a node that this one does not know of this one, so that it answers."""
        self._begin_round()
        self._wire.send(message.sender, self._builder.build_full())

    def take_registered(self, message):
        """Learn of nodes from the store."""
        self.table.note_listed(message.addresses)
        self.announce(None)

    def take_freshness(self, message):
        """Learn from the store that the document is the newest."""
        self.table.note_fresh(message.at)

    def announce(self, _):
        """Tell every known node of this one."""
        self.table.note_in_force(self._document.version)
        self.table.drop_forgotten()
        self._announce_to(list(self.table.peers.values()))

    def decide_rate(self, wanted):
        """Decide on a request, or ask the node that holds the rate."""
        holder = self._rates.find_holder(wanted.organisation)
        if holder is None:
            wanted.reply.set(self._rates.decide_held(wanted.organisation))
            return
        number = self._questions.keep(wanted)
        ask = RateAsk(number, wanted.organisation.name, self._settings.name)
        self._send(holder.host, ask)

    def ask_room(self, wanted):
        """Ask another node whether its backend server would take a request."""
        host, _ = split_address(wanted.address)
        self._send(host, RoomAsk(self._questions.keep(wanted), wanted.order))

    def ask_withdrawal(self, wanted):
        """Ask an owner to keep a request from its backend server."""
        number = self._questions.keep(wanted)
        ask = WithdrawalAsk(number, wanted.boot, wanted.request_id)
        host, _ = split_address(wanted.address)
        self._send(host, ask)

    def decide_alone(self, wanted):
        """Decide by this node's share, since the holder did not answer."""
        wanted.reply.set(self._rates.decide_alone(wanted.organisation))

    def _announce_to(self, peers):
        self._begin_round()
        for peer in peers:
            self._send(peer.host, self._builder.build(peer))

    def _begin_round(self):
        self.table.note_sent(self._builder.begin_round())
        news = self._describe()
        # The age goes with the version read after it, or with a newer one.
        fresh_age_s = self.table.tell_fresh_age()
        self._builder.describe(news, self._document.version, fresh_age_s)

    def _take_news(self, news, _):
        before = self.table.peers.get(news.node)
        known_boot = before.news.boot if before and before.news else None
        peer = self.table.take(news)
        if peer is None:
            return None
        if news.version > self._document.version:
            near = news.data_centre == self._settings.data_centre
            self._document.add_source(news.version, news.address, near)
        fresh_at = self.table.find_freshness(news)
        if fresh_at is not None:
            in_force = self._document.version
            self.table.note_version_fresh(news.version, fresh_at, in_force)
        return PeerStarted(peer) if known_boot != news.boot else None

    def _take_delta(self, delta, sender):
        peer = self.table.find_by_boot(delta.boot)
        if peer is None:
            return StrangerHeard(sender)
        return self._take_news(expand(delta, peer.news), sender)

    def _answer_rate(self, ask, sender):
        rulebook = self._document.rulebook
        organisation = (
            rulebook.organisations.get(ask.organisation) if rulebook else None
        )
        if organisation is None:
            return
        reply = RelayedReply(self._wire, sender, ask.number)
        holder = None if ask.relayed else self._rates.find_holder(organisation)
        if holder is None:
            reply.set(self._rates.decide_held(organisation))
            return
        # The other node can't see the holder, but this one does: two holders would
        # grant the rate twice.
        number = self._questions.keep(RateWanted(organisation, reply))
        relayed = RateAsk(number, ask.organisation, self._settings.name, True)
        self._send(holder.host, relayed)

    def _take_answer(self, answer, _):
        wanted = self._questions.take(answer.number, RateWanted)
        if wanted is not None:
            wanted.reply.set(0.0 if answer.granted else max(answer.wait_s, 0.001))

    def _answer_room(self, ask, sender):
        self._wire.send(sender, RoomAnswer(ask.number, self._owner.judge(ask.order)))

    def _answer_withdrawal(self, ask, sender):
        # A process that has started since does not know what the one before did.
        never_runs = ask.boot == self._boot and self._owner.withdraw(ask.request_id)
        self._wire.send(sender, WithdrawalAnswer(ask.number, never_runs))

    def _take_withdrawal_answer(self, answer, _):
        wanted = self._questions.take(answer.number, WithdrawalWanted)
        if wanted is not None:
            wanted.reply.set(answer.never_runs)

    def _take_room_answer(self, answer, _):
        wanted = self._questions.take(answer.number, RoomWanted)
        if wanted is not None:
            wanted.reply.set(answer.report)

    def _send(self, host, message):
        self._wire.send((host, self._settings.gossip_port), message)
