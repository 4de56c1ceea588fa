"""Application.

Owns the parts of a process and takes them through their life-cycle.
"""

import logging
import queue
import signal

log = logging.getLogger("persimmonlane.application")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INPUT = 2


class Part:
    """A part of a process, with the life-cycle hooks that it needs.

    Hooks run in the order in which parts were added; `stop` in reverse order.
    """

    name = "part"

    def start(self):
        """Begin work; return once the part can be used."""

    def ready(self):
        """Called once all parts have started."""

    def drain(self):
        """Finish what runs and take no new work; may block."""

    def stop(self):
        """Release threads and sockets."""


class Application:
    """The parts of one process.

    Attributes:
        parts: The parts in the order of their start.
        failure: Code of the failure that ended the process, or None.
    """

    __slots__ = ("parts", "failure", "_started", "_ending")

    def __init__(self):
        self.parts = []
        self.failure = None
        self._started = []
        # Signal handlers interrupt each other; a put takes no lock that they could.
        self._ending = queue.SimpleQueue()

    def add(self, part):
        """Add a part and return it."""
        self.parts.append(part)
        return part

    def fail(self, code, message):
        """End the process because a part has failed.

        Args:
            code: Stable code of the failure.
            message: Sentence for the log.
        """
        log.error("Application: failed with code %s: %s.", code, message)
        self.failure = code
        self._ending.put(None)

    def request_stop(self):
        """Ask the application to drain and stop; callable from a signal handler."""
        self._ending.put(None)

    def run(self):
        """Run until a signal or a failure; return the exit status.

        Further signals to stop change nothing.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)
        try:
            self.start()
            self._ending.get()
            if self.failure is None:
                self.drain()
        finally:
            self.stop()
        return EXIT_FAILED if self.failure else EXIT_OK

    def start(self):
        """Start all parts, then tell each that all are ready."""
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

        A part that fails to stop is logged and keeps no other from stopping.
        """
        while self._started:
            part = self._started.pop()
            try:
                part.stop()
            except Exception:
                log.exception("Application: %s did not stop.", part.name)
        log.info("Application: stopped.")

    def _handle_signal(self, number, frame):
        # The drain ends by itself within the grace time; signals come in series.
        self.request_stop()
