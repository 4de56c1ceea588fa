"""Application.

Runs the parts of a process through their life cycle.
"""

import logging
import queue
import signal

log = logging.getLogger("persimmonlane.application")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INPUT = 2


class Part:
    """Base class of the parts of a process; subclasses override life-cycle hooks.

    Hooks run in the order in which the parts were added, `stop` in reverse order.
    """

    name = "part"

    def start(self):
        """Start the part; return once other parts can use it."""

    def ready(self):
        """Handle that all parts have started."""

    def drain(self):
        """Finish running work and reject new work; may block."""

    def stop(self):
        """Stop the threads and close the sockets of the part."""


class Application:
    """The parts of one process.

    Attributes:
        parts: The parts in the order of their start.
        failure: Error code of the failure that stops the process, or None.
    """

    __slots__ = ("parts", "failure", "_started", "_stop_requests")

    def __init__(self):
        self.parts = []
        self.failure = None
        self._started = []
        # Signal handlers can interrupt each other; `SimpleQueue.put` is reentrant.
        self._stop_requests = queue.SimpleQueue()

    def add(self, part):
        """Add a part and return it."""
        self.parts.append(part)
        return part

    def fail(self, code, message):
        """Stop the process without draining because a part has failed.

        Args:
            code: Stable error code.
            message: Description for the log.
        """
        log.error("Application: failed with code %s: %s.", code, message)
        self.failure = code
        self._stop_requests.put(None)

    def request_stop(self):
        """Ask the application to drain and stop; callable from a signal handler."""
        self._stop_requests.put(None)

    def run(self):
        """Run until a signal or a failure; return the exit status.

        SIGTERM and SIGINT start the drain; further ones have no effect.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)
        try:
            self.start()
            self._stop_requests.get()
            if self.failure is None:
                self.drain()
        finally:
            self.stop()
        return EXIT_FAILED if self.failure else EXIT_OK

    def start(self):
        """Start all parts in order, then call `ready` on each."""
        for part in self.parts:
            part.start()
            self._started.append(part)
        for part in self.parts:
            part.ready()
        log.info("Application: ready.")

    def drain(self):
        """Drain all parts in order."""
        log.info("Application: draining.")
        for part in self.parts:
            part.drain()

    def stop(self):
        """Stop the parts that have started, in reverse order.

        An exception from a part is logged, and the remaining parts are still stopped.
        """
        while self._started:
            part = self._started.pop()
            try:
                part.stop()
            except Exception:
                log.exception("Application: failed to stop part %s.", part.name)
        log.info("Application: stopped.")

    def _handle_signal(self, number, frame):
        # Signals may arrive in bursts, and the drain ends within the grace time anyway,
        # so a repeated signal doesn't cut it short.
        self.request_stop()
