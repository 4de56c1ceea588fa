import testtools

from ...clocks import ManualClock
from ...errors import StoreError
from ..generations import MIN_CONTRADICTIONS, SETTLE_S, GenerationTracker


class GenerationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.generations = GenerationTracker(self.clock)
        self.events = []
        self.generations.add_listener(self.events.append)

    def answer(self, named, known_before=None):
        if known_before is None:
            known_before = self.generations.current
        self.generations.note_answer(named, known_before)

    def assert_refused(self, code, named, known_before=None):
        error = self.assertRaises(StoreError, self.answer, named, known_before)
        self.assertEqual(code, error.code)

    def test_each_restore_is_told_once(self):
        for named in (3, 3, 4, 4, 7):
            self.answer(named)
        changes = [(event.previous, event.generation) for event in self.events]
        self.assertEqual([(0, 3), (3, 4), (4, 7)], changes)

    def test_answer_to_a_call_from_before_the_restore_is_not_used(self):
        self.answer(3)
        self.answer(4, known_before=3)
        self.assert_refused("store-answer-late", 3, known_before=3)
        self.assertEqual(4, self.generations.current)

    def test_later_generation_counts_though_the_call_is_older(self):
        self.answer(3)
        self.answer(4, known_before=3)
        self.answer(5, known_before=3)
        self.assertEqual(5, self.generations.current)

    def test_single_answers_without_a_generation_are_not_used(self):
        self.answer(3)
        for _ in range(2):
            self.assert_refused("store-generation-invalid", 0)
            self.answer(3)
        self.assertEqual(3, self.generations.current)

    def test_store_of_an_older_release_is_believed_in_the_end(self):
        self.answer(3)
        for _ in range(MIN_CONTRADICTIONS - 1):
            self.assert_refused("store-generation-invalid", 0)
        self.answer(0)
        self.answer(0)
        self.assertEqual(0, self.generations.current)
        self.assertFalse(self.generations.is_settled(0, self.clock.now()))

    def test_single_answer_with_a_number_too_high_does_no_lasting_harm(self):
        self.answer(3)
        self.answer(900)
        for _ in range(MIN_CONTRADICTIONS - 1):
            self.assert_refused("store-generation-invalid", 3)
        self.answer(3)
        self.assertEqual(3, self.generations.current)

    def test_store_that_names_no_generation_is_settled(self):
        self.answer(0)
        self.assertEqual([], self.events)
        self.assertTrue(self.generations.is_settled(0, self.clock.now()))

    def test_restored_store_lacks_something_for_a_while(self):
        self.answer(3)
        self.assertFalse(self.generations.is_settled(3, self.clock.now()))
        self.clock.advance(SETTLE_S)
        self.assertTrue(self.generations.is_settled(3, self.clock.now()))
        self.assertFalse(self.generations.is_settled(3, self.clock.now() - 0.1))
        self.assertFalse(self.generations.is_settled(2, self.clock.now()))

    def test_word_of_a_node_that_has_seen_it_settled_counts_for_its_generation(self):
        self.answer(3)
        self.generations.settle(2)
        self.assertFalse(self.generations.is_settled(3, self.clock.now()))
        self.generations.settle(3)
        self.assertTrue(self.generations.is_settled(3, self.clock.now()))
        self.answer(4)
        self.assertFalse(self.generations.is_settled(4, self.clock.now()))

    def test_report_of_another_node_changes_nothing_but_asks_for_a_call(self):
        self.answer(3)
        self.generations.report(900)
        self.assertTrue(self.generations.is_behind())
        self.assertEqual(3, self.generations.current)
        self.answer(3)
        self.assertFalse(self.generations.is_behind())
