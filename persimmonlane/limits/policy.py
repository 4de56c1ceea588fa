"""Limits policy.

The constants and the small computations that borrowers and holders share.
"""

import hashlib
import math

DRIFT = 0.001
EXCHANGES_PER_LOAN = 4
URGENT_S = 0.02
LOOKAHEAD_S = 0.05
ANSWER_S = 0.2
IDLE_S = 1.5
TOKEN_LOAN_S = 0.5
SCARCE_FACTOR = 1.2
SCARCE_S = 0.1
HEADROOM = 1.2
SPREAD = 2.0
WEIGHT_OF_LATEST = 0.5
EPSILON = 1e-6


def find_shard(organisation, shards):
    """Return the number of the shard of an organisation."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def rank_names(shard, names):
    """Return names in the order in which they should hold a shard."""

    def weigh(name):
        text = f"{shard}/{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=weigh)


def lengthen(seconds):
    """Return a duration that outlasts `seconds` on any clock within `DRIFT`."""
    return seconds * (1 + DRIFT) / (1 - DRIFT)


def limit_rate(rate):
    """Return the rate that may be lent so that fast clocks stay within `rate`."""
    return rate * (1 - DRIFT)


def compute_reserve(demand, horizon_s):
    """Return the tokens that cover the variation of demand over a horizon."""
    return 1.0 + SPREAD * math.sqrt(demand * horizon_s)
