import json

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ..clocks import ManualClock
from ..decoding import decode_json, decode_msgpack
from ..errors import InputError, PersimmonError
from ..explaining.reading import RequestLog, add_line
from ..peers.messages import decoder, encoder
from ..peers.table import PeerTable
from ..peers.tests.test_table import build_announcement
from ..platform import heartbeats
from ..platform.documents import decode_document
from ..platform.store import (
    ItemPage,
    LeaseBody,
    ReadBody,
    StoreItem,
    WatchBody,
    decode_response,
)
from ..platform.tests.test_decoding import build_document
from ..reporting.records import decode_record
from ..routing.metadata import Order, OwnerReport
from ..serving.nodeheaders import REPORT_HEADER, parse_report
from ..upkeep.entries import decode_entry

DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
HUGE = b"1" + b"0" * 5000
# Together they take about a minute on one core.
EXAMPLES = 4000

READERS = {}


def reader(name, example):
    """Register a function that reads bytes; `example` are valid ones."""

    def register(function):
        READERS[name] = (function, example)
        return function

    return register


class Answer:
    def __init__(self, report):
        self.headers = [Header(REPORT_HEADER, report)]
        self.status = 200


class Header:
    def __init__(self, name, value):
        self.name = name
        self.value = value


class Peer:
    name = "b"

    def apply_report(self, server_id, report):
        pass


@reader(
    "heartbeat",
    b'{"Address": "10.0.0.1:80", "born": 17, "Info": {"Service": "s", "Slots": 4}, '
    b'"Status": {"State": "ready", "Sequence": 4, "ColdRemainingS": 0.5}}',
)
def read_heartbeat(raw):
    return heartbeats.decode_heartbeat("i-1", raw)


@reader("departure", b'{"born": 17}')
def read_departure(raw):
    return heartbeats.decode_departure(raw)


@reader("document", build_document())
def read_document(raw):
    return decode_document(raw)


@reader("entry", b'{"address": "10.0.0.1:80", "data_centre": "a", "generation": 1}')
def read_entry(raw):
    entry = decode_entry(StoreItem("nodes/b", raw))
    if entry is None:
        raise InputError("the entry was skipped")
    table = PeerTable("a", "south", 1, ManualClock())
    try:
        table.add_registered("b", entry.address, entry.data_centre)
    except ValueError as error:
        raise InputError("the entry was skipped") from error


@reader("page", b'{"items": [{"Key": "k", "Value": "YQ==", "Lease": 1}]}')
def read_page(raw):
    return decode_response(raw, ItemPage)


@reader("watch", b'{"events": [{"Key": "k", "Tombstone": true}], "AsOf": 3}')
def read_watch(raw):
    return decode_response(raw, WatchBody)


@reader("read", b'{"Value": "YQ==", "AsOf": 3}')
def read_read(raw):
    return decode_response(raw, ReadBody)


@reader("lease", b'{"Lease": 3, "TtlS": 30}')
def read_lease(raw):
    return decode_response(raw, LeaseBody)


@reader("report", msgspec.json.encode(OwnerReport("ran", "", 4, 2, "sound", 0.3, True)))
def read_report(raw):
    attempt = parse_report(Answer(raw.decode("latin-1")), Peer(), "i-1")
    if attempt.code == "report-missing":
        raise InputError("the report is invalid")


@reader("log", b'{"request": "r", "message": "m", "asctime": "1", "node": "n"}')
def read_log(raw):
    request_log = RequestLog()
    add_line(request_log, raw, "r", b"")
    if request_log.skipped:
        raise InputError("the line was skipped")


@reader("record", b'{"record": null}')
def read_record(raw):
    return decode_record(raw, "place")


def read_datagram(raw):
    return decode_msgpack(raw, decoder)


def read_order(text):
    return decode_json(text, Order)


def try_reading(function, raw):
    """Return whether bytes were read; only the product's own errors may leave."""
    try:
        function(raw)
    except PersimmonError:
        return False
    return True


def add_field(raw, value):
    """Return a JSON object with a further field, which nobody reads."""
    return b'{"extra": ' + value + b", " + raw.strip()[1:]


