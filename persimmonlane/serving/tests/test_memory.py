import testtools

from ..memory import FREE_BYTES, AnswerMemory, AnswerShare

LIMIT_BYTES = 1000


class AnswerMemoryTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.memory = AnswerMemory(LIMIT_BYTES)

    def test_first_bytes_of_an_answer_need_no_share(self):
        long = AnswerShare(self.memory)
        self.assertTrue(long.cover(FREE_BYTES + LIMIT_BYTES))
        self.assertTrue(AnswerShare(self.memory).cover(FREE_BYTES))

    def test_shares_are_bounded_together(self):
        first, second = AnswerShare(self.memory), AnswerShare(self.memory)
        self.assertTrue(first.cover(FREE_BYTES + 600))
        self.assertFalse(second.cover(FREE_BYTES + 401))
        self.assertTrue(second.cover(FREE_BYTES + 400))

    def test_growing_answer_takes_only_what_is_new(self):
        share = AnswerShare(self.memory)
        grown = [share.cover(FREE_BYTES + size) for size in (500, 900, 1000, 1001)]
        self.assertEqual([True, True, True, False], grown)

    def test_share_is_given_back_once(self):
        share = AnswerShare(self.memory)
        share.cover(FREE_BYTES + LIMIT_BYTES)
        share.release()
        del share
        self.assertTrue(self.memory.take(LIMIT_BYTES))
        self.assertFalse(self.memory.take(1))

    def test_share_of_a_dropped_answer_is_given_back(self):
        share = AnswerShare(self.memory)
        share.cover(FREE_BYTES + LIMIT_BYTES)
        self.assertFalse(self.memory.take(1))
        del share
        self.assertTrue(self.memory.take(LIMIT_BYTES))
