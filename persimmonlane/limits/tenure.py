"""Tenure.

A holder's hold on one shard: what the store may say of it, and until when the
holder may lend.
"""

from .policy import LONG_LEASE_S, MAX_RETRY_S, PROMISE_S, RETRY_S, STORE_LEASE_S

NEVER = float("-inf")


class Draft:
    """A form of the lease that the store may hold.

    Attributes:
        lease: The `Lease`.
        sent_at: Monotonic seconds before the write was first sent.
    """

    __slots__ = ("lease", "sent_at")

    def __init__(self, lease, sent_at):
        self.lease = lease
        self.sent_at = sent_at


class Promise:
    """What a node has promised.

    Attributes:
        incarnation: Tells the node's process from those before it.
        sent_at: Monotonic seconds before the latest promise was asked.
        since: Monotonic seconds from which the promises have no gap in which
            the node could have claimed the shard unknown to itself.
    """

    __slots__ = ("incarnation", "sent_at", "since")

    def __init__(self, incarnation, sent_at, since):
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.since = since

    @property
    def until(self):
        """Monotonic seconds until which the node won't claim the shard."""
        return self.sent_at + PROMISE_S


class Tenure:
    """A holder's hold on one shard.

    Attributes:
        shard: Number of the shard.
        version: Version of the lease in the store as last confirmed.
        confirmed: The `Draft` last confirmed by the store.
        doubtful: Drafts that the store may have taken since.
        writing: Whether a write is under way.
        promises: The `Promise` of each node that gave one, by name.
        written_at: Monotonic seconds before the last write was sent.
        retry_s: Seconds to wait before a failed write is sent again.
        releasing: Whether the shard is being given up.
    """

    __slots__ = (
        "shard",
        "version",
        "confirmed",
        "doubtful",
        "writing",
        "promises",
        "written_at",
        "retry_s",
        "releasing",
    )

    def __init__(self, shard, version, draft):
        self.shard = shard
        self.version = version
        self.confirmed = draft
        self.doubtful = []
        self.writing = False
        self.promises = {}
        self.written_at = draft.sent_at
        self.retry_s = RETRY_S
        self.releasing = False

    @property
    def lease(self):
        """The lease as last confirmed."""
        return self.confirmed.lease

    @property
    def longest_loan_s(self):
        """The longest loan that the store knows of in every form."""
        drafts = [self.confirmed, *self.doubtful]
        return min(draft.lease.longest_loan_s for draft in drafts)

    def find_deadline(self):
        """Return the monotonic seconds at which the right to lend ends.

        It must hold under each form of the lease that the store may have.
        """
        if self.releasing:
            return NEVER
        drafts = [self.confirmed, *self.doubtful]
        end = min(self._find_end(draft) for draft in drafts)
        return min(end, self.confirmed.sent_at + LONG_LEASE_S)

    def _find_end(self, draft):
        if not draft.lease.successors:
            return draft.sent_at + STORE_LEASE_S
        return min(
            self._find_promised(member, draft.sent_at)
            for member in draft.lease.successors
        )

    def _find_promised(self, member, sent_at):
        """Return until when a node won't claim, if that held when writing."""
        promise = self.promises.get(member.name)
        if promise is None or promise.since > sent_at:
            return NEVER
        return promise.until

    def record_promise(self, name, incarnation, sent_at, now):
        """Record a node's promise.

        A gap counts only if the process changed within it: a process that still
        runs remembers its claims and would have refused.
        """
        promise = self.promises.get(name)
        if promise is None:
            self.promises[name] = Promise(incarnation, sent_at, now)
            return
        if now >= promise.until and incarnation != promise.incarnation:
            promise.since = now
        promise.incarnation = incarnation
        promise.sent_at = max(promise.sent_at, sent_at)

    def heard_within(self, name, seconds, now):
        """Return whether a node promised within the last seconds."""
        promise = self.promises.get(name)
        return promise is not None and now < promise.sent_at + seconds

    def list_members(self):
        """Return the successors that any form of the lease names, by name."""
        drafts = [self.confirmed, *self.doubtful]
        return {one.name: one for draft in drafts for one in draft.lease.successors}

    def begin_write(self, lease, now):
        """Note that a form of the lease is being written."""
        self.writing = True
        self.written_at = now
        if all(draft.lease != lease for draft in self.doubtful):
            self.doubtful.append(Draft(lease, now))

    def fail_write(self):
        """Note that the outcome of the last write isn't known."""
        self.writing = False
        self.retry_s = min(self.retry_s * 2, MAX_RETRY_S)

    def confirm(self, version, lease):
        """Note that the store holds a form of the lease for sure."""
        # Which of several equal writes landed isn't known: the earliest counts.
        matching = [draft for draft in self.doubtful if draft.lease == lease]
        if matching:
            self.confirmed = matching[0]
        self.version = version
        self.doubtful = []
        self.writing = False
        self.retry_s = RETRY_S
