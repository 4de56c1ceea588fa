import testtools

from ...clocks import ManualClock
from ...explaining.tests.test_events import capture_records
from ...owner.evacuation import EvacuationGate
from ...upkeep.evacuations import EvacuationHolder, EvacuationList
from ..evacuations import EvacuationLog, LocatedServer
from ..records import to_builtins


class Settings:
    data_centre = "south"
    evacuation_s = 5.0
    regions = {"south": "a", "north": "a", "west": "b"}


class EvacuationLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(50.0)
        self.records = capture_records(self, "persimmonlane.reporting")
        self.servers = [
            LocatedServer("south", "prices", 3),
            LocatedServer("south", "stock", 1),
            LocatedServer("north", "prices", 2),
        ]
        self.holder = EvacuationHolder(Settings, self.clock)
        self.log = EvacuationLog(
            Settings,
            self.clock,
            self.holder,
            EvacuationGate(Settings, self.clock, self.holder),
            lambda: self.servers,
        )
        self.holder.add_listener(self.log.note_change)

    def merge(self, revision, *names):
        self.records.clear()
        self.holder.merge(EvacuationList(1, revision, names))
        return [record.getMessage() for record in self.records]

    def test_begin_and_end_are_logged_once(self):
        lines = self.merge(1, "north")
        self.assertEqual(
            ["Reporting: data centre north is evacuated; 2 requests run there."], lines
        )
        self.clock.advance(7.0)
        self.assertEqual([], self.merge(2, "north"))
        self.assertEqual(
            ["Reporting: the evacuation of north has ended after 7.0 s."],
            self.merge(3),
        )

    def test_data_centre_that_the_settings_do_not_name_is_reported(self):
        self.assertIn(
            "Reporting: evacuated data centre east is not known.", self.merge(1, "east")
        )

    def test_service_that_is_left_without_servers_is_reported(self):
        self.assertIn(
            "Reporting: all backend servers of stock are in evacuated data centres.",
            self.merge(1, "south"),
        )

    def test_evacuation_of_all_is_reported(self):
        self.assertIn(
            "Reporting: all data centres are evacuated.",
            self.merge(1, "north", "south", "west"),
        )

    def test_report_says_since_when_and_what_runs(self):
        self.merge(1, "south")
        self.clock.advance(2.0)
        self.assertEqual(
            {
                "known": True,
                "age_s": -1.0,
                "refused": 0,
                "data_centres": [
                    {"data_centre": "south", "since_s": 2.0, "running": 4}
                ],
            },
            to_builtins(self.log.describe()),
        )