class OddBytesTests(testtools.TestCase):
    def test_examples_are_read(self):
        for name, (function, example) in READERS.items():
            self.assertTrue(try_reading(function, example), name)

    def test_deeply_nested_value_raises_no_foreign_error(self):
        for name, (function, example) in READERS.items():
            for raw in (DEEP, add_field(example, DEEP)):
                self.assertFalse(try_reading(function, raw), name)
        self.assertFalse(try_reading(read_datagram, b"\x91" * DEPTH))

    def test_nested_specification_in_a_document_raises_no_foreign_error(self):
        raw = b'{"Version": "0c", "Resources": [{"Type": "Routes", "Spec": %s}]}' % DEEP
        self.assertFalse(try_reading(read_document, raw))

    def test_huge_number_raises_no_foreign_error(self):
        for _, (function, example) in READERS.items():
            try_reading(function, HUGE)
            try_reading(function, add_field(example, HUGE))

    def test_version_that_nodes_could_not_announce_is_invalid(self):
        for version in ("f" * 16, "-1", "1_0", "0x1", "12\n", "1" * 5000):
            raw = build_document(Version=version)
            self.assertFalse(try_reading(read_document, raw), version)

    def test_numbers_that_a_heartbeat_can_not_hold_are_invalid(self):
        example = json.loads(READERS["heartbeat"][1])
        for part, name, values in (
            ("Info", "Slots", (0, -1, 1.5, 1 << 17, 10**30)),
            ("Status", "Sequence", (-1, 1 << 53, 10**400)),
            ("Status", "ColdRemainingS", (-0.1, 1e300, "1")),
            (None, "born", (-1, 1 << 53, 10**40)),
        ):
            for value in values:
                fields = json.loads(json.dumps(example))
                (fields[part] if part else fields)[name] = value
                raw = json.dumps(fields).encode()
                self.assertFalse(try_reading(read_heartbeat, raw), (name, value))
        for value in (-1, 1.5, 1 << 53, 10**40, "17"):
            raw = json.dumps({"born": value}).encode()
            self.assertFalse(try_reading(read_departure, raw), value)

    def test_entry_with_an_address_that_reaches_nobody_is_skipped(self):
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1",
            "127.0.0.1:0",
            "name:80",
            ":80",
            "a\0b:80",
            "\u00e9" * 80 + ":80",
        ):
            raw = json.dumps({"address": address}).encode()
            self.assertFalse(try_reading(read_entry, raw), address)

    def test_status_with_numbers_that_are_none_is_invalid(self):
        fields = msgspec.msgpack.decode(encoder.encode(build_announcement()))
        server = ["i-1", "s", True, 4, 0, 0, "sound", 0.0]
        for place, odd in ((3, -1), (3, 1 << 63), (6, "new"), (7, float("nan"))):
            status = list(server)
            status[place] = odd
            raw = msgspec.msgpack.encode([*fields[:11], status])
            self.assertFalse(try_reading(read_datagram, raw), odd)
        raw = msgspec.msgpack.encode([*fields[:8], float("nan"), *fields[9:]])
        self.assertFalse(try_reading(read_datagram, raw))
        raw = msgspec.msgpack.encode([*fields[:11], server])
        self.assertTrue(try_reading(read_datagram, raw))


def mutate(raw, edits):
    """Return bytes after some edits: pairs of a place and the bytes written there."""
    data = bytearray(raw)
    for place, written in edits:
        at = place % (len(data) + 1)
        data[at : at + len(written)] = written
    return bytes(data)


JSON_TOKENS = st.sampled_from(
    [b"[", b"]", b"{", b"}", b",", b":", b'"', b"null", b"true", b"-", b"1e999", b"\\u"]
)
EDITS = st.lists(
    st.tuples(st.integers(0, 1 << 16), st.one_of(JSON_TOKENS, st.binary(max_size=4))),
    min_size=1,
    max_size=6,
)


class FuzzTests(testtools.TestCase):
    @settings(max_examples=EXAMPLES)
    @given(st.sampled_from(sorted(READERS)), EDITS)
    def test_edited_bytes_raise_no_foreign_error(self, name, edits):
        function, example = READERS[name]
        try_reading(function, mutate(example, edits))

    @settings(max_examples=EXAMPLES)
    @given(st.sampled_from(sorted(READERS)), st.binary(max_size=200))
    def test_random_bytes_raise_no_foreign_error(self, name, raw):
        try_reading(READERS[name][0], raw)

    @settings(max_examples=EXAMPLES)
    @given(EDITS)
    def test_edited_datagrams_raise_no_foreign_error(self, edits):
        server = ["i-1", "s", True, 4, 0, 0, "sound", 0.0]
        fields = msgspec.msgpack.decode(encoder.encode(build_announcement()))
        raw = msgspec.msgpack.encode([*fields[:11], server])
        try_reading(read_datagram, mutate(raw, edits))

    @settings(max_examples=EXAMPLES)
    @given(st.text(max_size=80))
    def test_odd_orders_raise_no_foreign_error(self, text):
        try_reading(read_order, text)
