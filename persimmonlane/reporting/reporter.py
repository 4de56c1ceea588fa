"""Record logging.

Logs the request counts of each interval.
"""

import logging
import threading

from .records import to_builtins

log = logging.getLogger("persimmonlane.reporting")

INTERVAL_S = 10.0


class Reporter:
    """Thread that logs the records of a `RequestCounter` at each interval."""

    __slots__ = ("_counter", "_stopped", "_thread")

    def __init__(self, counter):
        self._counter = counter
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Tell the thread to stop, and log the last records."""
        self._stopped.set()
        self.log_records()

    def log_records(self):
        """Log a record for each service and organisation with requests."""
        for record in self._counter.drain():
            log.info("Reporting: counts.", extra={"record": to_builtins(record)})

    def _run(self):
        while not self._stopped.wait(INTERVAL_S):
            self.log_records()
