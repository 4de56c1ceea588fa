"""Store stand-in.

Speaks the platform's store protocol over HTTP, from memory, and fails as told.
"""

import base64
import threading
import time
import urllib.parse

import cheroot.server
import msgspec

THREADS = 16
PAGE_ITEMS = 100
STEP_S = 0.02


class Item:
    """A key in the store."""

    __slots__ = ("key", "value", "revision", "created", "lease")

    def __init__(self, key, value, revision, created, lease):
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def render(self):
        """Return the item as it goes over the wire."""
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Revision": self.revision,
            "CreateRevision": self.created,
            "Lease": self.lease,
        }


class StoreState:
    """The store's content; thread-safe.

    Attributes:
        error_status: Status with which every call is refused, or 0.
        drops_responses: Whether changes are made but not answered.
        calls: Paths of the calls so far.
    """

    def __init__(self):
        self.error_status = 0
        self.drops_responses = False
        self.calls = []
        self.revision = 1
        self._items = {}
        self._events = []
        self._compacted = 0
        self._leases = {}
        self._next_lease = 100
        self._changed = threading.Condition()

    def put(self, key, value):
        """Write a key as the operator does."""
        with self._changed:
            self._set(key, value, 0)

    def compact(self):
        """Forget the history."""
        with self._changed:
            self._compacted = self.revision
            self._events.clear()

    def expire_leases(self):
        """End all leases; their keys go."""
        with self._changed:
            for lease in list(self._leases):
                self._end(lease)

    def keys(self):
        """Return the keys that exist."""
        with self._changed:
            return sorted(self._items)

    def read(self, key):
        """Return status and body of a read."""
        with self._changed:
            item = self._items.get(key)
            if item is None:
                return 404, {"AsOf": self.revision}
            return 200, {**item.render(), "AsOf": self.revision}

    def list(self, prefix, after):
        """Return status and body of a range read."""
        with self._changed:
            keys = [k for k in sorted(self._items) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            page = [self._items[k].render() for k in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "HasMore": more, "AsOf": self.revision}

    def watch(self, prefix, after, wait_s):
        """Return status and body of a watch."""
        ends = time.monotonic() + wait_s
        with self._changed:
            while True:
                if after < self._compacted:
                    return 410, {}
                events = [
                    row
                    for row in self._events
                    if row["Revision"] > after and row["Key"].startswith(prefix)
                ]
                left_s = ends - time.monotonic()
                if events or left_s <= 0 or self.error_status:
                    return 200, {"events": events, "AsOf": self.revision}
                self._changed.wait(min(left_s, STEP_S))

    def change(self, body):
        """Return status and body of a conditional change."""
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

    def grant(self, duration_s):
        """Return status and body of a new lease."""
        with self._changed:
            self._next_lease += 1
            self._leases[self._next_lease] = duration_s
            return 200, {"Lease": self._next_lease, "TtlS": duration_s}

    def keep(self, lease):
        """Return status and body of a renewal."""
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            return 200, {"TtlS": self._leases[lease]}

    def end(self, lease):
        """Return status and body of a lease's end."""
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            self._end(lease)
            return 200, {}

    def _end(self, lease):
        del self._leases[lease]
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self._remove(key)

    def _set(self, key, value, lease):
        self.revision += 1
        old = self._items.get(key)
        created = old.created if old else self.revision
        item = self._items[key] = Item(key, value, self.revision, created, lease)
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
    """Answers calls from a `StoreState`."""

    def __init__(self, http_request, state):
        super().__init__(http_request)
        self.state = state

    def respond(self):
        """Answer one call."""
        req = self.req
        target = req.uri.decode("ascii")
        raw = req.rfile.read()
        self.state.calls.append(f"{req.method.decode()} {target}")
        if self.state.error_status:
            self._write(self.state.error_status, {})
            return
        status, body = self._dispatch(req.method.decode(), target, raw)
        if self.state.drops_responses and req.method == b"POST":
            req.close_connection = True
            req.sent_headers = True
            return
        self._write(status, body)

    def _dispatch(self, method, target, raw):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name, _, argument = path.removeprefix("/persimmonlane/").partition("/")
        body = msgspec.json.decode(raw) if raw else {}
        state = self.state
        calls = {
            "GET kv-key": lambda: state.read(fields["Key"]),
            "GET kv-range": lambda: state.list(
                fields["Prefix"], fields.get("after", "")
            ),
            "GET kv-watch": lambda: state.watch(
                fields["Prefix"], int(fields["after"]), int(fields["WaitMs"]) / 1000
            ),
            "POST kv-txn": lambda: state.change(body),
            "POST kv-lease": lambda: state.grant(body["TtlS"]),
            "POST kv-keep": lambda: state.keep(int(argument)),
            "DELETE kv-lease-end": lambda: state.end(int(argument)),
        }
        call = calls.get(f"{method} {name}")
        return call() if call else (404, {})

    def _write(self, status, body):
        data = msgspec.json.encode(body)
        self.req.status = f"{status} Status".encode()
        self.req.outheaders = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(data)).encode()),
        ]
        self.req.ensure_headers_sent()
        self.req.write(data)


class StoreStandin:
    """The stand-in's server.

    Attributes:
        state: The `StoreState`.
        address: Its address, known after `start`.
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
        """Bind and serve in a thread."""
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        """Close the server."""
        self.state.error_status = 503
        self._server.stop()
