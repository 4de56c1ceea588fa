"""Tables.

Records kept as encoded rows, spread over buckets by the hash of their name and
decoded on use.
"""

import bisect
import itertools
import zlib
from array import array
from collections.abc import Sequence
from types import MappingProxyType

import msgspec

from .model import Key, Organisation, Route, Service

ROWS_PER_BUCKET = 64
# More buckets than this would make the root larger than a value may be.
MAX_BUCKETS = 4096
NOTHING_KNOWN = MappingProxyType({})


class KeyRow(msgspec.Struct, frozen=True, array_like=True):
    """A key's digest in bytes."""

    id: str
    digest: bytes


class OrganisationRow(msgspec.Struct, frozen=True, array_like=True):
    """An organisation as stored."""

    name: str
    rate: float
    burst: float
    keys: tuple[KeyRow, ...] = ()


class RouteRow(Route, frozen=True, array_like=True, forbid_unknown_fields=False):
    """A route as stored."""


class ServiceRow(Service, frozen=True, array_like=True, forbid_unknown_fields=False):
    """A service as stored."""


class Rows(msgspec.Struct, frozen=True, array_like=True):
    """The content of one part.

    Attributes:
        lengths: Lengths of the rows, as 32-bit numbers.
        data: The rows, one after the other, in the order of their names.
    """

    lengths: bytes
    data: bytes


class RecordCodec:
    """Turns records of one class into rows and back.

    Attributes:
        section: Name of the document's section.
        model: Class of the records.
        row: Class of the rows.
    """

    section = ""
    model = None
    row = None

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(self.row)

    def encode(self, record):
        """Return the row of a record."""
        values = msgspec.structs.asdict(record)
        return self._encoder.encode(self.row(**values))

    def decode(self, row):
        """Return the record of a row."""
        values = msgspec.structs.asdict(self._decoder.decode(row))
        return self.model(**values)


class ServiceCodec(RecordCodec):
    """Codec of services."""

    section = "services"
    model = Service
    row = ServiceRow


class RouteCodec(RecordCodec):
    """Codec of routes."""

    section = "routes"
    model = Route
    row = RouteRow


class OrganisationCodec(RecordCodec):
    """Codec of organisations; key digests are stored as bytes."""

    section = "organisations"
    model = Organisation
    row = OrganisationRow

    def encode(self, record):
        """Return the row of an organisation."""
        keys = tuple(KeyRow(key.id, bytes.fromhex(key.digest)) for key in record.keys)
        row = OrganisationRow(record.name, record.rate, record.burst, keys)
        return self._encoder.encode(row)

    def decode(self, row):
        """Return the organisation of a row."""
        values = self._decoder.decode(row)
        keys = tuple(Key(id=key.id, digest=key.digest.hex()) for key in values.keys)
        return Organisation(
            name=values.name, rate=values.rate, burst=values.burst, keys=keys
        )


CODECS = {
    codec.section: codec
    for codec in (ServiceCodec(), RouteCodec(), OrganisationCodec())
}

encode_rows = msgspec.msgpack.Encoder().encode
decode_rows = msgspec.msgpack.Decoder(Rows).decode


class Bucket:
    """The rows of one part.

    Attributes:
        content: The part's content, as it is stored and sent.
    """

    __slots__ = ("content", "_start", "_offsets", "_codec")

    def __init__(self, content, codec):
        rows = decode_rows(content)
        lengths = array("I", rows.lengths)
        # The rows end the content, so that no second copy of them is kept.
        self.content = content
        self._start = len(content) - len(rows.data)
        self._offsets = array("I", itertools.accumulate(lengths, initial=0))
        self._codec = codec

    def __len__(self):
        return len(self._offsets) - 1

    def get(self, index):
        """Return the record at an index."""
        start = self._start + self._offsets[index]
        end = self._start + self._offsets[index + 1]
        return self._codec.decode(self.content[start:end])

    def find(self, name):
        """Return the record with a name, or None."""
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            record = self.get(middle)
            if record.name == name:
                return record
            if record.name < name:
                low = middle + 1
            else:
                high = middle
        return None


class Table(Sequence):
    """The records of one section; looks like a sequence of them.

    Attributes:
        buckets: The buckets, in order.
    """

    __slots__ = ("buckets", "_starts")

    def __init__(self, buckets):
        self.buckets = buckets
        lengths = (len(bucket) for bucket in buckets)
        self._starts = array("I", itertools.accumulate(lengths, initial=0))

    def __len__(self):
        return self._starts[-1]

    def __iter__(self):
        for bucket in self.buckets:
            for index in range(len(bucket)):
                yield bucket.get(index)

    def __getitem__(self, index):
        if isinstance(index, slice):
            return tuple(self)[index]
        if not -len(self) <= index < len(self):
            raise IndexError(index)
        position = index % len(self)
        number = bisect.bisect_right(self._starts, position) - 1
        return self.buckets[number].get(position - self._starts[number])

    def find(self, name):
        """Return the record with a name, or None."""
        if not self.buckets:
            return None
        return self.buckets[choose_bucket(name, len(self.buckets))].find(name)


def choose_bucket(name, buckets):
    """Return the number of the bucket that holds a name."""
    return zlib.crc32(name.encode()) % buckets


def count_buckets(records):
    """Return the number of buckets, a power of two, for a number of records."""
    buckets = 1
    while buckets < MAX_BUCKETS and buckets * ROWS_PER_BUCKET < records:
        buckets *= 2
    return buckets


def split_records(section, records):
    """Return the contents of a section's parts, in the order of the buckets."""
    codec = CODECS[section]
    buckets = [[] for _ in range(count_buckets(len(records)))]
    for record in sorted(records, key=lambda record: record.name):
        number = choose_bucket(record.name, len(buckets))
        buckets[number].append(codec.encode(record))
    return [join_rows(rows) for rows in buckets]


def join_rows(rows):
    """Return the content of a part with these rows."""
    lengths = array("I", (len(row) for row in rows))
    return encode_rows(Rows(lengths.tobytes(), b"".join(rows)))


def build_table(section, contents, known=NOTHING_KNOWN):
    """Return the table of a section from its parts' contents.

    Args:
        section: Name of the section.
        contents: Contents of its parts, in the order of the buckets.
        known: Buckets by content that need no building.
    """
    codec = CODECS[section]
    buckets = []
    for content in contents:
        bucket = known.get(content)
        # An empty bucket is false.
        buckets.append(Bucket(content, codec) if bucket is None else bucket)
    return Table(buckets)
