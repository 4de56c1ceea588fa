import random

import testtools

from ...clocks import ManualClock
from ...peers.table import PeerTable
from ..documents import DocumentHolder
from ..storesync import StoreSync


class Settings:
    name = "self"


class Rulebook:
    version = 2


class UnconfirmedTimeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.table = PeerTable("self", "south", 1, self.clock)
        self.documents = DocumentHolder(lambda raw: Rulebook)
        StoreSync(
            Settings,
            self.clock,
            None,
            None,
            self.documents,
            None,
            self.table,
            None,
            random.Random(1),
            None,
            None,
        )

    def test_log_tells_how_long_the_old_version_was_not_confirmed(self):
        self.table.freshness.mark(99.0)
        self.clock.advance(1.5)
        with self.assertLogs("persimmonlane.upkeep", "INFO") as logs:
            self.documents.apply(b"", "a test")
        self.assertIn("confirmed 2.50 s before", logs.output[-1])

    def test_first_version_replaces_none(self):
        with self.assertLogs("persimmonlane.upkeep", "INFO") as logs:
            self.documents.apply(b"", "a test")
        self.assertEqual(1, len(logs.output))
