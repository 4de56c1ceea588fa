"""Retry tokens of a service, pooled for the nodes of a data centre.

When many backend servers fail at once, unlimited retries would add to the overload.
They are bounded for the whole fleet by a fraction of the requests and a slack in a time
window. In a large fleet one node's part of that is too small for anything, so the nodes
of a data centre share theirs.
"""

from .buckets import Bucket

# Leaves room in the ratio for calls that retried requests make in turn: they count as
# retries of the called service.
RATIO_FACTOR = 0.85
# Parts of the slack: for full pools, and for what is added to them in each window. The
# rest is for pools that begin anew, and for nodes that can't reach theirs.
CAPACITY_FACTOR = 0.25
REFILL_FACTOR = 0.5
INITIAL_FILL = 0.5
# A pool of a small part of the fleet still allows single retries.
MIN_CAPACITY = 1.0
# Processes whose requests are remembered; those that were heard last stay.
MAX_NODES = 10_000


class ServicePool:
    """The retry tokens of one service in one data centre.

    Attributes:
        bucket: The `Bucket`.
        requests: Reported requests by the boot number of the node.
    """

    __slots__ = ("bucket", "requests")

    def __init__(self, bucket):
        self.bucket = bucket
        self.requests = {}


class RetryPool:
    """The pools that one node keeps, by service; not thread-safe."""

    __slots__ = ("_settings", "_clock", "_pools")

    def __init__(self, settings, clock):
        """Create the pools.

        Args:
            settings: The `FleetSettings`, with the bounds of the retries.
            clock: Clock in seconds.
        """
        self._settings = settings
        self._clock = clock
        self._pools = {}

    def take(self, service, share):
        """Take a token; return whether there was one.

        Args:
            service: Name of the service.
            share: Part of the fleet that uses this pool.
        """
        pool = self._get_pool(service, share)
        return pool.bucket.take(self._clock.now()) <= 0.0

    def report(self, service, share, boot, requests):
        """Add the tokens that a node's requests have earned.

        Args:
            service: Name of the service.
            share: Part of the fleet that uses this pool.
            boot: Boot number of the node.
            requests: Requests to the service that it has got since its start.
        """
        pool = self._get_pool(service, share)
        # What a node has got before its first report may have earned tokens elsewhere.
        before = pool.requests.pop(boot, requests)
        earned = max(0, requests - before)
        pool.requests[boot] = max(requests, before)
        while len(pool.requests) > MAX_NODES:
            pool.requests.pop(next(iter(pool.requests)))
        bucket = pool.bucket
        bucket.refill(self._clock.now())
        tokens = bucket.tokens + earned * self._settings.retry_ratio * RATIO_FACTOR
        bucket.tokens = min(bucket.burst, tokens)

    def _get_pool(self, service, share):
        settings, now = self._settings, self._clock.now()
        slack = settings.retry_slack * share
        rate = slack * REFILL_FACTOR / settings.retry_window_s
        capacity = max(MIN_CAPACITY, slack * CAPACITY_FACTOR)
        pool = self._pools.get(service)
        if pool is None:
            initial = max(MIN_CAPACITY, capacity * INITIAL_FILL)
            bucket = Bucket(rate, capacity, initial, now)
            pool = self._pools[service] = ServicePool(bucket)
        elif pool.bucket.rate != rate or pool.bucket.burst != capacity:
            pool.bucket.set_rate(rate, capacity, now)
        return pool
