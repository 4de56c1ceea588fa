"""Metrics.

Counters, gauges and timings sent to statsd by UDP, so that a dead statsd server
neither blocks nor fails the sender.
"""

import statsd

from .. import invariants
from ..settings import split_address


class NoMetrics:
    """Metrics of a process that has no statsd address."""

    __slots__ = ()

    def count(self, name, number=1):
        """Add a number to a counter."""

    def gauge(self, name, value):
        """Set a gauge."""

    def time(self, name, seconds):
        """Add a timing in seconds."""


class StatsdMetrics:
    """Metrics sent to a statsd server."""

    __slots__ = ("_client",)

    def __init__(self, address, prefix):
        host, port = split_address(address)
        self._client = statsd.StatsClient(host, port, prefix=prefix, ipv6=":" in host)

    def count(self, name, number=1):
        """Add a number to a counter."""
        self._client.incr(name, number)

    def gauge(self, name, value):
        """Set a gauge."""
        self._client.gauge(name, value)

    def time(self, name, seconds):
        """Add a timing in seconds."""
        self._client.timing(name, seconds * 1000)


def create_metrics(address, prefix):
    """Return metrics that go to a statsd address, or nowhere if it is None."""
    if address is None:
        return NoMetrics()
    return StatsdMetrics(address, prefix)


def count_invariants(metrics):
    """Count each broken invariant of this process as `invariants.CODE`."""
    invariants.monitor.listener = lambda code: metrics.count(f"invariants.{code}")
