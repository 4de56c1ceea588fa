"""Rate limiter of organisations.

For each organisation one node is the holder of its rate: it keeps the token bucket,
enforces the whole rate and lends to the other data centres. A node that can't reach the
holder enforces a small share of the rate by itself. This limits an organisation that
sends many times its rate, also during network partitions, in which several nodes act as
the holder.
"""

from .buckets import CARRY_S, Bucket, find_holder
from .lending import Lending

# With more nodes missing than this, a holder assumes a network partition and enforces
# only the share of the live nodes.
TOLERATED_MISSING_NODES = 2
# The same as a fraction of the fleet; the lower of both applies. Missing nodes may
# grant their shares by themselves, and 10 % more than the rate is tolerated.
TOLERATED_MISSING_FRACTION = 0.1
# Initial tokens of a new holder, in seconds of the rate. They are few because another
# node may have granted the rate until now.
INITIAL_TOKENS_S = 0.1
# Part of its share of the burst that a node grants while the holder can't be reached:
# the holder may have granted the whole burst just before.
ALONE_BURST_FACTOR = 0.05
# Least burst of a node that grants its share alone; in a large fleet the part above is
# below one token.
MIN_SHARE_BURST = 2.0
# Part of its share that a node grants while the holder can't be reached: the others may
# not have noticed yet, and still grant all of the rate.
ALONE_FACTOR = 0.75
# Until a new holder is found, its rate adds no tokens anywhere. What nodes grant alone
# meanwhile comes out of these, and is reported to the new holder within this time.
UNCHARGED_S = 3.0
MAX_CACHED_HOLDERS = 10_000


class Limiter:
    """Token buckets of the organisations; not thread-safe."""

    __slots__ = (
        "_clock",
        "_own_name",
        "_buckets",
        "_share_buckets",
        "_lendings",
        "_names",
        "_holders",
    )

    def __init__(self, own_name, clock):
        self._clock = clock
        self._own_name = own_name
        self._buckets = {}
        self._share_buckets = {}
        self._lendings = {}
        self._names = []
        self._holders = {}

    def find_holder(self, organisation, live_names):
        """Return the name of the holder of an organisation's rate.

        Args:
            organisation: Name of the organisation.
            live_names: Names of the other live nodes.
        """
        names = [self._own_name, *live_names]
        if names != self._names or len(self._holders) >= MAX_CACHED_HOLDERS:
            self._names = names
            self._holders = {}
        holder = self._holders.get(organisation)
        if holder is None:
            holder = self._holders[organisation] = find_holder(organisation, names)
        return holder

    def decide(self, organisation, live_count, member_count):
        """Decide on a request as the holder of the rate.

        Args:
            organisation: The `Organisation`.
            live_count: Number of live nodes, including this one.
            member_count: Number of nodes in the fleet.

        Returns:
            Seconds to wait; 0 grants the request.
        """
        now = self._clock.now()
        bucket = self._get_bucket(organisation, live_count, member_count, now)
        return bucket.take(now)

    def lend(self, organisation, request, live_count, member_count):
        """Lend tokens of an organisation as the holder of its rate.

        Args:
            organisation: The `Organisation`.
            request: The `LoanRequest` of the borrower.
            live_count: Number of live nodes, including this one.
            member_count: Number of nodes in the fleet.

        Returns:
            The `LoanOffer`, or None if the request is outdated.
        """
        now = self._clock.now()
        bucket = self._get_bucket(organisation, live_count, member_count, now)
        tokens = self._lendings[organisation.name].lend(request, now)
        if tokens is None:
            return None
        return LoanOffer(tokens, 0.0 if tokens else bucket.get_wait_s())

    def charge(self, organisation, tokens):
        """Take the tokens of requests that were granted without the holder.

        Args:
            organisation: The `Organisation`.
            tokens: Number of tokens; the bucket may then owe some.
        """
        bucket = self._buckets.get(organisation.name)
        if bucket is None or bucket.is_idle:
            return
        if self._clock.now() - bucket.held_since >= UNCHARGED_S:
            bucket.tokens -= tokens

    def list_held(self):
        """Return the names of the organisations whose rate this node holds."""
        return [name for name, bucket in self._buckets.items() if not bucket.is_idle]

    def release(self, name):
        """Give up an organisation's rate, which another node holds now.

        The bucket gets no more tokens: that node grants the rate meanwhile.

        Args:
            name: Name of the organisation.

        Returns:
            Number of tokens to hand over; the bucket keeps none.
        """
        return self._buckets[name].suspend(self._clock.now())

    def accept(self, organisation, tokens, live_count, member_count):
        """Add the tokens that another node had as the holder.

        Args:
            organisation: The `Organisation`.
            tokens: Number of tokens.
            live_count: Number of live nodes, including this one.
            member_count: Number of nodes in the fleet.
        """
        now = self._clock.now()
        bucket = self._get_bucket(organisation, live_count, member_count, now)
        bucket.refill(now)
        bucket.add(tokens, now, now + CARRY_S)

    def distrust(self):
        """Keep a few tokens only: another node may have held the rates until now."""
        now = self._clock.now()
        for bucket in self._buckets.values():
            bucket.distrust(compute_initial_tokens(bucket.rate, bucket.burst), now)

    def _get_bucket(self, organisation, live_count, member_count, now):
        share = compute_share(live_count, member_count)
        rate = organisation.rate * share
        burst = max(1.0, organisation.burst * share)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            tokens = compute_initial_tokens(rate, burst)
            bucket = Bucket(rate, burst, tokens, now)
            self._buckets[organisation.name] = bucket
            self._lendings[organisation.name] = Lending(bucket)
        bucket.resume(now)
        self._lendings[organisation.name].refresh(now)
        if bucket.rate != rate or bucket.burst != burst:
            bucket.set_rate(rate, burst, now)
        return bucket

    def decide_from_share(self, organisation, member_count):
        """Decide on a request while the holder can't be reached.

        Args:
            organisation: The `Organisation`.
            member_count: Number of nodes in the fleet.

        Returns:
            Seconds to wait; 0 grants the request.
        """
        now = self._clock.now()
        rate = organisation.rate / member_count * ALONE_FACTOR
        share_burst = organisation.burst / member_count * ALONE_BURST_FACTOR
        burst = max(MIN_SHARE_BURST, share_burst)
        bucket = self._share_buckets.setdefault(
            organisation.name, Bucket(rate, burst, 1.0, now)
        )
        if bucket.rate != rate or bucket.burst != burst:
            bucket.set_rate(rate, burst, now)
        return bucket.take(now)


class LoanOffer:
    """The holder's answer to a `LoanRequest`.

    Attributes:
        tokens: Number of tokens that it lends.
        wait_s: If there are none, seconds until it has one.
    """

    __slots__ = ("tokens", "wait_s")

    def __init__(self, tokens, wait_s):
        self.tokens = tokens
        self.wait_s = wait_s


def compute_initial_tokens(rate, burst):
    """Return the tokens of a bucket whose holder doesn't know what was granted before.

    Args:
        rate: Tokens per second.
        burst: Capacity in tokens.
    """
    return min(burst, rate * INITIAL_TOKENS_S + 1.0)


def compute_share(live_count, member_count):
    """Return the share of a rate that the nodes which see each other may grant.

    Args:
        live_count: Number of live nodes, including this one.
        member_count: Number of nodes in the fleet.
    """
    missing = member_count - live_count
    if missing > min(
        TOLERATED_MISSING_NODES, member_count * TOLERATED_MISSING_FRACTION
    ):
        return live_count / member_count
    return 1.0
