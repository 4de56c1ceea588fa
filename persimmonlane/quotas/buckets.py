"""Buckets.

Token buckets of organisations' rates, and which node holds which.
"""

import hashlib


class Bucket:
    """A token bucket.

    Attributes:
        rate: Tokens per second.
        burst: Most tokens.
        tokens: Tokens at `filled_at`.
        filled_at: Seconds.
    """

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, rate, burst, tokens, now):
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.filled_at = now

    def set_rate(self, rate, burst, now):
        """Take another rate and burst into force; no tokens are gained by it."""
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def fill(self, now):
        """Add the tokens of the time since the last call."""
        gained = max(0.0, now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now

    def take(self, now):
        """Take one token; return the seconds to wait for it, 0 if it was there."""
        self.fill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate > 0 else float("inf")


def rank_holders(organisation, names):
    """Return node names in the order in which they hold an organisation's rate."""
    return sorted(names, key=lambda name: weigh(organisation, name), reverse=True)


def find_holder(organisation, names):
    """Return the name of the node that holds an organisation's rate."""
    return max(names, key=lambda name: weigh(organisation, name))


def weigh(organisation, name):
    """Return a node's weight for an organisation (rendezvous hashing)."""
    text = f"{organisation}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
