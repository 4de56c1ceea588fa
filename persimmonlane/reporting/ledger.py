"""Ledger.

Counts the requests of one node until they are drained as records.
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

ROW_LIMIT = 4096
SERVER_ERROR_STATUS = 500


class UnixClock:
    """Seconds since the epoch, so that records of several nodes can be joined."""

    __slots__ = ()

    def now(self):
        """Return seconds since the epoch."""
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
        """Count a whole answer of a backend server."""
        self.latency[find_latency_bucket(latency_s)] += 1
        if latency_s > objective_s:
            self.late += 1


class RequestCounter:
    """Counts requests by service and organisation; may be used from any thread.

    Attributes:
        node: Name of the node, written into the records.
    """

    __slots__ = ("node", "_clock", "_start", "_rows", "_lock")

    def __init__(self, clock, node=""):
        self.node = node
        self._clock = clock
        self._start = clock.now()
        self._rows = {}
        self._lock = threading.Lock()

    def count_answer(self, service, organisation, status, latency_s, objective_s):
        """Count a request that a backend server answered.

        Args:
            service: Name of the service.
            organisation: Name of the organisation, or an empty string.
            status: HTTP status of the answer.
            latency_s: Seconds from the request to the end of its answer.
            objective_s: Latency objective of the route, in seconds.
        """
        with self._lock:
            row = self._find_row(service, organisation)
            row.total += 1
            if status >= SERVER_ERROR_STATUS:
                row.errors += 1
            row.count_answer(latency_s, objective_s)

    def count_refusal(self, service, organisation, status, code):
        """Count a request that the node answered itself.

        Args:
            service: Name of the service; empty if no route matched.
            organisation: Name of the organisation, or an empty string.
            status: HTTP status that the caller got.
            code: Code of the refusal.
        """
        with self._lock:
            row = self._find_row(service, organisation)
            row.total += 1
            if status >= SERVER_ERROR_STATUS:
                row.errors += 1
            row.count_refusal(status, code)

    def drain(self):
        """Return the records since the last drain, and begin a new interval."""
        end = self._clock.now()
        with self._lock:
            records = [self._make_record(end, *item) for item in self._rows.items()]
            self._rows = {}
            self._start = end
        return records

    def _find_row(self, service, organisation):
        row = self._rows.get((service, organisation))
        if row is not None:
            return row
        if len(self._rows) >= ROW_LIMIT:
            organisation = OTHER_ORGANISATIONS
        return self._rows.setdefault((service, organisation), Row())

    def _make_record(self, end, names, row):
        service, organisation = names
        return ServiceRecord(
            node=self.node,
            start_s=self._start,
            end_s=end,
            service=service,
            organisation=organisation,
            total=row.total,
            errors=row.errors,
            late=row.late,
            caller_faults=row.caller_faults,
            refused=tuple(RefusalCount(*item) for item in row.refused.items()),
            latency=tuple(row.latency),
        )
