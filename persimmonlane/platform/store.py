"""Store client.

Calls the platform's key-value service over HTTP.
"""

import base64
import urllib.parse

import msgspec
import urllib3
import urllib3.exceptions

from ..errors import StoreError
from ..settings import split_address

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
MAX_IDLE_CONNECTIONS = 3
MS_PER_S = 1000

HTTP_OK = 200
# The key or the lease does not exist.
HTTP_NOT_FOUND = 404
# The store no longer has the changes after the revision.
HTTP_GONE = 410
# An expected revision in a transaction does not match.
HTTP_PRECONDITION_FAILED = 412


class StoreItem(msgspec.Struct, rename="pascal"):
    """A key with its value, or the removal of a key.

    Attributes:
        key: The key.
        value: The value in bytes; None for a tombstone.
        revision: Revision of the store at the key's last change.
        tombstone: Whether the key was removed.
    """

    key: str
    value: bytes | None = None
    revision: int = 0
    tombstone: bool = False


class ItemPage(msgspec.Struct):
    """A page of a listing; `as_of` is the revision of the store at the read."""

    items: list[StoreItem] = []
    has_more: bool = msgspec.field(name="HasMore", default=False)
    as_of: int = msgspec.field(name="AsOf", default=0)


class WatchResult(msgspec.Struct):
    """Changes since a revision; the next watch should start after `as_of`."""

    events: list[StoreItem] = []
    as_of: int = msgspec.field(name="AsOf", default=0)


class ReadResult(msgspec.Struct):
    """The result of reading a key.

    `as_of` is the revision of the store at the read; `value` is None if the key does
    not exist.
    """

    value: bytes | None = msgspec.field(name="Value", default=None)
    as_of: int = msgspec.field(name="AsOf", default=0)


class GrantedLease(msgspec.Struct):
    """The identifier of a lease and its duration in seconds."""

    lease: int = msgspec.field(name="Lease", default=0)
    duration_s: float = msgspec.field(name="TtlS", default=0.0)


class HistoryGone(StoreError):
    """The store no longer has the changes after the revision given to a watch."""

    code = "store-history-gone"


class LeaseGone(StoreError):
    """The lease has expired or was ended."""

    code = "lease-lapsed"


class SiteStore:
    """Thread-safe client of the platform's key-value store.

    All methods raise `StoreError` if the store rejects the call or does not respond in
    time. A write that failed in this way may still have taken effect.

    Args:
        address: Address of the store, such as `127.0.0.1:80`.
    """

    __slots__ = ("_pool",)

    def __init__(self, address):
        host, port = split_address(address)
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=MAX_IDLE_CONNECTIONS, retries=False
        )

    def read(self, key):
        """Return the current `ReadResult` of a key; its value may be None."""
        path = "/persimmonlane/kv-key?" + urllib.parse.urlencode({"Key": key})
        response = self._call("GET", path, accepted_statuses=(HTTP_OK, HTTP_NOT_FOUND))
        return decode_response(response.data, ReadResult)

    def list(self, prefix):
        """Return the `StoreItem`s whose keys start with a prefix, reading all pages."""
        items, after = [], ""
        while True:
            query = {"Prefix": prefix}
            if after:
                query["after"] = after
            path = "/persimmonlane/kv-range?" + urllib.parse.urlencode(query)
            page = decode_response(self._call("GET", path).data, ItemPage)
            items += page.items
            if not page.has_more or not page.items:
                return items
            after = page.items[-1].key

    def watch(self, prefix, after, wait_s):
        """Wait for changes after a revision and return them as a `WatchResult`.

        Args:
            prefix: Prefix of the keys.
            after: Revision of the store.
            wait_s: Longest time in seconds to wait for a change.

        Raises:
            HistoryGone: If the store no longer has the changes after that revision.
        """
        query = {"Prefix": prefix, "after": after, "WaitMs": int(wait_s * MS_PER_S)}
        path = "/persimmonlane/kv-watch?" + urllib.parse.urlencode(query)
        response = self._call("GET", path, (HTTP_OK, HTTP_GONE), wait_s=wait_s)
        if response.status == HTTP_GONE:
            raise HistoryGone(
                "the store no longer has the changes that the watch asked for"
            )
        return decode_response(response.data, WatchResult)

    def write(self, key, value, lease):
        """Write a key under a lease, regardless of its current value.

        Args:
            key: The key.
            value: The value in bytes.
            lease: Identifier of the lease.

        Raises:
            LeaseGone: If the lease has ended.
        """
        text = base64.b64encode(value).decode("ascii")
        entry = {"Key": key, "Value": text, "Lease": lease}
        body = {"Expected": [], "SetKeys": [entry], "Remove": []}
        response = self._call(
            "POST",
            "/persimmonlane/kv-txn",
            (HTTP_OK, HTTP_NOT_FOUND, HTTP_PRECONDITION_FAILED),
            body,
        )
        if response.status != HTTP_OK:
            raise LeaseGone("the lease has ended")

    def grant_lease(self, duration_s):
        """Request a lease of a duration in seconds; return the `GrantedLease`."""
        response = self._call(
            "POST", "/persimmonlane/kv-lease", body={"TtlS": duration_s}
        )
        return decode_response(response.data, GrantedLease)

    def renew_lease(self, lease):
        """Renew a lease.

        Raises:
            LeaseGone: If the lease has ended.
        """
        path = f"/persimmonlane/kv-keep/{lease}"
        response = self._call("POST", path, (HTTP_OK, HTTP_NOT_FOUND), {})
        if response.status == HTTP_NOT_FOUND:
            raise LeaseGone("the lease has ended")

    def end_lease(self, lease):
        """End a lease, which removes the keys written under it."""
        path = f"/persimmonlane/kv-lease-end/{lease}"
        self._call("DELETE", path, (HTTP_OK, HTTP_NOT_FOUND))

    def _call(self, method, path, accepted_statuses=(HTTP_OK,), body=None, wait_s=0.0):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S + wait_s
        )
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data is not None else {}
        try:
            response = self._pool.urlopen(
                method, path, body=data, headers=headers, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(f"the store did not respond: {error}") from error
        if response.status not in accepted_statuses:
            raise StoreError(f"the store responded with status {response.status}")
        return response


def decode_response(raw, response_type):
    """Decode the JSON body of a response.

    Args:
        raw: The body in bytes.
        response_type: Type to decode to.

    Raises:
        StoreError: If the body is invalid, with code `store-answer-invalid`.
    """
    try:
        return msgspec.json.decode(raw, type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreError(str(error), code="store-answer-invalid") from error
