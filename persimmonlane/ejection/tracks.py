"""Tracks.

What one node has seen of one backend server.
"""

import collections
import math

from .evidence import RISE_WINDOWS, SymptomEvidence
from .pool import CEILING, WINDOW_MASK, PooledSum, WindowMask
from .symptoms import LEAST_RATES, TRAITS, TRIAL_SYMPTOMS, TRIALS

WINDOW_S = 0.125
SHORT_S = 0.5
LONG_S = 60.0
SHORT_KEPT = math.exp(-WINDOW_S / SHORT_S)
LONG_KEPT = math.exp(-WINDOW_S / LONG_S)
PRIOR_TRIALS = 1.0
TYPICAL_STEP = 0.1
IDLE_TRIALS = 0.01
NEGLIGIBLE = 1e-4
SAMPLE_WINDOWS = 4
CONCLUDED_WINDOWS = 80
RANGE = range(TRIALS)


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
    """Failure rates of all trials with exponential decay.

    Attributes:
        trials: Decayed count of each trial.
        rates: Failure rate of each trial, drawn towards zero if unsure.
    """

    __slots__ = ("trials", "rates", "_failures", "_kept")

    def __init__(self, kept):
        self.trials = [0.0] * TRIALS
        self.rates = [0.0] * TRIALS
        self._failures = [0.0] * TRIALS
        self._kept = kept

    def add(self, trials, failures):
        """Decay by one window and add that window's counts."""
        kept = self._kept
        counts, failed, rates = self.trials, self._failures, self.rates
        for trial in RANGE:
            counts[trial] = count = counts[trial] * kept + trials[trial]
            if failures[trial] or failed[trial]:
                failed[trial] = bad = failed[trial] * kept + failures[trial]
                if bad < NEGLIGIBLE:
                    failed[trial] = bad = 0.0
                rates[trial] = bad / (count + PRIOR_TRIALS)


class Conclusion:
    """Evidence that led to an ejection.

    Attributes:
        score: CUSUM at that time.
        index: Last window with bad evidence.
    """

    __slots__ = ("score", "index")

    def __init__(self, score, index):
        self.score = score
        self.index = index


