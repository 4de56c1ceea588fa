"""Baseline detectors.

Simple detectors that others are measured against.
"""

import collections

from .detectors import CLEAR, Assessment, Detector, Level, registry
from .outcome import Kind

ERRORS = frozenset((Kind.ERROR, Kind.CONNECT, Kind.TIMEOUT, Kind.SHORT, Kind.WRONG))
IGNORED = frozenset((Kind.SHED, Kind.STALE, Kind.CANCELLED))
CONSECUTIVE_ERRORS = 5
LATENCY_SAMPLES = 10


@registry.register
class ConsecutiveErrors(Detector):
    """Fails a backend server after a row of errors."""

    name = "consecutive-errors"
    aliases = ()
    options = ()

    def __init__(self, service, clock, rng):
        super().__init__(service, clock, rng)
        self._rows = collections.Counter()

    def observe(self, outcome):
        """Count errors in a row."""
        if outcome.kind in ERRORS:
            self._rows[outcome.address] += 1
        elif outcome.kind not in IGNORED:
            self._rows[outcome.address] = 0

    def assess(self, address):
        """Return the assessment by the present row."""
        row = self._rows[address]
        if row < CONSECUTIVE_ERRORS:
            return CLEAR
        return Assessment(Level.FAILING, "error", 1.0, 1.0)

    def reset(self, address):
        """Forget the present row."""
        self._rows[address] = 0


@registry.register
class LatencyThreshold(Detector):
    """Fails a backend server whose mean latency passes the service's objective."""

    name = "latency-threshold"
    aliases = ()
    options = ()

    def __init__(self, service, clock, rng):
        super().__init__(service, clock, rng)
        self._latencies = collections.defaultdict(self._create_samples)

    def observe(self, outcome):
        """Take the latency of an answer."""
        if outcome.kind not in IGNORED:
            self._latencies[outcome.address].append(outcome.latency_s)

    def assess(self, address):
        """Return the assessment by the mean of the last latencies."""
        samples = self._latencies[address]
        if len(samples) < LATENCY_SAMPLES:
            return CLEAR
        limit_s = self.service.objectives.latency_ms / 1000.0
        mean_s = sum(samples) / len(samples)
        if mean_s <= limit_s:
            return CLEAR
        return Assessment(Level.FAILING, "slow", 1.0, 1.0)

    def reset(self, address):
        """Forget the last latencies."""
        self._latencies[address].clear()

    @staticmethod
    def _create_samples():
        return collections.deque(maxlen=LATENCY_SAMPLES)
