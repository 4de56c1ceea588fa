import testtools

from ...clocks import ManualClock
from ...localities import RegionMap
from ...peers.table import PeerTable
from ...upkeep.evacuations import EvacuationHolder, EvacuationList
from ..candidates import CandidateFinder
from .test_placement import build_news


class Settings:
    data_centre = "south"
    evacuation_s = 5.0

    @staticmethod
    def build_region_map():
        return RegionMap("south", {})


class NodeState:
    def __init__(self, server):
        self.server = server


class EvacuatedCandidatesTests(testtools.TestCase):
    """A node in the south with peers in the south and in the north."""

    def setUp(self):
        super().setUp()
        clock = ManualClock(5.0)
        self.table = PeerTable("self", "south", 1, clock)
        for number, is_local in ((2, True), (3, False)):
            self.table.apply_announcement(build_news(number, is_local))
        self.evacuations = EvacuationHolder(Settings, clock)
        own = NodeState(build_news(1).server)
        self.finder = CandidateFinder(
            Settings, clock, lambda: own, self.table, self.evacuations
        )

    def find(self):
        return [item.server.server_id for item in self.finder.find("prices")]

    def test_servers_of_evacuated_data_centres_are_left_out(self):
        self.evacuations.merge(EvacuationList(1, 5))
        self.assertEqual(["i-1", "i-2", "i-3"], self.find())
        self.evacuations.merge(EvacuationList(1, 6, ("north",)))
        self.assertEqual(["i-1", "i-2"], self.find())
        # Also the server on the same VM.
        self.evacuations.merge(EvacuationList(1, 7, ("south",)))
        self.assertEqual(["i-3"], self.find())

    def test_no_server_is_chosen_before_the_list_is_known(self):
        # An owner that is cut off from the platform may not refuse the request.
        self.assertEqual([], self.find())
