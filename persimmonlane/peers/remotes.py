"""Membership of the other data centres.

The nodes of one data centre announce themselves to each other. Between data centres,
relays exchange digests of their own nodes, and pass what they learn on to the nodes
beside them. Nodes that start are introduced to those beside them. A node that has not
heard of a data centre for too long asks a node there.
"""

import logging

from .commands import DigestReceived, PendingMemberQuery
from .digests import (
    ANNOUNCEMENTS_PER_DATAGRAM,
    DS_PER_S,
    STATES_PER_DATAGRAM,
    build_member,
    build_member_state,
    split,
)
from .statuses import (
    MAX_QUERIED_MEMBERS,
    Digest,
    DigestRequest,
    MemberQuery,
    MemberResponse,
)

log = logging.getLogger("persimmonlane.peers")

# Announcements are also sent between two rounds, after a change; digests are not.
DIGEST_INTERVAL_S = 0.85
# Without news of a data centre for this long, a node asks there itself.
ASK_AFTER_S = 4.0
# Nodes of a silent data centre to which a relay introduces itself in each round, and
# nodes that introduce a started one to those beside it.
INTRODUCTIONS = 2
# For this long a node that has started is told of the nodes beside it.
INTRODUCTION_S = 8.0
# A node that sent a digest within this time also gets one, even if it is no relay by
# this node's knowledge.
SENDER_TIMEOUT_S = 2.5
QUERY_INTERVAL_S = 0.25
ECHO_RETENTION_S = 60.0
MS_PER_S = 1000
MAX_ECHOES = 4096


class Echo:
    """The newest digest or request that a host has sent.

    Attributes:
        boot: Boot number of the sending process.
        sequence: Its sequence number.
        received_at: Clock seconds at which it was received.
        answerable_at: Clock seconds at which the newest one was received that is not
            an answer itself.
    """

    __slots__ = ("boot", "sequence", "received_at", "answerable_at")

    def __init__(self, boot, sequence, received_at, answerable_at):
        self.boot = boot
        self.sequence = sequence
        self.received_at = received_at
        self.answerable_at = answerable_at


NO_ECHO = Echo(0, 0, float("-inf"), float("-inf"))


