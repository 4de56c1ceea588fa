import logging
import os

import testtools

from ...clocks import ManualClock
from ..writer import BURST, LEFT_OUT_EVERY_S, BoundedQueueHandler, LogWriter


def build_record(event="", level=logging.INFO):
    values = {"name": "x", "levelno": level, "levelname": "L", "msg": "line"}
    if event:
        values["event"] = event
    return logging.makeLogRecord(values)


class BoundedHandlerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.handler = BoundedQueueHandler(self.clock, most_waiting=1000)

    def put(self, count, **fields):
        for _ in range(count):
            self.handler.enqueue(build_record(**fields))

    def test_lines_of_one_event_are_limited_and_those_left_out_counted(self):
        self.put(int(BURST) + 30, event="a")
        self.assertEqual(BURST, self.handler.queue.qsize())
        self.assertEqual({"a": 30}, self.handler.left_out)
        self.clock.advance(LEFT_OUT_EVERY_S)
        self.put(1)
        records = [self.handler.queue.get() for _ in range(self.handler.queue.qsize())]
        self.assertEqual({"a": 30}, records[-1].left_out)
        self.assertEqual({}, self.handler.left_out)

    def test_failures_are_kept_when_successes_are_not(self):
        self.put(int(BURST) + 1, event="a")
        self.put(1, event="a", level=logging.WARNING)
        self.assertEqual({"a": 1}, self.handler.left_out)

    def test_plain_successes_leave_half_of_the_queue_to_others(self):
        handler = BoundedQueueHandler(self.clock, most_waiting=20)
        for _ in range(15):
            handler.enqueue(build_record(event="a"))
        self.assertEqual(11, handler.queue.qsize())
        handler.enqueue(build_record(event="a", level=logging.WARNING))
        self.assertEqual(12, handler.queue.qsize())

    def test_message_is_kept_as_it_was_written(self):
        log = logging.Logger("x")
        log.addHandler(self.handler)
        # What `logging.basicConfig` gives to a handler that has none.
        if self.handler.formatter is None:
            self.handler.setFormatter(logging.Formatter(logging.BASIC_FORMAT))
        log.info("Owner: %s is ready.", "i-1")
        self.assertEqual("Owner: i-1 is ready.", self.handler.queue.get().getMessage())

    def test_full_queue_delays_nobody(self):
        handler = BoundedQueueHandler(self.clock, most_waiting=2)
        for _ in range(5):
            handler.enqueue(build_record())
        self.assertEqual({"": 3}, handler.left_out)


class WriterTests(testtools.TestCase):
    def test_reader_that_stopped_reading_holds_up_only_the_writer(self):
        reader, written = os.pipe()
        self.addCleanup(os.close, reader)
        stream = os.fdopen(written, "w")
        handler = BoundedQueueHandler(ManualClock(), most_waiting=50)
        target = logging.StreamHandler(stream)
        # The pipe is gone at the end of the test.
        target.handleError = lambda record: None
        writer = LogWriter(handler, target)
        writer.start()
        # More than a pipe takes: the thread waits in its write for good.
        for _ in range(200):
            handler.enqueue(
                logging.makeLogRecord({"levelno": logging.INFO, "msg": "x" * 4096})
            )
        self.assertTrue(handler.left_out)

    def test_what_is_kept_is_written_at_the_end(self):
        handler = BoundedQueueHandler(ManualClock())
        target = logging.Handler()
        written = []
        target.emit = written.append
        writer = LogWriter(handler, target)
        handler.enqueue(build_record())
        writer.start()
        writer.stop()
        self.assertEqual(1, len(written))
