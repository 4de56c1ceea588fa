"""A backend server that behaves as the users' pages say of a sound one."""

import http.client
import http.server
import json
import threading
import time

SLOTS = 4
QUEUE = 36
IDLE_CLOSE_S = 10
HEARTBEAT_TIMEOUT_S = 1.0
READ_BYTES = 1 << 20
BODY = b"the whole answer of the backend server\n"


class Run:
    """A request that the backend server began to run.

    Attributes:
        request_id: Its identifier.
        server_id: Identifier of the backend server.
        at_s: Seconds of the record at which it arrived.
        tenant: Name of the tenant that came with it, or None.
    """

    __slots__ = ("request_id", "server_id", "at_s", "tenant")

    def __init__(self, request_id, server_id, at_s, tenant):
        self.request_id = request_id
        self.server_id = server_id
        self.at_s = at_s
        self.tenant = tenant


class Backend:
    """One process of a backend server, with its check-ins.

    Attributes:
        server_id: Its identifier.
        address: Its address.
        runs: The `Run`s so far.
        state: State in its check-ins, `ready` or `draining`.
    """

    def __init__(self, address, service, zone, server_id, record, get_work_s):
        """Create a backend server.

        Args:
            address: Its address, as `host:port`.
            service: Name of its service.
            zone: Name of its zone.
            server_id: Its identifier.
            record: The `Record`.
            get_work_s: Callable that returns the seconds that a request takes, given
                its target.
        """
        self.server_id = server_id
        self.address = address
        self.runs = []
        self.state = "ready"
        self._service = service
        self._zone = zone
        self._record = record
        self._get_work_s = get_work_s
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._load_lock = threading.Lock()
        self._held = 0
        self._slots = threading.Semaphore(SLOTS)
        host, port = address.rsplit(":", 1)
        handler = type("Handler", (BackendHandler,), {"backend": self})
        self._server = BackendServer((host, int(port)), handler)

    def start(self):
        """Serve in a thread."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        """Stop accepting connections."""
        self._server.shutdown()
        self._server.server_close()

    def enter(self):
        """Count a request; return whether there is room for it."""
        with self._load_lock:
            if self._held >= SLOTS + QUEUE:
                return False
            self._held += 1
        return True

    def leave(self):
        """Count a request that has ended."""
        with self._load_lock:
            self._held -= 1

    def describe_load(self):
        """Return the value of the load header."""
        running = min(self._held, SLOTS)
        return f"{running},{max(0, self._held - SLOTS)},{SLOTS}"

    def take_slot(self, timeout_s):
        """Wait for a slot; return whether there was one in time."""
        return self._slots.acquire(timeout=max(0.0, timeout_s))

    def release_slot(self):
        """Release the slot of a request."""
        self._slots.release()

    def run(self, handler, deadline):
        """Run a request; return whether it was done by its deadline.

        Args:
            handler: The `BackendHandler` that has read it.
            deadline: Monotonic seconds at which its sender stops waiting.
        """
        request_id = handler.headers.get("X-Request-Id", "")
        tenant = handler.headers.get("X-Tenant")
        at_s = self._record.note(
            "run", server=self.server_id, id=request_id, target=handler.path
        )
        self.runs.append(Run(request_id, self.server_id, at_s, tenant))
        work_s = self._get_work_s(handler.path)
        left_s = deadline - time.monotonic()
        time.sleep(max(0.0, min(work_s, left_s)))
        return work_s <= left_s

    def build_checkin(self):
        """Return the body of the next check-in, which may be sent later."""
        self._sequence += 1
        body = {
            "Address": self.address,
            "Info": {
                "Service": self._service,
                "Version": "v1",
                "Zone": self._zone,
                "Slots": SLOTS,
            },
            "Status": {
                "State": self.state,
                "Sequence": self._sequence,
                "ColdRemainingS": 0,
            },
            "born": self._born_ms,
        }
        return json.dumps(body)

    def send_checkin(self, control, body=None):
        """Send a check-in to a node; return its status, 0 without an answer."""
        return self._call(control, "PUT", body or self.build_checkin())

    def send_leave(self, control, with_birth=True):
        """Tell a node that this process leaves; return the status of its answer.

        Args:
            control: Address of the node for check-ins.
            with_birth: Whether the call has a body, which holds `born`.
        """
        body = json.dumps({"born": self._born_ms}) if with_birth else None
        return self._call(control, "DELETE", body)

    def _call(self, control, method, body):
        connection = http.client.HTTPConnection(control, timeout=HEARTBEAT_TIMEOUT_S)
        try:
            path = f"/persimmonlane/instances/{self.server_id}"
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, body, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


class BackendServer(http.server.ThreadingHTTPServer):
    """The listener of a backend server."""

    daemon_threads = True
    request_queue_size = 390

    def handle_error(self, request, client_address):
        """Pass over connections that the other side has broken off."""


class BackendHandler(http.server.BaseHTTPRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = "HTTP/1.1"
    timeout = IDLE_CLOSE_S
    disable_nagle_algorithm = True
    backend = None

    def do_GET(self):
        """Serve a request without a body, or a health check."""
        if self.path == "/healthz":
            headers = {"X-Instance-Id": self.backend.server_id}
            self._answer(200 if self.backend.state == "ready" else 503, headers)
            return
        self._serve()

    def do_POST(self):
        """Serve a request with a body."""
        self._serve()

    def log_message(self, *args):
        """Write no lines of its own."""

    def _serve(self):
        received_at = time.monotonic()
        left = int(self.headers.get("Content-Length") or 0)
        while left > 0 and (piece := self.rfile.read(min(left, READ_BYTES))):
            left -= len(piece)
        backend = self.backend
        wanted = self.headers.get("X-Target-Instance")
        if wanted not in (None, backend.server_id):
            self._answer(421, {"X-Instance-Id": backend.server_id})
            return
        if not backend.enter():
            self._answer(503, {"X-Not-Executed": "1"})
            return
        try:
            self._run(received_at)
        finally:
            backend.leave()

    def _run(self, received_at):
        backend = self.backend
        timeout_ms = int(self.headers.get("X-Timeout-Ms") or 30000)
        deadline = received_at + timeout_ms / 1000
        if not backend.take_slot(deadline - time.monotonic()):
            self._answer(503, {"X-Not-Executed": "1"})
            return
        try:
            is_done = backend.run(self, deadline)
        finally:
            backend.release_slot()
        status, body = (200, BODY) if is_done else (504, b"")
        self._answer(status, {"X-Response-Signature": "3e1b.07"}, body)

    def _answer(self, status, headers, body=b""):
        self.send_response(status)
        headers = {
            "X-Request-Id": self.headers.get("X-Request-Id", ""),
            "X-Server-Load": self.backend.describe_load(),
            "Keep-Alive": f"timeout={IDLE_CLOSE_S}",
            "Content-Length": str(len(body)),
            **headers,
        }
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