class SymptomTrack:
    """Evidence of one symptom of one backend server.

    Attributes:
        score: This node's CUSUM.
        mask: `WindowMask` of the present rise of the CUSUM.
        pool: `PooledSum` while other nodes report, else None.
        total: Cumulative evidence.
    """

    __slots__ = ("score", "mask", "pool", "total", "_totals", "_concluded")

    def __init__(self, traits):
        """Begin without evidence.

        Args:
            traits: `SymptomTraits` of the symptom.
        """
        self.score = 0.0
        self.mask = WindowMask(traits)
        self.pool = None
        self.total = 0.0
        self._concluded = None
        self._totals = collections.deque(maxlen=RISE_WINDOWS[-1] // SAMPLE_WINDOWS)

    @property
    def pooled_score(self):
        """The CUSUM of all nodes together."""
        return self.score if self.pool is None else self.pool.score

    @property
    def pooled_windows(self):
        """The number of bad windows of all nodes together."""
        return self.mask.count if self.pool is None else self.pool.mask.count

    def add(self, change, good, index, threshold):
        """Add this node's evidence of one window.

        Args:
            change: Evidence, negative in favour of the backend server.
            good: Whether an attempt ended without the symptom.
            index: Number of the window.
            threshold: Threshold of the CUSUM.
        """
        self.total += change
        if self.pool is not None:
            self.pool.add(change, good, index, threshold)
            if not self.pool.has_reports():
                self.pool = None
        if change > 0.0:
            self.score = min(self.score + change, CEILING * threshold)
            self.mask.add(1, index)
        elif self.score > 0.0:
            self._fall(change, good)

    def sample(self):
        """Keep the present total, once every `SAMPLE_WINDOWS`."""
        self._totals.append(self.total)

    def merge(self, node, evidence, index, threshold):
        """Take another node's `SymptomEvidence`."""
        if self.pool is None:
            self.pool = PooledSum(self.score, self.mask)
        self.pool.merge(node, evidence, index, threshold)

    def forget(self, node):
        """Forget the evidence of a node whose sums began anew."""
        if self.pool is not None:
            self.pool.forget(node)

    def mark(self, index):
        """Note that window `index` is bad though it decided no trial."""
        if self.score > 0.0:
            self.mask.add(1, index)
            if self.pool is not None:
                self.pool.mask.add(1, index)

    def take_back(self, amount):
        """Take back evidence that turned out to be none."""
        self.total -= amount
        if self.pool is not None:
            self.pool.take_back(amount)
        self._fall(-amount, True)

    def export(self, index):
        """Return the `SymptomEvidence` for other nodes."""
        score, windows = self.score, self.mask.read(index)
        concluded = self._concluded
        if concluded is not None and index - concluded.index <= CONCLUDED_WINDOWS:
            # A node that follows need not have seen the windows itself.
            score, windows = max(score, concluded.score), WINDOW_MASK
        rises = tuple(self._find_rise(span) for span in RISE_WINDOWS)
        return SymptomEvidence(round(self.total, 2), rises, round(score, 2), windows)

    def conclude(self):
        """Begin anew, but go on telling other nodes what led to the verdict."""
        concluded = Conclusion(self.score, self.mask.index)
        self.reset()
        self._concluded = concluded

    def is_concluded(self):
        """Return whether the symptom led to an ejection that still stands."""
        return self._concluded is not None

    def reset(self):
        """Forget what was seen; the cumulative sum stays."""
        self._concluded = None
        self.score = 0.0
        self.mask.clear()
        if self.pool is not None:
            self.pool.reset()

    def _fall(self, change, good):
        self.score += change
        if good:
            self.mask.outweigh(change)
        if self.score <= 0.0:
            self.score = 0.0
            self.mask.clear()

    def _find_rise(self, span):
        if not self._totals:
            return round(self.total, 2)
        back = min(span // SAMPLE_WINDOWS, len(self._totals))
        return round(self.total - self._totals[-back], 2)


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
        self.rates = LEAST_RATES
        self.symptoms = [SymptomTrack(traits) for traits in TRAITS]
        self.connections_since = 0.0

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
        if self.attempts or self.long.trials[0] > IDLE_TRIALS or self.trials[0]:
            return True
        return any(symptom.pool is not None for symptom in self.symptoms)

    def is_overdue(self, now):
        """Return whether an attempt in flight is late and not taken back."""
        for attempt in self.attempts.values():
            if now - attempt.started <= self.limit_s:
                return False
            if attempt.failures and not attempt.void:
                return True
        return False

    def is_suspicious(self):
        """Return whether there is evidence against the backend server."""
        return any(s.score > 0.0 or s.pool is not None for s in self.symptoms)

    def find_score(self):
        """Return the highest score of this node or the pool."""
        return max(max(s.score, s.pooled_score) for s in self.symptoms)

    def find_symptom(self):
        """Return the symptom with the highest score."""
        scores = [max(s.score, s.pooled_score) for s in self.symptoms]
        return scores.index(max(scores))

    def find_severity(self, symptom):
        """Return the share of failed trials of a symptom lately."""
        return max(
            self.short.rates[trial]
            for trial, belongs in enumerate(TRIAL_SYMPTOMS)
            if belongs == symptom
        )

    def forget(self, node):
        """Forget the evidence of a node whose sums began anew."""
        for symptom in self.symptoms:
            symptom.forget(node)

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
        for symptom in self.symptoms:
            symptom.reset()
        self._begin_anew()

    def conclude(self):
        """Begin anew, but go on telling other nodes what led to the verdict."""
        self.symptoms[self.find_symptom()].conclude()
        for symptom in self.symptoms:
            if not symptom.is_concluded():
                symptom.reset()
        self._begin_anew()

    def _begin_anew(self):
        self.attempts.clear()
        self.trials = [0] * TRIALS
        self.failures = [0] * TRIALS
        self.short = Rates(SHORT_KEPT)
        self.long = Rates(LONG_KEPT)
