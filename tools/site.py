"""Small site on loopback for tools and soak tests.

Each VM has a node and a stand-in for a backend server; one store stand-in serves all
nodes. The nodes run as processes and read their settings as on the platform.
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

from persimmonlane.platform.documents import (
    DOCUMENT_KEY,
    ORGANISATIONS,
    ROUTES,
    OrganisationSpec,
    RouteSpec,
    build_resource,
    encode_document,
)
from persimmonlane.platform.heartbeats import READY_PATH
from persimmonlane.platform.settings import (
    PATH_ENV_VARIABLE,
    ListenSettings,
    SettingsFile,
    StoreSettings,
    render_settings,
)
from persimmonlane.routing.rulebook import RouteKind
from persimmonlane.standins.backend import BackendStandin
from persimmonlane.standins.store import StoreStandin

HOST = "shop.example"
KEY = "key-of-census"
HEARTBEAT_S = 0.5
READY_TIMEOUT_S = 90.0
STOP_TIMEOUT_S = 15.0
PROBE_TIMEOUT_S = 2.0
LOG_TAIL_CHARS = 400
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
        callers: Address that callers send requests to.
        readiness: Address of the node's readiness endpoint.
        heartbeats: Address that the backend server sends heartbeats to.
        listen: The `ListenSettings` of the node's settings.
        app: Address of the backend server.
        server: The `BackendStandin`.
        state: State in the backend server's heartbeats, `ready` or `draining`.
        process: The node's process, or None before its first start.
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
        """Send SIGTERM to the node."""
        self.process.send_signal(signal.SIGTERM)


class Site:
    """The VMs and the store of a site.

    Attributes:
        vms: The `Vm`s.
        store: The `StoreStandin`.
        version: Version of the document in the store, 0 before the first one.
        timeout_s: Timeout, in seconds, of the routes in the next document.
    """

    def __init__(
        self, directory, services, zones, timeout_s=TIMEOUT_S, contracts=(), bounds=()
    ):
        self.vms = []
        self._contracts = list(contracts)
        self._bounds = list(bounds)
        self.timeout_s = timeout_s
        self.store = StoreStandin()
        self.version = 0
        self._directory = pathlib.Path(directory)
        (self._gossip_port,) = find_ports("127.0.0.1", 1, socket.SOCK_DGRAM)
        self._stopped = threading.Event()
        self._heartbeat_thread = threading.Thread(
            target=self._send_heartbeats, daemon=True
        )
        placements = [(zone, service) for service in services for zone in zones]
        for number, (zone, service) in enumerate(placements, start=1):
            self.vms.append(self._build_vm(number, zone, service))

    def start(self, keys=(KEY,)):
        """Start the store, servers and nodes; return once every node is ready.

        Args:
            keys: API keys in the first document.

        Raises:
            TimeoutError: If a node is not ready within `READY_TIMEOUT_S`.
        """
        self.store.start()
        self.publish(keys)
        for vm in self.vms:
            vm.server.start()
            self.start_node(vm)
        self._heartbeat_thread.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(is_ready(vm) for vm in self.vms):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"nodes did not become ready; log tails: {self._read_log_tails()}"
                )
            time.sleep(0.05)
        time.sleep(HEARTBEAT_S * 3)

    def publish(self, keys):
        """Publish the next version of the document, as the operator does."""
        self.version += 1
        services = sorted({vm.service for vm in self.vms})
        resources = [
            build_route(service, kind, self.timeout_s)
            for service in services
            for kind in KINDS
        ]
        census = OrganisationSpec(
            api_keys=list(keys), rate_per_s=RATE_PER_S, burst=RATE_PER_S
        )
        resources.append(build_resource(ORGANISATIONS, "census", census))
        self.store.state.put(DOCUMENT_KEY, encode_document(self.version, resources))

    def stop(self):
        """Stop the nodes, the backend servers and the store.

        A node that is still running `STOP_TIMEOUT_S` after SIGTERM is killed.
        """
        self._stopped.set()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.stop()
        for vm in self.vms:
            if vm.process is None:
                continue
            try:
                vm.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                vm.process.kill()
                vm.process.wait()
            vm.server.stop()
        self.store.stop()

    def write_settings(self, vm, bounds=()):
        """Write the settings file of a node; return its path.

        Args:
            vm: The `Vm`.
            bounds: Settings of bounds, such as `GraceS=6`.
        """
        settings = SettingsFile(
            node_name=vm.name,
            ip=vm.ip,
            zone=vm.zone,
            listen=vm.listen,
            internal_ports=[self._gossip_port],
            platform=StoreSettings(self.store.address),
            app_addr=vm.app,
            service=vm.service,
            bounds=[*self._bounds, *bounds],
            contracts=self._contracts,
        )
        path = self._directory / f"{vm.name}.yaml"
        path.write_text(render_settings(settings))
        return path

    def start_node(self, vm):
        """Start the node of a VM; its output is appended to the VM's log."""
        path = self.write_settings(vm)
        with vm.log.open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, "-m", "persimmonlane.programs.sidecar"],
                env={**os.environ, PATH_ENV_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _read_log_tails(self):
        """Return the last `LOG_TAIL_CHARS` characters of each node's log."""
        paths = sorted(self._directory.glob("*.log"))
        return [path.read_text()[-LOG_TAIL_CHARS:] for path in paths]

    def _build_vm(self, number, zone, service):
        ip = f"127.0.1.{number}"
        vm = Vm()
        vm.name, vm.service, vm.state, vm.process = (
            f"vm-{number}",
            service,
            "ready",
            None,
        )
        inbound, vm.callers, vm.readiness, vm.heartbeats, app_address = (
            f"{ip}:{port}" for port in find_ports(ip, 5)
        )
        vm.server = BackendStandin(
            app_address, service, f"i-{number}", BORN_MS + number
        )
        vm.app = app_address
        vm.listen = ListenSettings(inbound, vm.callers, vm.readiness, vm.heartbeats)
        vm.ip, vm.zone = ip, zone
        vm.log = self._directory / f"{vm.name}.log"
        return vm

    def _send_heartbeats(self):
        while not self._stopped.wait(HEARTBEAT_S):
            for vm in self.vms:
                # A node that has exited refuses the connection.
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    vm.server.send_heartbeat(vm.heartbeats, vm.state)


def build_route(service, kind, timeout_s):
    """Return the document resource of one route."""
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
    """Return ports that are currently free."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
        return ports


def is_ready(vm):
    """Return whether a node's readiness endpoint answers with status 200."""
    try:
        url = f"http://{vm.readiness}{READY_PATH}"
        response = urllib3.request("GET", url, retries=False, timeout=PROBE_TIMEOUT_S)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200
