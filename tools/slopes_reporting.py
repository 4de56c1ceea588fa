"""Slopes of reporting.

Measures what counting a request, draining records and computing burns cost as
organisations grow.
"""

import time
import tracemalloc

import msgspec

from persimmonlane.clocks import ManualClock
from persimmonlane.reporting.burn import compute_burns
from persimmonlane.reporting.ledger import Ledger
from persimmonlane.reporting.records import decode_records, encode_records
from persimmonlane.verdicts import Verdict

SIZES = (10, 100, 1000, 4000)
NOTES = 100_000
US_PER_S = 1e6
MS_PER_S = 1000


class Slope(msgspec.Struct, frozen=True):
    """What reporting costs one node at one number of active organisations.

    Attributes:
        organisations: Organisations active in the interval.
        note_us: Processor time to count one request.
        drain_ms: Processor time to drain and encode one interval.
        row_bytes: Memory of the ledger for one organisation.
        record_bytes: Encoded size of one record.
        burn_ms: Processor time to compute the burns of one interval.
    """

    organisations: int
    note_us: float
    drain_ms: float
    row_bytes: float
    record_bytes: float
    burn_ms: float


def fill(ledger, organisations, notes):
    """Count a number of requests, spread over organisations."""
    names = [f"organisation-{number}" for number in range(organisations)]
    for number in range(notes):
        name = names[number % organisations]
        ledger.note("prices", name, 200, Verdict.RAN, 0.02)


def measure_size(organisations):
    """Return the `Slope` at one number of organisations."""
    ledger = Ledger(ManualClock(), "node-1")
    tracemalloc.start()
    fill(ledger, organisations, organisations)
    row_bytes = tracemalloc.get_traced_memory()[0] / organisations
    tracemalloc.stop()
    began = time.process_time()
    fill(ledger, organisations, NOTES)
    noted = time.process_time()
    data = encode_records(ledger.drain())
    drained = time.process_time()
    records = decode_records(data)
    decoded = time.process_time()
    compute_burns(records)
    ended = time.process_time()
    return Slope(
        organisations=organisations,
        note_us=round((noted - began) / NOTES * US_PER_S, 2),
        drain_ms=round((drained - noted) * MS_PER_S, 2),
        row_bytes=round(row_bytes),
        record_bytes=round(len(data) / organisations),
        burn_ms=round((ended - decoded) * MS_PER_S, 2),
    )


def measure():
    """Return the slopes."""
    return [measure_size(size) for size in SIZES]
