import testtools

from ..questions import OpenQuestions


class QuestionsTests(testtools.TestCase):
    def test_answer_of_another_kind_finds_nothing(self):
        questions = OpenQuestions()
        number = questions.keep("asked")
        self.assertIsNone(questions.take(number, int))
        self.assertEqual("asked", questions.take(number, str))
        self.assertIsNone(questions.take(number, str))

    def test_numbers_of_another_process_are_others(self):
        first, second = OpenQuestions(), OpenQuestions()
        numbers = {first.keep("a") for _ in range(100)}
        self.assertEqual(set(), numbers & {second.keep("b") for _ in range(100)})
