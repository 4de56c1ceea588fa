import msgspec
import testtools

from ...clocks import ManualClock
from ...decoding import decode_msgpack
from ...errors import InputError
from ...upkeep.evacuations import EvacuationHolder, EvacuationList
from ..digests import build_member
from ..messages import decoder, encoder
from ..statuses import Announcement, Delta, Digest, strip_evacuations
from .simulation import Fleet

LISTED = EvacuationList(1, 5, ("south",))
PLAIN = Announcement("n-1", 7, 3, "10.0.0.1:80", "south", False, 4, 0.5, 1, 2, None)
PLAIN_FIELDS = 19
PLAIN_DIGEST_FIELDS = 12


class Settings:
    evacuation_s = 5.0


def build_announcement(evacuations):
    return msgspec.structs.replace(PLAIN, evacuations=evacuations)


class EvacuationEncodingTests(testtools.TestCase):
    def test_deployment_without_evacuations_sends_no_further_bytes(self):
        fields = msgspec.msgpack.decode(encoder.encode(PLAIN))
        self.assertEqual(PLAIN_FIELDS, len(fields))
        digest = Digest(7, 3, 4, 500, 1, 2, [])
        fields = msgspec.msgpack.decode(encoder.encode(digest))
        self.assertEqual(PLAIN_DIGEST_FIELDS, len(fields))

    def test_list_is_decoded_again(self):
        for message in (
            build_announcement(LISTED),
            Digest(7, 3, 4, 500, 1, 2, [], evacuations=LISTED),
            PLAIN,
        ):
            self.assertEqual(message, decoder.decode(encoder.encode(message)))

    def test_release_without_evacuations_reads_the_announcement(self):
        raw = encoder.encode(build_announcement(LISTED))
        older = type(strip_evacuations(PLAIN))
        self.assertEqual("n-1", msgspec.msgpack.decode(raw, type=older).node)

    def test_member_of_another_data_centre_carries_no_list(self):
        member = build_member(build_announcement(LISTED), 0.1)
        self.assertEqual(strip_evacuations(PLAIN), member.announcement)

    def test_malformed_lists_are_refused_as_a_whole(self):
        fields = msgspec.msgpack.decode(encoder.encode(build_announcement(LISTED)))
        many = [1, 5, ["zone"] * 65]
        for odd in (7, "south", [], [1], [-1, 5, []], [1, 5, [3]], [1, 5, "a"], many):
            raw = msgspec.msgpack.encode([*fields[:-1], odd])
            self.assertRaises(InputError, decode_msgpack, raw, decoder)


class EvacuationSpreadTests(testtools.TestCase):
    """Nodes of one data centre whose lists come from datagrams alone."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet((3,))
        self.holders = {}
        for host, node in self.fleet.nodes.items():
            holder = EvacuationHolder(Settings, self.fleet.clock)
            holder.merge(EvacuationList(1, 2))
            self.holders[host] = holder
            for part in (node.gossip, node.gossip._remotes):
                part._evacuations = holder
        self.first, *self.others = self.fleet.nodes
        self.fleet.run(3.0)

    def list_messages(self, kind):
        return [
            message for _, message in self.fleet.network.seen if type(message) is kind
        ]

    def test_change_is_sent_in_full_and_then_as_a_delta(self):
        self.fleet.network.seen.clear()
        self.fleet.run(2.0)
        self.assertEqual([], self.list_messages(Announcement))
        self.holders[self.first].merge(LISTED)
        self.fleet.run(1.5)
        self.assertNotEqual([], self.list_messages(Announcement))
        for host in self.others:
            self.assertEqual({"south"}, self.holders[host].names, host)
        self.fleet.run(4.0)
        self.fleet.network.seen.clear()
        self.fleet.run(2.0)
        self.assertEqual([], self.list_messages(Announcement))
        self.assertNotEqual([], self.list_messages(Delta))

    def test_fresh_document_comes_with_the_evacuation(self):
        # A node would else know that its document is fresh, and not ask the store.
        self.holders[self.first].merge(LISTED)
        self.fleet.network.loss = 0.5
        now = self.fleet.clock.now()
        self.fleet.nodes[self.first].table.freshness.mark(now)
        for _ in range(40):
            self.fleet.run(0.1)
            for host in self.others:
                fresh = self.fleet.nodes[host].table.freshness.confirmed_at
                if fresh is not None:
                    self.assertEqual({"south"}, self.holders[host].names, host)

    def test_age_of_a_node_without_evacuations_confirms_nothing(self):
        node = self.fleet.nodes[self.first]
        for part in (node.gossip, node.gossip._remotes):
            part._evacuations = None
        self.fleet.run(2.0)
        node.table.freshness.mark(self.fleet.clock.now())
        self.fleet.run(3.0)
        for host in self.others:
            table = self.fleet.nodes[host].table
            self.assertIsNone(table.freshness.confirmed_at)


class MixedFleetTests(testtools.TestCase):
    def test_node_without_evacuations_ignores_a_list(self):
        fleet = Fleet((2,))
        first, second = fleet.nodes
        holder = EvacuationHolder(Settings, ManualClock(1.0))
        holder.merge(LISTED)
        fleet.nodes[first].gossip._evacuations = holder
        fleet.nodes[first].table.freshness.mark(fleet.clock.now())
        fleet.run(3.0)
        self.assertIsNotNone(fleet.nodes[second].table.freshness.confirmed_at)
