"""Rate limiting of organisations across the nodes of the fleet.

In each data centre one live node decides on an organisation's requests. In the home
data centre of the organisation it keeps the bucket; elsewhere it borrows from there.
"""

import threading

from ..quotas.buckets import find_holder, rank_holders
from ..quotas.limiter import Limiter
from .commands import PendingLoan, RateCheck, RelayedLoan, RemoteReply
from .handover import HandoverReceiver, HandoverSender
from .messages import LoanRequest, LoanResponse, RateRequest
from .ratestate import AloneCount, AskedNode, Borrowed
from .reach import ReachCounter

GROUP_INTERVAL_S = 0.25
# A node announces itself each second, and others drop it 2.6 s after the last time.
# After a longer pause of this process another node may have held the rates.
MAX_PAUSE_S = 1.6
# Handovers that arrive this soon after such a pause may have waited for its end.
LATE_HANDOVER_S = 3.0
# After this answer a borrower asks again soon, by when views of the fleet agree.
RETRY_WAIT_S = 0.3
MAX_WAITING = 1000
MAX_CHARGED = 100_000


class FleetRateLimiter:
    """Enforces the rates of organisations; thread-safe."""

    __slots__ = (
        "_settings",
        "_clock",
        "_table",
        "_boot",
        "_document",
        "_pending",
        "_transport",
        "_limiter",
        "_lock",
        "_borrowed",
        "_granted_alone",
        "_charged",
        "_asked",
        "_live",
        "_grouped_at",
        "_groups",
        "_has_older_nodes",
        "_reach",
        "_is_leaving",
        "_active_at",
        "_resumed_at",
        "_handovers",
        "_received",
    )

    def __init__(self, settings, clock, table, boot, document, pending, transport):
        """Create the limiter of a node.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            table: The `PeerTable`.
            boot: Boot number of this process.
            document: The `DocumentHolder`.
            pending: The `PendingQueries`.
            transport: The `DatagramTransport`.
        """
        self._settings = settings
        self._clock = clock
        self._table = table
        self._boot = boot
        self._document = document
        self._pending = pending
        self._transport = transport
        self._limiter = Limiter(settings.name, clock)
        self._lock = threading.RLock()
        self._borrowed = {}
        self._granted_alone = {}
        self._charged = {}
        self._asked = {}
        self._live = None
        self._grouped_at = float("-inf")
        self._groups = {}
        self._has_older_nodes = False
        self._reach = ReachCounter(settings.data_centre, clock, table)
        self._is_leaving = False
        self._active_at = clock.now()
        self._resumed_at = float("-inf")
        self._handovers = HandoverSender(boot)
        self._received = HandoverReceiver(boot)

    def check(self, organisation, reply):
        """Decide on a request of this node, or ask the node that decides.

        Args:
            organisation: The `Organisation`.
            reply: Takes the seconds to wait, 0 or less if the request is within the
                rate.
        """
        decider = self._choose_decider(organisation)
        if decider is None:
            self.decide(organisation, reply)
            return
        alone = AloneCount(self._boot, self._granted_alone.get(organisation.name, 0))
        is_substitute = decider is not self.find_holder(organisation)
        self._ask_holder(decider, organisation, reply, alone, is_substitute)

    def answer_request(self, request, sender):
        """Answer a `RateRequest`, or relay it to the node that decides."""
        organisation = self._find_organisation(request.organisation)
        if organisation is None:
            return
        reply = RemoteReply(self._transport, sender, request.correlation_id)
        holder = None if request.relayed else self.find_holder(organisation)
        if holder is None:
            self._charge(organisation, request)
            self.decide(organisation, reply)
        else:
            # The requesting node does not see the holder, but this node does. Two nodes
            # that both act as holder would grant the rate twice.
            alone = AloneCount(request.boot, request.granted_alone)
            self._ask_holder(holder, organisation, reply, alone, relayed=True)

    def answer_loan_request(self, request, sender):
        """Answer a `LoanRequest`, or relay it to the node that lends."""
        organisation = self._find_organisation(request.organisation)
        if organisation is None or request.borrower == self._boot:
            return
        holder = self._find_loan_holder(organisation)
        if holder is not None:
            if request.relayed:
                self._respond(sender, request.correlation_id, 0, RETRY_WAIT_S)
            else:
                self._relay_loan_request(request, sender, holder)
            return
        with self._lock:
            offer = self._limiter.lend(
                organisation,
                request,
                self._reach.count(),
                self._table.count_members(),
            )
        if offer is not None:
            wait_s = min(offer.wait_s, organisation.burst + 1.0)
            self._respond(sender, request.correlation_id, offer.tokens, wait_s)

    def refresh(self, is_leaving):
        """Hand over the rates that another node holds now, as this one sees it.

        Args:
            is_leaving: Whether this node stops.
        """
        with self._lock:
            if is_leaving and not self._is_leaving:
                self._is_leaving = True
                self._live = None
            self._update_groups()
            for (host, boot), tokens in self._release_rates().items():
                self._handovers.add(host, boot, tokens)
            due = self._handovers.take_due()
        for host, message in due:
            self._send(host, message)

    def accept_handover(self, handover, sender):
        """Take over the tokens of a `RateHandover`."""
        if not self._table.is_known_host(sender[0]):
            return
        with self._lock:
            self._update_groups()
            is_late = self._clock.now() - self._resumed_at < LATE_HANDOVER_S
            if not self._received.is_first(handover) or is_late:
                return
            self._reach.reset()
            for entry in handover.entries:
                organisation = self._find_organisation(entry.organisation)
                if organisation is not None:
                    self._take_over(organisation, entry.tokens)

    def _take_over(self, organisation, tokens):
        holder = self._find_next_holder(organisation)
        if self._is_leaving and holder is not None:
            # The sender doesn't know yet that this node leaves. If the bucket were
            # used again, it would fill beside that of the next holder.
            self._handovers.add(
                holder.host, holder.announcement.boot, {organisation.name: tokens}
            )
            return
        self._limiter.accept(
            organisation,
            tokens,
            self._reach.count(),
            self._table.count_members(),
        )

    def _find_next_holder(self, organisation):
        """Return the `Peer` that holds a rate, or None if this node does."""
        return self.find_lender(organisation) or self.find_holder(organisation)

    def _release_rates(self):
        """Return numbers of tokens by organisation, by the process that holds it now.

        The process is given as its host and boot number.
        """
        released = {}
        for name in self._limiter.list_held():
            organisation = self._find_organisation(name)
            if organisation is None:
                continue
            holder = self._find_next_holder(organisation)
            if holder is not None:
                tokens = self._limiter.release(name)
                if tokens:
                    process = holder.host, holder.announcement.boot
                    released.setdefault(process, {})[name] = tokens
        return released

    def apply_response(self, response, _):
        """Pass the decision in a `RateResponse` on to the request that waits for it."""
        command = self._pending.pop(response.correlation_id, RateCheck)
        if command is None:
            return
        with self._lock:
            asked = self._asked.get(command.asked_node)
            if asked is not None:
                asked.unanswered_since = None
        command.reply.set(0.0 if response.granted else max(response.wait_s, 0.001))

    def apply_loan_response(self, response, _):
        """Apply a `LoanResponse` to this node's loan, or pass it on."""
        relayed = self._pending.pop(response.correlation_id, RelayedLoan)
        if relayed is not None:
            self._respond(
                relayed.sender,
                relayed.correlation_id,
                response.tokens,
                response.wait_s,
            )
            return
        pending = self._pending.pop(response.correlation_id, PendingLoan)
        if pending is None:
            return
        now = self._clock.now()
        with self._lock:
            borrowed = self._get_borrowed(pending.organisation)
            # The lender forgets what it lent before the request that came last.
            if pending.sequence != borrowed.sequence:
                return
            borrower = borrowed.borrower
            borrower.apply(response.tokens, response.wait_s, pending.sent_at, now)
            decisions = self._serve_waiting(borrowed, response, now)
            if borrowed.waiting:
                lender = self.find_lender(pending.organisation)
                if lender is not None:
                    self._borrow(pending.organisation, borrowed, lender, now)
        for reply, wait_s in decisions:
            reply.set(wait_s)

    def find_holder(self, organisation):
        """Return the `Peer` that decides on an organisation's requests here.

        Returns:
            The `Peer`, or None if this node does.
        """
        with self._lock:
            self._update_groups()
            if self._has_older_nodes:
                # They look for one holder among all nodes.
                peers = [peer for group in self._groups.values() for peer in group]
            else:
                peers = self._groups.get(self._settings.data_centre, [])
            by_name = {peer.name: peer for peer in peers}
            if self._is_leaving and by_name:
                # The others pass over this node already.
                name = find_holder(organisation.name, by_name)
            else:
                name = self._limiter.find_holder(organisation.name, by_name)
            return by_name.get(name)

    def _choose_decider(self, organisation):
        """Return the `Peer` to ask, or None if this node decides.

        A node that does not answer is passed over where its task is to borrow: two
        borrowers grant no more than one. Two holders would grant the rate twice.
        """
        holder = self.find_holder(organisation)
        now = self._clock.now()
        with self._lock:
            if holder is None or not self._is_passed_over(holder.name, now):
                return holder
            if self.find_lender(organisation) is None:
                return holder
            near = self._groups.get(self._settings.data_centre, [])
            by_name = {
                peer.name: peer
                for peer in near
                if not self._is_passed_over(peer.name, now)
            }
            by_name[self._settings.name] = None
            return by_name[find_holder(organisation.name, by_name)]

    def _is_passed_over(self, name, now):
        asked = self._asked.get(name)
        return asked is not None and asked.is_passed_over(now)

    def find_lender(self, organisation, rank=0):
        """Return the `Peer` that lends the organisation's tokens to this data centre.

        Args:
            organisation: The `Organisation`.
            rank: Which of the nodes there is asked. All but the first choice pass the
                request on to the one that they see as the holder.

        Returns:
            The `Peer`, or None if this is the organisation's home data centre.
        """
        with self._lock:
            self._update_groups()
            own = self._settings.data_centre
            if self._has_older_nodes:
                return None
            data_centres = set(self._groups)
            if not (self._is_leaving and data_centres):
                data_centres.add(own)
            home = find_holder(organisation.name, data_centres)
            if home == own:
                return None
            by_name = {peer.name: peer for peer in self._groups[home]}
            ranked = rank_holders(organisation.name, by_name)
            return by_name[ranked[rank % len(ranked)]]

    def decide(self, organisation, reply):
        """Decide on a request as the node that decides in its data centre."""
        lender = self.find_lender(organisation)
        with self._lock:
            if lender is None:
                wait_s = self._limiter.decide(
                    organisation, self._reach.count(), self._table.count_members()
                )
            else:
                wait_s = self._decide_borrowed(organisation, reply, lender)
        if wait_s is not None:
            reply.set(wait_s)

    def decide_from_share(self, organisation):
        """Apply this node's share of the rate.

        Returns:
            Seconds to wait, 0 or less if the request is within the share.
        """
        members = self._table.count_members()
        with self._lock:
            wait_s = self._limiter.decide_from_share(organisation, members)
            if wait_s <= 0:
                granted = self._granted_alone.get(organisation.name, 0) + 1
                self._granted_alone[organisation.name] = granted
            return wait_s

    def _decide_borrowed(self, organisation, reply, lender):
        """Return the seconds to wait, or None if the reply waits for the lender."""
        now = self._clock.now()
        borrowed = self._get_borrowed(organisation)
        borrower = borrowed.borrower
        borrower.note_request(now)
        granted = borrower.take(now)
        empty_s = borrower.get_empty_s(now)
        silent = borrower.is_lender_silent(now)
        waits = not (granted or empty_s or silent) and (
            len(borrowed.waiting) < MAX_WAITING
        )
        if waits:
            borrowed.waiting.append(reply)
        if borrower.is_due(len(borrowed.waiting) or silent, now):
            if silent:
                lender = self.find_lender(organisation, borrowed.sequence) or lender
            self._borrow(organisation, borrowed, lender, now)
        if granted:
            return 0.0
        if waits:
            return None
        if silent:
            borrowed.waiting.clear()
            return self._decide_alone(organisation, borrower, now)
        return max(empty_s, 0.001)

    def _serve_waiting(self, borrowed, response, now):
        """Return the replies that are decided now, each with its seconds to wait.

        The rest goes on waiting if the lender gave all that it was asked for.
        """
        waiting, borrowed.waiting = borrowed.waiting, []
        decisions = []
        for reply in waiting:
            if borrowed.borrower.take(now):
                decisions.append((reply, 0.0))
            elif response.tokens >= borrowed.want:
                borrowed.waiting.append(reply)
            else:
                decisions.append((reply, max(response.wait_s, 0.001)))
        return decisions

    def _decide_alone(self, organisation, borrower, now):
        own = self._groups.get(self._settings.data_centre, [])
        share = (len(own) + 1) / max(1, self._table.count_members())
        return borrower.take_from_share(organisation.rate * min(1.0, share), now)

    def _borrow(self, organisation, borrowed, lender, now):
        borrower = borrowed.borrower
        borrowed.sequence += 1
        command = PendingLoan(organisation, borrowed.sequence, now)
        borrowed.want = want = borrower.ask(len(borrowed.waiting), now)
        request = LoanRequest(
            self._pending.add(command),
            organisation.name,
            self._boot,
            borrowed.sequence,
            want,
            min(want, len(borrowed.waiting)),
            borrower.count_unspent(now),
            borrower.granted_alone,
        )
        self._send(lender.host, request)

    def _relay_loan_request(self, request, sender, holder):
        command = RelayedLoan(sender, request.correlation_id)
        relayed = LoanRequest(
            self._pending.add(command),
            request.organisation,
            request.borrower,
            request.sequence,
            request.want,
            request.needed,
            request.unspent,
            request.granted_alone,
            True,
        )
        self._send(holder.host, relayed)

    def _find_loan_holder(self, organisation):
        """Return the `Peer` to which a loan request is relayed.

        Returns:
            The `Peer`, or None if this node lends. A node that does not see itself in
            the home data centre relays the request there.
        """
        return self.find_holder(organisation) or self.find_lender(organisation)

    def _charge(self, organisation, request):
        """Charge what the node that asks has granted without an answer before."""
        key = (request.boot, organisation.name)
        with self._lock:
            before = self._charged.get(key)
            if before is None and len(self._charged) >= MAX_CHARGED:
                self._charged.clear()
            self._charged[key] = max(request.granted_alone, before or 0)
            if before is None or request.granted_alone <= before:
                return
            tokens = request.granted_alone - before
            if self.find_lender(organisation) is None:
                self._limiter.charge(organisation, tokens)
            else:
                self._get_borrowed(organisation).borrower.charge(tokens)

    def _ask_holder(self, holder, organisation, reply, alone, relayed=False):
        now = self._clock.now()
        with self._lock:
            asked = self._asked.setdefault(holder.name, AskedNode())
            if asked.unanswered_since is None:
                asked.unanswered_since = now
        command = RateCheck(organisation, reply, holder.name)
        correlation_id = self._pending.add(command)
        request = RateRequest(
            correlation_id,
            organisation.name,
            self._settings.name,
            relayed,
            alone.boot,
            alone.granted,
        )
        self._send(holder.host, request)

    def _respond(self, address, correlation_id, tokens, wait_s):
        self._transport.send(address, LoanResponse(correlation_id, tokens, wait_s))

    def _find_organisation(self, name):
        rulebook = self._document.rulebook
        return rulebook.organisations.get(name) if rulebook else None

    def _get_borrowed(self, organisation):
        borrowed = self._borrowed.get(organisation.name)
        if borrowed is None:
            borrowed = Borrowed(self._clock.now())
            self._borrowed[organisation.name] = borrowed
        return borrowed

    def _update_groups(self):
        """Group the live peers that stay by their data centre."""
        live = self._table.list_live()
        now = self._clock.now()
        if now - self._active_at > MAX_PAUSE_S:
            self._resumed_at = now
            self._limiter.distrust()
        self._active_at = now
        if live is self._live and now - self._grouped_at < GROUP_INTERVAL_S:
            return
        self._live = live
        self._grouped_at = now
        self._groups = {}
        for peer in live:
            # A node that stops hands over its rates before it falls silent.
            if not peer.announcement.leaving:
                self._groups.setdefault(peer.data_centre, []).append(peer)
        self._has_older_nodes = not all(peer.accepts_digests for peer in live)

    def _send(self, host, message):
        self._transport.send((host, self._settings.gossip_port), message)
