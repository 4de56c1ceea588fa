"""Gossip.

Decides with whom this node exchanges announcements, and when and what.
"""

from .announcements import Exchange
from .table import BEAT_S

LOCAL_PARTNERS = 2
REMOTE_PARTNERS = 1
PARTNERS = LOCAL_PARTNERS + REMOTE_PARTNERS
ANSWER_LIMIT_S = 1.0
STRANGER_INTERVAL_S = 1.0
REMEMBERED_PEERS = 64
URGENT_GAP_S = 0.05
NEWS_ROUNDS = 4
NEVER = float("-inf")


class Message:
    """A message to another node.

    Attributes:
        address: RPC address of the other node.
        exchange: The message.
        sent_at: Monotonic seconds at which it was made.
        is_follow_up: Whether it brings what a reply asked for.
    """

    __slots__ = ("address", "exchange", "sent_at", "is_follow_up")

    def __init__(self, address, exchange, sent_at, is_follow_up=False):
        self.address = address
        self.exchange = exchange
        self.sent_at = sent_at
        self.is_follow_up = is_follow_up


class Gossip:
    """Keeps the table of one node in step with those of the other nodes.

    Lists that have just changed ride along with a few rounds of messages, so
    that they spread at once; digests repair what was lost.

    Attributes:
        hosted: The `HostedGroup` of this node.
        table: The `ServerTable` of this node.
        heard_at: Monotonic seconds at which the latest message heard was sent.
    """

    __slots__ = (
        "hosted",
        "table",
        "heard_at",
        "_clock",
        "_rng",
        "_seeds",
        "_known",
        "_news",
        "_round_at",
        "_beat_at",
        "_stranger_at",
        "_urgent",
        "_unanswered",
        "_forgotten",
    )

    def __init__(self, clock, rng, hosted, table, seeds=()):
        self.hosted = hosted
        self.table = table
        self.heard_at = NEVER
        self._clock = clock
        self._rng = rng
        self._seeds = tuple(seeds)
        self._known = {}
        self._news = {}
        self._round_at = NEVER
        self._beat_at = NEVER
        self._stranger_at = NEVER
        self._urgent = False
        self._unanswered = {}
        self._forgotten = []
        self.note_hosted()

    def note_hosted(self):
        """Spread the hosted group's list, which has changed."""
        self._apply_hosted()
        self._add_news(self.hosted.announcement.group)

    def is_due(self):
        """Return whether a round of messages is due."""
        now = self._clock.now()
        if self._urgent:
            return now - self._round_at >= URGENT_GAP_S
        return now - self._beat_at >= BEAT_S

    def start_round(self):
        """Return the messages of one round, as a list of `Message`."""
        now = self._clock.now()
        if now - self._beat_at >= BEAT_S:
            self._beat_at = now
            self.hosted.renew()
        self._apply_hosted()
        self._round_at = now
        self._urgent = False
        exchange = self._create_request()
        return [Message(address, exchange, now) for address in self._choose_partners()]

    def receive_request(self, request):
        """Take in a request; return the reply."""
        delay_s = self.hosted.bound_delay(request.heartbeats)
        self.heard_at = max(self.heard_at, self._clock.now() - delay_s)
        self._receive(request, delay_s)
        return self.table.answer(request)

    def receive_reply(self, message, reply):
        """Take in the reply to a message; return a `Message` to send, or None."""
        self._unanswered.pop(message.address, None)
        self.heard_at = max(self.heard_at, message.sent_at)
        self._receive(reply, self._clock.now() - message.sent_at)
        announcements = self.table.get_announcements(reply.wanted)
        if message.is_follow_up or not announcements:
            return None
        exchange = Exchange(
            sender=self.hosted.announcement.group,
            heartbeats=self.table.digest(),
            announcements=announcements,
        )
        return Message(message.address, exchange, self._clock.now(), is_follow_up=True)

    def _receive(self, exchange, delay_s):
        own = self.hosted.announcement.group
        for announcement in exchange.announcements:
            if announcement.group != own and self.table.apply(announcement):
                self._add_news(announcement.group)
        for heartbeat in exchange.heartbeats:
            if heartbeat.group != own:
                self.table.renew(heartbeat, delay_s)

    def _add_news(self, name):
        self._news[name] = NEWS_ROUNDS
        self._urgent = True

    def _apply_hosted(self):
        self.table.apply(self.hosted.announcement)
        self.table.renew(self.hosted.heartbeat())

    def _create_request(self):
        announcements = self.table.get_announcements(self._news)
        self._news = {name: left - 1 for name, left in self._news.items() if left > 1}
        return Exchange(
            sender=self.hosted.announcement.group,
            heartbeats=self.table.digest(),
            announcements=announcements,
        )

    def take_forgotten(self):
        """Return the addresses that will not be asked any more, and clear them."""
        forgotten, self._forgotten = self._forgotten, []
        return forgotten

    def peers(self):
        """Return the other nodes that were heard within the lease, as a tuple."""
        own = self.hosted.announcement.group
        return tuple(peer for peer in self.table.peers() if peer.name != own)

    def _choose_partners(self):
        peers = self.peers()
        self._remember(peers)
        home = self.hosted.announcement.data_centre
        answering = [peer for peer in peers if self._answers(peer.rpc)]
        local = [peer.rpc for peer in answering if peer.data_centre == home]
        remote = [peer.rpc for peer in answering if peer.data_centre != home]
        partners = self._sample(remote, REMOTE_PARTNERS)
        partners += self._sample(local, LOCAL_PARTNERS)
        rest = [rpc for rpc in (*local, *remote) if rpc not in partners]
        partners += self._sample(rest, PARTNERS - len(partners))
        partners += self._choose_strangers({*local, *remote})
        for address in partners:
            self._unanswered.setdefault(address, self._clock.now())
        return partners

    def _answers(self, address):
        """Return whether the address has left no question open for long."""
        asked_at = self._unanswered.get(address, self._clock.now())
        return self._clock.now() - asked_at <= ANSWER_LIMIT_S

    def _choose_strangers(self, live):
        now = self._clock.now()
        if live and now - self._stranger_at < STRANGER_INTERVAL_S:
            return []
        self._stranger_at = now
        own = self.hosted.announcement.rpc
        strangers = {*self._seeds, *self._known} - live - {own}
        return self._sample(sorted(strangers), 1)

    def _remember(self, peers):
        for peer in peers:
            self._known.pop(peer.rpc, None)
            self._known[peer.rpc] = True
        while len(self._known) > max(REMEMBERED_PEERS, len(peers)):
            address = next(iter(self._known))
            del self._known[address]
            self._unanswered.pop(address, None)
            self._forgotten.append(address)

    def _sample(self, addresses, count):
        return self._rng.sample(addresses, min(max(0, count), len(addresses)))
