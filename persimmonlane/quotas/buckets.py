"""Token buckets and the assignment of organisations' rates to nodes."""

import hashlib


class Bucket:
    """A token bucket.

    Attributes:
        rate: Tokens per second.
        burst: Capacity in tokens.
        tokens: Tokens at `refilled_at`.
        refilled_at: Clock time of the last refill, in seconds.
    """

    __slots__ = ("rate", "burst", "tokens", "refilled_at")

    def __init__(self, rate, burst, tokens, now):
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.refilled_at = now

    def set_rate(self, rate, burst, now):
        """Change the rate and burst without adding tokens."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now):
        """Add the tokens for the time since the last refill."""
        added = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + added)
        self.refilled_at = now

    def take(self, now):
        """Take a token; return the seconds until one is free, 0 if it was taken."""
        self.refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
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
