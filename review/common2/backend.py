"""Small backend server for the cases: it follows the users' PROTOCOL page.

It runs `SLOTS` requests at once and queues a few more, echoes the request's id, signs
its answers, tells its load, refuses a request for another instance with 421, stops a
request at its time limit with 504, and drops a request whose connection closes.
"""

import contextlib
import json
import select
import socket
import socketserver
import threading
import time
import urllib.request

SLOTS = 4
QUEUE = 36
HEARTBEAT_S = 1.5
HEALTH_PATH = "/healthz"
POLL_S = 0.01


class Run:
    """A request that the server began to work on."""

    def __init__(self, server, method, target, headers, body):
        self.server = server
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.at = time.monotonic()

    @property
    def request_id(self):
        """The id that the request came with."""
        return self.headers.get("x-request-id", "")


class Backend:
    """One backend server.

    Attributes:
        runs: The `Run`s so far, in order.
        choose_work_s: Callable that returns the seconds a `Run` takes.
        build_body: Callable that returns the body of the answer to a `Run`.
    """

    def __init__(self, address, service, server_id, zone):
        self.address = address
        self.service = service
        self.server_id = server_id
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.runs = []
        self.choose_work_s = lambda run: 0.05
        self.build_body = lambda run: b"answer to " + run.request_id.encode()
        self._sequence = 0
        self._lock = threading.Lock()
        self._running = 0
        self._waiting = 0
        self._slots = threading.Semaphore(SLOTS)
        self._stopped = threading.Event()
        host, port = address.rsplit(":", 1)
        backend = self

        class Handler(socketserver.StreamRequestHandler):
            """Serves one connection."""

            disable_nagle_algorithm = True

            def handle(self):
                """Serve one request after another."""
                with contextlib.suppress(OSError, ValueError):
                    while backend.serve_one(self.rfile, self.connection):
                        pass

        class Server(socketserver.ThreadingTCPServer):
            """Accepts connections."""

            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 512

        self._server = Server((host, int(port)), Handler)

    def start(self, control):
        """Serve, and send check-ins to the node's control address."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._check_in, args=(control,), daemon=True).start()

    def stop(self):
        """Stop serving and checking in."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def serve_one(self, rfile, connection):
        """Serve one request; return whether the connection goes on."""
        request = read_request(rfile)
        if request is None:
            return False
        method, target, headers, body = request
        if target == HEALTH_PATH:
            self._answer(connection, 200, [("X-Instance-Id", self.server_id)], b"")
            return True
        run = Run(self.server_id, method, target, headers, body)
        refusal = self._find_refusal(run)
        if refusal is not None:
            self._answer(connection, refusal, [("X-Not-Executed", "1")], b"")
            return True
        if not self._take_slot(connection):
            return False
        try:
            return self._work(run, connection)
        finally:
            with self._lock:
                self._running -= 1
            self._slots.release()

    def _find_refusal(self, run):
        if not run.request_id:
            return 400
        if run.headers.get("x-target-instance", self.server_id) != self.server_id:
            return 421
        with self._lock:
            return 503 if self._waiting >= QUEUE else None

    def _take_slot(self, connection):
        with self._lock:
            self._waiting += 1
        try:
            while not self._slots.acquire(timeout=POLL_S):
                if has_closed(connection):
                    return False
        finally:
            with self._lock:
                self._waiting -= 1
        with self._lock:
            self._running += 1
        return True

    def _work(self, run, connection):
        run.at = time.monotonic()
        self.runs.append(run)
        limit_s = int(run.headers.get("x-timeout-ms", "60000")) / 1000
        work_s = self.choose_work_s(run)
        ends_at = run.at + min(work_s, limit_s)
        while time.monotonic() < ends_at:
            if has_closed(connection):
                return False
            time.sleep(min(POLL_S, max(0.0, ends_at - time.monotonic())))
        status = 200 if work_s <= limit_s else 504
        body = self.build_body(run) if status == 200 else b""
        headers = [
            ("X-Request-Id", run.request_id),
            ("X-Response-Signature", f"{len(body):x}.1"),
        ]
        self._answer(connection, status, headers, body)
        return True

    def _answer(self, connection, status, headers, body):
        headers = [
            *headers,
            ("X-Server-Load", f"{self._running},{self._waiting},{SLOTS}"),
            ("Content-Length", str(len(body))),
        ]
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        connection.sendall(head + body)

    def _check_in(self, control):
        while True:
            self._sequence += 1
            with contextlib.suppress(OSError):
                self._send_check_in(control)
            if self._stopped.wait(HEARTBEAT_S):
                return

    def _send_check_in(self, control):
        info = {
            "Service": self.service,
            "Version": "v1",
            "Zone": self.zone,
            "Slots": SLOTS,
        }
        status = {"State": "ready", "Sequence": self._sequence, "ColdRemainingS": 0}
        body = {
            "Address": self.address,
            "Info": info,
            "Status": status,
            "born": self.born,
        }
        request = urllib.request.Request(
            f"http://{control}/persimmonlane/instances/{self.server_id}",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=1.0).read()


def read_request(rfile):
    """Return method, target, headers by lower-case name and body, None at the end."""
    line = rfile.readline(65536)
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while (line := rfile.readline(65536)) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = rfile.read(length)
    if len(body) < length:
        raise ValueError("the body ended early")
    return method, target, headers, body


def has_closed(connection):
    """Return whether the other side has closed its connection."""
    if not select.select([connection], [], [], 0)[0]:
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
