import testtools

from ...clocks import ManualClock
from ..evacuations import (
    DISPATCH_MARGIN_S,
    MAX_SENT_NAMES,
    EvacuationHolder,
    EvacuationList,
)
from ..probing import ProbeSchedule

EVACUATION_S = 5.0


class Settings:
    evacuation_s = EVACUATION_S
    document_apply_s = 30.0


class FixedRandom:
    def random(self):
        return 0.0


class EvacuationHolderTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.holder = EvacuationHolder(Settings, self.clock)
        self.told = []
        self.holder.add_listener(lambda: self.told.append(sorted(self.holder.names)))

    def test_nothing_may_be_sent_before_the_list_is_known(self):
        self.assertFalse(self.holder.may_send_to("south"))
        self.holder.merge(EvacuationList(1, 5))
        self.assertTrue(self.holder.may_send_to("south"))
        self.assertEqual([[]], self.told)

    def test_earlier_list_of_another_node_lifts_no_evacuation(self):
        self.holder.merge(EvacuationList(1, 5, ("south",)))
        self.holder.merge(EvacuationList(1, 4))
        self.assertTrue(self.holder.is_evacuated("south"))
        self.holder.merge(EvacuationList(1, 6))
        self.assertFalse(self.holder.is_evacuated("south"))

    def test_list_of_a_later_generation_replaces_a_higher_revision(self):
        self.holder.merge(EvacuationList(1, 50, ("south",)))
        self.holder.merge(EvacuationList(2, 3, ("north",)))
        self.assertEqual({"north"}, self.holder.names)

    def test_changes_are_applied_in_order_and_once(self):
        self.holder.note_listing(EvacuationList(1, 5, ("south",)))
        changes = [(4, ("west", True)), (6, ("south", False)), (7, ("north", True))]
        self.assertTrue(self.holder.apply_changes(1, 3, changes, 9))
        self.assertEqual(EvacuationList(1, 7, ("north",)), self.holder.held)
        # The same key again, from a watch that is behind the probes.
        self.assertTrue(self.holder.apply_changes(1, 5, [(6, ("south", True))], 6))
        self.assertEqual({"north"}, self.holder.names)

    def test_changes_after_a_gap_are_not_taken_for_all(self):
        self.holder.note_listing(EvacuationList(1, 5))
        self.assertFalse(self.holder.apply_changes(1, 8, [], 9))
        self.assertFalse(self.holder.apply_changes(2, 5, [], 9))

    def test_key_written_again_between_two_reads_raises_the_revision(self):
        # A node that has seen the removal would else ignore the list as an earlier one,
        # and take the age of the document that comes with it.
        self.holder.note_listing(EvacuationList(1, 5, ("south",)))
        changes = [(6, ("south", False)), (8, ("south", True))]
        self.holder.apply_changes(1, 5, changes, 8)
        self.assertEqual(EvacuationList(1, 8, ("south",)), self.holder.held)

    def test_unchanged_list_keeps_its_revision(self):
        # The others would else be sent full announcements after each probe.
        self.holder.note_listing(EvacuationList(1, 5, ("south",)))
        self.holder.apply_changes(1, 5, [], 90)
        self.assertEqual(5, self.holder.held.revision)
        self.holder.merge(EvacuationList(1, 80))
        self.assertTrue(self.holder.is_evacuated("south"))

    def test_unsettled_store_evacuates_and_lifts_nothing(self):
        self.holder.merge(EvacuationList(1, 50, ("south",)))
        self.holder.note_unsettled(EvacuationList(2, 3, ("north",)))
        self.assertEqual({"north", "south"}, self.holder.names)
        self.holder.note_listing(EvacuationList(2, 4, ("north",)))
        self.assertEqual({"north"}, self.holder.names)

    def test_unsettled_list_does_not_count_as_known(self):
        self.holder.note_unsettled(EvacuationList(2, 3))
        self.assertFalse(self.holder.may_send_to("south"))

    def test_late_unsettled_list_is_not_added_to_a_settled_one(self):
        self.holder.note_listing(EvacuationList(2, 4))
        self.holder.note_unsettled(EvacuationList(2, 3, ("north",)))
        self.assertFalse(self.holder.is_evacuated("north"))

    def test_suspended_node_is_not_current_until_it_has_asked(self):
        self.holder.confirm(self.clock.now())
        self.assertTrue(self.holder.is_current())
        self.clock.advance(EVACUATION_S - DISPATCH_MARGIN_S + 0.1)
        self.assertFalse(self.holder.is_current())
        self.holder.confirm(self.clock.now())
        self.assertTrue(self.holder.is_current())

    def test_node_that_the_store_does_not_answer_goes_on(self):
        self.holder.confirm(self.clock.now())
        self.clock.advance(20.0)
        self.holder.note_unreachable(self.clock.now() - 2.0)
        self.assertTrue(self.holder.is_current())

    def test_call_that_was_suspended_does_not_count_as_an_attempt(self):
        self.holder.confirm(self.clock.now())
        began_at = self.clock.now()
        self.clock.advance(20.0)
        self.holder.note_unreachable(began_at)
        self.assertFalse(self.holder.is_current())

    def test_list_too_long_for_a_datagram_is_obeyed_and_not_sent(self):
        names = tuple(f"zone-{number}" for number in range(MAX_SENT_NAMES + 1))
        self.holder.note_listing(EvacuationList(1, 5, names))
        self.assertIsNone(self.holder.get_sendable())
        self.assertTrue(self.holder.is_evacuated("zone-64"))

    def test_late_document_does_not_delay_the_probes_of_evacuations(self):
        schedule = ProbeSchedule(Settings, FixedRandom(), has_evacuations=True)
        self.assertTrue(schedule.is_due(100.0, EVACUATION_S, lambda: False))
        schedule = ProbeSchedule(Settings, FixedRandom())
        self.assertFalse(schedule.is_due(100.0, EVACUATION_S, lambda: False))
