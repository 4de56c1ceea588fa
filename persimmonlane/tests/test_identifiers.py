import testtools

from ..identifiers import MAX_IDENTIFIER_CHARS, abbreviate


class AbbreviateTests(testtools.TestCase):
    """Long identifiers must stay apart, and take a bounded amount of memory."""

    def test_short_identifier_is_kept(self):
        self.assertEqual("one", abbreviate("one"))

    def test_long_identifiers_stay_apart(self):
        start = "x" * 15000
        self.assertNotEqual(abbreviate(start + "1"), abbreviate(start + "2"))

    def test_long_identifier_is_bounded_and_found_again(self):
        short = abbreviate("\udc80" * 15000)
        self.assertLessEqual(len(short), MAX_IDENTIFIER_CHARS)
        self.assertEqual(short, abbreviate(short))
