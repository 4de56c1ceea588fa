"""Store.

Calls of the platform's key-value service.
"""

import base64
import urllib.parse

import msgspec
import urllib3
import urllib3.exceptions

from ..errors import StoreError
from ..settings import split_address

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.5
KEPT_CONNECTIONS = 3
MS_PER_S = 1000

OK = 200
LEASE_GONE = 404
HISTORY_GONE = 410
CONFLICT = 412


class StoreItem(msgspec.Struct, rename="pascal"):
    """A key and its value.

    Attributes:
        key: The key.
        value: The value in bytes, or None in a tombstone.
        revision: Revision of the store at its last change.
        tombstone: Whether the key was removed.
    """

    key: str
    value: bytes | None = None
    revision: int = 0
    tombstone: bool = False


class ItemPage(msgspec.Struct):
    """A page of items, and the revision of the store that it tells of."""

    items: list[StoreItem] = []
    has_more: bool = msgspec.field(name="HasMore", default=False)
    as_of: int = msgspec.field(name="AsOf", default=0)


class WatchedChanges(msgspec.Struct):
    """Changes since a revision; the next watch continues from `as_of`."""

    events: list[StoreItem] = []
    as_of: int = msgspec.field(name="AsOf", default=0)


class ReadItem(msgspec.Struct):
    """One item as a read gives it; `as_of` is the revision of the store."""

    value: bytes | None = msgspec.field(name="Value", default=None)
    as_of: int = msgspec.field(name="AsOf", default=0)


class GrantedLease(msgspec.Struct):
    """A lease and the seconds for which it runs."""

    lease: int = msgspec.field(name="Lease", default=0)
    duration_s: float = msgspec.field(name="TtlS", default=0.0)


class HistoryGone(StoreError):
    """The store no longer has the history that a watch asked for."""

    code = "store-history-gone"


class LeaseGone(StoreError):
    """The lease has ended."""

    code = "lease-lapsed"


class SiteStore:
    """Client of the platform's store; its methods may be called from any thread.

    All methods raise `StoreError` if the call is refused or not answered in time; a
    write may then have taken effect.
    """

    __slots__ = ("_pool",)

    def __init__(self, address):
        host, port = split_address(address)
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=KEPT_CONNECTIONS, retries=False
        )

    def read(self, key):
        """Return the `ReadItem` of a key, as of the call; its value may be None."""
        path = "/persimmonlane/kv-key?" + urllib.parse.urlencode({"Key": key})
        response = self._call("GET", path, accept=(OK, LEASE_GONE))
        return decode(response.data, ReadItem)

    def list(self, prefix):
        """Return the `StoreItem`s whose keys begin with a prefix."""
        items, after = [], ""
        while True:
            query = {"Prefix": prefix}
            if after:
                query["after"] = after
            path = "/persimmonlane/kv-range?" + urllib.parse.urlencode(query)
            page = decode(self._call("GET", path).data, ItemPage)
            items += page.items
            if not page.has_more or not page.items:
                return items
            after = page.items[-1].key

    def watch(self, prefix, after, wait_s):
        """Return the `WatchedChanges` after a revision, waiting for one.

        Raises:
            HistoryGone: If the store has forgotten that revision.
        """
        query = {"Prefix": prefix, "after": after, "WaitMs": int(wait_s * MS_PER_S)}
        path = "/persimmonlane/kv-watch?" + urllib.parse.urlencode(query)
        response = self._call("GET", path, (OK, HISTORY_GONE), wait_s=wait_s)
        if response.status == HISTORY_GONE:
            raise HistoryGone("the watch's history is gone")
        return decode(response.data, WatchedChanges)

    def write(self, key, value, lease):
        """Write a key under a lease, whatever it holds now.

        Raises:
            LeaseGone: If the lease has ended.
        """
        text = base64.b64encode(value).decode("ascii")
        row = {"Key": key, "Value": text, "Lease": lease}
        body = {"Expected": [], "SetKeys": [row], "Remove": []}
        response = self._call(
            "POST", "/persimmonlane/kv-txn", (OK, LEASE_GONE, CONFLICT), body
        )
        if response.status != OK:
            raise LeaseGone("the lease has ended")

    def grant_lease(self, duration_s):
        """Return the `GrantedLease` for a wanted duration in seconds."""
        response = self._call(
            "POST", "/persimmonlane/kv-lease", body={"TtlS": duration_s}
        )
        return decode(response.data, GrantedLease)

    def renew_lease(self, lease):
        """Renew a lease.

        Raises:
            LeaseGone: If it has ended.
        """
        path = f"/persimmonlane/kv-keep/{lease}"
        response = self._call("POST", path, (OK, LEASE_GONE), {})
        if response.status == LEASE_GONE:
            raise LeaseGone("the lease has ended")

    def end_lease(self, lease):
        """End a lease; its keys go with it."""
        path = f"/persimmonlane/kv-lease-end/{lease}"
        self._call("DELETE", path, (OK, LEASE_GONE))

    def _call(self, method, path, accept=(OK,), body=None, wait_s=0.0):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S + wait_s
        )
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data is not None else {}
        try:
            response = self._pool.urlopen(
                method, path, body=data, headers=headers, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(f"the store did not answer: {error}") from error
        if response.status not in accept:
            raise StoreError(f"the store refused with {response.status}")
        return response


def decode(raw, model):
    """Return an answer in its typed form.

    Raises:
        StoreError: With code `store-answer-invalid`.
    """
    try:
        return msgspec.json.decode(raw, type=model)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreError(str(error), code="store-answer-invalid") from error
