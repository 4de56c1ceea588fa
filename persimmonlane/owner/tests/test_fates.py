import testtools

from ...clocks import ManualClock
from ..fates import KEPT_S, Fates


class FatesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(5.0)
        self.fates = Fates(self.clock)

    def test_request_that_was_handed_over_can_not_be_withdrawn(self):
        self.assertTrue(self.fates.hand("one"))
        self.assertFalse(self.fates.withdraw("one"))

    def test_withdrawn_request_is_never_handed_over(self):
        self.assertTrue(self.fates.withdraw("one"))
        self.assertFalse(self.fates.hand("one"))
        self.assertTrue(self.fates.withdraw("one"))
        self.assertTrue(self.fates.hand("two"))

    def test_entries_last_longer_than_requests_and_not_for_ever(self):
        self.fates.hand("one")
        self.fates.withdraw("two")
        self.clock.advance(KEPT_S - 1.0)
        self.fates.hand("three")
        self.fates.withdraw("four")
        self.assertFalse(self.fates.withdraw("one"))
        self.assertFalse(self.fates.hand("two"))
        self.clock.advance(KEPT_S + 1.0)
        self.fates.hand("five")
        self.fates.withdraw("six")
        self.assertEqual(["five"], list(self.fates._handed))
        self.assertEqual(["six"], list(self.fates._withdrawn))
