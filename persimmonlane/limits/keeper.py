"""Keeper.

Claims, keeps and gives up the leases of shards, also while the store is away.

A holder names two successors in its lease. While both promise again and again
not to claim, it needs no store; a successor claims once its promise has run out.
A process that has just started counts as having promised.
"""

import logging

from ..errors import InputError
from .lease import (
    COUNT_KEY,
    AskPromise,
    Lease,
    Member,
    ReadKey,
    ShardEpoch,
    WriteKey,
    decode_lease,
    encode_lease,
    get_key,
)
from .policy import (
    LONG_LEASE_S,
    PROMISE_ASK_S,
    PROMISE_S,
    READ_S,
    RENEW_S,
    RETRY_S,
    SILENCE_S,
    STORE_LEASE_S,
    SUCCESSORS,
    TOUCH_S,
    WANT_S,
    lengthen,
    rank_names,
)
from .tenure import Draft, Tenure

log = logging.getLogger("persimmonlane.limits")

NEVER = float("-inf")


class Sighting:
    """What a node knows of a shard's lease in the store.

    Attributes:
        lease: The lease as last read, or None.
        version: Its version; 0 means that there is none, None that it is unknown.
        since: Monotonic seconds at which this version was first read.
        read_at: Monotonic seconds at which the last read was asked.
        reading: Whether a read is under way.
        wanted_until: Until then the node would claim the shard.
        claim: The `Draft` of a claim whose outcome is open, or None.
        claiming: Whether the claim's write is under way.
    """

    __slots__ = (
        "lease",
        "version",
        "since",
        "read_at",
        "reading",
        "wanted_until",
        "claim",
        "claiming",
    )

    def __init__(self):
        self.lease = None
        self.version = None
        self.since = 0.0
        self.read_at = NEVER
        self.reading = False
        self.wanted_until = NEVER
        self.claim = None
        self.claiming = False


