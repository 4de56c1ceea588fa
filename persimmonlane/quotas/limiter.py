"""Limiter.

Decides on requests of organisations: exactly where this node holds the rate, by a
small share of its own where the holder can't be asked. Answers one organisation that
sends many times its rate, and cuts that leave several holders.
"""

from .buckets import Bucket, find_holder

# Nodes that may be missing before a holder takes itself for cut off.
TOLERATED_LOSS = 2
# Tokens with which a new holder begins, in seconds of the rate: another may have
# held the rate until now.
FIRST_TOKENS_S = 0.2
# A share of the rate is too small for a burst of its own.
LEAST_SHARE_BURST = 2.0
MOST_HOLDERS = 10_000


class Limiter:
    """Buckets of the organisations; not thread-safe."""

    __slots__ = ("_clock", "_own_name", "_held", "_shares", "_names", "_holders")

    def __init__(self, own_name, clock):
        self._clock = clock
        self._own_name = own_name
        self._held = {}
        self._shares = {}
        self._names = []
        self._holders = {}

    def find_holder(self, organisation, live_names):
        """Return the name of the node that holds an organisation's rate."""
        names = [self._own_name, *live_names]
        if names != self._names or len(self._holders) >= MOST_HOLDERS:
            self._names = names
            self._holders = {}
        holder = self._holders.get(organisation)
        if holder is None:
            holder = self._holders[organisation] = find_holder(organisation, names)
        return holder

    def decide(self, organisation, live, members):
        """Decide on a request as the holder of the rate.

        Args:
            organisation: The `Organisation`.
            live: Number of live nodes, this one included.
            members: Number of nodes that belong to the fleet.

        Returns:
            Seconds to wait; 0 grants the request.
        """
        now = self._clock.now()
        share = live / members if live + TOLERATED_LOSS < members else 1.0
        rate = organisation.rate * share
        burst = max(1.0, organisation.burst * share)
        first = min(burst, rate * FIRST_TOKENS_S + 1.0)
        fresh = Bucket(rate, burst, first, now)
        return take_token(self._held, organisation.name, fresh, now)

    def decide_from_share(self, organisation, members):
        """Decide on a request while the holder can't be asked.

        Args:
            organisation: The `Organisation`.
            members: Number of nodes that belong to the fleet.

        Returns:
            Seconds to wait; 0 grants the request.
        """
        now = self._clock.now()
        rate = organisation.rate / members
        burst = max(LEAST_SHARE_BURST, organisation.burst / members)
        fresh = Bucket(rate, burst, 1.0, now)
        return take_token(self._shares, organisation.name, fresh, now)


def take_token(buckets, name, fresh, now):
    """Take a token; return the seconds to wait for it, 0 if it was there.

    Args:
        buckets: Buckets by organisation.
        name: Name of the organisation.
        fresh: The `Bucket` that stands if there is none yet; one that exists takes its
            rate and burst.
        now: Seconds.
    """
    bucket = buckets.setdefault(name, fresh)
    if bucket.rate != fresh.rate or bucket.burst != fresh.burst:
        bucket.set_rate(fresh.rate, fresh.burst, now)
    return bucket.take(now)
