"""Thread pool that grows with the number of queued connections."""

import collections
import logging
import threading

log = logging.getLogger("persimmonlane.serving")

IDLE_TIMEOUT_S = 5.0


class IdleWorker:
    """An idle worker that waits for a connection.

    Attributes:
        conn: The connection that was given to `wake`, or None.
    """

    __slots__ = ("conn", "_wake")

    def __init__(self):
        self.conn = None
        self._wake = threading.Lock()
        self._wake.acquire()

    def wait(self, timeout_s):
        """Wait until `wake` is called, for at most `timeout_s` seconds."""
        self._wake.acquire(timeout=timeout_s)

    def wake(self, conn=None):
        """End the wait; may be called only once.

        Args:
            conn: The connection to serve, or None.
        """
        self.conn = conn
        self._wake.release()


class WorkerPool:
    """Threads that serve connections; replaces cheroot's `ThreadPool`.

    A worker is started whenever a connection is queued and no worker is idle. The
    worker that became idle last is used first, so that the others reach their idle
    timeout and end.

    Attributes:
        min: Minimum number of workers.
        max: Maximum number of workers.
        idle_timeout_s: Seconds after which an idle worker beyond the minimum ends.
    """

    __slots__ = (
        "min",
        "max",
        "idle_timeout_s",
        "_serve",
        "_lock",
        "_worker_ended",
        "_queue",
        "_idle",
        "_size",
        "_starting",
        "_stopping",
        "_start_failed",
    )

    def __init__(self, serve, min_workers, max_workers):
        """Create a pool; `start` starts its first threads.

        Args:
            serve: Callable that serves one request of a connection and returns
                whether the connection is to be queued again.
            min_workers: Minimum number of workers.
            max_workers: Maximum number of workers.
        """
        self.min = min_workers
        self.max = max_workers
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self._serve = serve
        self._lock = threading.Lock()
        self._worker_ended = threading.Condition(self._lock)
        self._queue = collections.deque()
        self._idle = []
        self._size = 0
        self._starting = 0
        self._stopping = False
        self._start_failed = False

    @property
    def size(self):
        """Number of workers."""
        return self._size

    @property
    def idle(self):
        """Number of idle workers."""
        return len(self._idle)

    @property
    def qsize(self):
        """Number of queued connections."""
        return len(self._queue)

    @property
    def load(self):
        """Share of the workers that are busy or asked for, above 1 with a queue."""
        return (self._size - len(self._idle) + len(self._queue)) / self.max

    def start(self):
        """Start the minimum number of workers."""
        self.grow()

    def put(self, conn):
        """Hand a connection to an idle worker, or queue it and grow the pool."""
        with self._lock:
            if self._idle:
                self._idle.pop().wake(conn)
                return
            self._queue.append(conn)
        self.grow()

    def grow(self):
        """Start workers as the minimum and the queue require, up to the maximum."""
        while self._reserve_worker():
            if not self._start_worker():
                return

    def stop(self, timeout_s):
        """End the workers once the queue is empty.

        Args:
            timeout_s: Longest time in seconds to wait for the last worker to end.
        """
        with self._lock:
            self._stopping = True
            while self._idle:
                self._idle.pop().wake()
            self._worker_ended.wait_for(lambda: not self._size, timeout_s)

    def _reserve_worker(self):
        """Return whether another worker is needed, and count it if so."""
        with self._lock:
            missing = self.min - self._size
            unserved = len(self._queue) - self._starting
            if self._stopping or self._size >= self.max:
                return False
            if missing <= 0 and unserved <= 0:
                return False
            self._size += 1
            self._starting += 1
            return True

    def _start_worker(self):
        """Start a worker that was reserved; return whether its thread started."""
        try:
            threading.Thread(target=self._run, name="worker", daemon=True).start()
        except RuntimeError as error:
            self._handle_start_failure(error)
            return False
        self._start_failed = False
        return True

    def _handle_start_failure(self, error):
        with self._lock:
            self._size -= 1
            self._starting -= 1
            size = self._size
        if not self._start_failed:
            self._start_failed = True
            log.error(
                "Serving: starting a thread failed beside %d workers: %s.", size, error
            )

    def _run(self):
        with self._lock:
            self._starting -= 1
        while (conn := self._get_connection()) is not None:
            if self._serve(conn):
                with self._lock:
                    self._queue.append(conn)

    def _get_connection(self):
        """Return the next connection, or None if the worker is to end."""
        while True:
            with self._lock:
                if self._queue:
                    return self._queue.popleft()
                if self._stopping:
                    return self._deregister()
                worker = IdleWorker()
                self._idle.append(worker)
            worker.wait(self.idle_timeout_s)
            with self._lock:
                if worker.conn is not None:
                    return worker.conn
                if worker in self._idle:
                    self._idle.remove(worker)
                    if self._size > self.min:
                        return self._deregister()

    def _deregister(self):
        """Stop counting the calling worker; the caller holds the lock."""
        self._size -= 1
        self._worker_ended.notify_all()
