import os

import pytest

from ...platform.documents import DOCUMENT_KEY
from ...platform.evacuations import build_evacuation_key
from .simulation import APPLY_S, EVACUATION_S, STEP_S, SyncedFleet

# Numbers of nodes by data centre. Only nodes of several exchange digests.
SIZES = ((3, 3, 2), (6,), (4, 4), (1, 2, 1, 2))
SETTLE_S = 6.0
EVENTS = 24
MAX_PAUSE_S = 2.5
# Within this time after a restore the operator has written again what was lost.
WRITE_AGAIN_S = 1.5
# A node that reached the store again, or whose generation was lost, may take as long as
# a call that times out, the delay before the next one and the time of a new document.
LIFT_S = EVACUATION_S + APPLY_S
SHARDS = 8
# An order takes 0.3 to 0.5 s. `EVACUATION_ORDERS=4000` runs thousands of them.
ORDERS_PER_SHARD = int(os.environ.get("EVACUATION_ORDERS", "200")) // SHARDS


class Operator:
    """Writes and removes the keys, and remembers since when each is there.

    Attributes:
        evacuated_at: Clock seconds of the acknowledgement, by data centre.
        lifted_at: Clock seconds of the last removal, by data centre.
    """

    def __init__(self, fleet):
        self.evacuated_at = {}
        self.lifted_at = {}
        self._fleet = fleet
        self._state = fleet.store.state
        self._write_again_at = None

    def evacuate(self, data_centre):
        if data_centre not in self.evacuated_at:
            self._state.put(build_evacuation_key(data_centre), b"{}")
            self.evacuated_at[data_centre] = self._fleet.clock.now()

    def lift(self, data_centre):
        if self.evacuated_at.pop(data_centre, None) is not None:
            self._state.remove(build_evacuation_key(data_centre))
            self.lifted_at[data_centre] = self._fleet.clock.now()

    def restore(self, copy):
        """Restore the store, and write again later what that lost or brought back."""
        self._state.restore(copy)
        now = self._fleet.clock.now()
        self._write_again_at = now + WRITE_AGAIN_S * self._fleet.rng.random()

    def step(self):
        if self._write_again_at is None:
            return
        if self._fleet.clock.now() < self._write_again_at:
            return
        self._write_again_at = None
        self._fleet.store.write_again(0.0)
        for data_centre in self._fleet.list_data_centres():
            key = build_evacuation_key(data_centre)
            if data_centre in self.evacuated_at:
                self._state.put(key, b"{}")
            elif self._state.find_lease(key) is not None:
                self._state.remove(key)
                self.lifted_at[data_centre] = self._fleet.clock.now()


class RandomOrder:
    """A random order of events in a fleet, checked at each step."""

    def __init__(self, seed):
        self.seed = seed
        self.fleet = SyncedFleet(SIZES[seed % len(SIZES)], seed, has_evacuations=True)
        self.rng = self.fleet.rng
        self.operator = Operator(self.fleet)
        self.copy = None
        self.log = []
        self.mistakes = []
        # Clock seconds since which a host runs and reaches the store.
        self.reached_since = {}
        self.disturbed_at = float("-inf")

    def run(self):
        """Run the order; return what was wrong."""
        self.run_for(SETTLE_S)
        names = [name for name in dir(self) if name.startswith("do_")]
        for _ in range(EVENTS):
            name = self.rng.choice(names)
            self.log.append((round(self.fleet.clock.now(), 1), name))
            getattr(self, name)()
            self.run_for(self.rng.random() * MAX_PAUSE_S)
        self.do_thaw()
        self.fleet.store.cut.clear()
        self.fleet._fleet.network.loss = 0.0
        self.run_for(2 * LIFT_S)
        return self.mistakes

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.operator.step()
            self.fleet.run(STEP_S)
            self.check()

    def check(self):
        now = self.fleet.clock.now()
        for host, node in self.fleet.synced.items():
            if host in self.fleet.paused:
                continue
            if host in self.fleet.store.cut:
                self.reached_since.pop(host, None)
                continue
            since = self.reached_since.setdefault(host, now)
            self.check_node(host, node, since, now)

    def check_node(self, host, node, since, now):
        data_centre = host.rpartition(".")[0]
        evacuated_at = self.operator.evacuated_at.get(data_centre)
        may_admit = node.may_admit()
        if evacuated_at is not None:
            # A node that was cut off has the same time after it reaches the store.
            late = max(evacuated_at, since) + EVACUATION_S
            if may_admit and now > late:
                self.note(host, "admits", now)
            return
        lifted_at = self.operator.lifted_at.get(data_centre, 0.0)
        quiet_since = max(lifted_at, since, node.started_at, self.disturbed_at)
        if not may_admit and now > quiet_since + LIFT_S:
            self.note(host, "refuses", now)

    def note(self, host, fault, now):
        if len(self.mistakes) < 3:
            self.mistakes.append((self.seed, host, fault, round(now, 1), self.log[-8:]))

    def choose_host(self):
        return self.rng.choice(sorted(self.fleet.synced))

    def choose_data_centre(self):
        return self.rng.choice(self.fleet.list_data_centres())

    def do_evacuate(self):
        self.operator.evacuate(self.choose_data_centre())

    def do_evacuate_another(self):
        self.operator.evacuate(self.choose_data_centre())

    def do_lift(self):
        self.operator.lift(self.choose_data_centre())

    def do_lift_all(self):
        for data_centre in self.fleet.list_data_centres():
            self.operator.lift(data_centre)

    def do_replace_quickly(self):
        """Lift and evacuate again between two probes."""
        data_centre = self.choose_data_centre()
        self.operator.lift(data_centre)
        self.run_for(self.rng.random() * 0.3)
        self.operator.evacuate(data_centre)

    def do_restart(self):
        host = self.choose_host()
        self.fleet.paused.discard(host)
        self.fleet.restart(host)
        self.check()

    def do_freeze_relays(self):
        self.disturbed_at = self.fleet.clock.now()
        self.fleet.paused.update(self.list_relays())

    def do_freeze(self):
        self.disturbed_at = self.fleet.clock.now()
        self.fleet.paused.add(self.choose_host())

    def do_thaw(self):
        self.disturbed_at = self.fleet.clock.now()
        self.fleet.paused.clear()
        self.check()

    def do_cut_relays(self):
        self.fleet.store.cut.update(self.list_relays())

    def do_cut(self):
        self.fleet.store.cut.add(self.choose_host())

    def do_mend(self):
        self.fleet.store.cut.clear()

    def do_compact(self):
        self.fleet.store.state.compact()

    def do_change_document(self):
        self.fleet.store.change()

    def do_write_other(self):
        self.fleet.store.state.put("servers/1", b"registered")

    def do_lose_datagrams(self):
        self.fleet._fleet.network.loss = self.rng.choice((0.0, 0.3, 0.7, 1.0))

    def do_copy(self):
        self.copy = self.fleet.store.state.take_copy()

    def do_restore(self):
        if self.copy is not None and self.operator._write_again_at is None:
            self.disturbed_at = self.fleet.clock.now()
            self.operator.restore(self.copy)
            self.copy = None

    def list_relays(self):
        data_centre = self.choose_data_centre()
        hosts = [
            host for host in self.fleet.synced if host.startswith(f"{data_centre}.")
        ]
        if all(host in self.fleet.paused for host in hosts):
            return []
        return self.fleet.list_relays(data_centre, 2)


