"""CUSUM detector.

A sequential test per backend server and symptom against the other backend
servers of the same service, with the evidence of other nodes pooled.
"""

import math

from .detectors import CLEAR, Assessment, Detector, Level, registry
from .evidence import ENTRY_LIMIT, ServerEvidence, ServiceEvidence
from .observers import Observers
from .outcome import Kind
from .references import Reference
from .suspicions import Suspicions
from .symptoms import (
    ERROR_TRIAL,
    KIND_SYMPTOMS,
    LATE_TRIAL,
    OVERDUE_TRIAL,
    SLOW,
    SYMPTOMS,
    TRAITS,
    TRIAL_SYMPTOMS,
    WRONG,
    WRONG_TRIAL,
    sum_evidence,
)
from .tracks import LONG_S, SAMPLE_WINDOWS, WINDOW_S, Attempt, Track

DAY_S = 86400.0
LEAST_TRAFFIC = 0.2
BURST_S = 0.125
LEAST_THRESHOLD = 8.0
SUSPECT_SHARE = 0.5
SUSPECT_WINDOWS = 3
TOLD_SCORE = 5.0
LONE_S = 1.0
COMMON_RATE = 0.4
COMMON_KEPT = 0.8
COLD_FACTOR = 4.0
LEAST_EXCESS_S = 0.005
VETO_TRIALS = 2.0
OTHERS_SCORE_SHARE = 0.5
OTHERS_WINDOWS_SHARE = 0.5
OTHERS_SPAN_SHARE = 0.8
EPOCH_LIMIT = 1 << 48


