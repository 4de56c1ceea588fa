"""Writer.

Hands log lines to one thread that writes them, so that a reader who stops reading
delays no request; counts the lines that are left out.
"""

import logging
import logging.handlers
import queue
import threading

LEFT_OUT_EVERY_S = 10.0
MOST_WAITING = 4000
# Plain successes are left out once this share of the queue is used.
PLAIN_SHARE = 0.5
# Lines of one event a second, and the most at once.
RATE_PER_S = 100.0
BURST = 200.0
# The process must end within its grace time.
END_S = 0.25


class EventBucket:
    """Lines of one event that may be written now."""

    __slots__ = ("_tokens", "_at")

    def __init__(self, now):
        self._tokens = BURST
        self._at = now

    def take(self, now):
        """Return whether one more line may be written.

        Args:
            now: Seconds.
        """
        self._tokens = min(BURST, self._tokens + (now - self._at) * RATE_PER_S)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Puts records into a bounded queue and never waits.

    Attributes:
        left_out: Number of records left out since the last count, by event.
    """

    def __init__(self, clock, most_waiting=MOST_WAITING):
        super().__init__(queue.Queue(most_waiting))
        self.setFormatter(logging.Formatter("%(message)s"))
        self.left_out = {}
        self._clock = clock
        self._plain_limit = most_waiting * PLAIN_SHARE
        self._buckets = {}
        self._counted_at = clock.now()

    def enqueue(self, record):
        """Keep a record, or count it as left out."""
        event = getattr(record, "event", "")
        if self._is_due(record, event):
            try:
                self.queue.put_nowait(record)
            except queue.Full:
                self._leave_out(event)
        else:
            self._leave_out(event)
        self._report()

    def _is_due(self, record, event):
        if not event:
            return True
        now = self._clock.now()
        plain = record.levelno < logging.WARNING
        if plain and self.queue.qsize() > self._plain_limit:
            return False
        # Failures have a bucket of their own, which successes can't empty.
        bucket = self._buckets.setdefault((event, plain), EventBucket(now))
        return bucket.take(now)

    def _leave_out(self, event):
        self.left_out[event] = self.left_out.get(event, 0) + 1

    def _report(self):
        now = self._clock.now()
        if not self.left_out or now - self._counted_at < LEFT_OUT_EVERY_S:
            return
        self._counted_at = now
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "Log: lines were left out.",
                "left_out": self.left_out,
            }
        )
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            return
        self.left_out = {}


class LogWriter:
    """The thread that writes what a `BoundedQueueHandler` keeps."""

    __slots__ = ("_queue", "_target", "_thread")

    def __init__(self, handler, target):
        """Prepare the thread.

        Args:
            handler: The `BoundedQueueHandler`.
            target: The `logging.Handler` that writes; may block.
        """
        self._queue = handler.queue
        self._target = target
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to write."""
        self._thread.start()

    def stop(self):
        """Write what is kept; give up soon if nobody reads."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(END_S)

    def _run(self):
        while (record := self._queue.get()) is not None:
            self._target.handle(record)
