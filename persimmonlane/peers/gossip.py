"""Gossip between the nodes of the fleet.

The actor announces this node to its peers and answers their queries. Announcements,
digests, rate requests and responses are handled in the receiving thread, without the
actor.
"""

import logging
import random

from ..actors import Actor, Tick
from ..addresses import split_address
from .announcing import AnnouncementBuilder
from .commands import (
    CancellationCommand,
    CapacityCheck,
    CrashesLearned,
    DepartureCheck,
    DigestReceived,
    FreshnessConfirmed,
    LocalRateCheck,
    NodesRegistered,
    PeerStarted,
    RateCheck,
    RetryCheck,
    UnknownPeerHeard,
)
from .crashes import CrashSpread, accepts_reports
from .deltas import apply_delta
from .departures import DepartureSpread
from .messages import (
    CancellationRequest,
    CancellationResponse,
    CapacityRequest,
    CapacityResponse,
    CrashQuery,
    CrashReport,
    DepartureNotice,
    DepartureReceipt,
    DepartureReport,
    LoanRequest,
    LoanResponse,
    RateHandover,
    RateRequest,
    RateResponse,
    RetryRequest,
    RetryResponse,
)
from .queries import PendingQueries
from .rates import FleetRateLimiter
from .remotes import RemoteMembership
from .retries import FleetRetryBudget
from .statuses import (
    Announcement,
    Delta,
    Digest,
    DigestRequest,
    MemberQuery,
    MemberResponse,
)
from .table import PeerTable
from .transport import ReceivedDatagram

log = logging.getLogger("persimmonlane.peers")

ANNOUNCE_S = 1.0
# Boot numbers go into each digest, so they are no longer than they need to be.
BOOT_LIMIT = 1 << 32


