"""Token buckets and the assignment of organisations' rates to nodes."""

import hashlib


class Bucket:
    """A token bucket.

    Attributes:
        rate: Tokens per second.
        burst: Capacity in tokens.
        tokens: Tokens at `refilled_at`.
        refilled_at: Clock time of the last refill, in seconds.
        reserved: Tokens that are lent and may still be spent; the bucket holds as many
            less than its capacity.
    """

    __slots__ = ("rate", "burst", "tokens", "refilled_at", "reserved")

    def __init__(self, rate, burst, tokens, now):
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.refilled_at = now
        self.reserved = 0.0

    def set_rate(self, rate, burst, now):
        """Change the rate and burst without adding tokens."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst - self.reserved)

    def refill(self, now):
        """Add the tokens for the time since the last refill."""
        added = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst - self.reserved, self.tokens + added)
        self.refilled_at = now

    def take(self, now):
        """Take a token; return the seconds until one is free, 0 if it was taken."""
        self.refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
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
