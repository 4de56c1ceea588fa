import random

import testtools

from persimmonlane.invariants import InvariantError
from persimmonlane.trials.breaks import breaks
from persimmonlane.trials.fleet import Fleet
from persimmonlane.trials.network import NetworkFaults
from persimmonlane.trials.runs import run_randomised
from persimmonlane.trials.sites import Load, sites
from persimmonlane.trials.spread import Spread

RUN_S = 14.0
CUT_S = 3.0


def build_stress(seed=3):
    """Return a fleet with most servers of one service failing and nodes cut off."""
    site = sites.get_by_name("cooperativa")()
    document = site.build_document()
    fleet = Fleet(site, document, seed)
    addresses = sorted(fleet.backends)
    for number, address in enumerate(addresses[:8]):
        name = ("wrong", "hung", "stopped")[number % 3]
        fleet.schedule.call_later(1.0 + number / 4, fleet.fail, address, name)
    excess = Load("organisation-7", 200.0)
    fleet.send_load(excess, RUN_S)
    spread = Spread(fleet, random.Random(seed))
    fleet.network.faults = NetworkFaults(doubling=0.3, jitter_s=0.3)
    fleet.schedule.call_later(CUT_S, cut_off, fleet, spread)
    return fleet


def cut_off(fleet, spread):
    first = fleet.nodes[0].name
    for other in fleet.nodes[1:]:
        fleet.network.cut(first, other.name)
        fleet.network.cut(other.name, first)
    spread.cut_from_store.add(first)


class RandomisedRunTest(testtools.TestCase):
    def test_fixed_seeds(self):
        for seed in (1, 2, 3):
            result = run_randomised(seed, RUN_S)
            self.assertTrue(result.summary.requests > 1000)

    def test_same_seed_same_run(self):
        first = run_randomised(11, 4.0)
        self.assertEqual(first, run_randomised(11, 4.0))
        self.assertNotEqual(first.digest, run_randomised(12, 4.0).digest)


class StressTest(testtools.TestCase):
    def test_invariants_hold_under_stress(self):
        fleet = build_stress()
        fleet.run(RUN_S)
        summary = fleet.measures.summarise()
        self.assertTrue(summary.detected >= 3)

    def test_every_break_makes_the_run_fail(self):
        for name in breaks.names():
            found = self.find_violation(breaks.get_by_name(name))
            self.assertEqual(f"invariant-{breaks.get_by_name(name).code}", found, name)

    def find_violation(self, broken):
        with broken.apply():
            try:
                build_stress().run(RUN_S)
            except InvariantError as error:
                return error.code
        return None


class RateTest(testtools.TestCase):
    def test_an_organisation_beyond_its_rate_is_held_to_it(self):
        site = sites.get_by_name("agence")()
        fleet = Fleet(site, site.build_document(), 5)
        fleet.send_load(Load("organisation-0", 600.0), RUN_S)
        fleet.run(RUN_S)
        counts = fleet.measures.summarise()
        self.assertTrue(counts.requests > 1000)

    def test_loans_under_a_broken_network(self):
        site = sites.get_by_name("agence")()
        fleet = Fleet(site, site.build_document(), 6)
        fleet.network.faults = NetworkFaults(loss=0.3, doubling=0.5, jitter_s=0.4)
        fleet.send_load(Load("organisation-0", 600.0), RUN_S)
        fleet.run(RUN_S)
