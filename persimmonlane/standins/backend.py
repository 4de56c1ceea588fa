"""Stand-in for a backend server.

Responds as the platform's backend servers do, and sends heartbeats to its node.
"""

import contextlib
import socket
import threading
import time

import cheroot.server
import msgspec
import urllib3

THREADS = 16
SLOTS = 4
HANG_S = 30.0
HEARTBEAT_TIMEOUT_S = 1.0
STATUS_PATH = "/healthz"


class BackendGateway(cheroot.server.Gateway):
    """Responds to requests according to the stand-in's `Script`."""

    def __init__(self, http_request, standin):
        super().__init__(http_request)
        self.standin = standin

    def respond(self):
        """Answer a status check, or record a request and send the scripted response."""
        if self.req.uri == STATUS_PATH.encode():
            self._answer_status_check()
        else:
            self._run()

    def _answer_status_check(self):
        standin = self.standin
        self.req.status = b"503 Status" if standin.is_leaving else b"200 Status"
        cold_ms = round(standin.get_cold_s() * 1000)
        self.req.outheaders = [
            (b"X-Instance-Id", standin.server_id.encode()),
            (b"X-Cold-Ms", str(cold_ms).encode()),
            (b"Content-Length", b"0"),
        ]
        self.req.ensure_headers_sent()

    def _run(self):
        req = self.req
        request_headers = {
            k.decode().lower(): v.decode() for k, v in req.inheaders.items()
        }
        time.sleep(self.standin.script.unread_s)
        body = req.rfile.read()
        self.standin.requests.append((req.uri.decode(), request_headers, body))
        execution = Execution(request_headers.get("x-request-id", ""), time.monotonic())
        self.standin.executions.append(execution)
        script = self.standin.script
        self.standin.connections.add(req.conn.socket)
        if script.crashes_on(req.uri.decode()) or self.standin.is_overrun():
            self.standin.crash()
            self._end_without_response()
            return
        if script.hang:
            self.standin.released.wait(HANG_S)
        time.sleep(script.get_work_s(request_headers))
        execution.ended = time.monotonic()
        if script.flood is not None:
            self._send_flood(script.flood)
            return
        response_headers = [
            ("X-Request-Id", request_headers.get("x-request-id", "")),
            ("X-Server-Load", "1,0,4"),
            *script.headers,
        ]
        if script.not_run:
            response_headers.append(("X-Not-Executed", "1"))
        else:
            response_headers.append(("X-Response-Signature", "s.1"))
        req.status = f"{script.status} Status".encode()
        payload = script.body
        response_headers.append(("Content-Length", str(len(payload))))
        req.outheaders = [(k.encode(), v.encode()) for k, v in response_headers]
        req.ensure_headers_sent()
        req.write(payload)

    def _end_without_response(self):
        req = self.req
        req.close_connection = True
        req.chunked_write = False
        req.sent_headers = True

    def _send_flood(self, flood):
        """Send bytes in place of a response until the peer closes."""
        req = self.req
        self._end_without_response()
        req.conn.socket.settimeout(HANG_S)
        self.standin.floods.append(flood)
        try:
            req.conn.socket.sendall(flood.start)
            if flood.piece is None:
                return
            while not self.standin.released.wait(flood.pause_s):
                req.conn.socket.sendall(flood.piece)
        except ConnectionError:
            self.standin.closed_floods.append(flood)


class Flood:
    """An endless sequence of bytes.

    Attributes:
        start: Bytes that are sent once, at the beginning.
        piece: Bytes that are then sent repeatedly; None closes the connection.
        pause_s: Pause before each piece, in seconds.
    """

    __slots__ = ("start", "piece", "pause_s")

    def __init__(self, start, piece, pause_s=0.0):
        self.start = start
        self.piece = piece
        self.pause_s = pause_s


class Script:
    """How the stand-in responds to requests.

    Attributes:
        status: HTTP status of the response.
        body: Bytes of the response body.
        not_run: Whether the response states that the request was not executed.
        hang: Whether it delays the response until `released` is set, or for
            `HANG_S` seconds at most.
        work_s: Processing time of each request in seconds.
        flood: The `Flood` that it sends in place of a response, or None.
        headers: Further headers of the response, as pairs of name and value.
        deadly: Targets of the requests at which its process ends.
        unread_s: Seconds for which it leaves the body of each request unread.
    """

    __slots__ = (
        "status",
        "body",
        "not_run",
        "hang",
        "work_s",
        "flood",
        "headers",
        "deadly",
        "unread_s",
    )

    def __init__(
        self,
        status=200,
        body=b"whole",
        not_run=False,
        hang=False,
        work_s=0.0,
        flood=None,
        headers=(),
        deadly=(),
        unread_s=0.0,
    ):
        self.status = status
        self.body = body
        self.not_run = not_run
        self.hang = hang
        self.work_s = work_s
        self.flood = flood
        self.headers = headers
        self.deadly = deadly
        self.unread_s = unread_s

    def crashes_on(self, target):
        """Return whether the server's process ends as it begins to run a request."""
        return target in self.deadly

    def get_work_s(self, headers):
        """Return the processing time of a request in seconds.

        Args:
            headers: Request headers by lower-case name.
        """
        return self.work_s


