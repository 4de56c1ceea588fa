"""Site node.

Assembles the process that runs beside a backend server and proxies its requests.
"""

import logging
import random
import signal
import threading

from .actors import Tick
from .application import Application, Part
from .clocks import BootClock, WallClock
from .errors import InputError, Refusal
from .localities import Locality
from .owner.backend import HostedServer
from .owner.fleethealth import FleetHealth
from .owner.keeping import DepartureKeeper
from .owner.owner import Owner
from .peers.commands import CrashesLearned
from .peers.gossip import ANNOUNCE_S, Gossip
from .peers.transport import DatagramTransport
from .platform.documents import decode_document
from .platform.store import SiteStore
from .quarantine.ledger import CrashLedger
from .reporting.counter import RequestCounter, UnixClock
from .reporting.evacuations import EvacuationLog, LocatedServer
from .reporting.reporter import Reporter
from .routing.metadata import Order
from .serving.admission import Admission
from .serving.attempts import IngressRequest
from .serving.budget import RetryBudget
from .serving.cancellation import CancellationClient
from .serving.connections import ConnectionPool
from .serving.documentfetch import fetch_document
from .serving.events import RequestEvents
from .serving.gateways import (
    CallerGateway,
    HeartbeatGateway,
    PeerGateway,
    ReadinessGateway,
)
from .serving.ingress import Ingress
from .serving.isolation import IsolationPolicy
from .serving.memory import (
    UNRESERVED_BYTES,
    MemoryAccount,
    create_memory_account,
)
from .serving.room import RoomWaiter
from .serving.selection import build_selector
from .serving.servers import RECEIVE_BUFFER_BYTES, NodeHTTPServer
from .serving.shutdown import Shutdown
from .serving.stalls import StallTracker
from .serving.tracker import RunningRequests
from .upkeep.documents import DocumentHolder
from .upkeep.evacuations import EvacuationHolder
from .upkeep.generations import GenerationTracker
from .upkeep.storesync import StoreSync

log = logging.getLogger("persimmonlane.node")

CALLER_THREADS = 72
PEER_THREADS = 40
CONTROL_THREADS = 2
# Leaves enough of the `CALLER_THREADS` for the nested calls of running requests.
MAX_RUNNING_REQUESTS = 52
CONTROL_INTERVAL_S = 0.1
RETRY_AFTER_S = 0.5
IDLE_TIMEOUT_MARGIN_S = 2.0
# Callers need two readiness probes, one second apart, to notice the shutdown.
MIN_DRAIN_S = 2.3
POLL_INTERVAL_S = 0.05
# Time for a request to arrive on a newly accepted connection.
REQUEST_ARRIVAL_S = 0.15
# Fraction of the grace time that is reserved for sending the final answers.
FINAL_ANSWERS_FRACTION = 1 / 30
RELOAD_INTERVAL_S = 3.0
MEMORY_LOG_INTERVAL_S = 10.0
# For the answers of the store and for fetched documents, which callers' requests must
# not keep out.
CONTROL_MEMORY_BYTES = 16 * 1024 * 1024
# Shares of the descriptors that the process may have open. The rest, 18 in 100, is for
# listeners, for connections in use to other nodes and backend servers, and for the two
# descriptors that each running request takes beside them.
CALLER_DESCRIPTORS_SHARE = 0.4
PEER_DESCRIPTORS_SHARE = 0.25
CONTROL_DESCRIPTORS_SHARE = 0.035
POOL_DESCRIPTORS_SHARE = 0.1
# Share of the memory for the receive buffers of callers' connections.
BUFFERS_SHARE = 0.1


class NodeState:
    """State of the node that its announcements carry.

    Attributes:
        leaving: Whether the node is shutting down.
        server: The `ServerStatus` of its backend server, or None.
    """

    __slots__ = ("leaving", "server")

    def __init__(self, leaving, server):
        self.leaving = leaving
        self.server = server


