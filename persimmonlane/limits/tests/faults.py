"""Randomised faults.

Runs a simulated fleet under traffic beyond the rates while nodes restart and pause,
messages are lost, late, doubled and cut one way, and the store comes and goes.
"""

import random

from persimmonlane.config.model import Organisation
from persimmonlane.limits.tests.fakes import FakeView
from persimmonlane.limits.tests.simulation import Fleet

ORGANISATIONS = (
    Organisation(name="acme", rate=100, burst=20),
    Organisation(name="bolt", rate=20, burst=100),
    Organisation(name="cove", rate=3, burst=2),
)
FAULT_GAP_S = 1.5
MOVE_S = 3.0


class Faults:
    """Draws faults and brings them about; each method is one kind."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.names = list(fleet.processes)

    def bring(self):
        kinds = (
            self.restart,
            self.pause,
            self.pause_holder,
            self.kill_holder,
            self.cut_one_way,
            self.take_store_away,
            self.cut_from_store,
        )
        self.rng.choice(kinds)()

    def restart(self):
        self.fleet.restart(self.rng.choice(self.names), self.rng.choice((0.05, 0.5, 3)))

    def pause(self, names=None):
        name = self.rng.choice(names or self.names)
        if name in self.fleet.processes:
            self.fleet.pause(name, self.rng.choice((0.3, 1.3, 2, 5, 9)))

    def pause_holder(self):
        self.pause(self.fleet.list_holders())

    def kill_holder(self):
        holders = self.fleet.list_holders() or self.names
        self.fleet.restart(self.rng.choice(holders), self.rng.choice((0.05, 0.5, 3)))

    def cut_one_way(self):
        pair = (self.rng.choice(self.names), self.rng.choice(self.names))
        self.fleet.network.cut.add(pair)
        self.later((1, 3, 10), self.fleet.network.cut.discard, pair)

    def take_store_away(self):
        self.fleet.store.away = True
        self.later((1, 5, 15), setattr, self.fleet.store, "away", False)

    def cut_from_store(self):
        name = self.rng.choice(self.names)
        self.fleet.cut_from_store.add(name)
        self.later((2, 8, 20), self.fleet.cut_from_store.discard, name)

    def later(self, delays, action, *arguments):
        self.fleet.world.after(self.rng.choice(delays), action, *arguments)


def run_with_faults(seed, duration_s=40.0, nodes=5, drift=0.001, **options):
    """Run a fleet under faults; return it, or raise `OverAdmission`."""
    rng = random.Random(seed)
    fleet = Fleet(
        FakeView(*ORGANISATIONS, shards=2),
        nodes=nodes,
        seed=seed,
        drift=drift,
        store_loss=rng.choice((0, 0.1, 0.3)),
        loss=rng.choice((0, 0.05, 0.2)),
        doubled=rng.choice((0, 0.2)),
        late=rng.choice((0, 0.1)),
        **options,
    )
    for organisation in ORGANISATIONS:
        add_traffic(fleet, rng, organisation, rng.choice((0.8, 1.5, 4)), duration_s)
    faults = Faults(fleet, rng)
    when = 3.0
    while when < duration_s:
        when += rng.expovariate(1 / FAULT_GAP_S)
        fleet.world.at(when, faults.bring)
    fleet.run(duration_s)
    return fleet


def add_traffic(fleet, rng, organisation, factor, duration_s):
    """Add requests that move between nodes, at a factor of the rate."""
    names = list(fleet.processes)
    when = 1.0
    while when < duration_s:
        when += rng.expovariate(organisation.rate * factor)
        moving = names[int(when / MOVE_S) % len(names)]
        name = moving if rng.random() < 0.7 else rng.choice(names)
        fleet.world.at(when, fleet.request, name, organisation.name)
