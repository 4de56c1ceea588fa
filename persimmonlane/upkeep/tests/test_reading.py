import testtools

from .. import longreads
from .simulation import APPLY_S, SyncedFleet

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

    def test_long_document_is_read_by_one_relay_of_each_data_centre(self):
        # Guards against all nodes reading it at once over a narrow link.
        self.fleet.store.long_reads = 0
        lateness_s = 0.0
        for _ in range(5):
            self.fleet.store.change(LONG_ROUTES)
            changed_at = self.fleet.clock.now()
            self.fleet.run(4.0)
            version = self.fleet.store.version
            lateness_s = max(
                lateness_s,
                *(
                    node.applied_at[version] - changed_at
                    for node in self.fleet.synced.values()
                ),
            )
        self.assertTrue(self.fleet.store.long_reads <= 5 * (len(SIZES) + 1))
        self.assertTrue(lateness_s < APPLY_S, lateness_s)

    def test_long_document_is_read_although_no_relay_passes_it_on(self):
        for data_centre in self.fleet.list_data_centres():
            relays = self.fleet.list_relays(data_centre, 2)
            self.fleet.paused.update(relays)
        changed_at = self.fleet.clock.now()
        self.fleet.store.change(LONG_ROUTES)
        self.fleet.run(6.0)
        version = self.fleet.store.version
        for host, node in self.fleet.synced.items():
            if host not in self.fleet.paused:
                late_s = node.applied_at[version] - changed_at
                self.assertTrue(late_s < 4.0, late_s)

    def test_node_knows_that_its_document_is_replaced_before_it_has_the_new_one(self):
        # Guards against requests that run by the old one while the new one is read.
        self.patch(longreads, "RELAY_TIME_S", 60.0)
        for data_centre in self.fleet.list_data_centres():
            relays = self.fleet.list_relays(data_centre, 2)
            self.fleet.paused.update(relays)
        self.fleet.store.change(LONG_ROUTES)
        changed_at = self.fleet.clock.now()
        version = self.fleet.store.version
        while self.fleet.clock.now() < changed_at + 5.0:
            self.fleet.run(0.1)
            for host, node in self.fleet.synced.items():
                late_s = self.fleet.clock.now() - changed_at
                if host in self.fleet.paused or late_s < APPLY_S + 0.2:
                    continue
                is_known = node.documents.is_superseded()
                self.assertTrue(is_known or node.documents.version == version, late_s)

    def test_nodes_that_start_with_a_long_document_do_not_read_it_all_at_once(self):
        self.fleet.store.long_reads = 0
        for host in list(self.fleet.synced):
            self.fleet.restart(host)
        self.fleet.run(4.0)
        versions = {node.documents.version for node in self.fleet.synced.values()}
        self.assertEqual({self.fleet.store.version}, versions)
        self.assertTrue(self.fleet.store.long_reads < sum(SIZES))

    def test_nodes_that_fetched_the_document_from_others_do_not_read_it(self):
        before = self.count_reads()
        for data_centre in self.fleet.list_data_centres():
            relays = self.fleet.list_relays(data_centre, 2)
            self.fleet.paused.update(relays)
        self.state.put("servers/1", b"registered")
        self.fleet.run(6.0)
        self.assertEqual(before, self.count_reads())
