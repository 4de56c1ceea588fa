"""Record logging.

Logs the counts of requests and of messages to other nodes in each interval.
"""

import logging
import threading

from .records import to_builtins

log = logging.getLogger("persimmonlane.reporting")

INTERVAL_S = 10.0


class Reporter:
    """Thread that logs the counts of a node's counters."""

    __slots__ = (
        "_counter",
        "_traffic",
        "_evacuations",
        "_selector",
        "_stopped",
        "_thread",
    )

    def __init__(self, counter, traffic, evacuations=None, selector=None):
        """Create the thread.

        Args:
            counter: The `RequestCounter`.
            traffic: The `TrafficCounter`.
            evacuations: The `EvacuationLog`; None where operators evacuate no data
                centres.
            selector: The `DataCentreSelector`, or None where leaving the data centre
                is not weighed.
        """
        self._evacuations = evacuations
        self._counter = counter
        self._traffic = traffic
        self._selector = selector
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
        """Log a record for each service and organisation, and what other nodes got."""
        for record in self._counter.drain():
            log.info("Reporting: counts.", extra={"record": to_builtins(record)})
        counts = [count.describe() for count in self._traffic.drain()]
        if counts:
            log.info("Reporting: messages to nodes.", extra={"messages": counts})
        if self._evacuations is not None:
            report = to_builtins(self._evacuations.describe())
            log.info("Reporting: evacuations.", extra={"evacuations": report})
        if self._selector is not None:
            self._log_placements()

    def _log_placements(self):
        """Log where requests were sent, and the state of the link budgets."""
        placements = self._selector.drain()
        if not placements:
            return
        fields = {"placements": placements, "links": self._selector.budget.describe()}
        log.info("Reporting: placements.", extra=fields)

    def _run(self):
        while not self._stopped.wait(INTERVAL_S):
            self.log_records()
