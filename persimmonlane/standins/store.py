"""In-memory stand-in for the platform's key-value store.

Implements the store's HTTP protocol and injects failures on request.
"""

import base64
import copy
import threading
import time
import urllib.parse

import cheroot.server
import msgspec

THREADS = 16
PAGE_ITEMS = 100
WATCH_POLL_S = 0.02
ERA_HEADER = "Store-Era"


class Item:
    """A key with its value, revisions and lease.

    A `lease` of 0 means that the key has none.
    """

    __slots__ = ("key", "value", "revision", "create_revision", "lease")

    def __init__(self, key, value, revision, create_revision, lease):
        self.key = key
        self.value = value
        self.revision = revision
        self.create_revision = create_revision
        self.lease = lease

    def render(self):
        """Return the item as a dict of the protocol's fields."""
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Revision": self.revision,
            "CreateRevision": self.create_revision,
            "Lease": self.lease,
        }


class StoreCopy:
    """What a copy of the store holds: it is lost what was written after it."""

    __slots__ = ("revision", "items", "events", "compacted", "leases", "next_lease")

    def __init__(self, revision, items, events, compacted, leases, next_lease):
        self.revision = revision
        self.items = items
        self.events = events
        self.compacted = compacted
        self.leases = leases
        self.next_lease = next_lease


