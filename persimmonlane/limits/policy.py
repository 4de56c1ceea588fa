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
SCARCE_FACTOR = 1.2
SCARCE_S = 0.1
EXCESS = 1.5
SILENT_REQUESTS = 5.0
SWEEP_S = 0.05
FETCH_S = 0.2
BUSY_DEMAND = 20.0
EMPTY_S = 0.1
SPREAD = 2.0
SPARE_LENT = 0.7
POOL_SHARE = 0.25
EMPTY_SHARE = 0.3
MIN_STANDING = 2.0
MIN_DEMAND = 2.0
PRIOR_DEMAND = 0.5
PRIOR_NODES = 4
FACTORS = (1.1, 1.0, 0.8, 0.6, 0.4, 0.2)
ROOM_SHARE = 0.2
WEIGHT_OF_LATEST = 0.25
STEP_DEVIATIONS = 3.0
STEP_REQUESTS = 1.0
STEADY_SHARE = 0.3
EPSILON = 1e-6

SUCCESSORS = 2
PROMISE_S = 1.2
PROMISE_ASK_S = 0.3
SILENCE_S = 0.8
STORE_LEASE_S = 3.0
LONG_LEASE_S = 4 * 3600.0
RENEW_S = 1.0
TOUCH_S = 60.0
RETRY_S = 0.3
MAX_RETRY_S = 5.0
READ_S = 0.25
WANT_S = 2.0
SUSPECT_S = 2.0
RELAY_S = 0.12
MISSED_S = 0.06
MAX_DOUBLINGS = 3
HOPS = 3
HOPS_AFTER_FAILURE = 2


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


def compute_full_share(load, cap):
    """Return the share of time that a bucket is full.

    Args:
        load: Rate of the bucket over the rate of its requests, which come at
            random.
        cap: Tokens that the bucket can hold.
    """
    if abs(load - 1.0) < EPSILON:
        return 1.0 / (cap + 1.0)
    power = load**cap
    return (1.0 - load) * power / (1.0 - power * load)


def smooth_demand(demand, latest, elapsed_s):
    """Return the demand after another measurement over some seconds.

    A measurement beyond what chance explains is a step and counts in full.
    """
    if is_step(demand, latest, elapsed_s):
        return latest
    return demand + WEIGHT_OF_LATEST * (latest - demand)


def is_step(demand, latest, elapsed_s):
    """Return whether a measurement is beyond what chance explains."""
    deviation = math.sqrt(demand / elapsed_s) + STEP_REQUESTS / elapsed_s
    return abs(latest - demand) > STEP_DEVIATIONS * deviation


def is_scarce(demand, rate):
    """Return whether demand is beyond a rate by more than chance explains."""
    return demand > SCARCE_FACTOR * rate + STEP_DEVIATIONS * math.sqrt(rate)


def is_silent(demand, seconds):
    """Return whether a time without requests is too long for a demand."""
    return demand * seconds > SILENT_REQUESTS
