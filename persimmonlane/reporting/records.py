"""Request count records.

The counts of one node, service and organisation over one interval, as they are
stored in log lines.
"""

import bisect

import msgspec

from ..decoding import decode_json
from ..errors import InputError

FORMAT_VERSION = 1
LATENCY_BOUNDS_MS = (
    1, 2, 3, 5, 8, 13, 20, 30, 50, 80, 130, 200, 300, 500, 800, 1300, 2000, 3000,
    5000, 8000,
)  # fmt: skip
LATENCY_BUCKET_COUNT = len(LATENCY_BOUNDS_MS) + 1
OTHER_ORGANISATIONS = "*"


class Objectives(msgspec.Struct, frozen=True, kw_only=True):
    """Service-level objectives.

    Attributes:
        availability: Target share of requests that are answered without error.
        latency_share: Target share of answers within the latency objective of their
            route.
    """

    availability: float = 0.999
    latency_share: float = 0.99


class RefusalCount(msgspec.Struct, frozen=True):
    """Number of refusals with one code.

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
        start_s: Start of the interval, in seconds of the clock of the `RequestCounter`.
        end_s: End of the interval, in seconds of the same clock.
        service: Name of the service; empty if no route matched.
        organisation: Name of the organisation; empty if unknown, and
            `OTHER_ORGANISATIONS` for those beyond the row limit of the
            `RequestCounter`.
        total: Number of requests that ended.
        errors: Number of requests that ended with a status of 500 or above.
        late: Number of complete answers that exceeded the latency objective.
        caller_faults: Number of refusals with a status below 500, such as those of
            requests beyond the organisation's rate.
        refused: Numbers of refusals by code.
        latency: Histogram of complete answers by latency, with `LATENCY_BOUNDS_MS` as
            upper bounds; the last bucket has no bound.
        objectives: Objectives of the service in the interval.
    """

    format: int = FORMAT_VERSION
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
        """Number of requests that count towards the availability objective."""
        return self.total - self.caller_faults

    @property
    def answered(self):
        """Number of requests that count towards the latency objective."""
        return sum(self.latency)


def find_latency_bucket(latency_s):
    """Return the index of the bucket of a latency in seconds."""
    return bisect.bisect_left(LATENCY_BOUNDS_MS, latency_s * 1000)


def to_builtins(record):
    """Return a record as built-in types, for use as a field of a log line."""
    return msgspec.to_builtins(record)


class LogLine(msgspec.Struct, frozen=True):
    """The part of a log line that may hold a record; most lines have none.

    Attributes:
        record: The `ServiceRecord`, or None.
    """

    record: ServiceRecord | None = None


def decode_record(line, place):
    """Return the record of one log line, or None if it holds none.

    Raises:
        InputError: With code `record-invalid` if the line can't be decoded, or
            `record-format` if the version of its format is not supported; with the
            place.
    """
    try:
        record = decode_json(line, LogLine).record
    except InputError as error:
        raise InputError(str(error), code="record-invalid", place=place) from error
    if record is not None and record.format != FORMAT_VERSION:
        raise InputError(
            f"record format {record.format} is not supported, only {FORMAT_VERSION}",
            code="record-format",
            place=place,
        )
    return record


def decode_records(data, place="records"):
    """Return the records in log lines; blank lines are skipped.

    Raises:
        InputError: If a line is not valid JSON or its record is invalid; the place
            holds the line number.
    """
    numbered = enumerate(data.splitlines(), start=1)
    found = [
        decode_record(line, f"{place}:{n}") for n, line in numbered if line.strip()
    ]
    return [record for record in found if record is not None]


def read_records(path):
    """Return the records in a log file.

    Raises:
        InputError: If the file can't be read or a line is invalid.
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
