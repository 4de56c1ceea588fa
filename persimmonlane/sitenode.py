"""Site node.

Assembles the one process that runs beside a backend server.
"""

import logging
import random
import signal
import threading

import urllib3
import urllib3.exceptions

from .actors import Tick
from .application import Application, Part
from .clocks import BootClock
from .errors import InputError, Refusal
from .owner.backend import HostedServer
from .owner.health import HealthState
from .owner.owner import Owner
from .peers.gossip import ANNOUNCE_S, Gossip
from .peers.messages import ServerStatus
from .peers.transport import DatagramTransport
from .platform.documents import decode_document
from .platform.store import SiteStore
from .reporting.ledger import Ledger, UnixClock
from .reporting.part import Reporter
from .routing.metadata import Order
from .serving.admission import Admission
from .serving.attempts import IngressRequest
from .serving.budget import RetryBudget
from .serving.cancellation import CancellationClient
from .serving.connections import ConnectionPool
from .serving.events import RequestEvents
from .serving.gateways import (
    DOCUMENT_PATH,
    CallerGateway,
    HeartbeatGateway,
    PeerGateway,
    ReadinessGateway,
)
from .serving.ingress import Ingress
from .serving.servers import NodeHTTPServer
from .serving.shutdown import Shutdown
from .serving.tracker import RunningRequests
from .settings import split_address
from .upkeep.documents import DocumentHolder
from .upkeep.part import Upkeep

log = logging.getLogger("persimmonlane.node")

CALLER_THREADS = 72
NODE_THREADS = 40
SMALL_THREADS = 2
# Callers' requests beyond this leave no threads for the calls of running requests.
MOST_CALLERS = 52
CONTROL_TICK_S = 0.1
FETCH_TIMEOUT_S = 0.6
RETRY_AFTER_S = 0.5
IDLE_MARGIN_S = 2.0
# Callers take two questions, a second apart, to learn that the node is leaving.
LEAVE_NOTICE_S = 2.3
LOOK_S = 0.05
# Time for a request to come in on a new connection.
ARRIVAL_S = 0.15
# Share of the grace time for the last answers to go out.
ANSWERS_SHARE = 1 / 30
RELOAD_S = 3.0
# Ejected servers are tried every second or two, so that each still gets requests.
MOST_FAILING = 0.34


class OwnNews:
    """What the node says of itself.

    Attributes:
        leaving: Whether it is about to stop.
        server: The `ServerStatus` of its backend server, or None.
    """

    __slots__ = ("leaving", "server")

    def __init__(self, leaving, server):
        self.leaving = leaving
        self.server = server


