"""Ledger.

Counts the requests of one node until they are drained as records.
"""

import time

from ..config.model import Objectives
from .records import BUCKETS, OTHERS, RefusalCount, ServiceRecord, find_bucket

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
        self.latency = [0] * BUCKETS

    def note_refusal(self, status, code):
        """Count a request that the node answered itself."""
        self.refused[code] = self.refused.get(code, 0) + 1
        if status < SERVER_ERROR_STATUS:
            self.caller_faults += 1

    def note_answer(self, latency_s, objective_s):
        """Count a whole answer of a backend server."""
        self.latency[find_bucket(latency_s)] += 1
        if latency_s > objective_s:
            self.late += 1


class Ledger:
    """Counts requests by service and organisation.

    Attributes:
        node: Name of the node, written into the records.
    """

    __slots__ = ("node", "_clock", "_start", "_rows", "_objectives")

    def __init__(self, clock, node=""):
        self.node = node
        self._clock = clock
        self._start = clock.now()
        self._rows = {}
        self._objectives = {}

    def set_view(self, view):
        """Take the objectives of the document in force."""
        services = view.document.services
        self._objectives = {service.name: service.objectives for service in services}

    def note(self, service, organisation, status, verdict, latency_s, code=None):
        """Count one request that has ended.

        Args:
            service: Name of the service, or None if no route matched.
            organisation: Name of the organisation, or None if not known.
            status: HTTP status that the caller got.
            verdict: Whether the request may have run.
            latency_s: Seconds from the request to the end of its answer.
            code: Code of the refusal, or None for a backend server's answer.
        """
        row = self._find_row(service or "", organisation or "")
        row.total += 1
        if status >= SERVER_ERROR_STATUS:
            row.errors += 1
        if code is not None:
            row.note_refusal(status, code)
            return
        row.note_answer(latency_s, self._get_objectives(service).latency_ms / 1000)

    def drain(self):
        """Return the records since the last drain, and begin a new interval."""
        end = self._clock.now()
        records = [self._make_record(end, *item) for item in self._rows.items()]
        self._rows = {}
        self._start = end
        return records

    def _find_row(self, service, organisation):
        row = self._rows.get((service, organisation))
        if row is not None:
            return row
        if len(self._rows) >= ROW_LIMIT:
            organisation = OTHERS
        return self._rows.setdefault((service, organisation), Row())

    def _get_objectives(self, service):
        return self._objectives.get(service) or Objectives()

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
            objectives=self._get_objectives(service),
        )
