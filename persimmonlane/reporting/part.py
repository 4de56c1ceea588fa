"""Part.

Writes the counts of each interval into the log.
"""

import logging
import threading

from .records import to_builtins

log = logging.getLogger("persimmonlane.reporting")

INTERVAL_S = 10.0


class Reporter:
    """The thread that drains the ledger."""

    __slots__ = ("_ledger", "_ended", "_thread")

    def __init__(self, ledger):
        self._ledger = ledger
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to write records."""
        self._thread.start()

    def stop(self):
        """Write the last records."""
        self._ended.set()
        self.write()

    def write(self):
        """Write a record for each service and organisation that was served."""
        for record in self._ledger.drain():
            log.info("Reporting: counts.", extra={"record": to_builtins(record)})

    def _run(self):
        while not self._ended.wait(INTERVAL_S):
            self.write()