class SiteNode(Part):
    """The node: its servers, its actor and its threads.

    Attributes:
        clock: Clock in seconds since boot.
        documents: The `DocumentHolder`.
        owner: The `Owner`.
        admission: The `Admission`.
        ingress: The `Ingress`.
        events: The `RequestEvents`.
        running: The `RunningRequests`.
        shutdown: The `Shutdown`.
        closes_connections: Whether answers ask callers to connect anew.
    """

    name = "node"

    def __init__(self, application, settings, reread):
        self.clock = clock = BootClock()
        self.closes_connections = False
        self._settings = settings
        self._reread = reread
        self._reload_wanted = False
        self._left_settings = []
        self.running = RunningRequests()
        self.shutdown = Shutdown(clock)
        self._ended = threading.Event()
        self.documents = DocumentHolder(decode_document)
        hosted = HostedServer(
            settings.server, settings.service, settings.heartbeat_s, clock
        )
        pool = ConnectionPool(clock)
        self.owner = Owner(settings, hosted, clock, pool, self.may_eject)
        self._wire = DatagramTransport(settings.ip, settings.gossip_port)
        self._gossip = Gossip.start(
            application,
            settings,
            clock,
            self._wire,
            self.describe,
            self.documents,
            self.owner,
        )
        self._table = table = self._gossip.proxy().table.get()
        ledger = Ledger(UnixClock(), settings.name)
        self.events = RequestEvents(
            clock, ledger, self.documents, table, settings.name, self.shutdown
        )
        self._reporter = Reporter(ledger)
        self.admission = Admission(settings, self.documents, table, self._gossip)
        self.ingress = Ingress(
            settings,
            clock,
            self.owner,
            self.describe,
            table,
            self._gossip,
            pool,
            RetryBudget(settings.retry_ratio, settings.retry_slack),
            self.events,
            self.shutdown,
            CancellationClient(self._gossip),
        )
        self._upkeep = Upkeep(
            settings,
            clock,
            SiteStore(settings.store),
            self.documents,
            self._gossip,
            table,
            self.fetch_document,
        )
        self._announcer = Announcer(self._gossip, random.random)
        self.owner.on_change = self._announcer.wake
        self.documents.watch(self._take_rulebook)
        self._servers = [
            NodeHTTPServer(
                settings.readiness, self._bind(ReadinessGateway), SMALL_THREADS
            ),
            NodeHTTPServer(
                settings.heartbeats, self._bind(HeartbeatGateway), SMALL_THREADS
            ),
            NodeHTTPServer(settings.nodes, self._bind(PeerGateway), NODE_THREADS),
            NodeHTTPServer(settings.callers, self._bind(CallerGateway), CALLER_THREADS),
        ]
        self._request_servers = self._servers[2:]
        self._ticker = threading.Thread(target=self._tick, daemon=True)

    def start(self):
        """Bind and serve."""
        for server in self._servers:
            server.start_in_background()
        self._wire.start(self._gossip)
        self._upkeep.start()
        self._announcer.start()
        self._reporter.start()
        self._ticker.start()
        log.info("Node: %s serves.", self._settings.name)

    def drain(self):
        """Finish what runs; the callers learn meanwhile to go elsewhere."""
        self.shutdown.begin(self._settings.grace_s)
        self.closes_connections = True
        self.owner.stop_admitting()
        self._announcer.wake()
        self._await_end(lambda: self._may_end() or not self.shutdown.may_dispatch())
        self.shutdown.close()
        self._await_end(self._may_end)
        for server in self._request_servers:
            server.stop_accepting()
        # Requests on connections that were made before that may still be on their way.
        self._ended.wait(min(ARRIVAL_S, max(0.0, self.shutdown.get_remaining_s())))
        self._await_end(self._is_idle)
        self._upkeep.stop()
        self._end_waits()

    def _await_end(self, is_over):
        while self.shutdown.get_remaining_s() > 0 and not is_over():
            self._ended.wait(LOOK_S)

    def _may_end(self):
        return self.shutdown.get_elapsed_s() >= LEAVE_NOTICE_S and not self._has_work()

    def _has_work(self):
        requests = self.running.list(IngressRequest)
        return self.running.list(Order) or any(item.is_admitted() for item in requests)

    def _is_idle(self):
        return not any(server.count_active() for server in self._request_servers)

    def _end_waits(self):
        """Answer the requests that are unfinished."""
        for request in self.running.list(IngressRequest):
            self.events.note_unfinished(request)
        log.info("Node: %d requests were running at the end.", self.running.count)
        self.shutdown.end()
        ends_at = self.clock.now() + self._settings.grace_s * ANSWERS_SHARE
        while not self._is_idle() and self.clock.now() < ends_at:
            self._ended.wait(LOOK_S)

    def stop(self):
        """End threads and sockets."""
        self._ended.set()
        self._announcer.stop()
        self._reporter.stop()
        self._upkeep.stop()
        self._wire.stop()
        enders = [threading.Thread(target=server.stop) for server in self._servers]
        for ender in enders:
            ender.start()
        for ender in enders:
            ender.join()

    def describe(self):
        """Return the `OwnNews` of this moment."""
        owner = self.owner
        current = owner.hosted.current
        if current is None:
            return OwnNews(self.shutdown.is_shutting_down(), None)
        admission_queue = owner.admission_queue
        server = ServerStatus(
            current.server_id,
            current.service,
            admission_queue.slots > 0 and not self.shutdown.is_shutting_down(),
            admission_queue.slots,
            admission_queue.running,
            admission_queue.waiting,
            owner.detector.state.value,
            max(0.0, owner.hosted.cold_until - self.clock.now()),
            owner.is_suspect(),
        )
        return OwnNews(self.shutdown.is_shutting_down(), server)

    def is_ready(self):
        """Return whether callers may send requests to this node."""
        return (
            not self.shutdown.is_shutting_down() and self.documents.rulebook is not None
        )

    def may_eject(self):
        """Return whether enough servers of the service are left without this one."""
        service = self._settings.service
        servers = [peer.announcement.server for peer in self._table.list_live()]
        others = [item for item in servers if item and item.service == service]
        failing = sum(
            1 for item in others if item.standing != HealthState.HEALTHY.value
        )
        return failing + 1 <= max(1.0, MOST_FAILING * (len(others) + 1))

    def admit(self, priority):
        """Refuse callers' requests while too many run; calls of servers go on.

        Raises:
            Refusal: Not run, with code `node-busy`.
        """
        if priority >= 0 and self.running.count > MOST_CALLERS:
            raise Refusal(
                503, "node-busy", "the node is busy", retry_after=RETRY_AFTER_S
            )

    def fetch_document(self, address):
        """Take the document of another node; return whether that worked."""
        host, port = split_address(address)
        try:
            with urllib3.HTTPConnectionPool(host, port, retries=False) as pool:
                answer = pool.request("GET", DOCUMENT_PATH, timeout=FETCH_TIMEOUT_S)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            log.warning("Node: no document came from %s: %s.", address, error)
            return False
        return answer.status == 200 and self.documents.offer(answer.data, address)

    def _bind(self, gateway):
        return lambda request: gateway(request, self)

    def _take_rulebook(self, rulebook):
        limits = rulebook.limits
        for server in self._request_servers:
            server.header_timeout_s = limits.header_timeout_s
            server.timeout = limits.idle_timeout_s + IDLE_MARGIN_S
            server.max_request_header_size = limits.header_bytes * 2
        self._announcer.wake()

    def reload(self):
        """Read the settings anew, soon; callable from a signal handler."""
        # A handler may not take a lock: another signal can interrupt it.
        self._reload_wanted = True

    def _tick(self):
        reload_at = self.clock.now() + RELOAD_S
        while not self._ended.wait(CONTROL_TICK_S):
            self.owner.tick()
            if self._reload_wanted or self.clock.now() >= reload_at:
                self._reload_wanted = False
                self._adopt_settings()
                reload_at = self.clock.now() + RELOAD_S

    def _adopt_settings(self):
        try:
            left = self._settings.adopt(self._reread())
        except InputError as error:
            log.error("Node: the settings stay as they are: %s.", error)
            return
        if left and left != self._left_settings:
            log.warning("Node: settings need a new process: %s.", ", ".join(left))
        self._left_settings = left


class Announcer:
    """Makes the node announce itself regularly, and at once after a change."""

    __slots__ = ("_gossip", "_rng", "_waker", "_ended", "_thread")

    def __init__(self, gossip, rng):
        self._gossip = gossip
        self._rng = rng
        self._waker = threading.Event()
        self._ended = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to announce."""
        self._thread.start()

    def stop(self):
        """End announcing."""
        self._ended = True
        self._waker.set()

    def wake(self):
        """Announce as soon as possible."""
        self._waker.set()

    def _run(self):
        tick = Tick()
        while not self._ended:
            self._gossip.tell(tick)
            self._waker.wait(ANNOUNCE_S * (0.9 + 0.2 * self._rng()))
            self._waker.clear()


def build_site_node(reread):
    """Return the `Application` of a node beside a backend server.

    Args:
        reread: Callable that returns the `FleetSettings` as they are now.

    Raises:
        InputError: If the settings are invalid.
    """
    application = Application()
    node = application.add(SiteNode(application, reread(), reread))
    signal.signal(signal.SIGHUP, lambda number, frame: node.reload())
    return application
