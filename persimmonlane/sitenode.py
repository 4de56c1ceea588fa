"""Site node.

Assembles the process that runs beside a backend server and proxies its requests.
"""

import logging
import random
import signal
import threading

from .announcer import Announcer
from .application import Application, Part
from .clocks import BootClock, WallClock
from .errors import Refusal
from .localities import Locality
from .nodeservers import (
    POOL_DESCRIPTORS_SHARE,
    NodeServers,
    count_descriptors,
)
from .owner.backend import HostedServer
from .owner.fleethealth import FleetHealth
from .owner.keeping import DepartureKeeper
from .owner.owner import Owner
from .peers.commands import CrashesLearned
from .peers.gossip import Gossip
from .peers.transport import DatagramTransport
from .platform.documents import decode_document
from .platform.store import SiteStore
from .quarantine.ledger import CrashLedger
from .reloading import SettingsReloader
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
from .serving.ingress import Ingress
from .serving.isolation import IsolationPolicy
from .serving.longanswers import LongAnswers
from .serving.memory import (
    UNRESERVED_BYTES,
    MemoryAccount,
    create_memory_account,
)
from .serving.room import RoomWaiter
from .serving.selection import build_selector
from .serving.shutdown import Shutdown
from .serving.stalls import StallTracker
from .serving.tracker import RunningRequests
from .ticker import Ticker
from .upkeep.documents import DocumentHolder
from .upkeep.evacuations import EvacuationHolder
from .upkeep.generations import GenerationTracker
from .upkeep.storesync import StoreSync

log = logging.getLogger("persimmonlane.node")

# Leaves enough of the `nodeservers.CALLER_THREADS` for the nested calls of running
# requests.
MAX_RUNNING_REQUESTS = 52
RETRY_AFTER_S = 0.5
# Callers need two readiness probes, one second apart, to notice the shutdown.
MIN_DRAIN_S = 2.3
POLL_INTERVAL_S = 0.05
# Time for a request to arrive on a newly accepted connection.
REQUEST_ARRIVAL_S = 0.15
# Fraction of the grace time that is reserved for sending the final answers.
FINAL_ANSWERS_FRACTION = 1 / 30
# For the answers of the store and for fetched documents, which callers' requests must
# not keep out.
CONTROL_MEMORY_BYTES = 16 * 1024 * 1024


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
        long_answers: The `LongAnswers`.
        shutdown: The `Shutdown`.
        closes_connections: Whether answers carry `Connection: close`.
    """

    name = "node"

    def __init__(self, application, settings, read_settings):
        self.clock = clock = BootClock()
        self.closes_connections = False
        self._settings = settings
        self._reloader = SettingsReloader(settings, read_settings)
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
        self.long_answers = LongAnswers(clock, self.memory.room)
        self._control_memory = MemoryAccount(CONTROL_MEMORY_BYTES)
        pool = ConnectionPool(
            clock, self.memory, count_descriptors(settings, POOL_DESCRIPTORS_SHARE)
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
            evacuations.add_listener(evacuation_log.note_change)
            evacuations.add_listener(self._announcer.wake)
        self._servers = NodeServers(settings, self, stalls, self.memory)
        self._ticker = Ticker(
            clock,
            self.owner,
            self.memory,
            self._servers,
            self._reloader,
            self._stopping,
        )

    def start(self):
        """Start the HTTP servers, the gossip and the background threads."""
        self._servers.start()
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
        self._servers.stop_accepting()
        # Requests may still arrive on connections that were accepted before.
        self._stopping.wait(
            min(REQUEST_ARRIVAL_S, max(0.0, self.shutdown.get_remaining_s()))
        )
        self._wait_until(self._servers.is_idle)
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
        while not self._servers.is_idle() and self.clock.now() < ends_at:
            self._stopping.wait(POLL_INTERVAL_S)

    def stop(self):
        """Stop the threads and close the sockets."""
        self._stopping.set()
        self._announcer.stop()
        self._reporter.stop()
        self._upkeep.stop()
        self._wire.stop()
        self._servers.stop()

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

    def _apply_rulebook(self, rulebook):
        self._check_regions(rulebook)
        limits = rulebook.limits
        self._servers.apply_limits(limits)
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
        self._reloader.request()


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
