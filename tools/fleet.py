"""Fleet.

Starts and stops the processes of a small fleet on loopback, for development.
"""

import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

import msgspec
import urllib3

from persimmonlane.settings import HostedServer, NodeSettings
from persimmonlane.standins.backend import Behaviour, Counts

HOST = "127.0.0.1"
TOKEN = "token-of-a-development-fleet"
START_LIMIT_S = 15.0
STOP_LIMIT_S = 20.0
POLL_S = 0.05
EJECTED = re.compile(r"Ejection: took (\S+) of \S+ out of service")


class Process:
    """A process of the fleet.

    Attributes:
        name: Its name.
        popen: The `subprocess.Popen`.
        log: Path of its log.
    """

    __slots__ = ("name", "popen", "log")

    def __init__(self, name, arguments, directory):
        self.name = name
        self.log = directory / f"{name}.log"
        with open(self.log, "ab") as file:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=file,
                stderr=file,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        """Send a signal."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def wait(self, limit_s=STOP_LIMIT_S):
        """Return the exit status, or None if it does not end in time."""
        try:
            return self.popen.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None


class Node(Process):
    """A node of the fleet.

    Attributes:
        settings: Its `NodeSettings`.
    """

    __slots__ = ("settings",)

    def __init__(self, settings, directory):
        self.settings = settings
        path = directory / f"{settings.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        super().__init__(
            settings.name, ["persimmonlane.programs.node", str(path)], directory
        )


class Standins(Process):
    """A process of backend server stand-ins.

    Attributes:
        servers: The `HostedServer` of each.
        control: Address at which they are changed and counted.
    """

    __slots__ = ("servers", "control")

    def __init__(self, name, servers, settings, directory):
        self.servers = servers
        self.control = settings["control"]
        path = directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        super().__init__(
            name, ["persimmonlane.programs.standin", "backends", str(path)], directory
        )


class Fleet:
    """A store, backend server stand-ins and nodes, as separate processes.

    Attributes:
        directory: Where settings and logs are.
        store_address: Address of the store stand-in.
        nodes: Nodes with the ingress role, by name.
        sidecars: Nodes with the sidecar role alone.
        standins: Processes of backend server stand-ins by data centre.
    """

    def __init__(self, directory, secrets=()):
        self.directory = pathlib.Path(directory)
        self.store_address = ""
        self.store = None
        self.nodes = {}
        self.sidecars = []
        self.standins = {}
        self._secrets = tuple(secrets)
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._seeds = ()
        self._ports = set()

    def start_store(self):
        """Start the store stand-in and wait until it listens."""
        self.store_address = self.reserve_address()
        arguments = ["persimmonlane.programs.standin", "store", self.store_address]
        self.store = Process("store", arguments, self.directory)
        await_listener(self.store_address)

    def start_standins(self, data_centre, services, behaviour=None, slots=4):
        """Start backend server stand-ins.

        Args:
            data_centre: Name of their data centre.
            services: Names of their services, one for each stand-in.
            behaviour: The `Behaviour` of all of them, or None for the usual one.
            slots: Requests that each runs at a time.
        """
        servers = [
            HostedServer(address=self.reserve_address(), service=service, slots=slots)
            for service in services
        ]
        settings = {
            "servers": [
                {
                    "address": server.address,
                    "service": server.service,
                    "slots": slots,
                    "seed": number,
                    "behaviour": behaviour or Behaviour(),
                }
                for number, server in enumerate(servers)
            ],
            "secrets": self._secrets,
            "control": self.reserve_address(),
        }
        name = f"backends-{data_centre}"
        process = Standins(name, servers, settings, self.directory)
        self.standins[data_centre] = process
        for server in servers:
            await_listener(server.address)
        await_listener(process.control)

    def start_node(self, name, data_centre, servers=(), **fields):
        """Start a node.

        Args:
            name: Its name.
            data_centre: Name of its data centre.
            servers: Backend servers beside it.
            fields: Further settings.
        """
        rpc = self.reserve_address()
        settings = NodeSettings(
            name=name,
            data_centre=data_centre,
            rpc=rpc,
            http=self.reserve_address(),
            store=self.store_address,
            fleet_token=TOKEN,
            seeds=self._seeds,
            servers=tuple(servers),
            **fields,
        )
        self._seeds = (*self._seeds, rpc)[:3]
        return self.run_node(settings)

    def start_sidecar(self, name, data_centre, servers):
        """Start a node that only announces the backend servers beside it."""
        settings = NodeSettings(
            name=name,
            data_centre=data_centre,
            rpc=self.reserve_address(),
            store=self.store_address,
            fleet_token=TOKEN,
            roles=("sidecar",),
            seeds=self._seeds,
            servers=tuple(servers),
        )
        self.sidecars.append(Node(settings, self.directory))

    def run_node(self, settings):
        """Start a node with given settings."""
        node = Node(settings, self.directory)
        self.nodes[settings.name] = node
        return node

    def wait_serving(self, path, key):
        """Wait until every node answers a request with 200."""
        for node in self.nodes.values():
            wait_until(lambda: self.is_serving(node, path, key), f"{node.name} serves")  # noqa: B023

    def is_serving(self, node, path, key):
        """Return whether a node answers a request with 200."""
        try:
            answer = self._http.request(
                "GET",
                f"http://{node.settings.http}{path}",
                headers={"X-Persimmon-Key": key},
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def behave(self, address, behaviour):
        """Make a backend server stand-in behave in another way."""
        for process in self.standins.values():
            for number, server in enumerate(process.servers):
                if server.address == address:
                    url = f"http://{process.control}/behaviour/{number}"
                    body = msgspec.json.encode(behaviour)
                    self._http.request("POST", url, body=body)

    def count(self):
        """Return the `Counts` of all stand-ins."""
        return [
            self._read_counts(process, number)
            for process in self.standins.values()
            for number in range(len(process.servers))
        ]

    def _read_counts(self, process, number):
        url = f"http://{process.control}/counts/{number}"
        return msgspec.json.decode(self._http.request("GET", url).data, type=Counts)

    def list_ejected(self):
        """Return the addresses that the nodes' logs name as ejected."""
        logs = (node.log.read_text() for node in self.nodes.values())
        return {address for text in logs for address in EJECTED.findall(text)}

    def list_leaks(self):
        """Return the names of the logs in which a secret stands."""
        return [
            path.stem
            for path in sorted(self.directory.glob("*.log"))
            if any(secret in path.read_text() for secret in self._secrets)
        ]

    def stop(self):
        """End all processes that were started here."""
        processes = [*self.nodes.values(), *self.sidecars, *self.standins.values()]
        if self.store is not None:
            processes.append(self.store)
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
            process.signal(signal.SIGTERM)
        for process in processes:
            if process.wait() is None:
                process.signal(signal.SIGKILL)
                process.wait()

    def reserve_address(self):
        """Return an address whose port is free now and was not given before."""
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in self._ports:
                self._ports.add(port)
                return f"{HOST}:{port}"


def await_listener(address):
    """Wait until something listens at an address."""
    wait_until(lambda: can_connect(address), f"something listens at {address}")


def can_connect(address):
    """Return whether something listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True


def wait_until(holds, what, limit_s=START_LIMIT_S):
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it does not hold within `limit_s` seconds.
    """
    end = time.monotonic() + limit_s
    while not holds():
        if time.monotonic() > end:
            raise TimeoutError(f"waited in vain until {what}")
        time.sleep(POLL_S)