class StoreState:
    """Contents of the store; thread-safe.

    Attributes:
        error_status: HTTP status that every call returns, or 0 to serve calls.
        drops_responses: Whether POST calls take effect but get no response.
        calls: Method and target of each call so far.
        revision: Revision of the last change.
        era: Value of the header that tells how often the store was restored, or None
            if its answers have none.
    """

    def __init__(self):
        self.error_status = 0
        self.drops_responses = False
        self.calls = []
        self.revision = 1
        self.era = None
        self._items = {}
        self._events = []
        self._compacted = 0
        self._leases = {}
        self._next_lease = 100
        self._changed = threading.Condition()

    def put(self, key, value):
        """Write a key without a lease, as the operator does."""
        with self._changed:
            self._set(key, value, 0)

    def remove(self, key):
        """Remove a key, as the operator does."""
        with self._changed:
            self._remove(key)

    def compact(self):
        """Discard the event history, so that a watch from before now gets 410."""
        with self._changed:
            self._compacted = self.revision
            self._events.clear()

    def expire_leases(self):
        """Expire all leases and remove their keys."""
        with self._changed:
            for lease in list(self._leases):
                self._remove_lease(lease)

    def take_copy(self):
        """Return a `StoreCopy` to which the store can be restored."""
        with self._changed:
            return StoreCopy(
                self.revision,
                copy.deepcopy(self._items),
                list(self._events),
                self._compacted,
                dict(self._leases),
                self._next_lease,
            )

    def restore(self, taken):
        """Come back from a `StoreCopy`, in the next era.

        Revisions and lease numbers that were given out since are given out again.
        """
        with self._changed:
            self.revision = taken.revision
            self._items = copy.deepcopy(taken.items)
            self._events = list(taken.events)
            self._compacted = taken.compacted
            self._leases = dict(taken.leases)
            self._next_lease = taken.next_lease
            self.era = int(self.era or 0) + 1
            self._changed.notify_all()

    def find_lease(self, key):
        """Return the lease number of a key, 0 without a lease, None without the key."""
        with self._changed:
            item = self._items.get(key)
            return None if item is None else item.lease

    def keys(self):
        """Return the existing keys in sorted order."""
        with self._changed:
            return sorted(self._items)

    def read(self, key):
        """Read a key; return the status and body of the response."""
        with self._changed:
            item = self._items.get(key)
            if item is None:
                return 404, {"AsOf": self.revision}
            return 200, {**item.render(), "AsOf": self.revision}

    def read_range(self, prefix, after):
        """Read a page of keys after `after`; return the status and body."""
        with self._changed:
            keys = [k for k in sorted(self._items) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            page = [self._items[k].render() for k in keys[:PAGE_ITEMS]]
            has_more = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "HasMore": has_more, "AsOf": self.revision}

    def watch(self, prefix, after, wait_s):
        """Wait for events after a revision; return the status and body.

        Args:
            prefix: Prefix of the watched keys.
            after: Revision after which events are returned.
            wait_s: Longest wait for an event, in seconds.
        """
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                if after < self._compacted or after > self.revision:
                    return 410, {}
                events = [
                    row
                    for row in self._events
                    if row["Revision"] > after and row["Key"].startswith(prefix)
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0 or self.error_status:
                    return 200, {"events": events, "AsOf": self.revision}
                self._changed.wait(min(remaining_s, WATCH_POLL_S))

    def apply_transaction(self, body):
        """Apply a conditional transaction; return the status and body."""
        with self._changed:
            for row in body["Expected"]:
                item = self._items.get(row["Key"])
                if (item.revision if item else 0) != row["Revision"]:
                    return 412, {"items": [item.render()] if item else []}
            if any(
                row["Lease"] and row["Lease"] not in self._leases
                for row in body["SetKeys"]
            ):
                return 404, {}
            for row in body["SetKeys"]:
                value = base64.b64decode(row["Value"])
                self._set(row["Key"], value, row["Lease"])
            for key in body["Remove"]:
                self._remove(key)
            return 200, {"Revision": self.revision}

    def grant_lease(self, duration_s):
        """Grant a lease with a TTL in seconds; return the status and body."""
        with self._changed:
            self._next_lease += 1
            self._leases[self._next_lease] = duration_s
            return 200, {"Lease": self._next_lease, "TtlS": duration_s}

    def renew_lease(self, lease):
        """Renew a lease; return the status and body."""
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            return 200, {"TtlS": self._leases[lease]}

    def revoke_lease(self, lease):
        """Revoke a lease and remove its keys; return the status and body."""
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            self._remove_lease(lease)
            return 200, {}

    def handle(self, method, target, raw):
        """Handle a call; return the status and body of the response.

        Args:
            method: HTTP method.
            target: Request target.
            raw: Body in bytes.
        """
        self.calls.append(f"{method} {target}")
        if self.error_status:
            return self.error_status, {}
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name, _, argument = path.removeprefix("/persimmonlane/").partition("/")
        body = msgspec.json.decode(raw) if raw else {}
        calls = {
            "GET kv-key": lambda: self.read(fields["Key"]),
            "GET kv-range": lambda: self.read_range(
                fields["Prefix"], fields.get("after", "")
            ),
            "GET kv-watch": lambda: self.watch(
                fields["Prefix"], int(fields["after"]), int(fields["WaitMs"]) / 1000
            ),
            "POST kv-txn": lambda: self.apply_transaction(body),
            "POST kv-lease": lambda: self.grant_lease(body["TtlS"]),
            "POST kv-keep": lambda: self.renew_lease(int(argument)),
            "DELETE kv-lease-end": lambda: self.revoke_lease(int(argument)),
        }
        call = calls.get(f"{method} {name}")
        return call() if call else (404, {})

    def build_headers(self):
        """Return the headers that every response has, as a dict."""
        return {} if self.era is None else {ERA_HEADER: str(self.era)}

    def _remove_lease(self, lease):
        del self._leases[lease]
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self._remove(key)

    def _set(self, key, value, lease):
        self.revision += 1
        old = self._items.get(key)
        create_revision = old.create_revision if old else self.revision
        item = self._items[key] = Item(
            key, value, self.revision, create_revision, lease
        )
        self._events.append(item.render())
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(
                {"Key": key, "Revision": self.revision, "Tombstone": True}
            )
            self._changed.notify_all()


class StoreGateway(cheroot.server.Gateway):
    """Serves HTTP calls from a `StoreState`."""

    def __init__(self, http_request, state):
        super().__init__(http_request)
        self.state = state

    def respond(self):
        """Handle one call."""
        req = self.req
        raw = req.rfile.read()
        method, target = req.method.decode(), req.uri.decode("ascii")
        status, body = self.state.handle(method, target, raw)
        if self.state.drops_responses and req.method == b"POST":
            req.close_connection = True
            req.sent_headers = True
            return
        self._write(status, body)

    def _write(self, status, body):
        data = msgspec.json.encode(body)
        self.req.status = f"{status} Status".encode()
        self.req.outheaders = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(data)).encode()),
        ]
        self.req.outheaders += [
            (name.encode(), value.encode())
            for name, value in self.state.build_headers().items()
        ]
        self.req.ensure_headers_sent()
        self.req.write(data)


class StoreStandin:
    """HTTP server of the store stand-in.

    Attributes:
        state: The `StoreState` that it serves.
        address: Host and port, set by `start`.
    """

    def __init__(self, host="127.0.0.1"):
        self.state = StoreState()
        self.address = ""
        self._server = cheroot.server.HTTPServer(
            (host, 0),
            gateway=lambda request: StoreGateway(request, self.state),
            minthreads=THREADS,
            maxthreads=THREADS,
        )

    def start(self):
        """Bind a free port and serve in a thread."""
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        """Stop the server; pending watches return first."""
        self.state.error_status = 503
        self._server.stop()
