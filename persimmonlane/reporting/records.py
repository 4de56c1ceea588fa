"""Records.

What one node counted for one service and organisation in one interval, as its log
lines hold it.
"""

import bisect

import msgspec

from ..errors import InputError

FORMAT = 1
LATENCY_BOUNDS_MS = (
    1, 2, 3, 5, 8, 13, 20, 30, 50, 80, 130, 200, 300, 500, 800, 1300, 2000, 3000,
    5000, 8000,
)  # fmt: skip
BUCKETS = len(LATENCY_BOUNDS_MS) + 1
OTHERS = "*"


class Objectives(msgspec.Struct, frozen=True, kw_only=True):
    """Service-level objectives.

    Attributes:
        availability: Wanted share of requests answered without error.
        latency_share: Wanted share of answers within their route's objective.
    """

    availability: float = 0.999
    latency_share: float = 0.99


class RefusalCount(msgspec.Struct, frozen=True):
    """Refusals with one code.

    Attributes:
        code: Code of the refusal.
        count: Number of refusals.
    """

    code: str
    count: int


class ServiceRecord(msgspec.Struct, frozen=True, kw_only=True, tag="service"):
    """Counts of one node, interval, service and organisation.

    Attributes:
        format: Version of the record's format.
        node: Name of the node.
        start_s: Start of the interval, in seconds of the ledger's clock.
        end_s: End of the interval, in the same seconds.
        service: Name of the service; empty if no route matched.
        organisation: Name of the organisation; empty if none was known, and
            `OTHERS` for those beyond the ledger's limit.
        total: Requests that ended.
        errors: Requests that ended with a status of 500 or above.
        late: Whole answers past the latency objective.
        caller_faults: Refusals with a status below 500, such as those beyond the
            organisation's rate.
        refused: Refusals by code.
        latency: Counts of whole answers by `LATENCY_BOUNDS_MS`, the last one
            without a bound.
        objectives: Objectives of the service in that interval.
    """

    format: int = FORMAT
    node: str
    start_s: float
    end_s: float
    service: str
    organisation: str
    total: int
    errors: int
    late: int
    caller_faults: int = 0
    refused: tuple[RefusalCount, ...] = ()
    latency: tuple[int, ...] = ()
    objectives: Objectives = msgspec.field(default_factory=Objectives)

    @property
    def eligible(self):
        """Requests that count for the availability objective."""
        return self.total - self.caller_faults

    @property
    def answered(self):
        """Requests that count for the latency objective."""
        return sum(self.latency)


def find_bucket(latency_s):
    """Return the index of a latency's bucket."""
    return bisect.bisect_left(LATENCY_BOUNDS_MS, latency_s * 1000)


def to_builtins(record):
    """Return a record as the field of a log line."""
    return msgspec.to_builtins(record)


class LogLine(msgspec.Struct, frozen=True):
    """A log line; most hold no record.

    Attributes:
        record: The `ServiceRecord`, or None.
    """

    record: ServiceRecord | None = None


def decode_record(line, place):
    """Return the record of one log line, or None if it holds none.

    Raises:
        InputError: With code `record-invalid` or `record-format`, and the place.
    """
    try:
        record = msgspec.json.decode(line, type=LogLine).record
    except msgspec.DecodeError as error:
        raise InputError(str(error), code="record-invalid", place=place) from error
    if record is not None and record.format != FORMAT:
        raise InputError(
            f"format {record.format} is not known, only {FORMAT}",
            code="record-format",
            place=place,
        )
    return record


def decode_records(data, place="records"):
    """Return the records of log lines.

    Raises:
        InputError: If a line is no JSON or its record is wrong; its number is in the
            place.
    """
    numbered = enumerate(data.splitlines(), start=1)
    found = [
        decode_record(line, f"{place}:{n}") for n, line in numbered if line.strip()
    ]
    return [record for record in found if record is not None]


def read_records(path):
    """Return the records of a log file.

    Raises:
        InputError: If the file can't be read or a line is wrong.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise InputError(
            f"the file can't be read: {error.strerror}",
            code="records-unreadable",
            place=str(path),
        ) from error
    return decode_records(data, str(path))
