import testtools

from persimmonlane.invariants import InvariantError
from persimmonlane.trials.breaks import breaks
from persimmonlane.trials.tests.stress import RUN_S, build_stress


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
