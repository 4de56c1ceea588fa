"""Workers.

A pool of threads that grows with the number of waiting connections.
"""

import collections
import logging
import threading

log = logging.getLogger("persimmonlane.serving")

IDLE_WORKER_S = 5.0


class IdleWorker:
    """The wait of one worker for a connection.

    Attributes:
        conn: The connection that was handed over, or None.
    """

    __slots__ = ("conn", "_wake")

    def __init__(self):
        self.conn = None
        self._wake = threading.Lock()
        self._wake.acquire()

    def wait(self, timeout_s):
        """Wait until `wake` is called or the time is over."""
        self._wake.acquire(timeout=timeout_s)

    def wake(self, conn=None):
        """End the wait, handing a connection over; callable once."""
        self.conn = conn
        self._wake.release()


class WorkerPool:
    """Threads that serve connections, in place of cheroot's `ThreadPool`.

    A worker is started whenever a connection waits and none is idle. The worker
    that became idle last is used first, so that spare ones end.

    Attributes:
        min: Least number of workers.
        max: Largest number of workers.
        idle_s: Seconds after which a spare idle worker ends.
    """

    __slots__ = (
        "min",
        "max",
        "idle_s",
        "_serve",
        "_lock",
        "_ended",
        "_waiting",
        "_idle",
        "_size",
        "_starting",
        "_stopping",
        "_failing",
    )

    def __init__(self, serve, least, most):
        """Create a pool without threads.

        Args:
            serve: Callable that serves one request of a connection and returns
                whether the connection is to be queued again.
            least: Least number of workers.
            most: Largest number of workers.
        """
        self.min = least
        self.max = most
        self.idle_s = IDLE_WORKER_S
        self._serve = serve
        self._lock = threading.Lock()
        self._ended = threading.Condition(self._lock)
        self._waiting = collections.deque()
        self._idle = []
        self._size = 0
        self._starting = 0
        self._stopping = False
        self._failing = False

    @property
    def size(self):
        """Number of workers."""
        return self._size

    @property
    def idle(self):
        """Number of workers that wait for a connection."""
        return len(self._idle)

    @property
    def qsize(self):
        """Number of connections that wait for a worker."""
        return len(self._waiting)

    def start(self):
        """Start the least number of workers."""
        self.grow()

    def put(self, conn):
        """Hand a connection to an idle worker, or queue it for the next one."""
        with self._lock:
            if self._idle:
                self._idle.pop().wake(conn)
                return
            self._waiting.append(conn)
        self.grow()

    def grow(self):
        """Start a worker for each waiting connection, as far as allowed."""
        while self._reserve():
            if not self._start_worker():
                return

    def stop(self, timeout_s):
        """End the workers once nothing waits; wait some time for the last one."""
        with self._lock:
            self._stopping = True
            while self._idle:
                self._idle.pop().wake()
            self._ended.wait_for(lambda: not self._size, timeout_s)

    def _reserve(self):
        """Return whether a worker is needed, and count it if so."""
        with self._lock:
            missing = self.min - self._size
            unserved = len(self._waiting) - self._starting
            if self._stopping or self._size >= self.max:
                return False
            if missing <= 0 and unserved <= 0:
                return False
            self._size += 1
            self._starting += 1
            return True

    def _start_worker(self):
        """Start a counted worker; return whether that worked."""
        try:
            threading.Thread(target=self._run, name="worker", daemon=True).start()
        except RuntimeError as error:
            self._note_failure(error)
            return False
        self._failing = False
        return True

    def _note_failure(self, error):
        with self._lock:
            self._size -= 1
            self._starting -= 1
            size = self._size
        if not self._failing:
            self._failing = True
            log.error("Serving: no thread starts beside %d workers: %s.", size, error)

    def _run(self):
        with self._lock:
            self._starting -= 1
        while (conn := self._take()) is not None:
            if self._serve(conn):
                with self._lock:
                    self._waiting.append(conn)

    def _take(self):
        """Return the next connection, or None if the worker has to end."""
        while True:
            with self._lock:
                if self._waiting:
                    return self._waiting.popleft()
                if self._stopping:
                    return self._leave()
                worker = IdleWorker()
                self._idle.append(worker)
            worker.wait(self.idle_s)
            with self._lock:
                if worker.conn is not None:
                    return worker.conn
                if worker in self._idle:
                    self._idle.remove(worker)
                    if self._size > self.min:
                        return self._leave()

    def _leave(self):
        """Stop counting the calling worker, which holds the lock."""
        self._size -= 1
        self._ended.notify_all()
