import pathlib
import tempfile

import testtools

from ..losses import Tolerance
from ..plan import draw_plan
from ..report import describe_finding
from ..running import run_plan

SECONDS = 11.0
VMS = 3
# Generous limits, as the machine may be busy with other tests.
TOLERANCE = Tolerance(close_race_s=2.0, kill_after_s=60.0)
CROWD_SIZE = 4


class SoakTests(testtools.TestCase):
    def soak(self, seed, crowd_size=0):
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            plan = draw_plan(seed, SECONDS, VMS)
            outcome = run_plan(plan, directory, TOLERANCE, crowd_size)
            logs = sorted(directory.glob("*.log"))
            lines = [describe_finding(outcome, item, logs) for item in outcome.findings]
        self.assertEqual([], lines, "\n".join(lines))
        self.assertEqual(0, outcome.unexpected_exits)
        self.assertIn(200, {exchange.status for exchange in outcome.exchanges})

    def test_seed_5(self):
        self.soak(5)

    def test_seed_14(self):
        self.soak(14)

    def test_seed_27(self):
        self.soak(27)

    def test_seed_3_beside_clients_that_misbehave(self):
        self.soak(3, CROWD_SIZE)
