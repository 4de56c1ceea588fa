"""A small deployment of the project's own nodes on loopback addresses."""

import http.client
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import yaml

from persimmonlane.standins.store import StoreStandin

from . import document
from .backend import Backend
from .profiles import AFES

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0


class CannotRun(Exception):
    """The case could not be run; nothing was shown."""


class Machine:
    """One machine: a node and a backend server."""

    def __init__(self, name, ip, zone, service):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.process = None
        inbound, outbound, readiness, control, app = find_ports(ip, 5)
        self.inbound = f"{ip}:{inbound}"
        self.outbound = f"{ip}:{outbound}"
        self.readiness = f"{ip}:{readiness}"
        self.control = f"{ip}:{control}"
        self.app = f"{ip}:{app}"
        self.backend = Backend(self.app, service, f"i-{name}", zone)

    def signal(self, number):
        """Send a signal to the node."""
        self.process.send_signal(number)


class Site:
    """Machines, the store stand-in and the configuration.

    Args:
        placements: Pairs of zone and service, one for each machine.
        routes: The routes of the configuration, as `document.build_route` returns.
        tenants: As of `document.build`.
        limits: The limits of the configuration; None for those of the users' example.
        profile: The `Profile` of the installation.
    """

    def __init__(self, placements, routes, tenants=(), limits=None, profile=AFES):
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self.path = pathlib.Path(self._directory.name)
        self._profile = profile
        self._routes = routes
        self._tenants = tenants
        self._limits = limits
        self.version = 0
        self.store = StoreStandin()
        (self._gossip_port,) = find_ports("127.0.0.1", 1, socket.SOCK_DGRAM)
        number = 10 + os.getpid() % 200
        self.machines = [
            Machine(f"m{index}", f"127.0.{number}.{index + 1}", zone, service)
            for index, (zone, service) in enumerate(placements)
        ]
        self._zones = sorted({machine.zone for machine in self.machines})

    def __enter__(self):
        self.store.start()
        self.publish()
        for machine in self.machines:
            machine.backend.start(machine.control)
            self.start_node(machine)
        try:
            self._await_ready()
        except BaseException:
            self.stop()
            raise
        # Check-ins and announcements of all machines have gone round by then.
        time.sleep(4.0)
        return self

    def __exit__(self, *_):
        self.stop()

    def publish(self, routes=None):
        """Write the next version of the configuration, as the operator does.

        Args:
            routes: Its routes; None for those of before.
        """
        self._routes = self._routes if routes is None else routes
        self.version += 1
        services = sorted({machine.service for machine in self.machines})
        raw = document.build(
            self.version, self._routes, services, self._tenants, self._limits
        )
        self.store.state.put("op/config", raw)

    def start_node(self, machine):
        """Start the node of a machine with the command of the deploy file."""
        settings = self.path / f"{machine.name}.yaml"
        settings.write_text(yaml.safe_dump(self._build_settings(machine)))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        command = shlex.split(role["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PERSIMMONLANE_CONFIG": str(settings),
        }
        with (self.path / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def get_node_name(self, machine):
        """Return the name of a machine's node, as in its settings."""
        return f"sidecar-{machine.zone}-{machine.name}"

    def read_log(self, machine):
        """Return the lines that a machine's node has written."""
        return (self.path / f"{machine.name}.log").read_text().splitlines()

    def stop(self):
        """End all processes that were started here."""
        running = [item for item in self.machines if item.process is not None]
        for machine in running:
            if machine.process.poll() is None:
                machine.signal(signal.SIGCONT)
                machine.signal(signal.SIGTERM)
        for machine in running:
            try:
                machine.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                machine.process.kill()
                machine.process.wait()
        for machine in self.machines:
            machine.backend.stop()
        self.store.stop()
        self._directory.cleanup()

    def _await_ready(self):
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not all(is_ready(machine) for machine in self.machines):
            if time.monotonic() > ends_at:
                raise CannotRun("a node did not become ready")
            time.sleep(0.1)

    def _build_settings(self, machine):
        return {
            "NodeName": self.get_node_name(machine),
            "Role": "node",
            "MachineClass": "sidecar",
            "Serves": ["sidecar"],
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": self._profile.region,
            "Zones": dict.fromkeys(self._zones, self._profile.region),
            "Listen": {
                "Inbound": machine.inbound,
                "Outbound": machine.outbound,
                "Readiness": machine.readiness,
                "Control": machine.control,
            },
            "InternalPorts": [self._gossip_port, self._gossip_port],
            "Seeds": [],
            "Bootstrap": True,
            "InTolerance": False,
            "Limits": {
                "CpuShare": self._profile.cpu_share,
                "Cores": 1,
                "MemoryMb": self._profile.memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "static",
            "Entry": "static",
            "HeartbeatS": 1.5,
            "Contracts": self._profile.contracts,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self._profile.bounds,
            "AppAddr": machine.app,
            "Service": machine.service,
            "Platform": {
                "Address": self.store.address,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinS": 1,
            },
        }


def find_ports(host, count, kind=socket.SOCK_STREAM):
    """Return ports that are free."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def is_ready(machine):
    """Return whether the node's readiness check answers 200."""
    host, port = machine.readiness.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
    try:
        connection.request("GET", "/persimmonlane/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
