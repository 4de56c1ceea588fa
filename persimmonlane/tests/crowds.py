"""Crowds of clients that nobody controls, and the process that they are sent against.

Starts a `persimmon-sidecar` beside stand-ins of the store and of its backend server,
and samples what it holds.
"""

import collections
import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

import testtools
import urllib3

from ..platform.documents import DOCUMENT_KEY
from ..platform.settings import (
    PATH_ENV_VARIABLE,
    LimitSettings,
    ListenSettings,
    SettingsFile,
    StoreSettings,
    render_settings,
)
from ..standins.backend import BackendStandin
from ..standins.store import StoreStandin
from .test_sitenode import KEY, build_document, build_ip, find_port, wait_until

MIB = 1024 * 1024
ROOT = pathlib.Path(__file__).resolve().parents[2]
# Last parts of addresses that no other test of this process binds.
FIRST_IP = 100
SAMPLE_INTERVAL_S = 0.02
PATIENCE_S = 60.0
CLIENT_TIMEOUT_S = 20.0
RETRY_PAUSE_S = 0.2
STOP_TIMEOUT_S = 10.0
LISTEN_STATE = "0A"

# The lowered limits of the crowded processes.
MEMORY_MB = 160
MAX_DESCRIPTORS = 300


def read_status_bytes(pid, field):
    """Return a field of /proc/PID/status that is given in kB, in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) * 1024
    raise KeyError(field)


def count_descriptors(pid):
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def count_buffered_bytes(addresses, peers):
    """Return the bytes in the kernel's buffers of some sockets.

    Args:
        addresses: Their local addresses, as pairs of host and port.
        peers: Addresses of the other sides of further sockets.
    """
    names = encode_addresses(addresses)
    peer_names = encode_addresses(peers)
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, peer, state, queues, *_ = line.split()
        if (local in names or peer in peer_names) and state != LISTEN_STATE:
            total += sum(int(queue, 16) for queue in queues.split(":"))
    return total


def encode_addresses(addresses):
    """Return the names of addresses in /proc/net/tcp."""
    return {
        f"{int.from_bytes(socket.inet_aton(host), sys.byteorder):08X}:{port:04X}"
        for host, port in addresses
    }


class SidecarProcess:
    """A `persimmon-sidecar` beside stand-ins of the store and of a backend server.

    Attributes:
        process: The `subprocess.Popen`.
        server: The `BackendStandin`, which keeps only the last request.
        address: Address for callers, as host and port.
        peer_address: Address for other nodes, as host and port.
        server_address: Address of the backend server, as host and port.
        peak_descriptors: Most descriptors that were open at once, as sampled.
        peak_bytes: Most memory that was in use at once, with what lay in the buffers
            of its sockets, as sampled.
    """

    def __init__(self, test, ip, **limits):
        self.peak_descriptors = 0
        self.peak_bytes = 0
        ports = [f"{ip}:{find_port(ip)}" for _ in range(5)]
        self._caller_address, self._heartbeat_address = ports[1], ports[3]
        host, port = ports[1].rsplit(":", 1)
        self.address = host, int(port)
        self.peer_address = host, int(ports[0].rsplit(":", 1)[1])
        self.server_address = host, int(ports[4].rsplit(":", 1)[1])
        self.store = StoreStandin()
        self.store.start()
        test.addCleanup(self.store.stop)
        self.store.state.put(DOCUMENT_KEY, build_document())
        self.server = BackendStandin(ports[4], "near", "i-near", 100)
        self.server.requests = collections.deque(maxlen=1)
        self.server.start()
        test.addCleanup(self.server.stop)
        settings = SettingsFile(
            node_name="node-near",
            ip=ip,
            zone="zone-of-near",
            listen=ListenSettings(ports[0], ports[1], ports[2], ports[3]),
            internal_ports=[find_port(ip, socket.SOCK_DGRAM)],
            platform=StoreSettings(self.store.address),
            app_addr=ports[4],
            service="near",
            heartbeat_s=60.0,
            limits=LimitSettings(**limits),
        )
        self._start(test, render_settings(settings))
        test.addCleanup(self._stop_sampling)

    def _start(self, test, text):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "node.yaml")
        path.write_text(text)
        environment = {
            **os.environ,
            PATH_ENV_VARIABLE: str(path),
            "PYTHONPATH": str(ROOT),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "persimmonlane.programs.sidecar"],
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        test.addCleanup(self._stop)
        self._sampling = True
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()
        test.assertTrue(wait_until(self._send_heartbeat), "the node did not start")

    def _stop(self):
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def _stop_sampling(self):
        self._sampling = False
        self._sampler.join()

    def _sample(self):
        while self._sampling and self.process.poll() is None:
            # The process may end at any time.
            with contextlib.suppress(OSError, KeyError):
                count = count_descriptors(self.process.pid)
                self.peak_descriptors = max(self.peak_descriptors, count)
                size = read_status_bytes(self.process.pid, "VmRSS")
                size += count_buffered_bytes(
                    [self.address, self.peer_address], [self.server_address]
                )
                self.peak_bytes = max(self.peak_bytes, size)
            time.sleep(SAMPLE_INTERVAL_S)

    def _send_heartbeat(self):
        try:
            return self.server.send_heartbeat(self._heartbeat_address) == 200
        except urllib3.exceptions.HTTPError:
            return False

    def read_peak_bytes(self):
        """Return the most memory that the process has had resident, in bytes."""
        return read_status_bytes(self.process.pid, "VmHWM")

    def call(self, method="GET", body=None, headers=None):
        """Send a request on a connection of its own; return the answer's status."""
        sent = {
            "Host": "shop.example",
            "X-Request-Id": "one",
            "X-Timeout-Ms": "15000",
            "X-Credential": KEY,
            **(headers or {}),
        }
        with urllib3.PoolManager() as pool:
            return pool.request(
                method,
                f"http://{self._caller_address}/near/",
                headers=sent,
                body=body,
                retries=False,
                timeout=CLIENT_TIMEOUT_S,
            ).status

    def connect(self, receive_buffer_bytes=None, address=None):
        """Open a connection as a caller, or to another address; return its socket."""
        sock = socket.socket()
        sock.settimeout(CLIENT_TIMEOUT_S)
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.connect(address or self.address)
        return sock


