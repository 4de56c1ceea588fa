"""Reporting part.

Keeps the records of the last hours in memory, for reports and metrics.
"""

import collections
import logging
import threading

import pykka

from ..application import Part

log = logging.getLogger("persimmonlane.reporting")

INTERVAL_S = 10.0
KEPT_RECORDS = 20_000


class History:
    """The latest records of one node; safe for use by several threads.

    Attributes:
        limit: Most records that are kept; the oldest go first.
    """

    __slots__ = ("limit", "_records", "_lock")

    def __init__(self, limit=KEPT_RECORDS):
        self.limit = limit
        self._records = collections.deque(maxlen=limit)
        self._lock = threading.Lock()

    def add(self, records):
        """Add the records of one interval."""
        with self._lock:
            self._records.extend(records)

    def list(self):
        """Return all records that are kept, the oldest first."""
        with self._lock:
            return tuple(self._records)


class ReportingPart(Part):
    """Drains the ledger at a fixed interval."""

    name = "reporting"

    def __init__(self, drain_ledger, metrics, interval_s):
        self.history = History()
        self._drain_ledger = drain_ledger
        self._metrics = metrics
        self._interval = interval_s
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to drain."""
        self._thread.start()

    def stop(self):
        """End the thread."""
        self._ended.set()
        if self._thread.is_alive():
            self._thread.join()

    def collect(self):
        """Drain the ledger once, count its records and keep them."""
        try:
            records = self._drain_ledger()
        except (pykka.ActorDeadError, pykka.Timeout):
            log.warning("Reporting: the traffic gave no records.")
            return
        self.history.add(records)
        for record in records:
            count_record(self._metrics, record)

    def _run(self):
        while not self._ended.wait(self._interval):
            self.collect()


def count_record(metrics, record):
    """Send the counts of one record as metrics of its service."""
    prefix = f"services.{record.service or 'none'}"
    metrics.count(f"{prefix}.requests", record.total)
    metrics.count(f"{prefix}.errors", record.errors)
    metrics.count(f"{prefix}.late", record.late)
    for refusal in record.refused:
        metrics.count(f"{prefix}.refused.{refusal.code}", refusal.count)


def build_reporting(application, drain_ledger, metrics, interval_s=INTERVAL_S):
    """Create the reporting part and add it to the application.

    Args:
        application: The `Application`.
        drain_ledger: Returns the records since the last call.
        metrics: Where counters go.
        interval_s: Length of an interval in seconds.
    """
    return application.add(ReportingPart(drain_ledger, metrics, interval_s))
