import testtools

from persimmonlane.trials.fleet import Fleet
from persimmonlane.trials.network import NetworkFaults
from persimmonlane.trials.runs import run_randomised
from persimmonlane.trials.sites import Load, sites
from persimmonlane.trials.tests.stress import RUN_S


class RandomisedRunTest(testtools.TestCase):
    def test_fixed_seeds(self):
        for seed in (1, 2, 3):
            result = run_randomised(seed, RUN_S)
            self.assertTrue(result.summary.requests > 1000)

    def test_same_seed_same_run(self):
        first = run_randomised(11, 4.0)
        self.assertEqual(first, run_randomised(11, 4.0))
        self.assertNotEqual(first.digest, run_randomised(12, 4.0).digest)


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
