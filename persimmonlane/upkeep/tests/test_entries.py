import msgspec
import testtools

from ...owner.departures import Departure
from ...platform.store import StoreItem
from ..entries import (
    NodeEntry,
    build_departures,
    build_entry_key,
    decode_entry,
    encode_departures,
)
from .simulation import SyncedFleet

HOST = "10.0.1.1"
KEY = build_entry_key(f"vm-{HOST}")
SETTLE_S = 9.0
RETURN_S = 2.0
BORN_MS = 1_800_000_000_000


def build_departure(server_id="i-1", born=BORN_MS):
    return Departure(server_id, born, BORN_MS + 5000)


class EntryTests(testtools.TestCase):
    def decode(self, value):
        return decode_entry(StoreItem(KEY, value, 1))

    def test_departures_are_decoded_as_they_were_encoded(self):
        departures = [build_departure(), build_departure("i-2", None)]
        entry = NodeEntry("10.0.0.1:80", departures=encode_departures(departures))
        decoded = build_departures(self.decode(msgspec.json.encode(entry)))
        self.assertEqual(
            [(item.server_id, item.born, item.heard_ms) for item in departures],
            [(item.server_id, item.born, item.heard_ms) for item in decoded],
        )

    def test_entry_of_an_older_release_has_no_departures(self):
        self.assertEqual([], self.decode(b'{"address": "10.0.0.1:80"}').departures)

    def test_odd_departures_are_invalid(self):
        for text in ('["i", -1, 1]', '["i", 1]', "[1, 1, 1]", '["i", 1, 1e300]', "7"):
            value = f'{{"address": "10.0.0.1:80", "departures": [{text}]}}'
            self.assertIsNone(self.decode(value.encode()), text)


class KeptDeparturesTests(testtools.TestCase):
    """What a node has acknowledged of leaving is kept in its entry."""

    def setUp(self):
        super().setUp()
        self.fleet = SyncedFleet((3, 3), 1)
        self.store = self.fleet.store
        self.fleet.run(SETTLE_S)

    @property
    def node(self):
        return self.fleet.synced[HOST]

    def depart(self, departure=None):
        """Let the backend server of the node depart; return whether that is kept."""
        self.node.departures.add(departure or build_departure())
        return self.node.keep_departures()

    def list_read(self):
        """Return the identifiers that the node's process has read from the store."""
        return [
            departure.server_id
            for departures in self.node.read_departures
            for departure in departures
        ]

    def restart(self):
        self.fleet.restart(HOST)
        self.fleet.run(RETURN_S)

    def test_new_node_learns_that_nothing_has_departed(self):
        self.assertEqual([[]], self.node.read_departures)

    def test_restarted_node_reads_what_departed(self):
        self.assertTrue(self.depart())
        self.restart()
        self.assertEqual(["i-1"], self.list_read())

    def test_nothing_is_forgotten_over_many_restarts(self):
        for number in range(4):
            self.assertTrue(self.depart(build_departure(f"i-{number}")))
            self.restart()
            for departure in self.node.read_departures[0]:
                self.node.departures.add(departure)
        self.assertEqual([f"i-{number}" for number in range(4)], self.list_read())

    def test_departure_is_written_with_one_call_and_a_repetition_with_none(self):
        for expected in (1, 0):
            before = self.store.call_count
            self.assertTrue(self.depart())
            self.assertEqual(expected, self.store.call_count - before)

    def test_departure_is_not_kept_by_a_store_that_is_away(self):
        self.store.is_away = True
        self.assertFalse(self.depart())
        self.store.is_away = False
        self.fleet.run(RETURN_S)
        self.restart()
        self.assertEqual(["i-1"], self.list_read())

    def test_departure_is_not_kept_under_a_lease_that_has_ended(self):
        self.store.state.expire_leases()
        self.assertFalse(self.depart())
        self.fleet.run(RETURN_S)
        self.assertTrue(self.depart())
        self.restart()
        self.assertEqual(["i-1"], self.list_read())

    def test_departure_is_written_again_after_a_restore_of_the_store(self):
        copy = self.store.state.take_copy()
        self.assertTrue(self.depart())
        self.store.state.restore(copy)
        self.fleet.run(RETURN_S)
        self.restart()
        self.assertEqual(["i-1"], self.list_read())

    def test_write_that_is_executed_late_does_not_remove_a_departure(self):
        item = self.store.state.read(KEY)[1]
        late = {
            "Expected": [{"Key": KEY, "Revision": item["Revision"]}],
            "SetKeys": [{"Key": KEY, "Value": "e30=", "Lease": item["Lease"]}],
            "Remove": [],
        }
        self.assertTrue(self.depart())
        self.store.state.apply_transaction(late)
        self.restart()
        self.assertEqual(["i-1"], self.list_read())

    def test_every_write_of_the_entry_expects_a_revision(self):
        self.fleet.run(SETTLE_S)
        self.depart()
        self.restart()
        writes = [body for body in self.store.transactions if body["SetKeys"]]
        self.assertNotEqual([], writes)
        for body in writes:
            written = [item["Key"] for item in body["SetKeys"]]
            self.assertEqual(written, [item["Key"] for item in body["Expected"]])

    def test_odd_entry_under_the_name_of_the_node_is_replaced(self):
        self.store.state.put(KEY, b"\xff")
        self.restart()
        self.assertEqual([[]], self.node.read_departures)
        self.assertTrue(self.depart())
