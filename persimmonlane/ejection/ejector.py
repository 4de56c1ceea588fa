"""Ejector.

Decides for one service which backend servers get how much work.
"""

import itertools

from . import events
from .detectors import Level, create_detector
from .floor import (
    allows_ejection,
    check_floor,
    count_spare_slots,
    find_least_bad,
    is_below_floor,
)
from .outcome import Kind
from .records import ServerRecord
from .standing import EJECTED, HEALTHY, Standing, State

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5
PROBE_PAUSE_S = 2.0
PROBES_NEEDED = 3
TRIAL_GOOD = 10
TRIAL_BAD = 3
HOLD_S = 2.0
CONFIRM_S = 3.0
TRICKLE_WEIGHT = 0.05
MOST_TRICKLE_WEIGHT = 0.4
TRICKLE_DOUBLING_S = 5.0
SPARED = Standing(State.SUSPECT, 0.5)
DOUBTED = Standing(State.SUSPECT, 0.5, idempotent_only=True)
AVOIDED = Standing(State.SUSPECT, 0.02, idempotent_only=True)
NO_EVIDENCE = frozenset((Kind.SHED, Kind.STALE, Kind.CANCELLED))


class Ejector:
    """Detection, ejection and return for the backend servers of one service.

    The detector says which backend servers fail. The ejector takes them out as far
    as the floor allows, and brings them back by probes, a trickle of idempotent
    requests and a ramp.
    """

    steps = {
        State.HEALTHY: "_step_serving",
        State.SUSPECT: "_step_serving",
        State.EJECTED: "_step_ejected",
        State.TRIAL: "_step_trial",
    }

    __slots__ = (
        "_service",
        "_clock",
        "_rng",
        "_began",
        "_detector",
        "_records",
        "_departed",
        "_attempts",
        "_events",
        "_watched",
    )

    def __init__(self, service, clock, rng):
        self._service = service
        self._clock = clock
        self._rng = rng
        self._began = clock.now()
        self._detector = create_detector(service, clock, rng)
        self._records = {}
        self._departed = {}
        self._attempts = itertools.count(1)
        self._events = []
        self._watched = True

    def set_service(self, service):
        """Take another version of the service's policy into force."""
        changed = service.detection.detector != self._service.detection.detector
        self._service = service
        if changed:
            self._detector = create_detector(service, self._clock, self._rng)
            self._detector.update_servers([r.server for r in self._records.values()])
        self._detector.set_service(service)
        self._keep_floor()

    def update_servers(self, servers):
        """Take the backend servers that now take new work."""
        now = self._clock.now()
        records = {server.address: self._find_record(server, now) for server in servers}
        self._note_departures(records, now)
        self._records = records
        self._watched = True
        self._detector.update_servers(servers)
        self._keep_floor()

    def start(self, address, pooled=False):
        """Note the start of an attempt and return its number.

        Args:
            address: Address of the backend server.
            pooled: Whether it uses a connection that served earlier requests.
        """
        attempt = next(self._attempts)
        self._detector.start(address, attempt, pooled)
        return attempt

    def observe(self, outcome):
        """Take the end of an attempt."""
        self._detector.observe(outcome)
        record = self._records.get(outcome.address)
        if record is not None and record.state is State.TRIAL:
            self._count_trial(record, outcome)

    def tick(self):
        """Do what is due."""
        now = self._clock.now()
        if not self._detector.tick() and not self._watched:
            return
        due = [record for record in self._records.values() if self._is_due(record)]
        for record in sorted(due, key=self._rank):
            getattr(self, self.steps[record.state])(record, now)
        self._watched = any(record.is_unsteady() for record in due)
        if due:
            self._keep_floor()
            self._weigh_suspects()

    def is_idle(self):
        """Return whether `tick` has nothing to do until there is traffic."""
        return not self._watched and self._detector.is_idle()

    def standing(self, address):
        """Return the `Standing` of a backend server."""
        record = self._records.get(address)
        return HEALTHY if record is None else record.standing

    def due_probes(self):
        """Return the addresses to be probed now, each over a new connection."""
        now = self._clock.now()
        due = []
        for address, record in self._records.items():
            waiting = record.state is State.EJECTED and now >= record.until
            if waiting and now >= record.next_probe:
                record.next_probe = now + PROBE_PAUSE_S
                due.append(address)
        return due

    def record_probe(self, address, ok, latency_s):
        """Take the answer to a probe."""
        record = self._records.get(address)
        if record is None or record.state is not State.EJECTED:
            return
        now = self._clock.now()
        if not ok or latency_s > PROBE_TIMEOUT_S:
            record.probes = 0
            record.next_probe = now + PROBE_PAUSE_S
            return
        record.probes += 1
        record.next_probe = now + PROBE_INTERVAL_S
        if record.probes >= PROBES_NEEDED:
            self._watched = True
            self._begin_trial(record, now)

    def connections_since(self, address):
        """Return the time before which pooled connections are not trusted.

        A pooled connection opened before this time, in monotonic seconds, is to be
        dropped rather than used: a request on such a connection got no answer in
        time, and only a new connection tells a silent one from a failing server.
        """
        return self._detector.connections_since(address)

    def update_peers(self, count):
        """Take the number of other ingress nodes in the data centre."""
        self._detector.update_peers(count)

    def export_evidence(self):
        """Return a `ServiceEvidence` if one is due for the other nodes, or None."""
        return self._detector.export_evidence()

    def merge_evidence(self, node, evidence):
        """Take the `ServiceEvidence` of another node of the data centre."""
        self._detector.merge_evidence(node, evidence)

    def events(self):
        """Return and forget the events since the last call."""
        drained = self._events
        self._events = []
        return drained

    def records(self):
        """Return the `ServerRecord` of each announced backend server."""
        return tuple(self._records.values())

    def _find_record(self, server, now):
        address = server.address
        record = self._records.get(address) or self._departed.pop(address, None)
        if record is None:
            return self._create_record(server, now)
        if record.server.incarnation != server.incarnation:
            fresh = self._create_record(server, now)
            fresh.strikes = record.strikes
            self._detector.reset(address)
            return fresh
        record.server = server
        record.departed = None
        return record

    def _create_record(self, server, now):
        record = ServerRecord(server, HEALTHY, now)
        # Servers that this node met when it began are not new to the fleet.
        if server.since > self._began + self._service.ramp_s:
            record.ramp_from = server.since
            self._set_ramp(record, now)
        return record

    def _note_departures(self, records, now):
        kept_s = self._service.detection.max_ejection_s
        for address, record in self._records.items():
            if address not in records:
                record.departed = now
                self._departed[address] = record
        self._departed = {
            address: record
            for address, record in self._departed.items()
            if now - record.departed <= kept_s
        }

    def _is_due(self, record):
        if record.is_unsteady():
            return True
        return self._detector.assess(record.server.address).level is not Level.CLEAR

    def _rank(self, record):
        return -self._detector.assess(record.server.address).score

    def _step_serving(self, record, now):
        assessment = self._detector.assess(record.server.address)
        if assessment.level is Level.FAILING:
            self._fail(record, assessment, now)
        elif assessment.level is Level.SUSPECT:
            self._suspect(record, assessment, now)
        elif now >= record.held_until:
            self._clear(record, now)

    def _step_ejected(self, record, now):
        """Wait: probes bring the backend server back."""

    def _step_trial(self, record, now):
        assessment = self._detector.assess(record.server.address)
        if assessment.level >= Level.SUSPECT or record.bad >= TRIAL_BAD:
            self._eject(record, assessment, now)
        elif record.good >= TRIAL_GOOD:
            self._return(record, now)
        else:
            record.standing = trickle(now - record.changed)

    def _fail(self, record, assessment, now):
        records = self._records.values()
        if allows_ejection(records, self._service.floor, record):
            self._eject(record, assessment, now)
            return
        self._suspect(record, assessment, now)
        if not record.spared:
            record.spared = True
            self._note(events.Spared, record, now)

    def _eject(self, record, assessment, now):
        policy = self._service.detection
        record.state = State.EJECTED
        record.standing = EJECTED
        record.symptom = assessment.symptom or record.symptom
        record.severity = max(assessment.severity, 0.01)
        record.until = now + record.find_ejection_s(policy)
        record.strikes += 1
        record.changed = now
        record.next_probe = record.until
        record.probes = 0
        record.spared = False
        self._detector.conclude(record.server.address)
        self._events.append(
            events.Ejected(record.server.address, now, record.symptom, record.until)
        )

    def _suspect(self, record, assessment, now):
        record.severity = assessment.severity
        record.certain = assessment.certain
        record.held_until = now + HOLD_S
        if record.state is State.SUSPECT:
            return
        record.state = State.SUSPECT
        record.standing = SPARED
        record.suspected = now
        record.symptom = assessment.symptom
        self._note(events.Suspected, record, now)

    def _clear(self, record, now):
        record.forgive(self._service.detection, now)
        if record.state is State.SUSPECT:
            record.state = State.HEALTHY
            record.standing = HEALTHY
            record.spared = False
            self._note(events.Cleared, record, now)
        if record.ramp_from is not None:
            self._set_ramp(record, now)

    def _set_ramp(self, record, now):
        weight = record.find_ramp(self._service.ramp_s, now)
        record.standing = Standing(State.HEALTHY, weight) if weight < 1.0 else HEALTHY

    def _begin_trial(self, record, now):
        record.state = State.TRIAL
        record.standing = trickle(0.0)
        record.changed = now
        record.good = 0
        record.bad = 0
        self._detector.reset(record.server.address)
        self._note(events.TrialBegan, record, now)

    def _count_trial(self, record, outcome):
        if outcome.kind in NO_EVIDENCE:
            return
        usual = self._detector.accepts_latency(outcome.address, outcome.latency_s)
        if outcome.kind is Kind.OK and usual:
            record.good += 1
        else:
            record.bad += 1

    def _return(self, record, now):
        record.changed = now
        record.ramp_from = now
        record.state = State.HEALTHY
        record.symptom = ""
        self._set_ramp(record, now)
        self._note(events.Returned, record, now)

    def _keep_floor(self):
        records = self._records.values()
        share = self._service.floor
        while is_below_floor(records, share):
            self._restore(find_least_bad(records))
        check_floor(records, share)

    def _restore(self, record):
        now = self._clock.now()
        self._watched = True
        record.state = State.SUSPECT
        record.standing = SPARED
        record.spared = True
        record.held_until = now + HOLD_S
        record.changed = now
        self._detector.reset(record.server.address)
        self._note(events.Returned, record, now)

    def _weigh_suspects(self):
        """Avoid the worst suspects as far as the floor would allow it."""
        records = self._records.values()
        suspects = [r for r in records if r.state is State.SUSPECT]
        if not suspects:
            return
        spare_slots = count_spare_slots(records, self._service.floor)
        suspects.sort(key=lambda record: -record.severity)
        for record in suspects:
            spare_slots -= record.server.slots
            record.standing = SPARED
            if spare_slots >= 0.0:
                record.standing = self._doubt(record)

    def _doubt(self, record):
        """Return a standing that leaves the other nodes time to confirm."""
        age_s = self._clock.now() - record.suspected
        return AVOIDED if record.certain and age_s >= CONFIRM_S else DOUBTED

    def _note(self, event, record, now):
        self._events.append(event(record.server.address, now, record.symptom))


def trickle(age_s):
    """Return the standing in a trial, which widens where traffic is scarce.

    Args:
        age_s: Seconds since the trial began.
    """
    weight = TRICKLE_WEIGHT * 2.0 ** min(age_s // TRICKLE_DOUBLING_S, 10.0)
    weight = min(weight, MOST_TRICKLE_WEIGHT)
    return Standing(State.TRIAL, weight, idempotent_only=True)
