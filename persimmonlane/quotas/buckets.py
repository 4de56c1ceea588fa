"""Token buckets and the assignment of organisations' rates to nodes."""

import hashlib

# A node that has just started holds a part of the rate until it has heard of the
# others. For this long it keeps the tokens that are handed over beyond its capacity.
CARRY_S = 1.5


class Bucket:
    """A token bucket.

    Attributes:
        rate: Tokens per second.
        burst: Capacity in tokens.
        tokens: Tokens at `refilled_at`.
        refilled_at: Clock time of the last refill, in seconds.
        reserved: Tokens that are lent and may still be spent; the bucket holds as many
            less than its capacity.
        is_idle: Whether it gets no tokens, as another node holds the rate.
        held_since: Clock time, in seconds, since which this node holds the rate.
        spent: Tokens granted or lent since then.
        carried: Tokens that were handed over beyond the capacity.
        carried_until: Clock time, in seconds, until which they may be added.
    """

    __slots__ = (
        "rate",
        "burst",
        "tokens",
        "refilled_at",
        "reserved",
        "is_idle",
        "held_since",
        "spent",
        "carried",
        "carried_until",
    )

    def __init__(self, rate, burst, tokens, now):
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.refilled_at = now
        self.reserved = 0.0
        self.is_idle = False
        self.held_since = now
        self.spent = 0
        self.carried = 0.0
        self.carried_until = now

    def set_rate(self, rate, burst, now):
        """Change the rate and burst without adding tokens."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst - self.reserved)
        if self.carried and now < self.carried_until:
            self.add(self.carried, now, self.carried_until)

    def add(self, tokens, now, carried_until):
        """Add tokens that were handed over, as if they had been here from the start.

        What was spent before they came counts against the capacity, too.

        Args:
            tokens: Number of tokens.
            now: Clock time in seconds.
            carried_until: Clock time, in seconds, until which those that exceed the
                capacity are added once it grows.
        """
        gained = (now - self.held_since) * self.rate - self.spent
        space = self.burst - self.reserved - self.tokens + min(0.0, gained)
        added = max(0.0, min(tokens, space))
        self.tokens += added
        self.carried = tokens - added
        self.carried_until = carried_until

    def refill(self, now):
        """Add the tokens for the time since the last refill."""
        added = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst - self.reserved, self.tokens + added)
        self.refilled_at = now

    def suspend(self, now):
        """Stop refilling, and remove and return the whole tokens."""
        self.refill(now)
        self.is_idle = True
        self.carried = 0.0
        tokens = max(0, int(self.tokens))
        self.tokens -= tokens
        return tokens

    def resume(self, now):
        """Refill from now on; the time since `suspend` adds no tokens."""
        if self.is_idle:
            self.is_idle = False
            self.refilled_at = self.held_since = now
            self.spent = 0

    def distrust(self, tokens, now):
        """Add nothing for the time since the last refill, and keep some tokens only.

        Args:
            tokens: Number of tokens that are kept at most.
            now: Clock time in seconds.
        """
        self.refilled_at = now
        self.tokens = min(self.tokens, tokens)

    def take(self, now):
        """Take a token; return the seconds until one is free, 0 if it was taken."""
        self.refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self.spent += 1
            return 0.0
        return self.get_wait_s()

    def get_wait_s(self):
        """Return the seconds until a token is free, as of the last refill."""
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate > 0 else float("inf")


def rank_holders(organisation, names):
    """Return node names by preference as holder of an organisation's rate."""
    return sorted(
        names, key=lambda name: compute_weight(organisation, name), reverse=True
    )


def find_holder(organisation, names):
    """Return the name of the holder of an organisation's rate."""
    return max(names, key=lambda name: compute_weight(organisation, name))


def compute_weight(organisation, name):
    """Return a node's weight for an organisation (rendezvous hashing)."""
    text = f"{organisation}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
