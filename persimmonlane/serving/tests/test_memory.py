import testtools

from ..memory import UNRESERVED_BYTES, MemoryAccount, MemoryReservation

LIMIT_BYTES = 1000


class MemoryAccountTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.memory = MemoryAccount(LIMIT_BYTES)

    def test_first_bytes_of_a_response_need_no_reservation(self):
        long = MemoryReservation(self.memory)
        self.assertTrue(long.extend_to(UNRESERVED_BYTES + LIMIT_BYTES))
        self.assertTrue(MemoryReservation(self.memory).extend_to(UNRESERVED_BYTES))

    def test_reservations_share_one_limit(self):
        first, second = MemoryReservation(self.memory), MemoryReservation(self.memory)
        self.assertTrue(first.extend_to(UNRESERVED_BYTES + 600))
        self.assertFalse(second.extend_to(UNRESERVED_BYTES + 401))
        self.assertTrue(second.extend_to(UNRESERVED_BYTES + 400))

    def test_growing_response_reserves_only_the_difference(self):
        reservation = MemoryReservation(self.memory)
        results = [
            reservation.extend_to(UNRESERVED_BYTES + size)
            for size in (500, 900, 1000, 1001)
        ]
        self.assertEqual([True, True, True, False], results)

    def test_reservation_is_released_once(self):
        reservation = MemoryReservation(self.memory)
        reservation.extend_to(UNRESERVED_BYTES + LIMIT_BYTES)
        reservation.release()
        del reservation
        self.assertTrue(self.memory.reserve(LIMIT_BYTES))
        self.assertFalse(self.memory.reserve(1))

    def test_peak_is_that_since_the_last_call(self):
        reservation = MemoryReservation(self.memory)
        reservation.extend_to(UNRESERVED_BYTES + 600)
        reservation.release()
        self.assertTrue(self.memory.reserve(200))
        peaks = [self.memory.take_peak_bytes() for _ in range(2)]
        self.assertEqual([600, 200], peaks)

    def test_garbage_collected_reservation_is_released(self):
        reservation = MemoryReservation(self.memory)
        reservation.extend_to(UNRESERVED_BYTES + LIMIT_BYTES)
        self.assertFalse(self.memory.reserve(1))
        del reservation
        self.assertTrue(self.memory.reserve(LIMIT_BYTES))
