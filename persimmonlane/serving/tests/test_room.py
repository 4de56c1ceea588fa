import gc
import weakref

import testtools

from ...clocks import ManualClock
from ..memory import BYTES_PER_MIB, MemoryReservation, create_memory_account
from ..room import (
    MAX_PATIENT_RESPONSES,
    MAX_WAITING_REQUESTS,
    WAIT_S,
    RoomWaiter,
)
from ..stalls import MIN_STALL_S, StallTracker, Transfer

MEMORY_BYTES = 200 * BYTES_PER_MIB
MAX_BODY_BYTES = 64 * BYTES_PER_MIB
MAX_RESPONSE_BYTES = 16 * BYTES_PER_MIB


class RoomTests(testtools.TestCase):
    """Memory of the smallest VM, with 200 MB, under bodies of the greatest size."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(5.0)
        self.stalls = StallTracker(self.clock.now)
        self.account = create_memory_account(MEMORY_BYTES)
        self.room = RoomWaiter(self.stalls, self.clock.now, self.clock.advance)
        self.account.room = self.room

    def create_request(self):
        return MemoryReservation(self.account, is_request=True)

    def test_one_body_of_the_greatest_size_has_room(self):
        self.assertTrue(self.create_request().await_room(MAX_BODY_BYTES))

    def test_response_has_room_beside_the_greatest_body(self):
        request = self.create_request()
        self.assertTrue(request.await_room(MAX_BODY_BYTES))
        response = MemoryReservation(self.account)
        self.assertTrue(response.extend_to(MAX_RESPONSE_BYTES))

    def test_bodies_that_do_not_fit_are_refused_after_a_wait(self):
        first, second = self.create_request(), self.create_request()
        self.assertTrue(first.await_room(MAX_BODY_BYTES))
        started_at = self.clock.now()
        self.assertFalse(second.await_room(MAX_BODY_BYTES))
        waited_s = self.clock.now() - started_at
        self.assertThat(waited_s, testtools.matchers.LessThan(WAIT_S + 0.1))
        self.assertThat(waited_s, testtools.matchers.GreaterThan(MIN_STALL_S))

    def test_stalled_body_gives_its_room_to_the_next_one(self):
        first, second = self.create_request(), self.create_request()
        self.assertTrue(first.await_room(MAX_BODY_BYTES))
        Transfer(self.stalls, None, first.release).begin(MAX_BODY_BYTES)
        self.assertTrue(second.await_room(MAX_BODY_BYTES))

    def test_body_that_can_never_fit_does_not_wait(self):
        self.assertFalse(self.create_request().await_room(2 * MEMORY_BYTES))
        self.assertEqual(5.0, self.clock.now())

    def test_only_some_requests_wait_at_once(self):
        waits = []

        def reserve():
            waits.append(1)
            if len(waits) <= MAX_WAITING_REQUESTS + 5:
                self.room.wait(reserve, True)
            return True

        self.assertTrue(self.room.wait(reserve, True))
        self.assertEqual(MAX_WAITING_REQUESTS, len(waits))

    def test_response_waits_for_room_for_as_long_as_it_is_awaited(self):
        ends_at = self.clock.now() + 5 * WAIT_S

        def check():
            if self.clock.now() >= ends_at:
                raise TimeoutError

        first = MemoryReservation(self.account)
        self.assertTrue(first.extend_to(MEMORY_BYTES // 3))
        response = MemoryReservation(self.account, check=check)
        self.assertRaises(TimeoutError, response.await_room, MAX_BODY_BYTES)
        self.assertThat(self.clock.now(), testtools.matchers.GreaterThan(ends_at - 0.1))
        first.release()
        self.assertTrue(response.await_room(MAX_BODY_BYTES))

    def test_body_that_is_whole_does_not_keep_the_request(self):
        exchange = RoomTests("run")
        reference = weakref.ref(exchange)
        response = MemoryReservation(self.account, check=exchange.fail)
        del exchange
        response.settle()
        gc.collect()
        self.assertIsNone(reference())

    def collect_crowded(self, count, check):
        """Return whether there is a crowd while 1, 2 and more responses wait."""
        crowded = []

        def reserve():
            crowded.append(self.room.is_crowded())
            if len(crowded) < count:
                self.room.wait(reserve, False, check)
            return True

        self.room.wait(reserve, False, check)
        self.assertFalse(self.room.is_crowded())
        return crowded

    def test_many_responses_of_other_nodes_are_a_crowd(self):
        crowded = self.collect_crowded(MAX_PATIENT_RESPONSES + 1, lambda: None)
        self.assertEqual([False] * MAX_PATIENT_RESPONSES + [True], crowded)

    def test_any_response_that_keeps_a_slot_is_a_crowd(self):
        self.assertEqual([True], self.collect_crowded(1, None))
