"""Store client.

Calls the platform's key-value service over HTTP.

Revisions and lease numbers hold within one generation of the store only, so that each
of them goes with its generation.
"""

import base64
import logging
import time
import urllib.parse

import msgspec
import urllib3
import urllib3.exceptions

from ..addresses import split_address
from ..decoding import decode_json
from ..errors import InputError, StoreError
from ..upkeep.generations import UNKNOWN_GENERATION
from .storeinput import BoundedConnectionPool

log = logging.getLogger("persimmonlane.upkeep")

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
MAX_IDLE_CONNECTIONS = 3
MS_PER_S = 1000
# Number of the store's generation; rises by one whenever it is restored from a copy.
GENERATION_HEADER = "Store-Era"
MAX_GENERATION_DIGITS = 12
# Limits of all pages of a listing together. The entries of 4,800 nodes have 48 pages
# and under 2 MiB.
MAX_LISTING_BYTES = 16 * 1024 * 1024
MAX_LISTING_S = 30.0

HTTP_OK = 200
# The key or the lease does not exist.
HTTP_NOT_FOUND = 404
# The store no longer has the changes after the revision.
HTTP_GONE = 410
# An expected revision in a transaction does not match.
HTTP_PRECONDITION_FAILED = 412


class StorePosition(msgspec.Struct, frozen=True):
    """A revision of the store, which tells its state within one generation."""

    generation: int
    revision: int


class StoreLease(msgspec.Struct, frozen=True):
    """A lease.

    Attributes:
        number: Its number, which may be another lease's in another generation.
        generation: Generation of the store that granted it.
        duration_s: Seconds from a renewal until it ends.
    """

    number: int
    generation: int
    duration_s: float


class StoreItem(msgspec.Struct, rename="pascal"):
    """A key with its value, or the removal of a key.

    Attributes:
        key: The key.
        value: The value in bytes; None for a tombstone.
        revision: Revision of the store at the key's last change.
        lease: Number of its lease, 0 without one.
        tombstone: Whether the key was removed.
    """

    key: str
    value: bytes | None = None
    revision: int = 0
    lease: int = 0
    tombstone: bool = False


class Listing:
    """The `StoreItem`s with a prefix, all read from one generation of the store.

    Attributes:
        items: The `StoreItem`s.
        generation: Number of the generation.
        revision: Revision of the store at which the reading began, 0 if the store
            does not name it.
    """

    __slots__ = ("items", "generation", "revision")

    def __init__(self, items, generation, revision=0):
        self.items = items
        self.generation = generation
        self.revision = revision


class Changes:
    """Changes since a position; the next watch should start after `position`."""

    __slots__ = ("events", "position")

    def __init__(self, events, position):
        self.events = events
        self.position = position


class ReadItem:
    """The value of a key, None if there is no such key, and the store's position."""

    __slots__ = ("value", "position")

    def __init__(self, value, position):
        self.value = value
        self.position = position


class StoreAnswer:
    """An answer of the store.

    Attributes:
        status: HTTP status.
        data: Body in bytes.
        generation: Number of the store's generation, 0 if it names none.
    """

    __slots__ = ("status", "data", "generation")

    def __init__(self, status, data, generation):
        self.status = status
        self.data = data
        self.generation = generation


class ItemPage(msgspec.Struct):
    """Body of a page of a listing."""

    items: list[StoreItem] = []
    has_more: bool = msgspec.field(name="HasMore", default=False)
    as_of: int = msgspec.field(name="AsOf", default=0)


class ConflictBody(msgspec.Struct):
    """Body of the answer to a write of a key that is at another revision."""

    items: list[StoreItem] = []


class WriteBody(msgspec.Struct):
    """Body of the answer to a write; `revision` is that of the written keys."""

    revision: int = msgspec.field(name="Revision", default=0)


class WatchBody(msgspec.Struct):
    """Body of the answer to a watch; `as_of` is the revision of the store."""

    events: list[StoreItem] = []
    as_of: int = msgspec.field(name="AsOf", default=0)


class ReadBody(msgspec.Struct):
    """Body of the answer to a read; `as_of` is the revision of the store."""

    value: bytes | None = msgspec.field(name="Value", default=None)
    as_of: int = msgspec.field(name="AsOf", default=0)


