"""Request counter.

Counts the requests of one node by service and organisation, and returns the counts
of each interval as records.
"""

import threading
import time

from .records import (
    LATENCY_BUCKET_COUNT,
    OTHER_ORGANISATIONS,
    RefusalCount,
    ServiceRecord,
    find_latency_bucket,
)

MAX_ROWS = 4096
SERVER_ERROR_STATUS = 500


class UnixClock:
    """Clock in seconds since the epoch, so that records of all nodes can be merged."""

    __slots__ = ()

    def now(self):
        """Return the seconds since the epoch."""
        return time.time()


class Row:
    """Counts of one service and organisation since the last drain."""

    __slots__ = ("total", "errors", "late", "caller_faults", "refused", "latency")

    def __init__(self):
        self.total = 0
        self.errors = 0
        self.late = 0
        self.caller_faults = 0
        self.refused = {}
        self.latency = [0] * LATENCY_BUCKET_COUNT

    def count_refusal(self, status, code):
        """Count a request that the node answered itself."""
        self.refused[code] = self.refused.get(code, 0) + 1
        if status < SERVER_ERROR_STATUS:
            self.caller_faults += 1

    def count_answer(self, latency_s, objective_s):
        """Count a complete answer of a backend server; both times are in seconds."""
        self.latency[find_latency_bucket(latency_s)] += 1
        if latency_s > objective_s:
            self.late += 1


class RequestCounter:
    """Counts requests by service and organisation; thread-safe.

    Attributes:
        node: Name of the node, written into the records.
    """

    __slots__ = ("node", "_clock", "_started_at", "_rows", "_lock")

    def __init__(self, clock, node=""):
        self.node = node
        self._clock = clock
        self._started_at = clock.now()
        self._rows = {}
        self._lock = threading.Lock()

    def count_answer(self, service, organisation, status, latency_s, objective_s):
        """Count a request that a backend server answered.

        Args:
            service: Name of the service.
            organisation: Name of the organisation; empty if unknown.
            status: HTTP status of the answer.
            latency_s: Seconds from the arrival of the request to the end of its answer.
            objective_s: Latency objective of the route, in seconds.
        """
        with self._lock:
            row = self._get_or_add_row(service, organisation)
            row.total += 1
            if status >= SERVER_ERROR_STATUS:
                row.errors += 1
            row.count_answer(latency_s, objective_s)

    def count_refusal(self, service, organisation, status, code):
        """Count a request that the node answered itself.

        Args:
            service: Name of the service; empty if no route matched.
            organisation: Name of the organisation; empty if unknown.
            status: HTTP status that the caller got.
            code: Code of the refusal.
        """
        with self._lock:
            row = self._get_or_add_row(service, organisation)
            row.total += 1
            if status >= SERVER_ERROR_STATUS:
                row.errors += 1
            row.count_refusal(status, code)

    def drain(self):
        """Return the records since the last drain and start a new interval."""
        ended_at = self._clock.now()
        with self._lock:
            records = [
                self._make_record(ended_at, *item) for item in self._rows.items()
            ]
            self._rows = {}
            self._started_at = ended_at
        return records

    def _get_or_add_row(self, service, organisation):
        row = self._rows.get((service, organisation))
        if row is not None:
            return row
        if len(self._rows) >= MAX_ROWS:
            organisation = OTHER_ORGANISATIONS
        return self._rows.setdefault((service, organisation), Row())

    def _make_record(self, ended_at, names, row):
        service, organisation = names
        return ServiceRecord(
            node=self.node,
            start_s=self._started_at,
            end_s=ended_at,
            service=service,
            organisation=organisation,
            total=row.total,
            errors=row.errors,
            late=row.late,
            caller_faults=row.caller_faults,
            refused=tuple(RefusalCount(*item) for item in row.refused.items()),
            latency=tuple(row.latency),
        )
