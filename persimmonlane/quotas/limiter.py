"""Rate limiter of organisations.

For each organisation one node is the holder of its rate: it keeps the token bucket and
enforces the whole rate. A node that can't reach the holder enforces a small share of
the rate by itself. This limits an organisation that sends many times its rate, also
during network partitions, in which several nodes act as the holder.
"""

from .buckets import Bucket, find_holder

# With more nodes missing than this, a holder assumes a network partition and enforces
# only the share of the live nodes.
TOLERATED_MISSING_NODES = 2
# Initial tokens of a new holder, in seconds of the rate. They are few because another
# node may have granted the rate until now.
INITIAL_TOKENS_S = 0.2
# A node's share of the burst alone would be too small.
MIN_SHARE_BURST = 2.0
MAX_CACHED_HOLDERS = 10_000


class Limiter:
    """Token buckets of the organisations; not thread-safe."""

    __slots__ = (
        "_clock",
        "_own_name",
        "_buckets",
        "_share_buckets",
        "_names",
        "_holders",
    )

    def __init__(self, own_name, clock):
        self._clock = clock
        self._own_name = own_name
        self._buckets = {}
        self._share_buckets = {}
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
        share = (
            live_count / member_count
            if live_count + TOLERATED_MISSING_NODES < member_count
            else 1.0
        )
        rate = organisation.rate * share
        burst = max(1.0, organisation.burst * share)
        initial_tokens = min(burst, rate * INITIAL_TOKENS_S + 1.0)
        new_bucket = Bucket(rate, burst, initial_tokens, now)
        return take_token(self._buckets, organisation.name, new_bucket, now)

    def decide_from_share(self, organisation, member_count):
        """Decide on a request while the holder can't be reached.

        Args:
            organisation: The `Organisation`.
            member_count: Number of nodes in the fleet.

        Returns:
            Seconds to wait; 0 grants the request.
        """
        now = self._clock.now()
        rate = organisation.rate / member_count
        burst = max(MIN_SHARE_BURST, organisation.burst / member_count)
        new_bucket = Bucket(rate, burst, 1.0, now)
        return take_token(self._share_buckets, organisation.name, new_bucket, now)


def take_token(buckets, name, new_bucket, now):
    """Take a token; return the seconds until one is free, 0 if it was taken.

    Args:
        buckets: Buckets by name of the organisation.
        name: Name of the organisation.
        new_bucket: The `Bucket` to add if there is none; an existing bucket is given
            its rate and burst.
        now: Clock time in seconds.
    """
    bucket = buckets.setdefault(name, new_bucket)
    if bucket.rate != new_bucket.rate or bucket.burst != new_bucket.burst:
        bucket.set_rate(new_bucket.rate, new_bucket.burst, now)
    return bucket.take(now)
