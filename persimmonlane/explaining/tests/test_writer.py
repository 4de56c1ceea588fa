import logging
import os

import testtools

from ...clocks import ManualClock
from ..writer import BURST_LINES, DROP_REPORT_INTERVAL_S, BoundedQueueHandler, LogWriter


def build_record(event="", level=logging.INFO):
    values = {"name": "x", "levelno": level, "levelname": "L", "msg": "line"}
    if event:
        values["event"] = event
    return logging.makeLogRecord(values)


class BoundedQueueHandlerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.handler = BoundedQueueHandler(self.clock, queue_capacity=1000)

    def put(self, count, **fields):
        for _ in range(count):
            self.handler.enqueue(build_record(**fields))

    def test_rate_of_one_event_is_limited_and_dropped_lines_are_counted(self):
        self.put(int(BURST_LINES) + 30, event="a")
        self.assertEqual(BURST_LINES, self.handler.queue.qsize())
        self.assertEqual({"a": 30}, self.handler.dropped)
        self.clock.advance(DROP_REPORT_INTERVAL_S)
        self.put(1)
        records = [self.handler.queue.get() for _ in range(self.handler.queue.qsize())]
        self.assertEqual({"a": 30}, records[-1].left_out)
        self.assertEqual({}, self.handler.dropped)

    def test_failures_are_queued_while_successes_are_dropped(self):
        self.put(int(BURST_LINES) + 1, event="a")
        self.put(1, event="a", level=logging.WARNING)
        self.assertEqual({"a": 1}, self.handler.dropped)

    def test_successes_use_only_half_of_the_queue(self):
        handler = BoundedQueueHandler(self.clock, queue_capacity=20)
        for _ in range(15):
            handler.enqueue(build_record(event="a"))
        self.assertEqual(11, handler.queue.qsize())
        handler.enqueue(build_record(event="a", level=logging.WARNING))
        self.assertEqual(12, handler.queue.qsize())

    def test_message_is_queued_without_a_prefix(self):
        log = logging.Logger("x")
        log.addHandler(self.handler)
        # `logging.basicConfig` sets this formatter on a handler that has none.
        if self.handler.formatter is None:
            self.handler.setFormatter(logging.Formatter(logging.BASIC_FORMAT))
        log.info("Owner: %s is ready.", "i-1")
        self.assertEqual("Owner: i-1 is ready.", self.handler.queue.get().getMessage())

    def test_full_queue_drops_records_without_blocking(self):
        handler = BoundedQueueHandler(self.clock, queue_capacity=2)
        for _ in range(5):
            handler.enqueue(build_record())
        self.assertEqual({"": 3}, handler.dropped)


class LogWriterTests(testtools.TestCase):
    def test_blocked_output_blocks_only_the_writer_thread(self):
        reader, written = os.pipe()
        self.addCleanup(os.close, reader)
        stream = os.fdopen(written, "w")
        handler = BoundedQueueHandler(ManualClock(), queue_capacity=50)
        target = logging.StreamHandler(stream)
        # Ignores the write error when the pipe is closed at the end of the test.
        target.handleError = lambda record: None
        writer = LogWriter(handler, target)
        writer.start()
        # Exceeds the capacity of the pipe, so that the thread blocks in its write.
        for _ in range(200):
            handler.enqueue(
                logging.makeLogRecord({"levelno": logging.INFO, "msg": "x" * 4096})
            )
        self.assertTrue(handler.dropped)

    def test_queued_records_are_written_on_stop(self):
        handler = BoundedQueueHandler(ManualClock())
        target = logging.Handler()
        written = []
        target.emit = written.append
        writer = LogWriter(handler, target)
        handler.enqueue(build_record())
        writer.start()
        writer.stop()
        self.assertEqual(1, len(written))