class LeaseBody(msgspec.Struct):
    """Body of the answer to a request for a lease."""

    lease: int = msgspec.field(name="Lease", default=0)
    duration_s: float = msgspec.field(name="TtlS", default=0.0)


class LongAnswer(StoreError):
    """The answer is longer than the caller wants to read now; nothing was read."""

    code = "store-answer-long"


class HistoryGone(StoreError):
    """The store doesn't have the changes after the position given to a watch."""

    code = "store-history-gone"


class LeaseGone(StoreError):
    """The lease has expired, or was lost in a restore of the store."""

    code = "lease-lapsed"


class RevisionConflict(StoreError):
    """The key is at another revision than the write was to replace.

    Attributes:
        item: The `StoreItem` that is there, or None if there is none.
    """

    code = "store-revision-conflict"

    def __init__(self, item):
        super().__init__("the key was written by another call")
        self.item = item


class SiteStore:
    """Thread-safe client of the platform's key-value store.

    All methods raise `StoreError` if the store rejects the call or does not respond in
    time. A write that failed in this way may still have taken effect.
    """

    __slots__ = ("_pool", "_generations")

    def __init__(self, address, generations):
        """Create a client.

        Args:
            address: Address of the store, such as `127.0.0.1:80`.
            generations: The `GenerationTracker`, which is told of each answer.
        """
        host, port = split_address(address)
        self._pool = BoundedConnectionPool(
            host, port, maxsize=MAX_IDLE_CONNECTIONS, retries=False
        )
        self._generations = generations

    def read(self, key, max_bytes=None):
        """Return the current `ReadItem` of a key; its value may be None.

        Args:
            key: The key.
            max_bytes: Most bytes of the answer to read, or None.

        Raises:
            LongAnswer: If the answer is longer.
        """
        path = "/persimmonlane/kv-key?" + urllib.parse.urlencode({"Key": key})
        answer = self._call(
            "GET",
            path,
            accepted_statuses=(HTTP_OK, HTTP_NOT_FOUND),
            max_bytes=max_bytes,
        )
        body = decode_response(answer.data, ReadBody)
        return ReadItem(body.value, StorePosition(answer.generation, body.as_of))

    def list(self, prefix):
        """Return the `Listing` of the keys with a prefix, reading all pages."""
        items, after, generation, revision, size = [], "", None, 0, 0
        ends_at = time.monotonic() + MAX_LISTING_S
        while True:
            query = {"Prefix": prefix}
            if after:
                query["after"] = after
            path = "/persimmonlane/kv-range?" + urllib.parse.urlencode(query)
            answer = self._call("GET", path)
            if generation not in (None, answer.generation):
                raise StoreError("the store was restored while it was read")
            generation = answer.generation
            size += len(answer.data)
            if size > MAX_LISTING_BYTES or time.monotonic() > ends_at:
                raise StoreError("the listing has no end")
            page = decode_response(answer.data, ItemPage)
            if not after:
                revision = page.as_of
            items += page.items
            if not page.has_more or not page.items:
                return Listing(items, generation, revision)
            after = page.items[-1].key

    def watch(self, prefix, position, wait_s, max_bytes=None):
        """Wait for changes after a position and return the `Changes`.

        Args:
            prefix: Prefix of the keys.
            position: The `StorePosition`.
            wait_s: Longest time in seconds to wait for a change.
            max_bytes: Most bytes of the answer to read, or None.

        Raises:
            LongAnswer: If the answer is longer.
            HistoryGone: If the store doesn't have the changes after that position.
        """
        after = position.revision
        query = {"Prefix": prefix, "after": after, "WaitMs": int(wait_s * MS_PER_S)}
        path = "/persimmonlane/kv-watch?" + urllib.parse.urlencode(query)
        answer = self._call(
            "GET",
            path,
            (HTTP_OK, HTTP_GONE),
            timeout_s=READ_TIMEOUT_S + wait_s,
            max_bytes=max_bytes,
        )
        if answer.status == HTTP_GONE or answer.generation != position.generation:
            raise HistoryGone(
                "the store doesn't have the changes that the watch asked for"
            )
        body = decode_response(answer.data, WatchBody)
        return Changes(
            body.events, StorePosition(answer.generation, body.as_of or after)
        )

    def write(self, key, value, lease, revision=None, timeout_s=READ_TIMEOUT_S):
        """Write a key under a lease; return the revision of the key.

        Args:
            key: The key.
            value: The value in bytes.
            lease: The `StoreLease`.
            revision: Revision that the key must have, 0 if it must not exist; None to
                write it in any case.
            timeout_s: Longest time in seconds to wait for the answer.

        Raises:
            LeaseGone: If the lease has ended. If the store was restored, the key may
                have been written under another lease of the same number.
            RevisionConflict: If the key has another revision.
        """
        text = base64.b64encode(value).decode("ascii")
        entry = {"Key": key, "Value": text, "Lease": lease.number}
        expected = [] if revision is None else [{"Key": key, "Revision": revision}]
        body = {"Expected": expected, "SetKeys": [entry], "Remove": []}
        answer = self._call(
            "POST",
            "/persimmonlane/kv-txn",
            (HTTP_OK, HTTP_NOT_FOUND, HTTP_PRECONDITION_FAILED),
            body,
            timeout_s=timeout_s,
        )
        if answer.generation != lease.generation:
            raise LeaseGone("the lease has ended")
        if answer.status == HTTP_PRECONDITION_FAILED and expected:
            items = decode_response(answer.data, ConflictBody).items
            raise RevisionConflict(find_item(items, key))
        if answer.status != HTTP_OK:
            raise LeaseGone("the lease has ended")
        return decode_response(answer.data, WriteBody).revision

    def grant_lease(self, duration_s):
        """Request a lease of a duration in seconds; return the `StoreLease`."""
        answer = self._call(
            "POST", "/persimmonlane/kv-lease", body={"TtlS": duration_s}
        )
        body = decode_response(answer.data, LeaseBody)
        return StoreLease(body.lease, answer.generation, body.duration_s)

    def renew_lease(self, lease):
        """Renew a `StoreLease`.

        Raises:
            LeaseGone: If the lease has ended, or was lost in a restore of the store.
        """
        path = f"/persimmonlane/kv-keep/{lease.number}"
        answer = self._call("POST", path, (HTTP_OK, HTTP_NOT_FOUND), {})
        if answer.status == HTTP_NOT_FOUND or answer.generation != lease.generation:
            raise LeaseGone("the lease has ended")

    def _call(
        self,
        method,
        path,
        accepted_statuses=(HTTP_OK,),
        body=None,
        timeout_s=READ_TIMEOUT_S,
        max_bytes=None,
    ):
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data is not None else {}
        known_before = self._generations.current
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=data,
                headers=headers,
                timeout=timeout,
                decode_content=False,
                preload_content=False,
            )
            check_length(response, max_bytes)
            data = response.data
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(f"the store did not respond: {error}") from error
        generation = parse_generation(response.headers.get(GENERATION_HEADER))
        is_accepted = response.status in accepted_statuses
        if is_accepted or generation != UNKNOWN_GENERATION:
            self._generations.note_answer(generation, known_before)
        if not is_accepted:
            raise StoreError(f"the store responded with status {response.status}")
        return StoreAnswer(response.status, data, generation)