def build_head(method="POST", *lines):
    """Return the head of a request, with further header lines."""
    lines = [
        f"{method} /near/ HTTP/1.1",
        "Host: shop.example",
        "X-Request-Id: two",
        "X-Timeout-Ms: 15000",
        f"X-Credential: {KEY}",
        *lines,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CHUNKED_HEAD = build_head("POST", "Transfer-Encoding: chunked")


def send_all(sock, data, size):
    """Send a block of data again and again, up to a size, or until the other side ends.

    Returns:
        Whether all was sent.
    """
    view = memoryview(data)
    try:
        while size:
            piece = view[: min(size, len(view))]
            sock.sendall(piece)
            size -= len(piece)
    except OSError:
        return False
    return True


class Crowd:
    """Clients that run at once, each with a connection that stays open."""

    def __init__(self, test, sidecar, address=None):
        self._sidecar = sidecar
        self._address = address
        self._sockets = []
        self._lock = threading.Lock()
        self._threads = []
        test.addCleanup(self.leave)

    def add(self, behave, count, receive_buffer_bytes=None):
        """Start clients that do something with their socket each.

        Args:
            behave: Callable that is called with the socket.
            count: Number of clients.
            receive_buffer_bytes: Size of their receive buffers, or None.
        """
        for _ in range(count):
            thread = threading.Thread(
                target=self._run, args=(behave, receive_buffer_bytes), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _run(self, behave, receive_buffer_bytes):
        with contextlib.suppress(OSError):
            sock = self._sidecar.connect(receive_buffer_bytes, self._address)
            with self._lock:
                self._sockets.append(sock)
            behave(sock)

    def join(self):
        """Wait until every client has done what it does."""
        for thread in self._threads:
            thread.join(PATIENCE_S)

    def leave(self):
        """Close all connections."""
        with self._lock:
            for sock in self._sockets:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        self.join()
        with self._lock:
            for sock in self._sockets:
                sock.close()


class SidecarTestCase(testtools.TestCase):
    ip_number = FIRST_IP

    def start(self, **limits):
        SidecarTestCase.ip_number += 1
        sidecar = SidecarProcess(self, build_ip(self.ip_number), **limits)
        self.assert_serves(sidecar)
        return sidecar

    def assert_serves(self, sidecar):
        """Check that one ordinary request is answered with 200.

        It is sent again after a refusal, as callers do.
        """
        statuses = []
        give_up_at = time.monotonic() + PATIENCE_S
        while time.monotonic() < give_up_at and sidecar.process.poll() is None:
            try:
                statuses.append(sidecar.call())
            except urllib3.exceptions.HTTPError as error:
                statuses.append(type(error).__name__)
            if statuses[-1] == 200:
                return
            time.sleep(RETRY_PAUSE_S)
        self.fail(
            f"no ordinary request was served: {collections.Counter(statuses)}, "
            f"exit status {sidecar.process.poll()}"
        )

    def assert_bounded(self, sidecar, memory_mb, descriptors):
        """Check that the process runs and has stayed within its limits."""
        self.assertIsNone(sidecar.process.poll(), "the process has ended")
        peak_mb = sidecar.read_peak_bytes() / MIB
        self.assertThat(peak_mb, testtools.matchers.LessThan(memory_mb))
        self.assertThat(
            sidecar.peak_descriptors, testtools.matchers.LessThan(descriptors)
        )

    def assert_buffers_bounded(self, sidecar, memory_mb):
        """Check that memory and buffers of sockets have stayed within the limit."""
        self.assertThat(
            sidecar.peak_bytes / MIB, testtools.matchers.LessThan(memory_mb)
        )

    def check_crowd(self, sidecar, crowd):
        """Check the process while the crowd is there and after it has left."""
        crowd.join()
        self.assert_serves(sidecar)
        self.assert_bounded(sidecar, MEMORY_MB, MAX_DESCRIPTORS)
        crowd.leave()
        self.assert_serves(sidecar)
        self.assert_bounded(sidecar, MEMORY_MB, MAX_DESCRIPTORS)