class Gossip(Actor):
    """Actor that tracks the other nodes and enforces the rates that this one holds.

    Attributes:
        table: The `PeerTable`.
    """

    handlers = {
        ReceivedDatagram: "answer_query",
        PeerStarted: "announce_to_started",
        UnknownPeerHeard: "announce_to_unknown",
        DigestReceived: "answer_digest",
        NodesRegistered: "update_registered",
        FreshnessConfirmed: "mark_fresh",
        RateCheck: "check_rate",
        LocalRateCheck: "check_local_rate",
        RetryCheck: "check_retry",
        CapacityCheck: "check_capacity",
        CancellationCommand: "request_cancellation",
        CrashesLearned: "publish_crashes",
        DepartureCheck: "report_departures",
        Tick: "announce",
    }

    def __init__(
        self,
        application,
        settings,
        clock,
        transport,
        describe,
        document,
        generations,
        ledger,
        owner,
        rng=None,
        evacuations=None,
    ):
        super().__init__(application)
        rng = rng or random.Random()
        self._settings = settings
        self._clock = clock
        self._transport = transport
        self._describe = describe
        self._document = document
        self._generations = generations
        self._ledger = ledger
        self._owner = owner
        self._evacuations = evacuations
        self._boot = rng.randrange(BOOT_LIMIT)
        self._builder = AnnouncementBuilder(settings, clock, self._boot)
        self._pending = PendingQueries()
        self.table = PeerTable(settings.name, settings.data_centre, self._boot, clock)
        self._remotes = RemoteMembership(
            settings,
            clock,
            self.table,
            self._builder,
            self._get_own_announcement,
            document,
            generations,
            ledger,
            self._pending,
            transport,
            rng,
            evacuations,
        )
        self._rates = FleetRateLimiter(
            settings,
            clock,
            self.table,
            self._boot,
            document,
            self._pending,
            transport,
        )
        self._retries = FleetRetryBudget(
            settings, clock, self.table, self._boot, self._pending, transport
        )
        self._crashes = CrashSpread(
            settings, clock, self.table, self._boot, ledger, transport
        )
        self._departures = DepartureSpread(
            settings, self.table, self._pending, transport, rng
        )
        self._datagram_handlers = {
            Announcement: self._handle_announcement,
            Delta: self._handle_delta,
            Digest: self._handle_digest,
            CrashReport: self._crashes.handle_report,
            DepartureNotice: self._handle_departure_notice,
            DepartureReport: self._departures.handle_report,
            DepartureReceipt: self._departures.handle_receipt,
            MemberResponse: self._handle_member_response,
            RateRequest: self._rates.answer_request,
            RetryRequest: self._retries.answer_request,
            RetryResponse: self._retries.apply_response,
            LoanRequest: self._rates.answer_loan_request,
            LoanResponse: self._rates.apply_loan_response,
            RateResponse: self._rates.apply_response,
            RateHandover: self._rates.accept_handover,
            CapacityResponse: self._handle_capacity_response,
            CancellationResponse: self._handle_cancellation_response,
        }
        self._query_handlers = {
            CapacityRequest: self._handle_capacity_request,
            CrashQuery: self._crashes.answer_query,
            DigestRequest: self._remotes.answer_request,
            MemberQuery: self._remotes.answer_query,
            CancellationRequest: self._handle_cancellation_request,
        }
        transport.set_handler(self.handle_datagram)

    def handle_datagram(self, message, sender):
        """Handle a datagram in the receiving thread.

        Args:
            message: The decoded message.
            sender: Address of the sender, as host and port.

        Returns:
            The message for the actor, or None if the datagram is fully handled.

        Raises:
            ValueError: If an announced address is invalid or a `Delta` does not match
                the earlier announcement.
        """
        handle = self._datagram_handlers.get(type(message))
        return (
            handle(message, sender)
            if handle is not None
            else ReceivedDatagram(message, sender)
        )

    def answer_query(self, received):
        """Answer a query of another node; an invalid one is logged and dropped."""
        handle = self._query_handlers[type(received.message)]
        try:
            handle(received.message, received.sender)
        except ValueError as error:
            log.warning("Peers: invalid query: %s.", error)

    def announce_to_started(self, message):
        """Announce this node at once to a peer whose process has just started."""
        self._announce_to([message.peer])
        self._refresh_rates()

    def announce_to_unknown(self, message):
        """Send a full announcement to an unknown sender, which announces itself back.

        The sender answers a process whose announcement it sees for the first time with
        its own announcement.
        """
        self._begin_round()
        self._transport.send(message.sender, self._builder.build_full())

    def answer_digest(self, message):
        """Answer the sender of a digest that names nodes which are not known here."""
        self._remotes.answer_digest(message)

    def update_registered(self, message):
        """Add the nodes registered in the store and announce this node to them."""
        self.table.update_registered(message.nodes)
        self.announce(None)

    def mark_fresh(self, message):
        """Record that the store confirmed the document, and tell the nodes nearby."""
        self.table.freshness.mark(message.at)
        self._announce_to_local_nodes()

    def announce(self, _):
        """Announce this node, and send the digests that are due."""
        self.table.freshness.apply_document_in_force(self._document.stamp)
        self.table.remove_expired()
        self._ledger.forget_old()
        self._announce_to_local_nodes()
        self._refresh_rates()
        self._remotes.send_round()

    def check_rate(self, command):
        """Check a request against the rate of its organisation."""
        self._rates.check(command.organisation, command.reply)

    def check_retry(self, command):
        """Ask for a retry token of a service."""
        self._retries.check(command)

    def check_capacity(self, command):
        """Ask another node whether its backend server would accept a request."""
        host, _ = split_address(command.address)
        self._send(host, CapacityRequest(self._pending.add(command), command.order))

    def request_cancellation(self, command):
        """Ask an owner to cancel a request."""
        correlation_id = self._pending.add(command)
        request = CancellationRequest(
            correlation_id, command.boot, command.request_id, command.time_left_s
        )
        host, _ = split_address(command.address)
        self._send(host, request)

    def publish_crashes(self, message):
        """Tell other nodes of crashes that this one has learned of."""
        self._crashes.publish(message)

    def report_departures(self, command):
        """Ask other nodes to remember departures of backend servers."""
        self._departures.report(command)

    def check_local_rate(self, command):
        """Check a request against this node's share of the rate."""
        command.reply.set(self._rates.decide_from_share(command.organisation))

    def _refresh_rates(self):
        self._rates.refresh(self._get_own_announcement().leaving)

    def _announce_to_local_nodes(self):
        peers = list(self.table.peers.values())
        self._announce_to([peer for peer in peers if not self.table.is_remote(peer)])

    def _announce_to(self, peers):
        self._begin_round()
        for peer in peers:
            self._send(peer.host, self._builder.build(peer))

    def _get_own_announcement(self):
        if self._builder.build_full() is None:
            # A digest may arrive before the first round.
            self._begin_round()
        return self._builder.build_full()

    def _begin_round(self):
        self.table.send_times.record(self._builder.begin_round())
        state = self._describe()
        # The age is read before the version and the evacuations: if newer ones come
        # into force in between, the age holds for them as well.
        fresh_age_s = self.table.freshness.encode_age()
        self._builder.update(
            state,
            self._document.stamp,
            fresh_age_s,
            self._generations.current,
            self._ledger.digest,
            None if self._evacuations is None else self._evacuations.get_sendable(),
        )

    def _handle_announcement(self, announcement, _):
        before = self.table.peers.get(announcement.node)
        known_boot = (
            before.announcement.boot if before and before.announcement else None
        )
        peer = self.table.apply_announcement(announcement)
        if peer is None:
            return None
        self._generations.report(announcement.store_generation)
        self._crashes.compare(announcement.crash_digest, peer.host)
        self._remind_of_departure(peer)
        if announcement.stamp > self._document.stamp:
            self._document.add_source(
                announcement.stamp, announcement.address, announcement.data_centre
            )
        fresh_at = self.table.compute_fresh_at(announcement)
        if self._remotes.take_evacuations(announcement, fresh_at):
            in_force = self._document.stamp
            self.table.freshness.mark_document(announcement.stamp, fresh_at, in_force)
        if known_boot == announcement.boot or self.table.is_remote(peer):
            return None
        return PeerStarted(peer)

    def _handle_member_response(self, response, sender):
        self._remotes.handle_response(response, sender)
        for member in response.members:
            peer = self.table.find_by_boot(member.announcement.boot)
            if peer is not None:
                self._remind_of_departure(peer)

    def _remind_of_departure(self, peer):
        """Tell a restarted node if its backend server had said that it leaves."""
        server = peer.announcement.server
        if server is None or server.leaving or not accepts_reports(peer):
            return
        if self.table.departed.has(server):
            self._send(peer.host, DepartureNotice(server.server_id, server.born))

    def _handle_departure_notice(self, notice, sender):
        if self.table.is_known_host(sender[0]):
            self._owner.handle_departure(notice.server_id, notice.born)

    def _handle_digest(self, digest, sender):
        if self.table.is_known_host(sender[0]):
            self._crashes.compare(digest.crash_digest, sender[0])
        answer = self._remotes.handle_digest(digest, sender)
        for state in digest.members:
            peer = self.table.find_by_boot(state.boot)
            if peer is not None:
                self._remind_of_departure(peer)
        return answer

    def _handle_delta(self, delta, sender):
        peer = self.table.find_by_boot(delta.boot)
        if peer is None:
            return UnknownPeerHeard(sender)
        return self._handle_announcement(apply_delta(delta, peer.announcement), sender)

    def _handle_capacity_request(self, request, sender):
        self._transport.send(
            sender,
            CapacityResponse(
                request.correlation_id, self._owner.check_admission(request.order)
            ),
        )

    def _handle_cancellation_request(self, request, sender):
        # A process that was restarted since can't tell what its predecessor ran.
        never_runs = request.boot == self._boot and self._owner.cancel(
            request.request_id, request.time_left_s
        )
        self._transport.send(
            sender, CancellationResponse(request.correlation_id, never_runs)
        )

    def _handle_cancellation_response(self, response, _):
        command = self._pending.pop(response.correlation_id, CancellationCommand)
        if command is not None:
            command.reply.set(response.never_runs)

    def _handle_capacity_response(self, response, _):
        command = self._pending.pop(response.correlation_id, CapacityCheck)
        if command is not None:
            command.reply.set(response.report)

    def _send(self, host, message):
        self._transport.send((host, self._settings.gossip_port), message)