class Keeper:
    """Keeps the leases of one node and tells its holder what it may lend.

    Attributes:
        member: This node.
        tenures: Shards held, by number.
        sightings: What is known of shards, by number.
        draining: Whether the node gives up its shards and claims no more.
    """

    __slots__ = (
        "member",
        "tenures",
        "sightings",
        "draining",
        "_incarnation",
        "_clock",
        "_holder",
        "_longest_loan_s",
        "_promised",
        "_booted_at",
        "_asked_at",
        "_peers",
        "_steps",
        "_pinned",
        "_counting",
        "_count_asked_at",
    )

    def __init__(self, member, incarnation, clock, holder):
        self.member = member
        self.tenures = {}
        self.sightings = {}
        self.draining = False
        self._incarnation = incarnation
        self._clock = clock
        self._holder = holder
        self._longest_loan_s = 0.0
        self._promised = {}
        self._booted_at = clock.now()
        self._asked_at = NEVER
        self._peers = {}
        self._steps = []
        self._pinned = False
        self._counting = False
        self._count_asked_at = NEVER

    @property
    def name(self):
        """The name of this node."""
        return self.member.name

    def set_loan(self, loan_s):
        """Take the document's duration of loans into use."""
        self._longest_loan_s = max(self._longest_loan_s, loan_s)

    def take_steps(self):
        """Return the steps that the shell must take now."""
        steps, self._steps = self._steps, []
        return steps

    def want(self, shard):
        """Note that somebody asks this node for a shard."""
        sighting = self._sight(shard)
        sighting.wanted_until = self._clock.now() + WANT_S
        self._read(shard, sighting)

    def find_lease(self, shard):
        """Return the lease of a shard as far as it is known, or None."""
        tenure = self.tenures.get(shard)
        if tenure is not None:
            return tenure.lease
        sighting = self.sightings.get(shard)
        return sighting.lease if sighting else None

    def tick(self, peers):
        """Do what is due.

        Args:
            peers: The other nodes, as `Peer` records.
        """
        self._peers = {peer.name: peer for peer in peers}
        now = self._clock.now()
        if not self._pinned:
            self._read_count(now)
        for shard, sighting in list(self.sightings.items()):
            self._watch(shard, sighting, now)
        for tenure in list(self.tenures.values()):
            self._keep(tenure, now)
        if now >= self._asked_at + PROMISE_ASK_S:
            self._ask_promises(now)
        self._sync()

    def drain(self):
        """Give up all shards; claim no more."""
        self.draining = True
        now = self._clock.now()
        for tenure in self.tenures.values():
            tenure.releasing = True
            if not tenure.writing:
                self._release(tenure, now)
        self._sync()

    def promise(self, shards):
        """Promise not to claim shards for `PROMISE_S`.

        Args:
            shards: Shards and epochs of the holder that asks, as `ShardEpoch`.

        Returns:
            Those that are promised, as a tuple of `ShardEpoch`.
        """
        return tuple(one for one in shards if self._promise_one(one))

    def record_promises(self, name, incarnation, shards, sent_at):
        """Record what a node has promised.

        Args:
            name: Name of the node.
            incarnation: Tells the node's process from those before it.
            shards: What it promised, as `ShardEpoch`.
            sent_at: Monotonic seconds before it was asked.
        """
        now = self._clock.now()
        for one in shards:
            tenure = self.tenures.get(one.shard)
            if tenure is not None and tenure.lease.epoch == one.epoch:
                tenure.record_promise(name, incarnation, sent_at, now)
                self._keep(tenure, now)
        self._sync()

    def record_read(self, entry):
        """Record a key that was read."""
        if entry.key == COUNT_KEY:
            self._record_count(entry)
            return
        shard = parse_shard(entry.key)
        sighting = self._sight(shard)
        sighting.reading = False
        if shard in self.tenures:
            return
        self._see(sighting, entry)
        self._claim(shard, sighting)
        self._forget_promise(shard, sighting)

    def record_failed_read(self, key):
        """Record that a read failed."""
        if key == COUNT_KEY:
            self._counting = False
        else:
            self._sight(parse_shard(key)).reading = False

    def record_write(self, entry):
        """Record that a write was taken."""
        if entry.key == COUNT_KEY:
            self._record_count(entry)
            return
        self._settle(parse_shard(entry.key), entry)

    def record_conflict(self, entry):
        """Record that a write found another version, given with its entry."""
        self.record_write(entry)

    def record_failed_write(self, key):
        """Record that a write failed, or that its answer was lost."""
        if key == COUNT_KEY:
            self._counting = False
            return
        shard = parse_shard(key)
        tenure = self.tenures.get(shard)
        if tenure is not None:
            tenure.fail_write()
        self._sight(shard).claiming = False

    def _sight(self, shard):
        return self.sightings.setdefault(shard, Sighting())

    def _sync(self):
        """Tell the holder until when it may lend each shard."""
        for shard, tenure in self.tenures.items():
            self._holder.extend(shard, tenure.find_deadline(), tenure.longest_loan_s)

    # The number of shards.

    def _read_count(self, now):
        if self._counting or now < self._count_asked_at + READ_S:
            return
        self._counting = True
        self._count_asked_at = now
        self._steps.append(ReadKey(COUNT_KEY))

    def _record_count(self, entry):
        """Take over the number of shards in force, or put the document's there."""
        self._counting = False
        if entry.version:
            self._pinned = True
            self._holder.pin_shards(int(entry.value))
        elif self._holder.shard_count is not None:
            self._counting = True
            value = str(self._holder.shard_count).encode()
            self._steps.append(WriteKey(COUNT_KEY, value, 0))

    # Promises to other holders.

    def _promise_one(self, one):
        sighting = self._sight(one.shard)
        if self.draining or one.shard in self.tenures or sighting.claim is not None:
            return False
        if sighting.lease is not None and sighting.lease.epoch > one.epoch:
            return False
        until = self._clock.now() + lengthen(PROMISE_S)
        self._promised[one.shard] = max(until, self._promised.get(one.shard, NEVER))
        return True

    def _has_promised(self, shard, now):
        booted = self._booted_at + lengthen(PROMISE_S)
        return now < max(booted, self._promised.get(shard, NEVER))

    def _forget_promise(self, shard, sighting):
        """Stop watching a shard that others are to claim."""
        lease = sighting.lease
        named = lease is not None and lease.names_successor(self.name)
        if not named and not self._has_promised(shard, self._clock.now()):
            self._promised.pop(shard, None)

    # Claims.

    def _watch(self, shard, sighting, now):
        """Read a shard's lease while it may have to be claimed."""
        if shard in self.tenures or self.draining:
            return
        if sighting.claim is not None:
            self._retry_claim(shard, sighting, now)
            return
        silent = shard in self._promised and not self._has_promised(shard, now)
        if silent or now < sighting.wanted_until:
            self._read(shard, sighting)

    def _read(self, shard, sighting):
        now = self._clock.now()
        if sighting.reading or now < sighting.read_at + READ_S:
            return
        if shard in self.tenures or sighting.claim is not None:
            return
        sighting.reading = True
        sighting.read_at = now
        self._steps.append(ReadKey(get_key(shard)))

    def _see(self, sighting, entry):
        if entry.version == sighting.version:
            return
        if sighting.version is not None and entry.version < sighting.version:
            return
        sighting.version = entry.version
        sighting.since = self._clock.now()
        sighting.lease = read_lease(entry)

    def _claim(self, shard, sighting):
        now = self._clock.now()
        if self.draining or not self._pinned or sighting.claim is not None:
            return
        if not self._may_claim(shard, sighting, now):
            return
        epoch = sighting.lease.epoch + 1 if sighting.lease else 1
        lease = Lease(
            epoch,
            self.member,
            self._incarnation,
            longest_loan_s=self._longest_loan_s,
        )
        sighting.claim = Draft(lease, now)
        self._write_claim(shard, sighting)

    def _may_claim(self, shard, sighting, now):
        """Return whether nobody else can have the right to lend a shard."""
        lease = sighting.lease
        if sighting.version is None or sighting.version > 0 and lease is None:
            return False
        wanted = now < sighting.wanted_until
        if lease is None or lease.released:
            return wanted or lease is not None and lease.names_successor(self.name)
        unchanged_s = now - sighting.since
        if unchanged_s >= lengthen(LONG_LEASE_S):
            return True
        if not lease.successors:
            return unchanged_s >= lengthen(STORE_LEASE_S)
        return lease.names_successor(self.name) and not self._has_promised(shard, now)

    def _write_claim(self, shard, sighting):
        sighting.claiming = True
        value = encode_lease(sighting.claim.lease)
        self._steps.append(WriteKey(get_key(shard), value, sighting.version))

    def _retry_claim(self, shard, sighting, now):
        # An open claim is written again until the store says how it ended.
        if not sighting.claiming and now >= sighting.read_at + RETRY_S:
            sighting.read_at = now
            self._write_claim(shard, sighting)

    # What the store says of a write.

    def _settle(self, shard, entry):
        lease = read_lease(entry)
        mine = lease is not None and lease.incarnation == self._incarnation
        tenure = self.tenures.get(shard)
        if tenure is not None:
            self._settle_tenure(tenure, entry, lease if mine else None)
        else:
            self._settle_claim(shard, entry, lease if mine else None)

    def _settle_tenure(self, tenure, entry, lease):
        if lease is None or lease.epoch != tenure.lease.epoch or lease.released:
            self._drop(tenure.shard, entry)
            return
        tenure.confirm(entry.version, lease)
        if tenure.releasing:
            self._release(tenure, self._clock.now())
        self._sync()

    def _settle_claim(self, shard, entry, lease):
        sighting = self._sight(shard)
        claim, sighting.claim = sighting.claim, None
        sighting.claiming = False
        first = sighting.version == 0
        previous = sighting.lease
        self._see(sighting, entry)
        if claim is None or lease is None or lease.epoch != claim.lease.epoch:
            return
        tenure = Tenure(shard, entry.version, Draft(lease, claim.sent_at))
        self.tenures[shard] = tenure
        longest_loan_s = self._longest_loan_s
        if previous is not None:
            longest_loan_s = max(longest_loan_s, previous.longest_loan_s)
        self._holder.take(
            shard,
            lease.epoch,
            tenure.find_deadline(),
            first=first,
            longest_loan_s=longest_loan_s,
        )
        log.info("Limits: took shard %s at epoch %s.", shard, lease.epoch)
        if self.draining:
            tenure.releasing = True
            self._release(tenure, self._clock.now())
        else:
            self._ask_candidates(tenure, self._clock.now())

    def _drop(self, shard, entry):
        tenure = self.tenures.pop(shard)
        self._holder.drop(shard)
        self._see(self._sight(shard), entry)
        log.info("Limits: lost shard %s at epoch %s.", shard, tenure.lease.epoch)

    # Keeping what is held.

    def _keep(self, tenure, now):
        """Write a shard's lease if it is due."""
        if tenure.writing:
            return
        if tenure.doubtful and now < tenure.written_at + tenure.retry_s:
            return
        if tenure.releasing:
            self._release(tenure, now)
            return
        successors = self._choose_successors(tenure, now)
        changed = (
            successors != tenure.lease.successors
            or tenure.lease.longest_loan_s < self._longest_loan_s
        )
        if changed or tenure.doubtful or now >= self._find_renewal(tenure, now):
            self._write(tenure, now, successors=successors)

    def _find_renewal(self, tenure, now):
        if now >= tenure.find_deadline():
            return tenure.written_at + tenure.retry_s
        if not tenure.lease.successors:
            return tenure.written_at + RENEW_S
        return tenure.written_at + TOUCH_S

    def _write(self, tenure, now, **changes):
        lease = tenure.lease
        fields = {
            "successors": lease.successors,
            "released": lease.released,
            "touched": lease.touched + 1,
            "longest_loan_s": max(lease.longest_loan_s, self._longest_loan_s),
        }
        fields.update(changes)
        lease = Lease(lease.epoch, self.member, self._incarnation, **fields)
        tenure.begin_write(lease, now)
        key = get_key(tenure.shard)
        self._steps.append(WriteKey(key, encode_lease(lease), tenure.version))

    def _release(self, tenure, now):
        self._write(tenure, now, released=True)

    def _choose_successors(self, tenure, now):
        """Return the successors that the lease should name.

        Those of the lease stay while they promise; a missing one is replaced by a
        candidate that has already promised.
        """
        kept = [
            one
            for one in tenure.lease.successors
            if tenure.heard_within(one.name, SILENCE_S, now)
        ]
        names = {one.name for one in kept}
        for candidate in self._list_candidates(tenure):
            if len(kept) >= SUCCESSORS:
                break
            heard = tenure.heard_within(candidate.name, SILENCE_S, now)
            if heard and candidate.name not in names:
                kept.append(candidate)
        return tuple(kept)

    def _list_candidates(self, tenure):
        """Return nodes that could be successors, other data centres first."""
        ranked = rank_names(tenure.shard, self._peers)
        seen, first, later = set(), [], []
        for name in ranked:
            peer = self._peers[name]
            fresh = peer.data_centre not in seen
            seen.add(peer.data_centre)
            (first if fresh else later).append(Member(name, peer.rpc))
        return (first + later)[: SUCCESSORS + 1]

    def _ask_promises(self, now):
        """Ask all successors and candidates, one message for each node."""
        self._asked_at = now
        asked = {}
        for tenure in self.tenures.values():
            if not tenure.releasing:
                for member in self._list_asked(tenure, now):
                    one = ShardEpoch(tenure.shard, tenure.lease.epoch)
                    asked.setdefault(member, []).append(one)
        for member, shards in asked.items():
            self._steps.append(AskPromise(member, tuple(shards), now))

    def _ask_candidates(self, tenure, now):
        one = ShardEpoch(tenure.shard, tenure.lease.epoch)
        for member in self._list_asked(tenure, now):
            self._steps.append(AskPromise(member, (one,), now))

    def _list_asked(self, tenure, now):
        members = tenure.list_members()
        steady = len(self._choose_successors(tenure, now)) >= SUCCESSORS
        if not steady or not tenure.lease.successors:
            for candidate in self._list_candidates(tenure):
                members.setdefault(candidate.name, candidate)
        return members.values()


def parse_shard(key):
    """Return the number of the shard whose lease has a key."""
    return int(key.rpartition("/")[2])


def read_lease(entry):
    """Return the lease in an entry, or None if there is none that makes sense."""
    if not entry.version:
        return None
    try:
        return decode_lease(entry.value)
    except InputError:
        log.error("Limits: the lease under %s makes no sense.", entry.key)
        return None
