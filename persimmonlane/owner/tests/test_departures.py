import testtools

from ..departures import MAX_DEPARTURES, Departure, Departures
from .test_backend import build_heartbeat


class DeparturesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.departures = Departures()

    def find(self, **changes):
        return self.departures.find(build_heartbeat(**changes))

    def test_process_is_bound_and_no_other_one(self):
        self.departures.add(Departure("i-1", 100, 500))
        self.assertIsNotNone(self.find(born=100))
        self.assertIsNone(self.find(born=99))
        self.assertIsNone(self.find(born=101))
        self.assertIsNone(self.find(born=100, server_id="i-2"))

    def test_process_without_a_start_time_is_bound_by_the_time_of_its_word(self):
        self.departures.add(Departure("i-1", None, 500))
        self.assertIsNotNone(self.find(born=500))
        self.assertIsNone(self.find(born=501))

    def test_known_process_goes_before_an_unknown_one(self):
        self.departures.add(Departure("i-1", None, 500))
        self.departures.add(Departure("i-1", 100, 600))
        self.assertTrue(self.find(born=100).is_exact)
        self.assertFalse(self.find(born=101).is_exact)

    def test_repetition_is_no_news(self):
        for born in (100, None):
            self.assertTrue(self.departures.add(Departure("i-1", born, 500)))
            self.assertFalse(self.departures.add(Departure("i-1", born, 500)))

    def test_later_departure_of_an_unknown_process_covers_the_earlier_one(self):
        for heard_ms in (500, 600, 550):
            self.departures.add(Departure("i-1", None, heard_ms))
        self.assertEqual([600], [item.heard_ms for item in self.departures.list()])

    def test_oldest_are_forgotten(self):
        for number in range(MAX_DEPARTURES + 1):
            self.departures.add(Departure(f"i-{number}", 100, 500))
        self.assertIsNone(self.find(server_id="i-0"))
        self.assertIsNotNone(self.find(server_id="i-1"))
        self.assertEqual(MAX_DEPARTURES, len(self.departures.list()))
