import testtools

from ...clocks import ManualClock
from ...serving.memory import BYTES_PER_MIB, UNRESERVED_BYTES
from ..heldbodies import ABANDONED_S, HeldBodies

LIMIT_BYTES = 70 * BYTES_PER_MIB
BODY_BYTES = 30 * BYTES_PER_MIB


class HeldBodiesTests(testtools.TestCase):
    """Guards against a backend server that is given more than its memory can hold."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.held = HeldBodies(self.clock, LIMIT_BYTES)

    def fill(self):
        self.assertEqual([True, True], [self.held.add(BODY_BYTES) for _ in range(2)])

    def test_bodies_beyond_the_limit_find_no_room(self):
        self.fill()
        self.assertFalse(self.held.add(BODY_BYTES))
        self.held.remove(BODY_BYTES, True)
        self.assertTrue(self.held.add(BODY_BYTES))

    def test_short_bodies_have_room_beside_long_ones(self):
        self.fill()
        self.assertTrue(all(self.held.add(UNRESERVED_BYTES) for _ in range(1000)))

    def test_single_body_has_room_whatever_its_size(self):
        self.assertTrue(self.held.add(2 * LIMIT_BYTES))
        self.assertFalse(self.held.add(BODY_BYTES))

    def test_body_of_an_unanswered_request_counts_for_a_while(self):
        self.fill()
        self.held.remove(BODY_BYTES, False)
        self.assertFalse(self.held.add(BODY_BYTES))
        self.clock.advance(ABANDONED_S)
        self.assertTrue(self.held.add(BODY_BYTES))
