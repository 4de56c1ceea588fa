"""Backend server stand-in.

Answers HTTP like a backend server, counts what it ran, and fails as told.
"""

import random
import threading
import time
import urllib.parse
import weakref

import cheroot.server
import msgspec

from ..forwarding.answers import get_reason
from ..forwarding.bodies import BodyError, create_body
from ..forwarding.headers import ORGANISATION, REQUEST_ID, VERDICT, find_values
from ..forwarding.strictness import StrictConnection
from ..keys import Header

SUBMISSION = "X-Submission-Id"
THREADS = 24
HANG_S = 60.0
SPREAD = 0.3


class Behaviour(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How a backend server stand-in behaves.

    Attributes:
        latency_s: Typical time of a request, in seconds.
        slow_factor: Factor on the latency.
        error_share: Share of requests answered 500.
        wrong_share: Share of answers that belong to another request.
        short_share: Share of answers cut in the middle.
        long_share: Share of answers longer than they state.
        reset_before_share: Share of requests reset before they run.
        reset_after_share: Share of requests reset after they ran.
        shed_share: Share of requests shed.
        hang: Whether requests run but get no answer.
        mute_open: Whether connections that are open now go silent.
        deaf: Whether nothing from callers arrives: requests don't run.
        state: State that the health endpoint reports.
        answer_bytes: Length of an answer's body.
    """

    latency_s: float = 0.01
    slow_factor: float = 1.0
    error_share: float = 0.0
    wrong_share: float = 0.0
    short_share: float = 0.0
    long_share: float = 0.0
    reset_before_share: float = 0.0
    reset_after_share: float = 0.0
    shed_share: float = 0.0
    hang: bool = False
    mute_open: bool = False
    deaf: bool = False
    state: str = "serving"
    answer_bytes: int = 200


class Run(msgspec.Struct):
    """One request that ran.

    Attributes:
        at: Monotonic seconds of its start; comparable on one VM.
        organisation: Organisation that the node stated.
        request_id: Identifier that the node gave.
        submission: Identifier that the caller gave, or an empty string.
        method: HTTP method.
        path: Path of the request.
        body_bytes: Length of the body that arrived.
        complete: Whether the whole answer was written.
    """

    at: float
    organisation: str
    request_id: str
    submission: str
    method: str
    path: str
    body_bytes: int
    complete: bool = False


class Counts(msgspec.Struct):
    """What a stand-in has seen.

    Attributes:
        address: Address of the stand-in.
        service: Name of its service.
        runs: The requests that ran.
        secrets_seen: Requests in which a secret of the test appeared.
        cancelled: Requests whose caller went away before the answer.
    """

    address: str
    service: str
    runs: list[Run]
    secrets_seen: int = 0
    cancelled: int = 0


class BackendStandin:
    """One backend server stand-in.

    Attributes:
        service: Name of its service.
        slots: Requests that it runs at a time; more of them wait.
        behaviour: How it behaves now.
        port: The bound port, known after `start`.
    """

    __slots__ = (
        "service",
        "slots",
        "behaviour",
        "_rng",
        "_secrets",
        "_semaphore",
        "_lock",
        "_runs",
        "_running",
        "_waiting",
        "_secrets_seen",
        "_cancelled",
        "_muted",
        "_seen",
        "_server",
        "_thread",
        "_ended",
    )

    def __init__(self, address, service, slots, behaviour, seed=0, secrets=()):
        """Prepare a stand-in.

        Args:
            address: (host, port) to bind.
            service: Name of its service.
            slots: Requests that it runs at a time.
            behaviour: The `Behaviour`.
            seed: Seed of its random choices.
            secrets: Strings that must never reach a backend server.
        """
        self.service = service
        self.slots = slots
        self.behaviour = behaviour
        self._rng = random.Random(seed)
        self._secrets = tuple(secrets)
        self._semaphore = threading.BoundedSemaphore(slots)
        self._lock = threading.Lock()
        self._runs = []
        self._running = 0
        self._waiting = 0
        self._secrets_seen = 0
        self._cancelled = 0
        self._muted = set()
        self._seen = weakref.WeakSet()
        self._ended = threading.Event()
        self._server = create_server(address, self)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self):
        """The bound port."""
        return self._server.bind_addr[1]

    @property
    def address(self):
        """Address as text."""
        return f"{self._server.bind_addr[0]}:{self.port}"

    def start(self):
        """Bind, and begin to serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self):
        """Stop serving; requests that hang end."""
        self._ended.set()
        self._server.stop()

    def hang(self):
        """Wait for a long time, or until the end."""
        self._ended.wait(HANG_S)

    def limit_headers(self, size_bytes):
        """Refuse requests whose headers are larger."""
        self._server.max_request_header_size = size_bytes

    def change(self, behaviour):
        """Behave in another way from now on."""
        if behaviour.mute_open:
            self._muted = set(self._seen)
        self.behaviour = behaviour

    def count(self):
        """Return the `Counts` so far."""
        with self._lock:
            return Counts(
                self.address,
                self.service,
                list(self._runs),
                self._secrets_seen,
                self._cancelled,
            )

    def draw(self, share):
        """Return whether a random choice with a given share says yes."""
        with self._lock:
            return self._rng.random() < share

    def draw_latency(self):
        """Return the latency of one request, in seconds."""
        behaviour = self.behaviour
        with self._lock:
            factor = 1.0 + SPREAD * (self._rng.random() - 0.5)
        return behaviour.latency_s * behaviour.slow_factor * factor

    def inspect(self, headers, target):
        """Count a request in which a secret appears."""
        text = target + "".join(f"{item.name}:{item.value}\n" for item in headers)
        if any(secret in text for secret in self._secrets):
            with self._lock:
                self._secrets_seen += 1

    def begin(self, run):
        """Note that a request runs; waits for a slot."""
        with self._lock:
            self._waiting += 1
        self._semaphore.acquire()
        with self._lock:
            self._waiting -= 1
            self._running += 1
            run.at = time.monotonic()
            self._runs.append(run)

    def end(self):
        """Note that a request no longer runs."""
        with self._lock:
            self._running -= 1
        self._semaphore.release()

    def note_cancelled(self):
        """Count a request whose caller went away."""
        with self._lock:
            self._cancelled += 1

    def is_muted(self, connection):
        """Return whether a connection has gone silent, and remember it."""
        self._seen.add(connection)
        return connection in self._muted

    def describe_health(self):
        """Return the body of the health endpoint."""
        health = {
            "state": self.behaviour.state,
            "running": self._running,
            "waiting": self._waiting,
            "slots": self.slots,
        }
        return msgspec.json.encode(health)


