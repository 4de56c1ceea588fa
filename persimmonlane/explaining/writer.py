"""Non-blocking log writer.

Passes log records through a bounded queue to one thread that writes them, so that a
blocked log output delays no request. Drops lines that exceed a limit and counts them.
"""

import logging
import logging.handlers
import queue
import threading

DROP_REPORT_INTERVAL_S = 10.0
QUEUE_CAPACITY = 4000
# Events of successes are dropped while more than this share of the queue is in use,
# which keeps the rest for failures.
SUCCESS_QUEUE_SHARE = 0.5
# Rate limit of the lines of one event, and the largest burst.
LINES_PER_S = 100.0
BURST_LINES = 200.0
# Short, as the process must exit within its grace time.
STOP_TIMEOUT_S = 0.25


class TokenBucket:
    """Token bucket that limits the rate of the lines of one event."""

    __slots__ = ("_tokens", "_refilled_at")

    def __init__(self, now):
        self._tokens = BURST_LINES
        self._refilled_at = now

    def take(self, now):
        """Take a token; return whether there was one, so that a line may be written.

        Args:
            now: Current time, in seconds.
        """
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Logging handler that puts records into a bounded queue and never blocks.

    Attributes:
        dropped: Number of records dropped since the last report of them, by event;
            an empty name stands for records without an event.
    """

    def __init__(self, clock, queue_capacity=QUEUE_CAPACITY):
        super().__init__(queue.Queue(queue_capacity))
        self.setFormatter(logging.Formatter("%(message)s"))
        self.dropped = {}
        self._clock = clock
        self._success_limit = queue_capacity * SUCCESS_QUEUE_SHARE
        self._buckets = {}
        self._reported_at = clock.now()

    def enqueue(self, record):
        """Queue a record, or drop and count it."""
        event = getattr(record, "event", "")
        if self._is_admitted(record, event):
            try:
                self.queue.put_nowait(record)
            except queue.Full:
                self._count_dropped(event)
        else:
            self._count_dropped(event)
        self._report_dropped()

    def _is_admitted(self, record, event):
        if not event:
            return True
        now = self._clock.now()
        is_success = record.levelno < logging.WARNING
        if is_success and self.queue.qsize() > self._success_limit:
            return False
        # Failures have a bucket of their own, which successes can't use up.
        bucket = self._buckets.setdefault((event, is_success), TokenBucket(now))
        return bucket.take(now)

    def _count_dropped(self, event):
        self.dropped[event] = self.dropped.get(event, 0) + 1

    def _report_dropped(self):
        now = self._clock.now()
        if not self.dropped or now - self._reported_at < DROP_REPORT_INTERVAL_S:
            return
        self._reported_at = now
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "Log: lines were dropped.",
                "left_out": self.dropped,
            }
        )
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            return
        self.dropped = {}


class LogWriter:
    """Thread that writes the records in the queue of a `BoundedQueueHandler`."""

    __slots__ = ("_queue", "_target", "_thread")

    def __init__(self, handler, target):
        """Create the thread.

        Args:
            handler: The `BoundedQueueHandler` whose queue is read.
            target: The `logging.Handler` that writes the records; may block.
        """
        self._queue = handler.queue
        self._target = target
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Write the queued records and stop the thread.

        Gives up at once if the queue is full, and after `STOP_TIMEOUT_S` if the output
        is blocked.
        """
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self):
        while (record := self._queue.get()) is not None:
            self._target.handle(record)
