"""Support for the tests: a document, a traffic that answers from a list."""

import contextlib
import socket
import threading

import cheroot.server

from ...clocks import SystemClock
from ...config.model import (
    Document,
    FleetPolicy,
    Key,
    Organisation,
    RetryPolicy,
    Route,
    Service,
)
from ...config.view import DocumentView
from ...keys import KeyTable, compute_digest
from ...retries import RetryBudget
from ..connections import ConnectionPool
from ..forwarder import Forwarder
from ..gateway import CallerGateway
from ..plans import Arrival, Plan, Snapshot
from ..strictness import StrictConnection

SALT = "00" * 8
KEY = "plk_feria_0123456789"
OTHER_KEY = "plk_almacen_9876543210"


def build_document(keys=True, **service):
    organisations = tuple(
        Organisation(
            name=name,
            rate=10,
            burst=10,
            keys=(Key(id="a", digest=compute_digest(SALT, key)),) if keys else (),
        )
        for name, key in (("feria", KEY), ("almacen", OTHER_KEY))
    )
    fields = {"response_timeout_ms": 300, "retries": RetryPolicy(budget=1.0)}
    fields.update(service)
    return Document(
        fleet=FleetPolicy(key_salt=SALT),
        services=(Service(name="prices", **fields),),
        routes=(
            Route(name="prices", path="/prices", service="prices"),
            Route(name="sums", path="/sums", service="prices", idempotent=True),
            Route(
                name="private",
                path="/private",
                service="prices",
                organisations=("almacen",),
            ),
        ),
        organisations=organisations,
    )


def build_snapshot(document, clock):
    view = DocumentView(document, 1, "d")
    budgets = {
        service.name: RetryBudget(service.retries, clock)
        for service in document.services
    }
    return Snapshot(view, KeyTable(document), budgets)


class FakeTraffic:
    """Takes messages; plans each arrival for the next of its addresses."""

    def __init__(self, addresses=()):
        self.addresses = list(addresses)
        self.messages = []
        self._changed = threading.Condition()

    def tell(self, message):
        with self._changed:
            self.messages.append(message)
            self._changed.notify_all()
        if isinstance(message, Arrival):
            step = self.addresses.pop(0)
            if isinstance(step, Exception):
                message.reply.set_exception((type(step), step, None))
            else:
                message.reply.set(Plan(step, len(self.messages), 60.0))

    def await_messages(self, kind, count):
        with self._changed:
            self._changed.wait_for(
                lambda: len(self.list_messages(kind)) >= count, timeout=10
            )
            return self.list_messages(kind)

    def list_messages(self, kind):
        return [item for item in self.messages if isinstance(item, kind)]


class FakeIngress:
    """An ingress around a fake traffic, serving on an ephemeral port."""

    def __init__(self, addresses=(), **service):
        self.clock = SystemClock()
        self.draining = False
        self.accepts = True
        self.traffic = FakeTraffic(addresses)
        pool = ConnectionPool(self.clock)
        self.forwarder = Forwarder(self.traffic, pool, self.clock)
        self.publish(build_document(**service))
        self._server = cheroot.server.HTTPServer(
            ("127.0.0.1", 0),
            gateway=lambda request: CallerGateway(request, self),
            minthreads=4,
        )
        self._server.ConnectionClass = StrictConnection
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def publish(self, document):
        self.forwarder.snapshot = build_snapshot(document, self.clock)

    def track(self):
        return contextlib.nullcontext()

    def connect(self):
        return socket.create_connection(self._server.bind_addr, 10)

    def stop(self):
        self._server.stop()