class SiteNode(Part):
    """A node with its HTTP servers, its gossip actor and its threads.

    Attributes:
        clock: Clock in seconds since boot.
        documents: The `DocumentHolder`.
        owner: The `Owner`.
        evacuations: The `EvacuationHolder`; None where operators evacuate no data
            centres.
        admission: The `Admission`.
        ingress: The `Ingress`.
        isolation: The `IsolationPolicy`.
        selector: The `DataCentreSelector`, or None where leaving the data centre is
            not weighed.
        events: The `RequestEvents`.
        running: The `RunningRequests`.
        memory: The `MemoryAccount` of requests and responses.
        shutdown: The `Shutdown`.
        closes_connections: Whether answers carry `Connection: close`.
    """

    name = "node"

    def __init__(self, application, settings, read_settings):
        self.clock = clock = BootClock()
        self.closes_connections = False
        self._settings = settings
        self._read_settings = read_settings
        self._reload_requested = False
        self._unapplied_settings = []
        self.running = RunningRequests()
        self.shutdown = Shutdown(clock)
        self._stopping = threading.Event()
        self._regions = regions = settings.build_region_map()
        self.documents = DocumentHolder(decode_document, regions.locate)
        self._generations = generations = GenerationTracker(clock)
        hosted = HostedServer(
            settings.server, settings.service, settings.heartbeat_s, clock, WallClock()
        )
        self._stalls = stalls = StallTracker()
        self.memory = create_memory_account(settings.memory_bytes)
        self.memory.room = RoomWaiter(stalls)
        self._control_memory = MemoryAccount(CONTROL_MEMORY_BYTES)
        pool = ConnectionPool(
            clock, self.memory, self._count_descriptors(POOL_DESCRIPTORS_SHARE)
        )
        ledger = CrashLedger(clock)
        self.evacuations = evacuations = (
            EvacuationHolder(settings, clock) if settings.has_evacuations else None
        )
        self.owner = Owner(
            settings,
            hosted,
            clock,
            pool,
            ledger,
            self.memory.request_limit_bytes,
            evacuations,
        )
        self._wire = DatagramTransport(settings.ip, settings.gossip_port)
        self._gossip = Gossip.start(
            application,
            settings,
            clock,
            self._wire,
            self.describe,
            self.documents,
            generations,
            ledger,
            self.owner,
            evacuations=evacuations,
        )
        self._table = table = self._gossip.proxy().table.get()
        self.owner.watch_fleet(FleetHealth(settings.service, table))
        self._wire.traffic.set_locator(table.is_local_host, self._is_elsewhere)
        counter = RequestCounter(UnixClock(), settings.name)
        self.events = RequestEvents(
            clock, counter, self.documents, table, settings.name, self.shutdown
        )
        evacuation_log = None
        if evacuations is not None:
            evacuation_log = EvacuationLog(
                settings, clock, evacuations, self.owner.evacuation, self._list_servers
            )
            evacuations.add_listener(evacuation_log.note_change)
        self.isolation = IsolationPolicy(ledger, self.owner.crashes.list_running)
        self.admission = Admission(settings, self.documents, table, self._gossip)
        self.selector = build_selector(
            settings, clock, random.Random(), self._find_cold_rate
        )
        self._reporter = Reporter(
            counter, self._wire.traffic, evacuation_log, self.selector
        )
        self.ingress = Ingress(
            settings,
            clock,
            self.owner,
            self.describe,
            table,
            self._gossip,
            pool,
            RetryBudget(settings, clock, table, self._gossip),
            self.events,
            self.shutdown,
            CancellationClient(self._gossip, clock),
            self._wire.traffic,
            self.isolation,
            evacuations,
            self.selector,
        )
        self._upkeep = StoreSync(
            settings,
            clock,
            SiteStore(settings.store, generations),
            generations,
            self.documents,
            self._gossip,
            table,
            self.fetch_document,
            random.Random(),
            hosted.departures,
            self.owner.learn_departures,
            evacuations,
        )
        self._keeper = DepartureKeeper(self._upkeep, self._gossip)
        self._announcer = Announcer(self._gossip, random.random)
        self.owner.on_change = self._announcer.wake
        self.owner.find_status_path = self._find_status_path
        self.owner.find_cold_start = lambda: self._find_cold_start(settings.service)
        self.ingress.set_cold_starts(self._find_cold_start)
        self.owner.crashes.on_crash = self._publish_crashes
        self.documents.add_listener(self._apply_rulebook)
        generations.add_listener(lambda event: self._announcer.wake())
        if evacuations is not None:
            evacuations.add_listener(self.owner.apply_evacuations)
            evacuations.add_listener(self._announcer.wake)
        self._servers = [
            NodeHTTPServer(
                settings.readiness_address,
                self._bind(ReadinessGateway),
                CONTROL_THREADS,
                stalls,
                self._count_descriptors(CONTROL_DESCRIPTORS_SHARE),
            ),
            NodeHTTPServer(
                settings.heartbeat_address,
                self._bind(HeartbeatGateway),
                CONTROL_THREADS,
                stalls,
                self._count_descriptors(CONTROL_DESCRIPTORS_SHARE),
            ),
            NodeHTTPServer(
                settings.peer_address,
                self._bind(PeerGateway),
                PEER_THREADS,
                stalls,
                self._count_descriptors(PEER_DESCRIPTORS_SHARE),
            ),
            NodeHTTPServer(
                settings.caller_address,
                self._bind(CallerGateway),
                CALLER_THREADS,
                stalls,
                min(
                    self._count_descriptors(CALLER_DESCRIPTORS_SHARE),
                    int(settings.memory_bytes * BUFFERS_SHARE / RECEIVE_BUFFER_BYTES),
                ),
            ),
        ]
        self._request_servers = self._servers[2:]
        for server in self._request_servers:
            server.memory = self.memory
        self._ticker = threading.Thread(target=self._tick, daemon=True)

    def start(self):
        """Start the HTTP servers, the gossip and the background threads."""
        for server in self._servers:
            server.start_in_background()
        self._wire.start(self._gossip)
        self._upkeep.start()
        self._announcer.start()
        self._reporter.start()
        self._ticker.start()
        log.info("Node: %s is serving.", self._settings.name)

    def drain(self):
        """Finish the running requests while callers switch to other nodes."""
        self.shutdown.begin(self._settings.grace_s)
        self.closes_connections = True
        self.owner.stop_admitting()
        self._announcer.wake()
        self._wait_until(lambda: self._is_drained() or not self.shutdown.may_dispatch())
        self.shutdown.close()
        self._wait_until(self._is_drained)
        for server in self._request_servers:
            server.stop_accepting()
        # Requests may still arrive on connections that were accepted before.
        self._stopping.wait(
            min(REQUEST_ARRIVAL_S, max(0.0, self.shutdown.get_remaining_s()))
        )
        self._wait_until(self._is_idle)
        self._upkeep.stop()
        self._end_unfinished_requests()

    def _wait_until(self, condition):
        while self.shutdown.get_remaining_s() > 0 and not condition():
            self._stopping.wait(POLL_INTERVAL_S)

    def _is_drained(self):
        return (
            self.shutdown.get_elapsed_s() >= MIN_DRAIN_S
            and not self._has_admitted_requests()
        )

    def _has_admitted_requests(self):
        requests = self.running.list(IngressRequest)
        return self.running.list(Order) or any(
            request.is_admitted() for request in requests
        )

    def _is_idle(self):
        return not any(server.count_active() for server in self._request_servers)

    def _end_unfinished_requests(self):
        """Answer the unfinished requests with an error."""
        for request in self.running.list(IngressRequest):
            self.events.note_unfinished(request)
        log.info(
            "Node: %d requests were running at the end of the shutdown.",
            self.running.count,
        )
        self.shutdown.end()
        ends_at = self.clock.now() + self._settings.grace_s * FINAL_ANSWERS_FRACTION
        while not self._is_idle() and self.clock.now() < ends_at:
            self._stopping.wait(POLL_INTERVAL_S)

    def stop(self):
        """Stop the threads and close the sockets."""
        self._stopping.set()
        self._announcer.stop()
        self._reporter.stop()
        self._upkeep.stop()
        self._wire.stop()
        threads = [threading.Thread(target=server.stop) for server in self._servers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def describe(self):
        """Return the current `NodeState`."""
        is_leaving = self.shutdown.is_shutting_down()
        return NodeState(is_leaving, self.owner.status.describe(is_leaving))

    def is_ready(self):
        """Return whether the node accepts requests from callers."""
        return (
            not self.shutdown.is_shutting_down() and self.documents.rulebook is not None
        )

    def admit(self, priority):
        """Refuse a caller's request while too many requests are running.

        Nested calls of backend servers, which have a negative priority, are always
        admitted.

        Raises:
            Refusal: Not run, with code `node-busy`.
        """
        if priority >= 0 and self._count_in_progress() > MAX_RUNNING_REQUESTS:
            raise Refusal(
                503, "node-busy", "the node is busy", retry_after=RETRY_AFTER_S
            )

    def _count_in_progress(self):
        """Return the number of requests without those that come or are answered.

        Callers that send or read slowly would otherwise keep out the others.
        """
        requests = self.running.list(IngressRequest)
        orders = self.running.count - len(requests)
        return orders + sum(request.is_in_progress() for request in requests)

    def _count_descriptors(self, share):
        return int(self._settings.max_descriptors * share)

    def keep_departures(self):
        """Return whether what was said of leaving will outlive this process."""
        return self._keeper.keep()

    def fetch_document(self, address):
        """Fetch the document from another node, which replaces an older one."""
        fetched = fetch_document(address, self.clock, self._control_memory)
        if fetched is not None:
            self.documents.apply(
                fetched.raw, address, fetched.generation, fetched.revision
            )

    def _list_servers(self):
        """Return the `LocatedServer`s of this node and of its live peers."""
        located = [(self._settings.data_centre, self.describe().server)]
        located += [
            (peer.data_centre, peer.announcement.server)
            for peer in self._table.list_live()
        ]
        return [
            LocatedServer(data_centre, server.service, server.running)
            for data_centre, server in located
            if server is not None
        ]

    def _find_status_path(self):
        rulebook = self.documents.rulebook
        if rulebook is None:
            return None
        return rulebook.status_paths.get(self._settings.service, "")

    def _is_elsewhere(self, host):
        """Return whether a host is known to be in another region."""
        data_centre = self._table.find_data_centre(host)
        if not data_centre:
            return False
        return self._regions.locate(data_centre) is Locality.ELSEWHERE

    def _find_cold_start(self, service):
        rulebook = self.documents.rulebook
        return None if rulebook is None else rulebook.find_cold_start(service)

    def _find_cold_rate(self, service):
        cold_start = self._find_cold_start(service)
        return None if cold_start is None else cold_start.rate

    def _publish_crashes(self, entries):
        self._gossip.tell(CrashesLearned(entries))

    def _bind(self, gateway):
        return lambda request: gateway(request, self)

    def _apply_rulebook(self, rulebook):
        self._check_regions(rulebook)
        limits = rulebook.limits
        for server in self._request_servers:
            server.header_timeout_s = limits.header_timeout_s
            server.timeout = limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
            server.max_request_header_size = limits.header_bytes * 2
        if limits.body_bytes > self.memory.request_limit_bytes + UNRESERVED_BYTES:
            log.warning(
                "Node: the longest bodies that callers may send are refused, as the "
                "memory has room for %d bytes.",
                self.memory.request_limit_bytes,
                extra={"event": "memory-too-small"},
            )
        self._announcer.wake()

    def _check_regions(self, rulebook):
        """Log the regions in a document that the settings do not know."""
        unknown = self._regions.list_unknown(rulebook.list_allowed_regions())
        if unknown:
            log.warning(
                "Node: version %08x allows regions that the settings do not know: %s.",
                rulebook.version,
                ", ".join(unknown),
                extra={"event": "region-unknown", "regions": unknown},
            )

    def reload(self):
        """Request a reload of the settings; callable from a signal handler."""
        # A signal handler may not take a lock: another signal can interrupt it.
        self._reload_requested = True

    def _tick(self):
        reload_at = self.clock.now() + RELOAD_INTERVAL_S
        memory_log_at = self.clock.now() + MEMORY_LOG_INTERVAL_S
        while not self._stopping.wait(CONTROL_INTERVAL_S):
            self._tick_owner()
            if self.clock.now() >= memory_log_at:
                memory_log_at = self.clock.now() + MEMORY_LOG_INTERVAL_S
                self._log_memory()
            if self._reload_requested or self.clock.now() >= reload_at:
                self._reload_requested = False
                self._reload_settings()
                reload_at = self.clock.now() + RELOAD_INTERVAL_S

    def _log_memory(self):
        peak_bytes = self.memory.take_peak_bytes()
        if not peak_bytes:
            return
        log.info(
            "Node: bodies took up to %d bytes of %d.",
            peak_bytes,
            self.memory.limit_bytes,
            extra={
                "event": "memory-used",
                "peak_bytes": peak_bytes,
                "limit_bytes": self.memory.limit_bytes,
                "connections": [server.count_open() for server in self._servers],
            },
        )

    def _tick_owner(self):
        try:
            self.owner.tick()
        except Exception:
            log.exception("Node: the periodic work of the owner failed.")

    def _reload_settings(self):
        try:
            unapplied = self._settings.apply_reloadable(self._read_settings())
        except InputError as error:
            log.error(
                "Node: failed to reload the settings, keeping the old ones: %s.", error
            )
            return
        if unapplied and unapplied != self._unapplied_settings:
            log.warning(
                "Node: changed settings that need a restart: %s.", ", ".join(unapplied)
            )
        self._unapplied_settings = unapplied


class Announcer:
    """Sends the announcements of the node, periodically and after each change."""

    __slots__ = ("_gossip", "_rng", "_wake_event", "_stopped", "_thread")

    def __init__(self, gossip, rng):
        self._gossip = gossip
        self._rng = rng
        self._wake_event = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread that sends announcements."""
        self._thread.start()

    def stop(self):
        """Stop the thread."""
        self._stopped = True
        self._wake_event.set()

    def wake(self):
        """Send the next announcement without delay."""
        self._wake_event.set()

    def _run(self):
        tick = Tick()
        while not self._stopped:
            self._gossip.tell(tick)
            self._wake_event.wait(ANNOUNCE_S * (0.9 + 0.2 * self._rng()))
            self._wake_event.clear()


def build_site_node(read_settings):
    """Return the `Application` that runs a node.

    Args:
        read_settings: Callable that reads and returns the current `FleetSettings`.

    Raises:
        InputError: If the settings are invalid.
    """
    application = Application()
    node = application.add(SiteNode(application, read_settings(), read_settings))
    signal.signal(signal.SIGHUP, lambda number, frame: node.reload())
    return application