def check_length(response, max_bytes):
    """Leave a response that is longer than a number of bytes.

    Raises:
        LongAnswer: If it is; its connection is closed.
    """
    length = response.headers.get("Content-Length", "")
    if max_bytes is None or not length.isdigit() or int(length) <= max_bytes:
        return
    response.close()
    raise LongAnswer(f"the answer has {length} bytes")


def parse_generation(text):
    """Return the number of the generation in a header, 0 without a valid one."""
    if text is None:
        return UNKNOWN_GENERATION
    text = text.strip()
    if text.isascii() and text.isdigit() and len(text) <= MAX_GENERATION_DIGITS:
        return int(text)
    log.warning(
        "Upkeep: the store names a generation that is no number.",
        extra={"event": "store-generation-malformed"},
    )
    return UNKNOWN_GENERATION


def find_item(items, key):
    """Return the `StoreItem` of a key that exists, or None."""
    for item in items:
        if item.key == key and item.revision > 0 and not item.tombstone:
            return item
    return None


def decode_response(raw, response_type):
    """Decode the JSON body of a response.

    Args:
        raw: The body in bytes.
        response_type: Type to decode to.

    Raises:
        StoreError: If the body is invalid, with code `store-answer-invalid`.
    """
    try:
        return decode_json(raw, response_type)
    except InputError as error:
        raise StoreError(str(error), code="store-answer-invalid") from error
