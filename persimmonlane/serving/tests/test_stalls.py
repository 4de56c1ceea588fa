import testtools

from ...clocks import ManualClock
from ..stalls import (
    MIN_ANSWER_STALL_S,
    MIN_PROGRESS_BYTES,
    MIN_STALL_S,
    StallTracker,
    Transfer,
)


class StallTests(testtools.TestCase):
    """Guards against slow callers that keep the workers, and against closing others."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(5.0)
        self.tracker = StallTracker(self.clock.now)
        self.closed = []

    def begin(self, name, group="callers", held_bytes=0):
        transfer = Transfer(self.tracker, group, lambda: self.closed.append(name))
        transfer.begin(held_bytes)
        return transfer

    def test_transfer_without_progress_for_longest_is_closed_first(self):
        self.begin("first")
        self.clock.advance(0.1)
        self.begin("second")
        self.clock.advance(MIN_STALL_S)
        self.assertTrue(self.tracker.close_longest())
        self.assertTrue(self.tracker.close_longest())
        self.assertFalse(self.tracker.close_longest())
        self.assertEqual(["first", "second"], self.closed)

    def test_transfer_that_makes_progress_is_left_alone(self):
        transfer = self.begin("first")
        for _ in range(10):
            self.clock.advance(MIN_STALL_S / 2)
            transfer.note(MIN_PROGRESS_BYTES)
            self.assertFalse(self.tracker.close_longest())

    def test_single_bytes_are_no_progress(self):
        transfer = self.begin("first")
        for _ in range(10):
            self.clock.advance(MIN_STALL_S / 8)
            transfer.note(1)
        self.assertTrue(self.tracker.close_longest())
        self.assertTrue(transfer.is_closed)

    def test_request_that_waits_for_its_answer_is_left_alone(self):
        self.begin("first").end()
        self.clock.advance(10 * MIN_STALL_S)
        self.assertFalse(self.tracker.close_longest())

    def test_only_the_server_without_workers_loses_connections(self):
        self.begin("first", "peers")
        self.clock.advance(MIN_STALL_S)
        self.assertFalse(self.tracker.close_longest("callers"))
        self.assertTrue(self.tracker.close_longest("peers"))

    def test_without_room_only_those_that_hold_memory_are_closed(self):
        self.begin("head")
        self.begin("body", held_bytes=1000)
        self.clock.advance(MIN_STALL_S)
        self.assertTrue(self.tracker.close_longest(min_held_bytes=1000))
        self.assertFalse(self.tracker.close_longest(min_held_bytes=1000))
        self.assertEqual(["body"], self.closed)

    def test_caller_that_pauses_keeps_the_answer_of_a_request_that_has_run(self):
        transfer = Transfer(self.tracker, None, lambda: self.closed.append("answer"))
        transfer.begin_answer(1000, 15.0)
        self.clock.advance(MIN_ANSWER_STALL_S - 0.5)
        self.assertFalse(self.tracker.close_longest())
        self.clock.advance(0.5)
        self.assertTrue(self.tracker.close_longest())

    def test_answer_that_nobody_waits_for_is_closed_though_it_is_read(self):
        transfer = Transfer(self.tracker, None, lambda: self.closed.append("answer"))
        transfer.begin_answer(1000, 2.0)
        self.clock.advance(2.5)
        transfer.note(MIN_PROGRESS_BYTES)
        self.assertTrue(self.tracker.close_longest())

    def test_answer_that_no_worker_writes_is_not_closed_for_one(self):
        transfer = Transfer(self.tracker, "callers", lambda: None)
        transfer.begin_answer(1000, 2.0)
        transfer.has_worker = False
        self.clock.advance(10 * MIN_ANSWER_STALL_S)
        self.assertFalse(self.tracker.close_longest("callers"))