class Execution:
    """The execution of one request; times are monotonic seconds.

    Attributes:
        request_id: Identifier of the request.
        started: Time at which it started.
        ended: Time at which it ended, or None while it is running.
    """

    __slots__ = ("request_id", "started", "ended")

    def __init__(self, request_id, started, ended=None):
        self.request_id = request_id
        self.started = started
        self.ended = ended


class BackendStandin:
    """Server that stands in for one backend server.

    Attributes:
        script: The `Script` that determines its responses.
        requests: Target, headers and body of each received request.
        executions: The `Execution` of each received request.
        slots: Number of concurrent requests that its heartbeats state.
        released: Event that ends hanging requests and floods.
        floods: Each `Flood` that was started.
        closed_floods: Each `Flood` that ended because the peer closed the
            connection.
        connections: Sockets on which requests were received.
        has_crashed: Whether its process has ended without notice.
        is_leaving: Whether its process has said that it leaves.
        server_id: Its identifier.
        cold_until: Monotonic seconds until which it is cold.
        cold_bound: Requests in one second above which it crashes while it is cold, or
            None if it takes any number.
        cold_requests: Monotonic seconds at which it got requests while it was cold.
    """

    def __init__(self, address, service, server_id, born):
        host, port = address.rsplit(":", 1)
        self.script = Script()
        self.requests = []
        self.executions = []
        self.floods = []
        self.closed_floods = []
        self.connections = set()
        self.has_crashed = False
        self.is_leaving = False
        self.server_id = server_id
        self.slots = SLOTS
        self.cold_until = 0.0
        self.cold_bound = None
        self.cold_requests = []
        self.released = threading.Event()
        self._address = address
        self._service = service
        self._born = born
        self._sequence = 0
        self._server = cheroot.server.HTTPServer(
            (host, int(port)),
            gateway=lambda request: BackendGateway(request, self),
            minthreads=THREADS,
            maxthreads=THREADS,
        )
        # The end of the listener is an error to it, which tests cause on purpose.
        self._server.error_log = lambda *args, **kwargs: None

    def start(self):
        """Bind the address and serve in a thread."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        """Release pending requests and stop the server."""
        self.released.set()
        self._server.stop()

    def turn_cold(self, seconds, bound):
        """Be cold from now on.

        Args:
            seconds: Duration in seconds.
            bound: Requests in one second above which it crashes.
        """
        self.cold_bound = bound
        self.cold_until = time.monotonic() + seconds

    def get_cold_s(self):
        """Return the seconds for which it remains cold, 0 if it is warm."""
        return max(0.0, self.cold_until - time.monotonic())

    def is_overrun(self):
        """Count a request if it is cold; return whether there were too many."""
        now = time.monotonic()
        if now >= self.cold_until or self.cold_bound is None:
            return False
        self.cold_requests.append(now)
        recent = sum(1 for at in list(self.cold_requests) if at > now - 1.0)
        return recent > self.cold_bound

    def crash(self):
        """End as a process does that crashes: nothing listens, connections break."""
        self.has_crashed = True
        for sock in (self._server.socket, *self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.stop, daemon=True).start()

    def send_heartbeat(self, control, state="ready"):
        """Send a heartbeat to a node; return the HTTP status of the response.

        Args:
            control: Address to which the node's heartbeats are sent.
            state: `ready` or `draining`.
        """
        self._sequence += 1
        self.is_leaving = self.is_leaving or state == "draining"
        body = {
            "Address": self._address,
            "Info": {"Service": self._service, "Slots": self.slots},
            "Status": {
                "State": state,
                "Sequence": self._sequence,
                "ColdRemainingS": self.get_cold_s(),
            },
            "born": self._born,
        }
        return self._call("PUT", control, body)

    def send_departure(self, control, names_process=True):
        """Tell a node that this process leaves; return the HTTP status.

        Args:
            control: Address to which the node's heartbeats are sent.
            names_process: Whether the call says when the process started.
        """
        self.is_leaving = True
        body = {"born": self._born} if names_process else None
        return self._call("DELETE", control, body)

    def _call(self, method, control, body):
        response = urllib3.request(
            method,
            f"http://{control}/persimmonlane/instances/{self.server_id}",
            body=None if body is None else msgspec.json.encode(body),
            retries=False,
            timeout=HEARTBEAT_TIMEOUT_S,
        )
        return response.status
