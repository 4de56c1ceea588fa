import testtools

from .simulation import SyncedFleet

SIZES = (4, 4)
LONG_ROUTES = "route;" * 80_000
READ = "GET /persimmonlane/kv-key?Key=op%2Fconfig"


class ReadingTests(testtools.TestCase):
    """Nodes that read a long document whenever anything in the store has changed."""

    def setUp(self):
        super().setUp()
        self.fleet = SyncedFleet(SIZES, 1)
        self.fleet.run(4.0)
        self.fleet.store.change(LONG_ROUTES)
        self.fleet.run(4.0)
        self.state = self.fleet.store.state

    def count_reads(self):
        return self.state.calls.count(READ)

    def test_changes_of_other_keys_cause_no_read_of_the_document(self):
        before = self.count_reads()
        for number in range(10):
            self.state.put(f"servers/{number}", b"registered")
            self.fleet.run(1.0)
        self.assertEqual(before, self.count_reads())
        ages = [
            self.fleet.clock.now() - node.confirmed_at
            for node in self.fleet.synced.values()
        ]
        self.assertTrue(max(ages) < 2.0, ages)

    def test_nodes_that_fetched_the_document_from_others_do_not_read_it(self):
        before = self.count_reads()
        for data_centre in self.fleet.list_data_centres():
            relays = self.fleet.list_relays(data_centre, 2)
            self.fleet.paused.update(relays)
        self.state.put("servers/1", b"registered")
        self.fleet.run(6.0)
        self.assertEqual(before, self.count_reads())
