"""Forwarding part.

The ingress role of a node: cheroot in front, the traffic actor behind.
"""

import contextlib
import logging
import threading

import cheroot.server

from ..actors import Ticker
from ..application import Part
from ..errors import PersimmonError
from ..settings import split_address
from .connections import ConnectionPool
from .forwarder import Forwarder
from .gateway import CallerGateway
from .indexing import Indexer
from .probes import Prober
from .strictness import StrictConnection
from .traffic import RecordsWanted, Surrender, Traffic

log = logging.getLogger("persimmonlane.forwarding")

TICK_S = 0.05
RECORDS_TIMEOUT_S = 2.0
HEADER_LIMIT_BYTES = 32 * 1024
BACKLOG = 512
KEPT_CALLERS = 4096
CALLER_TIMEOUT_S = 30


class Ports:
    """Through which the traffic actor reaches the rest of the node.

    Attributes:
        forwarder: The `Forwarder`.
        pool: The `ConnectionPool`.
        prober: The `Prober`.
        limits: The limits part, or None before it is connected.
        membership: The membership part, or None before it is connected.
    """

    __slots__ = ("forwarder", "pool", "prober", "limits", "membership")

    def __init__(self, pool):
        self.pool = pool
        self.forwarder = None
        self.prober = None
        self.limits = None
        self.membership = None

    def probe(self, service, address):
        """Begin a probe of a backend server."""
        self.prober.probe(service, address)

    def send_demands(self, demands):
        """Send demands for loans."""
        if self.limits is not None:
            self.limits.send(demands)

    def change_document(self, view):
        """Tell the other parts of a revision that came into force."""
        self.membership.set_lease(view.document.fleet.announcement_lease_s)
        self.limits.set_view(view)


class Ingress(Part):
    """The ingress role.

    Attributes:
        forwarder: The `Forwarder`.
        clock: Clock in monotonic seconds.
        traffic: Reference to the traffic actor.
        port: The bound port, known after `start`.
    """

    name = "ingress"

    def __init__(self, application, settings, clock, metrics):
        self.clock = clock
        self._drain = None
        self.ports = Ports(ConnectionPool(clock))
        self.traffic = Traffic.start(application, settings, clock, metrics, self.ports)
        self._indexer = Indexer.start(application, self.traffic)
        self.forwarder = Forwarder(self.traffic, self.ports.pool, clock)
        self.ports.forwarder = self.forwarder
        self.ports.prober = Prober(clock, self.traffic)
        self._running = 0
        self._lock = threading.Lock()
        self._ticker = Ticker(self.traffic, TICK_S)
        self._server = create_server(settings, self)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self):
        """The bound port."""
        return self._server.bind_addr[1]

    @property
    def draining(self):
        """Whether answers ask callers to close their connections."""
        return self._drain.closes

    @property
    def accepts(self):
        """Whether new requests are taken."""
        return self._drain.accepts

    def connect(self, membership, config, limits, draining):
        """Subscribe the traffic actor to the other parts."""
        self.ports.limits = limits
        self.ports.membership = membership
        limits.connect(self.traffic)
        membership.subscribe(self.traffic)
        config.subscribe(self._indexer)
        self.forwarder.is_isolated = config.is_isolated
        self._drain = draining
        draining.watch(lambda: self._running)

    @contextlib.contextmanager
    def track(self):
        """Count a request as running."""
        with self._lock:
            self._running += 1
        try:
            yield
        finally:
            with self._lock:
                self._running -= 1

    def start(self):
        """Bind, and begin to serve."""
        self._ticker.start()
        self._bind()
        self._thread.start()
        log.info("Forwarding: serves callers on port %d.", self.port)

    def _bind(self):
        try:
            self._server.prepare()
        except OSError as error:
            raise PersimmonError(
                "the address for callers can't be bound",
                code="address-unavailable",
                place="$.http",
            ) from error

    def drain_records(self):
        """Return the records of requests since the last call.

        Raises:
            pykka.Timeout: If the traffic actor does not answer in time.
        """
        return self.traffic.ask(RecordsWanted(), timeout=RECORDS_TIMEOUT_S)

    def drain(self):
        """Hand loans back; nothing runs any more."""
        self.traffic.ask(Surrender())

    def stop(self):
        """Close the server and end the actor."""
        self._server.stop()
        self._ticker.stop()
        self.ports.prober.stop()
        self._indexer.stop()
        self.traffic.stop()


def build_ingress(application, settings, clock, metrics):
    """Build the ingress role of a node and add it to the application.

    Args:
        application: The `Application`.
        settings: The `NodeSettings`.
        clock: Clock in monotonic seconds.
        metrics: Where counters go.
    """
    return application.add(Ingress(application, settings, clock, metrics))


def create_server(settings, ingress):
    """Return the cheroot server for callers."""
    server = cheroot.server.HTTPServer(
        split_address(settings.http),
        gateway=lambda request: CallerGateway(request, ingress),
        minthreads=settings.threads,
        maxthreads=settings.threads,
        server_name="persimmonlane",
    )
    server.ConnectionClass = StrictConnection
    server.max_request_header_size = HEADER_LIMIT_BYTES
    server.request_queue_size = BACKLOG
    server.keep_alive_conn_limit = KEPT_CALLERS
    server.timeout = CALLER_TIMEOUT_S
    server.error_log = log_server_error
    return server


def log_server_error(msg="", level=logging.INFO, traceback=False):
    """Log an error of cheroot without the request's content."""
    log.log(level, "Forwarding: the HTTP server reports an error.")
    log.debug("Forwarding: cheroot says %s.", type(msg).__name__)