class BackendGateway(cheroot.server.Gateway):
    """Answers one request to a stand-in."""

    def __init__(self, http_request, standin):
        super().__init__(http_request)
        self.standin = standin

    def respond(self):
        """Answer a health request, or run the request."""
        path = urllib.parse.urlsplit(self.req.uri.decode("latin-1")).path
        if self.standin.is_muted(self.req.conn) or self.standin.behaviour.deaf:
            self._fall_silent()
        elif path == "/health":
            self._answer(200, self.standin.describe_health())
        else:
            self._run(path)

    def _run(self, path):
        standin = self.standin
        headers = self.req.inheaders.listed
        standin.inspect(headers, self.req.uri.decode("latin-1"))
        if standin.draw(standin.behaviour.reset_before_share):
            self._cut()
            return
        if standin.draw(standin.behaviour.shed_share):
            self._answer(503, b"shed", [Header(VERDICT, "not-run")])
            return
        try:
            size = sum(len(piece) for piece in create_body(self.req).pieces())
        except BodyError:
            self._cut()
            return
        run = Run(
            0.0,
            find_first(headers, ORGANISATION),
            find_first(headers, REQUEST_ID),
            find_first(headers, SUBMISSION),
            self.req.method.decode("ascii"),
            path,
            size,
        )
        standin.begin(run)
        try:
            self._work(run)
        finally:
            standin.end()

    def _work(self, run):
        behaviour = self.standin.behaviour
        if behaviour.hang:
            self.standin.hang()
        time.sleep(self.standin.draw_latency())
        if self.standin.draw(behaviour.reset_after_share):
            self._cut()
        elif self.standin.draw(behaviour.error_share):
            self._answer(500, b"failed", [Header(REQUEST_ID, run.request_id)])
        elif self.standin.draw(behaviour.wrong_share):
            self._answer(200, b"wrong", [Header(REQUEST_ID, "of-another-request")])
        else:
            self._answer_run(run, behaviour)

    def _answer_run(self, run, behaviour):
        body = build_body(run, behaviour.answer_bytes)
        headers = [Header(REQUEST_ID, run.request_id)]
        if self.standin.draw(behaviour.short_share):
            self._write(200, body[: len(body) // 2], headers, len(body))
            self._cut()
        elif self.standin.draw(behaviour.long_share):
            self._write(200, body + b"surplus", headers, len(body))
        else:
            self._answer(200, body, headers)
        run.complete = True

    def _answer(self, status, body, headers=()):
        self._write(status, body, headers, len(body))

    def _write(self, status, body, headers, length):
        req = self.req
        req.status = f"{status} {get_reason(status)}".encode()
        headers = [*headers, Header("Content-Length", str(length))]
        req.outheaders = [(item.name.encode(), item.value.encode()) for item in headers]
        try:
            req.ensure_headers_sent()
            if req.method != b"HEAD":
                req.write(body)
        except OSError:
            self.standin.note_cancelled()
            self.req.close_connection = True

    def _cut(self):
        self.req.close_connection = True
        self.req.sent_headers = True
        self.req.chunked_write = False

    def _fall_silent(self):
        self.standin.hang()
        self._cut()


def build_body(run, length):
    """Return an answer's body that names the request it belongs to."""
    text = msgspec.json.encode(run.submission or run.request_id)
    return text.ljust(length, b".")


def find_first(headers, name):
    """Return the first value of a header, or an empty string."""
    values = find_values(headers, name.lower())
    return values[0] if values else ""


def create_server(address, standin):
    """Return the cheroot server of a stand-in."""
    server = cheroot.server.HTTPServer(
        address,
        gateway=lambda request: BackendGateway(request, standin),
        minthreads=THREADS,
        maxthreads=THREADS,
        server_name="standin",
    )
    server.ConnectionClass = StrictConnection
    server.keep_alive_conn_limit = 400
    server.request_queue_size = 256
    server.timeout = 60
    return server
