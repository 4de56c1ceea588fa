"""Site.

A small site on loopback: a node and a backend server stand-in on each VM, and a
store stand-in. The nodes are processes and read their settings as on the platform.
"""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import urllib3

from persimmonlane.platform.checkins import READY_PATH
from persimmonlane.platform.documents import (
    DOCUMENT_KEY,
    ORGANISATIONS,
    ROUTES,
    OrganisationSpec,
    RouteSpec,
    build_resource,
    encode_document,
)
from persimmonlane.platform.settings import (
    PATH_VARIABLE,
    ListenRow,
    StoreRow,
    WireSettings,
    render_settings,
)
from persimmonlane.routing.rulebook import RouteKind
from persimmonlane.standins.backend import BackendStandin
from persimmonlane.standins.store import StoreStandin

HOST = "shop.example"
KEY = "key-of-census"
HEARTBEAT_S = 0.5
READY_S = 90.0
END_S = 15.0
QUESTION_S = 2.0
LOG_CHARS = 400
RATE_PER_S = 10000
TIMEOUT_S = 3
BORN_MS = 1_700_000_000_000
KINDS = (RouteKind.SAFE, RouteKind.UNSAFE)


class Vm:
    """One VM: a node and a backend server.

    Attributes:
        name: Name of the node.
        service: Name of the service.
        ip: Its IP address.
        zone: Its data centre.
        callers: Address for callers.
        readiness: Address of the node's readiness.
        heartbeats: Address for heartbeats.
        listen: The `ListenRow` of the node's settings.
        app: Address of the backend server.
        server: The `BackendStandin`.
        state: What the backend server says of itself.
        process: The node's process.
        log: Path of the node's log.
    """

    __slots__ = (
        "name",
        "service",
        "callers",
        "server",
        "state",
        "process",
        "readiness",
        "heartbeats",
        "app",
        "listen",
        "ip",
        "zone",
        "log",
    )

    def stop(self):
        """Ask the node to leave."""
        self.process.send_signal(signal.SIGTERM)


class Site:
    """The VMs and the store.

    Attributes:
        vms: The `Vm`s.
        store: The `StoreStandin`.
        version: Version of the document in the store.
        timeout_s: Timeout of the routes in the next document.
    """

    def __init__(self, directory, services, zones, timeout_s=TIMEOUT_S):
        self.vms = []
        self.timeout_s = timeout_s
        self.store = StoreStandin()
        self.version = 0
        self._directory = pathlib.Path(directory)
        (self._gossip_port,) = find_ports("127.0.0.1", 1, socket.SOCK_DGRAM)
        self._ended = threading.Event()
        self._beater = threading.Thread(target=self._beat, daemon=True)
        places = [(zone, service) for service in services for zone in zones]
        for number, (zone, service) in enumerate(places, start=1):
            self.vms.append(self._describe(number, zone, service))

    def start(self, keys=(KEY,)):
        """Start everything; return once each node is ready."""
        self.store.start()
        self.publish(keys)
        for vm in self.vms:
            vm.server.start()
            self.start_node(vm)
        self._beater.start()
        ends = time.monotonic() + READY_S
        while not all(is_ready(vm) for vm in self.vms):
            if time.monotonic() > ends:
                raise TimeoutError(f"the nodes are not ready: {self._read_logs()}")
            time.sleep(0.05)
        time.sleep(HEARTBEAT_S * 3)

    def publish(self, keys):
        """Put a document in force as the operator does."""
        self.version += 1
        services = sorted({vm.service for vm in self.vms})
        rows = [
            build_route(service, kind, self.timeout_s)
            for service in services
            for kind in KINDS
        ]
        census = OrganisationSpec(
            api_keys=list(keys), rate_per_s=RATE_PER_S, burst=RATE_PER_S
        )
        rows.append(build_resource(ORGANISATIONS, "census", census))
        self.store.state.put(DOCUMENT_KEY, encode_document(self.version, rows))

    def stop(self):
        """End the processes that this site started."""
        self._ended.set()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.stop()
        for vm in self.vms:
            if vm.process is None:
                continue
            try:
                vm.process.wait(END_S)
            except subprocess.TimeoutExpired:
                vm.process.kill()
                vm.process.wait()
            vm.server.stop()
        self.store.stop()

    def write_settings(self, vm, bounds=()):
        """Write the settings file of a node; return its path.

        Args:
            vm: The `Vm`.
            bounds: Texts such as `GraceS=6`.
        """
        settings = WireSettings(
            node_name=vm.name,
            ip=vm.ip,
            zone=vm.zone,
            listen=vm.listen,
            internal_ports=[self._gossip_port],
            platform=StoreRow(self.store.address),
            app_addr=vm.app,
            service=vm.service,
            bounds=list(bounds),
        )
        path = self._directory / f"{vm.name}.yaml"
        path.write_text(render_settings(settings))
        return path

    def start_node(self, vm):
        """Start the node of a VM; its log goes on."""
        path = self.write_settings(vm)
        with vm.log.open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, "-m", "persimmonlane.programs.sidecar"],
                env={**os.environ, PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _read_logs(self):
        """Return the last lines of the nodes' logs."""
        paths = sorted(self._directory.glob("*.log"))
        return [path.read_text()[-LOG_CHARS:] for path in paths]

    def _describe(self, number, zone, service):
        ip = f"127.0.1.{number}"
        vm = Vm()
        vm.name, vm.service, vm.state, vm.process = (
            f"vm-{number}",
            service,
            "ready",
            None,
        )
        inbound, vm.callers, vm.readiness, vm.heartbeats, app = (
            f"{ip}:{port}" for port in find_ports(ip, 5)
        )
        vm.server = BackendStandin(app, service, f"i-{number}", BORN_MS + number)
        vm.app = app
        vm.listen = ListenRow(inbound, vm.callers, vm.readiness, vm.heartbeats)
        vm.ip, vm.zone = ip, zone
        vm.log = self._directory / f"{vm.name}.log"
        return vm

    def _beat(self):
        while not self._ended.wait(HEARTBEAT_S):
            for vm in self.vms:
                # A node that has ended takes no heartbeats.
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    vm.server.send_heartbeat(vm.heartbeats, vm.state)


def build_route(service, kind, timeout_s):
    """Return the document's entry of one route."""
    spec = RouteSpec(
        host=HOST,
        prefix=f"/{service}/{kind.value}/",
        kind=kind,
        timeout_s=timeout_s,
        service=service,
        max_attempts=2,
    )
    return build_resource(ROUTES, f"{service}-{kind.value}", spec)


def find_ports(host, count, kind=socket.SOCK_STREAM):
    """Return some ports that are free now."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
        return ports


def is_ready(vm):
    """Return whether a node says that it is ready."""
    try:
        url = f"http://{vm.readiness}{READY_PATH}"
        answer = urllib3.request("GET", url, retries=False, timeout=QUESTION_S)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200