@registry.register
class Cusum(Detector):
    """Bernoulli CUSUM per backend server and symptom.

    Evidence is counted in short windows. A failing server shows in many of them; a
    pause, however bad, in few. So a verdict takes both a sum past the threshold and
    a number of distinct windows.
    """

    name = "cusum"
    aliases = ()
    options = ("false_ejection_days", "slow_factor")

    def __init__(self, service, clock, rng):
        super().__init__(service, clock, rng)
        self._began = clock.now()
        self._servers = {}
        self._tracks = {}
        self._assessments = {}
        self._reference = Reference()
        self._threshold = LEAST_THRESHOLD
        self._windows = find_windows(service.detection)
        self._window = self._find_window()
        self._suspicions = Suspicions()
        self._observers = Observers()
        self._epoch = rng.randrange(EPOCH_LIMIT)
        self._sequence = 0
        self._active = -math.inf
        self._peers = 0

    def set_service(self, service):
        """Take another version of the service's policy into force."""
        super().set_service(service)
        self._windows = find_windows(service.detection)

    def update_servers(self, servers):
        """Keep the tracks of backend servers that still take new work."""
        self._servers = {server.address: server for server in servers}
        tracks = self._tracks
        self._tracks = {a: t for a, t in tracks.items() if self._is_current(a, t)}
        for address, track in self._tracks.items():
            track.server = self._servers[address]
        self._forget_untracked()

    def start(self, address, attempt, pooled):
        """Note the start of an attempt."""
        now = self._active = self.clock.now()
        track = self._find_track(address)
        if track is not None:
            track.attempts[attempt] = Attempt(now, track.limit_s, pooled)

    def observe(self, outcome):
        """Count the trials that an attempt decides at its end."""
        track = self._tracks.get(outcome.address)
        if track is None:
            return
        attempt = track.attempts.pop(outcome.attempt, None)
        if attempt is None:
            return
        kind = outcome.kind
        if kind is Kind.OK:
            track.trials[ERROR_TRIAL] += 1
            track.trials[WRONG_TRIAL] += 1
            self._observe_answer(track, attempt, outcome.latency_s)
        elif kind is Kind.STALE:
            self._take_back(track, attempt)
        elif kind in KIND_SYMPTOMS:
            self._observe_failure(track, KIND_SYMPTOMS[kind])

    def tick(self):
        """Count what is overdue, and weigh the windows that have passed."""
        now = self.clock.now()
        for track in self._tracks.values():
            if track.attempts:
                self._count_overdue(track, now)
        window = self._find_window()
        if window == self._window:
            return False
        self._window = window
        if not self._tracks:
            return False
        self._weigh(now)
        return True

    def is_idle(self):
        """Return whether no backend server has traffic or reports."""
        return not self._tracks

    def assess(self, address):
        """Return the `Assessment` of a backend server."""
        return self._assessments.get(address, CLEAR)

    def accepts_latency(self, address, latency_s):
        """Return whether a latency is within the late limit."""
        track = self._tracks.get(address)
        return track is None or latency_s <= track.limit_s

    def reset(self, address):
        """Forget the evidence on a backend server."""
        self._assessments.pop(address, None)
        track = self._tracks.get(address)
        if track is not None:
            track.reset()

    def conclude(self, address):
        """Begin anew after an ejection, and go on telling other nodes why."""
        self._assessments.pop(address, None)
        track = self._tracks.get(address)
        if track is not None:
            track.conclude()

    def connections_since(self, address):
        """Return the time before which pooled connections are not trusted."""
        track = self._tracks.get(address)
        return 0.0 if track is None else track.connections_since

    def update_peers(self, count):
        """Take the number of other nodes in the data centre."""
        self._peers = count

    def export_evidence(self):
        """Return the evidence on the backend servers that some node suspects."""
        now = self.clock.now()
        addresses = self._suspicions.find_addresses(now)
        if not self._suspicions.is_due(now):
            return None
        self._suspicions.exported = now
        self._sequence += 1
        addresses.sort(key=self._rank_suspect)
        return ServiceEvidence(
            self.service.name,
            self._epoch,
            self._sequence,
            min(now - self._active, DAY_S),
            tuple(self._export_entry(a) for a in addresses[:ENTRY_LIMIT]),
        )

    def merge_evidence(self, node, evidence):
        """Add the evidence of another node to the pool."""
        now = self.clock.now()
        if not self._observers.is_known(node, evidence):
            self._observers.add(node, evidence, now)
            for track in self._tracks.values():
                track.forget(node)
        if not self._observers.accept(node, evidence, now):
            return
        for entry in evidence.entries:
            track = self._find_track(entry.address)
            if track is None or track.server.incarnation != entry.incarnation:
                continue
            self._merge_entry(node, track, entry, now)

    def _rank_suspect(self, address):
        return -self._tracks[address].find_score()

    def _find_window(self):
        return int(self.clock.now() / WINDOW_S)

    def _is_current(self, address, track):
        server = self._servers.get(address)
        return server is not None and server.incarnation == track.server.incarnation

    def _forget_untracked(self):
        tracks = self._tracks
        self._suspicions.retain(tracks)
        self._assessments = {a: v for a, v in self._assessments.items() if a in tracks}

    def _find_track(self, address):
        """Return the track of a backend server, or None if it takes no work.

        Only backend servers with traffic or reports have one.
        """
        track = self._tracks.get(address)
        if track is None and address in self._servers:
            track = self._create_track(self._servers[address])
            self._tracks[address] = track
        return track

    def _create_track(self, server):
        cold_until = 0.0
        if server.since > self._began + self.service.ramp_s:
            cold_until = server.since + self.service.ramp_s
        return Track(server, cold_until, self._find_default_limit())

    def _find_default_limit(self):
        return self.service.response_timeout_ms / 2000.0

    def _observe_failure(self, track, symptom):
        track.trials[ERROR_TRIAL] += 1
        if symptom == WRONG:
            track.trials[WRONG_TRIAL] += 1
        track.failures[symptom] += 1

    def _observe_answer(self, track, attempt, latency_s):
        track.note_latency(latency_s)
        if attempt.failures:
            track.trials[OVERDUE_TRIAL] += 1
            return
        track.trials[LATE_TRIAL] += 1
        if latency_s > attempt.limit_s:
            track.failures[LATE_TRIAL] += 1
        elif not attempt.pooled and attempt.started > track.connections_since:
            self._trust(track)

    def _trust(self, track):
        """Void what hangs on old connections: a new connection works."""
        for attempt in track.attempts.values():
            old = attempt.started <= track.connections_since
            if attempt.pooled and old and not attempt.void:
                self._take_back(track, attempt)
                attempt.void = True

    def _take_back(self, track, attempt):
        if not attempt.failures:
            return
        late = sum_evidence(1, 1, track.rates[LATE_TRIAL])
        overdue = sum_evidence(1, 1, track.rates[OVERDUE_TRIAL])
        amount = late + overdue * (attempt.failures - 1)
        track.symptoms[SLOW].take_back(max(0.0, amount))

    def _count_overdue(self, track, now):
        for attempt in track.attempts.values():
            age = now - attempt.started
            if age <= track.limit_s:
                break
            while age > attempt.limit_s and not attempt.void:
                self._fail_by_age(track, attempt, now)

    def _fail_by_age(self, track, attempt, now):
        trial = OVERDUE_TRIAL if attempt.failures else LATE_TRIAL
        track.trials[trial] += 1
        track.failures[trial] += 1
        if not attempt.failures:
            track.note_latency(attempt.limit_s)
        attempt.failures += 1
        attempt.limit_s *= 2.0
        if attempt.pooled:
            track.connections_since = now

    def _weigh(self, now):
        active = [track for track in self._tracks.values() if track.is_active()]
        if len(active) < len(self._tracks):
            self._tracks = {track.server.address: track for track in active}
            self._forget_untracked()
        if not active:
            return
        closed = [(track, *track.close_window()) for track in active]
        self._reference.update(active)
        if self._window % SAMPLE_WINDOWS == 0:
            self._weigh_slowly(active, now)
        for track, trials, failures in closed:
            if trials[ERROR_TRIAL] or trials[LATE_TRIAL] or track.is_suspicious():
                self._weigh_track(track, trials, failures, now)
                self._assess(track, now)

    def _weigh_slowly(self, active, now):
        self._reference.update_slowly(active)
        self._threshold = self._find_threshold(active)
        for track in active:
            self._set_limit(track, self._reference, now)
            for symptom in track.symptoms:
                symptom.sample()

    def _find_threshold(self, active):
        """Return the threshold for the wanted time between false ejections."""
        trials = sum(track.long.trials[ERROR_TRIAL] for track in active)
        rate = max(LEAST_TRAFFIC, trials / LONG_S / len(active))
        rate *= 1 + self._observers.count_active(self.clock.now())
        trials = self.service.detection.false_ejection_days * DAY_S * rate
        return max(LEAST_THRESHOLD, math.log(trials * len(SYMPTOMS)))

    def _weigh_track(self, track, trials, failures, now):
        rates = track.rates = self._reference.find_rates(track)
        changes = [0.0] * len(SYMPTOMS)
        for trial, symptom in enumerate(TRIAL_SYMPTOMS):
            if trials[trial]:
                changes[symptom] += sum_evidence(
                    failures[trial], trials[trial], rates[trial]
                )
        for symptom, evidence in enumerate(track.symptoms):
            change = changes[symptom]
            if rates[symptom] > COMMON_RATE:
                change = min(change, (COMMON_KEPT - 1.0) * evidence.score)
            good = trials[symptom] > failures[symptom]
            evidence.add(change, good, self._window, self._threshold)
        if rates[SLOW] <= COMMON_RATE and track.is_overdue(now):
            track.symptoms[SLOW].mark(self._window)

    def _set_limit(self, track, reference, now):
        typical_s = reference.find_latency(track)
        if typical_s is None:
            return
        factor = self.service.detection.slow_factor
        if now < track.cold_until:
            factor *= COLD_FACTOR
        limit_s = max(typical_s * factor, typical_s + LEAST_EXCESS_S)
        track.limit_s = min(limit_s, self._find_default_limit())

    def _assess(self, track, now):
        address = track.server.address
        if not track.is_suspicious():
            self._assessments.pop(address, None)
            return
        symptom = track.find_symptom()
        evidence = track.symptoms[symptom]
        if evidence.score >= TOLD_SCORE:
            self._suspicions.renew(address, now)
        self._assessments[address] = Assessment(
            self._find_level(track, evidence, self._windows[symptom]),
            SYMPTOMS[symptom],
            min(1.0, max(evidence.score, evidence.pooled_score) / self._threshold),
            track.find_severity(symptom),
            evidence.score >= self._threshold,
        )

    def _find_level(self, track, evidence, windows):
        if self._is_failing(track, evidence, windows):
            return Level.FAILING
        suspect = evidence.score >= SUSPECT_SHARE * self._threshold
        if suspect and evidence.mask.count >= SUSPECT_WINDOWS:
            return Level.SUSPECT
        return Level.CLEAR

    def _is_failing(self, track, evidence, windows):
        threshold = self._threshold
        if evidence.pooled_score < threshold:
            return False
        if evidence.pooled_windows < windows:
            return False
        observers = self._observers.count_active(self.clock.now())
        if evidence.pool is None or not observers:
            return self._is_alone(track) and evidence.score >= threshold
        if not evidence.score and track.short.trials[ERROR_TRIAL] >= VETO_TRIALS:
            return False
        own = evidence.export(self._window)
        return evidence.pool.is_corroborated(
            own,
            threshold * OTHERS_SCORE_SHARE,
            windows * OTHERS_WINDOWS_SHARE,
            windows * OTHERS_SPAN_SHARE,
            self._window,
        )

    def _is_alone(self, track):
        """Return whether no other node answered though it had the time to."""
        if not self._peers:
            return True
        now = self.clock.now()
        return self._suspicions.find_age(track.server.address, now) >= LONE_S

    def _merge_entry(self, node, track, entry, now):
        for evidence, reported in zip(track.symptoms, entry.symptoms, strict=False):
            evidence.merge(node, reported, self._window, self._threshold)
            if reported.score >= TOLD_SCORE:
                self._suspicions.renew(entry.address, now)

    def _export_entry(self, address):
        track = self._tracks[address]
        return ServerEvidence(
            address,
            track.server.incarnation,
            tuple(evidence.export(self._window) for evidence in track.symptoms),
        )


def find_windows(policy):
    """Return the weight of bad windows that a verdict takes, for each symptom.

    A healthy backend server has bursts of trouble, of exponential length, now and
    then; pauses are more frequent than bursts of errors. So many windows are asked
    for that chance fills them with one burst only once in the wanted time between
    false ejections.

    Args:
        policy: The service's `DetectionPolicy`.
    """
    wanted_s = policy.false_ejection_days * DAY_S
    return [count_windows(traits, wanted_s) for traits in TRAITS]


def count_windows(traits, wanted_s):
    """Return the weight of bad windows that a verdict on one symptom takes."""
    bursts = max(math.e, wanted_s / traits.bursts_every_s)
    length = math.ceil(math.log(bursts) * BURST_S / WINDOW_S)
    # A burst begins and ends within windows, so it touches one more.
    return length + 1 + traits.row_weight