class RemoteMembership:
    """Sends and receives the digests of one node."""

    __slots__ = (
        "_settings",
        "_clock",
        "_table",
        "_builder",
        "_get_own",
        "_document",
        "_generations",
        "_ledger",
        "_pending",
        "_transport",
        "_rng",
        "_evacuations",
        "_started_at",
        "_sent_at",
        "_echoes",
        "_queried_at",
    )

    def __init__(
        self,
        settings,
        clock,
        table,
        builder,
        get_own,
        document,
        generations,
        ledger,
        pending,
        transport,
        rng,
        evacuations=None,
    ):
        """Create the membership.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            table: The `PeerTable`.
            builder: The `AnnouncementBuilder` of this process.
            get_own: Callable that returns this node's latest `Announcement`.
            document: The `DocumentHolder`.
            generations: The `GenerationTracker` of the store.
            ledger: The `CrashLedger`.
            pending: The `PendingQueries`.
            transport: The `DatagramTransport`.
            rng: The `random.Random` to draw nodes with.
            evacuations: The `EvacuationHolder`; None where operators evacuate no data
                centres.
        """
        self._settings = settings
        self._clock = clock
        self._table = table
        self._builder = builder
        self._get_own = get_own
        self._document = document
        self._generations = generations
        self._ledger = ledger
        self._pending = pending
        self._transport = transport
        self._rng = rng
        self._evacuations = evacuations
        self._started_at = clock.now()
        self._sent_at = float("-inf")
        self._echoes = {}
        self._queried_at = {}

    def send_round(self):
        """Send the digests of a round, if one is due and this node is a relay."""
        now = self._clock.now()
        if now - self._sent_at < DIGEST_INTERVAL_S:
            return
        self._sent_at = now
        self._forget_echoes(now)
        remotes = self._group_remotes()
        own = self._get_own()
        relays = self._table.rank_relays(self._settings.data_centre)
        if self._settings.name in relays and not own.leaving:
            rank = relays.index(self._settings.name)
            self._send_to_relays(remotes, rank, now)
            self._send_to_local_nodes(remotes, now)
        self._ask_silent_data_centres(remotes, now)
        if not own.leaving:
            self._introduce_local_nodes(now)

    def handle_digest(self, digest, sender):
        """Apply a `Digest` in the receiving thread.

        Returns:
            The `DigestReceived` for the actor if an answer is due, else None.
        """
        host = sender[0]
        peer = self._table.find_by_boot(digest.boot)
        if peer is not None and peer.host != host:
            log.warning(
                "Peers: a digest of %s came from another host.",
                peer.name,
                extra={"event": "digest-forged"},
            )
            return None
        before = self._echoes.get(host, NO_ECHO)
        if not self._record_echo(host, digest):
            return None
        sent_at = self._table.send_times.find(digest.echo, digest.echo_boot)
        unknown = self._table.apply_states(digest.members, sent_at)
        self._apply_version(digest, peer, sent_at)
        is_first = before.boot != digest.boot and not self._is_local(peer)
        if unknown or is_first:
            return DigestReceived(host, unknown, is_first)
        return None

    def answer_digest(self, received):
        """Query what a digest left unknown; introduce this node to a new sender.

        Args:
            received: The `DigestReceived`.
        """
        if received.is_first:
            self._send_digest(received.host, self._list_own_states())
        if received.unknown:
            self._query(received.host, received.unknown)

    def answer_request(self, request, sender):
        """Send a digest of this data centre to the sender of a `DigestRequest`."""
        if self._record_echo(sender[0], request):
            self._send_digest(sender[0], self._list_own_states())

    def answer_query(self, query, sender):
        """Send the announcements that a `MemberQuery` asks for."""
        members = [
            member for boot in query.boots if (member := self._find_member(boot))
        ]
        for part in split(members, ANNOUNCEMENTS_PER_DATAGRAM):
            self._transport.send(sender, MemberResponse(query.correlation_id, part))

    def handle_response(self, response, sender):
        """Apply a `MemberResponse` in the receiving thread.

        Raises:
            ValueError: If an announced address is invalid.
        """
        query = self._pending.find(response.correlation_id, PendingMemberQuery)
        if query is None or query.host != sender[0]:
            return
        for member in response.members:
            self._table.apply_member(
                member.announcement, query.sent_at - member.age_ds / DS_PER_S
            )

    def _group_remotes(self):
        """Return lists of the `Peer`s of the other data centres, by their name."""
        groups = {}
        for peer in list(self._table.peers.values()):
            if self._table.is_remote(peer):
                groups.setdefault(peer.data_centre, []).append(peer)
        return groups

    def _send_to_relays(self, remotes, rank, now):
        states = self._list_own_states()
        for data_centre, peers in remotes.items():
            live = [peer for peer in peers if peer.is_live(now)]
            if not live:
                # Its nodes may have been restarted and not know of each other.
                states_known = states + self._list_states(peers, now)
                for host in self._draw_hosts(peers, INTRODUCTIONS):
                    self._send_digest(host, states_known)
                continue
            ranked = self._table.rank_relays(data_centre)
            senders = {peer.host for peer in peers if self._awaits_answer(peer, now)}
            partners = set()
            if ranked:
                partners.add(self._table.peers[ranked[rank % len(ranked)]].host)
            new = {peer.host for peer in live if self._is_new(peer, now)}
            # Those that are silent may live: none may have told them of this node.
            states_around = self._list_states(peers, now) if new else []
            for host in sorted(senders | partners):
                told = states + states_around if host in new else states
                self._send_digest(host, told, is_answer=host not in partners)

    def _send_to_local_nodes(self, remotes, now):
        live = [
            peer for peers in remotes.values() for peer in peers if peer.is_live(now)
        ]
        if not live:
            return
        states = self._list_states(live, now)
        for peer in self._table.list_live():
            if self._is_local(peer) and peer.accepts_digests:
                self._send_digest(peer.host, states, peer)

    def _introduce_local_nodes(self, now):
        """Tell nodes that have just started of the others beside them.

        Without the store, they can't know all of those. Some nodes, drawn anew in each
        round, tell them: two relays that don't know each other would not.
        """
        local = [
            peer
            for peer in self._table.list_live()
            if self._is_local(peer) and peer.accepts_digests
        ]
        for peer in local:
            others = [other for other in local if other is not peer]
            if not others or not self._is_new(peer, now):
                continue
            if self._rng.random() < INTRODUCTIONS / len(local):
                self._send_digest(peer.host, self._list_states(others, now), peer)

    def _is_new(self, peer, now):
        return now - peer.started_at < INTRODUCTION_S

    def _ask_silent_data_centres(self, remotes, now):
        for peers in remotes.values():
            heard = [peer.heard_at for peer in peers if peer.heard_at is not None]
            if now - max([self._started_at, *heard]) < ASK_AFTER_S:
                continue
            sequence = self._begin_message()
            for host in self._draw_hosts(peers, 1):
                self._send(host, DigestRequest(self._builder.boot, sequence))

    def _draw_hosts(self, peers, count):
        return [peer.host for peer in self._rng.sample(peers, min(count, len(peers)))]

    def _awaits_answer(self, peer, now):
        """Return whether a `Peer` has lately sent digests that are no answers.

        If answers were answered, two relays would go on for good.
        """
        echo = self._echoes.get(peer.host, NO_ECHO)
        return now - echo.answerable_at < SENDER_TIMEOUT_S

    def _list_own_states(self):
        """Return the states of this node and of the live nodes beside it."""
        now = self._clock.now()
        local = [peer for peer in self._table.list_live() if self._is_local(peer)]
        own = build_member_state(self._get_own(), 0.0)
        return [own, *self._list_states(local, now)]

    def _list_states(self, peers, now):
        return [
            build_member_state(peer.announcement, now - peer.heard_at)
            for peer in peers
            if peer.announcement is not None and peer.heard_at is not None
        ]

    def _send_digest(self, host, states, local_peer=None, is_answer=False):
        """Send the states of some nodes to a host.

        Args:
            host: The host.
            states: The `MemberState`s.
            local_peer: The `Peer` at that host if it announces itself to this node.
            is_answer: Whether it is sent only because the host sends digests.
        """
        if local_peer is not None:
            latest = local_peer.announcement
            echo, echo_boot = latest.sequence, latest.boot
        else:
            newest = self._echoes.get(host, NO_ECHO)
            echo, echo_boot = newest.sequence, newest.boot
        age_s = self._table.freshness.encode_age()
        # The age is read before the version, as in announcements.
        stamp = self._document.stamp
        evacuations = self._evacuations
        sendable = None if evacuations is None else evacuations.get_sendable()
        age_ms = int(age_s * MS_PER_S) + 1 if age_s >= 0 else -1
        for part in split(states, STATES_PER_DATAGRAM):
            sequence = self._begin_message()
            self._send(
                host,
                Digest(
                    self._builder.boot,
                    sequence,
                    stamp.version,
                    age_ms,
                    echo,
                    echo_boot,
                    part,
                    is_answer,
                    stamp.generation,
                    self._generations.current,
                    self._ledger.digest,
                    sendable,
                ),
            )

    def _begin_message(self):
        sequence = self._builder.begin_round()
        self._table.send_times.record(sequence)
        return sequence

    def _query(self, host, boots):
        now = self._clock.now()
        if now - self._queried_at.get(host, float("-inf")) < QUERY_INTERVAL_S:
            return
        self._queried_at[host] = now
        correlation_id = self._pending.add(PendingMemberQuery(host, now))
        self._send(host, MemberQuery(correlation_id, boots[:MAX_QUERIED_MEMBERS]))

    def _find_member(self, boot):
        if boot == self._builder.boot:
            return build_member(self._get_own(), 0.0)
        peer = self._table.find_by_boot(boot)
        if peer is None or peer.heard_at is None:
            return None
        return build_member(peer.announcement, self._clock.now() - peer.heard_at)

    def _apply_version(self, digest, peer, sent_at):
        self._generations.report(digest.store_generation)
        if peer is not None and digest.stamp > self._document.stamp:
            self._document.add_source(digest.stamp, peer.address, peer.data_centre)
        fresh_at = None
        if sent_at is not None and digest.fresh_age_ms >= 0:
            fresh_at = sent_at - digest.fresh_age_ms / MS_PER_S
        if self.take_evacuations(digest, fresh_at):
            self._table.freshness.mark_document(
                digest.stamp, fresh_at, self._document.stamp
            )

    def take_evacuations(self, message, fresh_at):
        """Merge the evacuations that a message names; return whether its age counts.

        This goes before the use of the age, so that a fresh document never hides an
        evacuation. The age in a message without a list says nothing of evacuations.

        Args:
            message: The `Announcement` or `Digest`.
            fresh_at: Clock seconds at which its sender knew the newest state of the
                store, None if that is not known.
        """
        if self._evacuations is not None and message.evacuations is not None:
            self._evacuations.merge(message.evacuations)
            if fresh_at is not None:
                self._evacuations.confirm(fresh_at)
        elif self._evacuations is not None:
            return False
        return fresh_at is not None

    def _record_echo(self, host, message):
        """Record a message as the newest of its host; return whether it is newer."""
        before = self._echoes.get(host, NO_ECHO)
        if before.boot == message.boot and message.sequence <= before.sequence:
            return False
        if len(self._echoes) < MAX_ECHOES or host in self._echoes:
            now = self._clock.now()
            is_answer = isinstance(message, Digest) and message.is_answer
            answerable_at = before.answerable_at if is_answer else now
            self._echoes[host] = Echo(
                message.boot, message.sequence, now, answerable_at
            )
        return True

    def _forget_echoes(self, now):
        for hosts in (self._echoes, self._queried_at):
            for host in list(hosts):
                entry = hosts[host]
                at = entry.received_at if isinstance(entry, Echo) else entry
                if now - at > ECHO_RETENTION_S:
                    hosts.pop(host, None)

    def _is_local(self, peer):
        return peer is not None and peer.data_centre == self._settings.data_centre

    def _send(self, host, message):
        self._transport.send((host, self._settings.gossip_port), message)
