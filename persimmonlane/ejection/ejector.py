"""Ejector.

Decides for one service which backend servers get how much work.
"""

import itertools

from .standing import HEALTHY


class Ejector:
    """Detection, ejection and return for the backend servers of one service."""

    __slots__ = ("_attempts", "_events")

    def __init__(self, service, clock, rng):
        self._attempts = itertools.count(1)
        self._events = []

    def update_servers(self, servers):
        """Take the backend servers that now take new work."""

    def start(self, address, pooled=False):
        """Note the start of an attempt and return its number."""
        return next(self._attempts)

    def observe(self, outcome):
        """Take the end of an attempt."""

    def tick(self):
        """Do what is due."""

    def standing(self, address):
        """Return the `Standing` of a backend server."""
        return HEALTHY

    def due_probes(self):
        """Return the addresses to be probed now."""
        return []

    def record_probe(self, address, ok, latency_s):
        """Take the answer to a probe."""

    def connections_since(self, address):
        """Return the time before which pooled connections are not trusted."""
        return 0.0

    def export_evidence(self):
        """Return evidence for the other nodes, or None."""

    def merge_evidence(self, node, evidence):
        """Take the evidence of another node."""

    def events(self):
        """Return and forget the events since the last call."""
        events = self._events
        self._events = []
        return events
