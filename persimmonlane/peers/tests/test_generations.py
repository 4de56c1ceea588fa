import msgspec
import testtools

from ...clocks import ManualClock
from ...routing.stamps import DocumentStamp
from ..freshness import DocumentFreshness
from ..messages import decoder, encoder
from ..statuses import Announcement, Delta, Digest
from .simulation import Fleet, LegacyDelta
from .test_gossip import deliver

DOCUMENT_GENERATION = 5
STORE_GENERATION = 6


class StampTests(testtools.TestCase):
    def test_newer_version_is_newer_in_any_generation(self):
        self.assertLess(DocumentStamp(7, 3), DocumentStamp(8, 2))
        self.assertLess(DocumentStamp(7, 2), DocumentStamp(7, 3))

    def test_document_covers_those_that_it_followed_in_the_store(self):
        held = DocumentStamp(7, 3)
        for version, generation in ((7, 3), (6, 3), (7, 2), (5, 1)):
            self.assertTrue(held.covers(DocumentStamp(version, generation)))

    def test_version_that_a_restored_store_lacks_covers_nothing_there(self):
        held = DocumentStamp(7, 3)
        for version, generation in ((6, 4), (7, 4), (8, 3)):
            self.assertFalse(held.covers(DocumentStamp(version, generation)))

    def test_word_of_an_older_release_counts_without_generations_only(self):
        self.assertFalse(DocumentStamp(7, 3).covers(DocumentStamp(7, 0)))
        self.assertTrue(DocumentStamp(7, 0).covers(DocumentStamp(6, 0)))


class FreshnessTests(testtools.TestCase):
    def test_confirmation_waits_for_the_document_of_its_generation(self):
        freshness = DocumentFreshness(ManualClock(100.0))
        freshness.mark_document(DocumentStamp(7, 4), 99.0, DocumentStamp(7, 3))
        self.assertEqual(None, freshness.confirmed_at)
        freshness.apply_document_in_force(DocumentStamp(7, 3))
        self.assertEqual(None, freshness.confirmed_at)
        freshness.apply_document_in_force(DocumentStamp(7, 4))
        self.assertEqual(99.0, freshness.confirmed_at)

    def test_older_document_of_a_restored_store_is_no_confirmation(self):
        freshness = DocumentFreshness(ManualClock(100.0))
        freshness.mark_document(DocumentStamp(6, 4), 99.0, DocumentStamp(7, 3))
        freshness.apply_document_in_force(DocumentStamp(7, 4))
        self.assertEqual(None, freshness.confirmed_at)


class MessageTests(testtools.TestCase):
    def test_delta_of_an_older_release_names_no_generation(self):
        raw = encoder.encode(LegacyDelta(1, 2, 7, 300, 0, 0, None))
        delta = decoder.decode(raw)
        self.assertEqual((0, 0), (delta.document_generation, delta.store_generation))

    def test_older_release_reads_a_delta_with_generations(self):
        raw = encoder.encode(Delta(1, 2, 7, 300, 0, 0, None, 5, 6))
        legacy = msgspec.msgpack.decode(raw, type=LegacyDelta)
        self.assertEqual((1, 2, 7), (legacy.boot, legacy.sequence, legacy.version))

    def test_generation_that_is_no_count_is_invalid(self):
        for bad in (-1, 1 << 41, "x", 1.5):
            for message in (
                Delta(1, 2, 7, 300, 0, 0, None, bad),
                Digest(1, 2, 7, 300, 0, 0, [], False, 0, bad),
            ):
                raw = encoder.encode(message)
                self.assertRaises(msgspec.ValidationError, decoder.decode, raw)


class SpreadTests(testtools.TestCase):
    def test_each_node_hears_of_a_restore_from_the_others(self):
        fleet = Fleet((4,))
        fleet.run(4.0)
        seer, *others = fleet.nodes.values()
        self.assertEqual({False}, {node.generations.is_behind() for node in others})
        seer.generations.note_answer(STORE_GENERATION, 0)
        fleet.run(1.5)
        self.assertEqual({True}, {node.generations.is_behind() for node in others})

    def test_announcements_name_both_generations(self):
        fleet = Fleet((2,))
        fleet.run(4.0)
        sender, receiver = fleet.nodes.values()
        sender.generations.note_answer(STORE_GENERATION, 0)
        sender.document.generation = DOCUMENT_GENERATION
        fleet.run(2.0)
        heard = receiver.table.peers[sender.name].announcement
        self.assertEqual(DOCUMENT_GENERATION, heard.document_generation)
        self.assertEqual(STORE_GENERATION, heard.store_generation)

    def test_same_version_of_a_later_generation_is_fetched(self):
        fleet = Fleet((2,))
        sender, receiver = fleet.nodes.values()
        version = receiver.document.version
        announcement = Announcement(
            sender.name, 1, 1, f"{sender.host}:80", sender.data_centre, False,
            version, -1.0, 0, 0, None, True, True, 0, DOCUMENT_GENERATION,
        )  # fmt: skip
        deliver(receiver.gossip, announcement, (sender.host, 9))
        self.assertEqual(
            [(version, f"{sender.host}:80", sender.data_centre)],
            receiver.document.sources,
        )