@pytest.mark.parametrize("shard", range(SHARDS))
def test_no_order_of_events_lets_a_node_admit_in_an_evacuated_data_centre(shard):
    first = shard * ORDERS_PER_SHARD
    for seed in range(first, first + ORDERS_PER_SHARD):
        assert RandomOrder(seed).run() == []


def run_calm_fleet(has_evacuations):
    """Return a fleet that has settled, and the targets of its calls in 10 s."""
    fleet = SyncedFleet((4, 4), 1, has_evacuations)
    fleet.run(SETTLE_S + APPLY_S)
    fleet.store.state.calls.clear()
    fleet.run(10.0)
    return fleet, list(fleet.store.state.calls)


def test_deployment_without_evacuations_asks_for_the_document_alone():
    _, calls = run_calm_fleet(has_evacuations=False)
    assert [call for call in calls if "evacuate" in call] == []
    probes = [call for call in calls if call.endswith("WaitMs=0")]
    document_only = [call for call in probes if "Prefix=op%2Fconfig&" in call]
    # The simulated watch of a relay asks again at each step.
    watches = [call for call in probes if "Prefix=op%2F&" in call]
    assert document_only != []
    assert len(document_only) + len(watches) == len(probes)


def test_known_evacuations_cost_no_further_calls():
    _, calls = run_calm_fleet(has_evacuations=True)
    _, plain_calls = run_calm_fleet(has_evacuations=False)
    assert [call for call in calls if "evacuate" in call] == []
    assert len(calls) <= len(plain_calls) * 1.02


def test_quiet_fleet_evacuates_and_returns_within_the_time_of_a_document():
    # The relays' watches bring a change; the probes alone would be late for a return.
    fleet, _ = run_calm_fleet(has_evacuations=True)
    operator = Operator(fleet)
    data_centre, other = fleet.list_data_centres()
    for change, expected in ((operator.evacuate, False), (operator.lift, True)):
        change(data_centre)
        fleet.run(0.3)
        for host, node in fleet.synced.items():
            is_there = host.startswith(f"{data_centre}.")
            assert node.may_admit() is (expected or not is_there), host
            assert node.evacuations.is_evacuated(data_centre) is not expected, host
            assert not node.evacuations.is_evacuated(other)


def test_document_that_is_newer_than_the_list_does_not_hide_an_evacuation():
    # The document of another node is known to be the newest at a revision after the
    # evacuation, of which the datagram was lost.
    fleet = SyncedFleet((1,), 1, has_evacuations=True)
    fleet.run(SETTLE_S)
    (node,) = fleet.synced.values()
    Operator(fleet).evacuate("10.0.1")
    fleet.store.state.put("servers/1", b"registered")
    node.stop_watching()
    held = node.documents.held
    revision = fleet.store.state.revision
    node.documents.note_unchanged(held, held.stamp.generation, revision)
    fleet.run(EVACUATION_S)
    assert node.evacuations.is_evacuated("10.0.1")


def test_invalid_document_does_not_close_the_owners():
    # The document is not confirmed then, but the evacuations are.
    fleet = SyncedFleet((3, 3), 1, has_evacuations=True)
    fleet.run(SETTLE_S)
    fleet.store.state.remove(DOCUMENT_KEY)
    fleet.run(3 * EVACUATION_S)
    assert all(node.may_admit() for node in fleet.synced.values())


def test_store_outage_does_not_close_the_owners():
    fleet = SyncedFleet((3, 3), 1, has_evacuations=True)
    fleet.run(SETTLE_S)
    for silence in ("is_away", "cut"):
        value = True if silence == "is_away" else set(fleet.synced)
        setattr(fleet.store, silence, value)
        for _ in range(150):
            fleet.run(STEP_S)
            assert all(node.may_admit() for node in fleet.synced.values()), silence
        fleet.store.is_away = False
