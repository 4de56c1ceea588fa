import random

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from ...clocks import ManualClock
from ...config.model import DetectionPolicy, Service
from ...invariants import InvariantError
from ...membership.servers import BackendServer
from ...verdicts import Verdict
from .. import create_ejector
from ..evidence import decode_evidence, encode_evidence
from ..floor import check_floor
from ..outcome import Kind, Outcome
from ..records import ServerRecord
from ..standing import EJECTED, HEALTHY, State

TOLERANCE = 1e-6
NODES = 3
NUMBERS = st.integers(0, 7)


def create_server(number, slots, incarnation=1):
    return BackendServer(
        f"10.0.0.{number}:80", "basket", "east", slots, incarnation=incarnation
    )


class FloorMachine(stateful.RuleBasedStateMachine):
    """Nodes that pool evidence while servers fail, leave, vanish and return."""

    @stateful.initialize(
        floor=st.sampled_from((0.0, 0.3, 0.5, 0.7, 1.0)),
        slots=st.lists(st.integers(1, 8), min_size=8, max_size=8),
        detector=st.sampled_from(("cusum", "consecutive-errors")),
        seed=st.integers(0, 999),
    )
    def begin(self, floor, slots, detector, seed):
        self.clock = ManualClock()
        self.floor = floor
        self.slots = slots
        detection = DetectionPolicy(detector=detector, false_ejection_days=0.01)
        self.service = Service(name="basket", floor=floor, detection=detection)
        self.incarnations = [1] * 8
        self.present = set(range(8))
        self.bad = set()
        self.ejectors = [
            create_ejector(self.service, self.clock, random.Random(seed + number))
            for number in range(NODES)
        ]
        for ejector in self.ejectors:
            ejector.update_peers(NODES - 1)
            self.update(ejector)

    def update(self, ejector):
        servers = [
            create_server(number, self.slots[number], self.incarnations[number])
            for number in sorted(self.present)
        ]
        ejector.update_servers(tuple(servers))

    def attempt(self, ejector, number):
        address = create_server(number, 1).address
        kind = Kind.ERROR if number in self.bad else Kind.OK
        attempt = ejector.start(address)
        return Outcome(address, attempt, kind, 0.02, Verdict.RAN)

    @stateful.rule(
        bad=st.sets(NUMBERS, max_size=7),
        windows=st.sampled_from((15, 30)),
        pooled=st.booleans(),
    )
    def serve(self, bad, windows, pooled):
        self.bad = bad
        for _ in range(windows):
            for ejector in self.ejectors:
                outcomes = [self.attempt(ejector, n) for n in sorted(self.present)]
                self.clock.advance(0.01)
                for outcome in outcomes:
                    ejector.observe(outcome)
                ejector.tick()
            self.clock.advance(0.1)
            if pooled:
                self.exchange()

    def exchange(self):
        for number, ejector in enumerate(self.ejectors):
            evidence = ejector.export_evidence()
            if evidence is None:
                continue
            data = encode_evidence(evidence)
            for peer in self.ejectors:
                if peer is not ejector:
                    peer.merge_evidence(f"node-{number}", decode_evidence(data))

    @stateful.rule(present=st.sets(NUMBERS, min_size=2), node=st.integers(0, NODES - 1))
    def announce(self, present, node):
        """Servers leave, vanish or come back, as one node sees it first."""
        self.present = present
        self.update(self.ejectors[node])

    @stateful.rule()
    def spread(self):
        for ejector in self.ejectors:
            self.update(ejector)

    @stateful.rule(number=NUMBERS)
    def restart(self, number):
        self.incarnations[number] += 1
        self.spread()

    @stateful.rule(floor=st.sampled_from((0.0, 0.4, 0.8, 1.0)))
    def change_floor(self, floor):
        self.floor = floor
        service = Service(name="basket", floor=floor, detection=self.service.detection)
        for ejector in self.ejectors:
            ejector.set_service(service)

    @stateful.rule(seconds=st.floats(0.1, 60.0), ok=st.booleans())
    def probe(self, seconds, ok):
        for _ in range(4):
            self.clock.advance(seconds)
            for ejector in self.ejectors:
                ejector.tick()
                for address in ejector.due_probes():
                    ejector.record_probe(address, ok, 0.025)

    @stateful.invariant()
    def floor_holds(self):
        for ejector in getattr(self, "ejectors", ()):
            records = ejector.records()
            announced = sum(r.server.slots for r in records)
            healthy = sum(
                r.server.slots
                for r in records
                if r.state in (State.HEALTHY, State.SUSPECT)
            )
            assert healthy >= self.floor * announced - TOLERANCE


FloorMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)


class TestFloorMachine(FloorMachine.TestCase):
    pass


class FloorTests(testtools.TestCase):
    def test_check_refuses_capacity_below_the_floor(self):
        healthy = ServerRecord(create_server(1, 4), HEALTHY, 0.0)
        ejected = ServerRecord(create_server(2, 8), EJECTED, 0.0)
        check_floor([healthy, ejected], 0.3)
        error = self.assertRaises(InvariantError, check_floor, [healthy, ejected], 0.5)
        self.assertEqual("invariant-floor", error.code)

    def test_least_bad_comes_back_first_when_others_vanish(self):
        clock = ManualClock()
        detection = DetectionPolicy(detector="consecutive-errors")
        service = Service(name="basket", floor=0.5, detection=detection)
        ejector = create_ejector(service, clock, random.Random(1))
        servers = [create_server(number, 4) for number in range(4)]
        ejector.update_servers(servers)
        for server in servers[:2]:
            for _ in range(5):
                attempt = ejector.start(server.address)
                ejector.observe(
                    Outcome(server.address, attempt, Kind.ERROR, 0.1, Verdict.RAN)
                )
            ejector.tick()
            clock.advance(1.0)
        records = {r.server.address: r for r in ejector.records()}
        records[servers[1].address].severity = 0.2
        self.assertEqual(2, sum(r.state is State.EJECTED for r in records.values()))
        ejector.update_servers(servers[:3])
        self.assertIs(State.SUSPECT, records[servers[1].address].state)
        self.assertIs(State.EJECTED, records[servers[0].address].state)
