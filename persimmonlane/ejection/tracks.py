"""Tracks.

What one node has seen of one backend server.
"""

import collections
import math

from .evidence import RISE_WINDOWS, SymptomEvidence
from .pool import CEILING, PooledSum, WindowMask
from .symptoms import LEAST_RATES, SYMPTOMS, TRIAL_SYMPTOMS, TRIALS

WINDOW_S = 0.125
SHORT_S = 0.5
LONG_S = 60.0
SHORT_KEPT = math.exp(-WINDOW_S / SHORT_S)
LONG_KEPT = math.exp(-WINDOW_S / LONG_S)
PRIOR_TRIALS = 1.0
TYPICAL_STEP = 0.1
IDLE_TRIALS = 0.01


class Attempt:
    """An attempt in flight.

    Attributes:
        started: Monotonic seconds of its start.
        limit_s: Age at which its next trial fails.
        failures: Trials that it has failed by its age.
        pooled: Whether it uses a connection that served earlier requests.
        void: Whether its failures were taken back.
    """

    __slots__ = ("started", "limit_s", "failures", "pooled", "void")

    def __init__(self, started, limit_s, pooled):
        self.started = started
        self.limit_s = limit_s
        self.failures = 0
        self.pooled = pooled
        self.void = False


class Rates:
    """Failure rates of all trials with exponential decay."""

    __slots__ = ("trials", "failures", "_kept")

    def __init__(self, kept):
        self.trials = [0.0] * TRIALS
        self.failures = [0.0] * TRIALS
        self._kept = kept

    def add(self, trials, failures):
        """Decay by one window and add that window's counts."""
        kept = self._kept
        self.trials = [a * kept + b for a, b in zip(self.trials, trials, strict=True)]
        self.failures = [
            a * kept + b for a, b in zip(self.failures, failures, strict=True)
        ]

    def find_rate(self, trial):
        """Return the failure rate of one trial, drawn towards zero if unsure."""
        return self.failures[trial] / (self.trials[trial] + PRIOR_TRIALS)


class SymptomTrack:
    """Evidence of one symptom of one backend server.

    Attributes:
        score: This node's CUSUM.
        mask: `WindowMask` of the present rise of the CUSUM.
        pool: `PooledSum` with the evidence of other nodes.
    """

    __slots__ = ("score", "mask", "pool", "_totals")

    def __init__(self):
        self.score = 0.0
        self.mask = WindowMask()
        self.pool = PooledSum()
        self._totals = collections.deque([0.0], maxlen=max(RISE_WINDOWS) + 1)

    def add(self, change, index, threshold):
        """Add this node's evidence of window `index`."""
        self._totals.append(self._totals[-1] + change)
        self.pool.add(change, index, threshold)
        self.score = min(self.score + change, CEILING * threshold)
        if change > 0.0:
            self.mask.add(1, index)
        if self.score <= 0.0:
            self.score = 0.0
            self.mask.clear()

    def mark(self, index):
        """Note that window `index` is bad though it decided no trial."""
        if self.score > 0.0:
            self.mask.add(1, index)
            self.pool.mask.add(1, index)

    def take_back(self, amount):
        """Take back evidence that turned out to be none."""
        self._totals[-1] -= amount
        self.pool.take_back(amount)
        self.score = max(0.0, self.score - amount)
        if not self.score:
            self.mask.clear()

    def export(self, index):
        """Return the `SymptomEvidence` for other nodes."""
        totals = self._totals
        last = len(totals) - 1
        rises = tuple(
            round(totals[-1] - totals[max(0, last - windows)], 2)
            for windows in RISE_WINDOWS
        )
        return SymptomEvidence(
            round(totals[-1], 2), rises, round(self.score, 2), self.mask.read(index)
        )

    def reset(self):
        """Forget what was seen; the cumulative sums stay."""
        self.score = 0.0
        self.mask.clear()
        self.pool.reset()


class Track:
    """What one node has seen of one backend server.

    Attributes:
        server: The `BackendServer`.
        cold_until: Monotonic seconds until which slowness is put down to coldness.
        attempts: Attempts in flight by number.
        trials: Trials of the present window.
        failures: Failed trials of the present window.
        short: `Rates` over about half a second.
        long: `Rates` over about a minute.
        log_typical: Logarithm of the typical latency in seconds, or None.
        limit_s: Age from which an answer counts as late.
        rates: Failure rate of each trial among the other backend servers.
        symptoms: `SymptomTrack` of each symptom.
        connections_since: Time before which pooled connections are not trusted.
        seen: Attempts that ended with evidence.
    """

    __slots__ = (
        "server",
        "cold_until",
        "attempts",
        "trials",
        "failures",
        "short",
        "long",
        "log_typical",
        "limit_s",
        "rates",
        "symptoms",
        "connections_since",
        "seen",
    )

    def __init__(self, server, cold_until, limit_s):
        self.server = server
        self.cold_until = cold_until
        self.attempts = {}
        self.trials = [0] * TRIALS
        self.failures = [0] * TRIALS
        self.short = Rates(SHORT_KEPT)
        self.long = Rates(LONG_KEPT)
        self.log_typical = None
        self.limit_s = limit_s
        self.rates = list(LEAST_RATES)
        self.symptoms = [SymptomTrack() for _ in SYMPTOMS]
        self.connections_since = 0.0
        self.seen = 0

    def note_latency(self, latency_s):
        """Draw the typical latency towards a latency that was seen."""
        value = math.log(max(latency_s, 1e-6))
        if self.log_typical is None:
            self.log_typical = value
            return
        change = min(1.0, max(-1.0, value - self.log_typical))
        self.log_typical += TYPICAL_STEP * change

    def is_active(self):
        """Return whether there was traffic or a report lately."""
        if self.attempts or self.long.trials[0] > IDLE_TRIALS:
            return True
        return any(symptom.pool.has_reports() for symptom in self.symptoms)

    def is_overdue(self, now):
        """Return whether an attempt in flight is late and not explained away."""
        for attempt in self.attempts.values():
            if now - attempt.started <= self.limit_s:
                return False
            if attempt.failures and not attempt.void:
                return True
        return False

    def find_score(self):
        """Return the highest score of this node or the pool."""
        return max(max(s.score, s.pool.score) for s in self.symptoms)

    def find_symptom(self):
        """Return the symptom with the highest score."""
        scores = [max(s.score, s.pool.score) for s in self.symptoms]
        return scores.index(max(scores))

    def find_severity(self, symptom):
        """Return the share of failed trials of a symptom lately."""
        return max(
            self.short.find_rate(trial)
            for trial, belongs in enumerate(TRIAL_SYMPTOMS)
            if belongs == symptom
        )

    def forget(self, node):
        """Forget the evidence of a node whose sums began anew."""
        for symptom in self.symptoms:
            symptom.pool.forget(node)

    def close_window(self):
        """Return trials and failures of the present window, and begin another."""
        trials, failures = self.trials, self.failures
        self.short.add(trials, failures)
        self.long.add(trials, failures)
        self.trials = [0] * TRIALS
        self.failures = [0] * TRIALS
        return trials, failures

    def reset(self):
        """Forget evidence and attempts in flight; the cumulative sums stay."""
        self.attempts.clear()
        self.trials = [0] * TRIALS
        self.failures = [0] * TRIALS
        self.short = Rates(SHORT_KEPT)
        self.long = Rates(LONG_KEPT)
        for symptom in self.symptoms:
            symptom.reset()
