"""Backend server stand-in.

Answers as the platform's backend servers do, and sends heartbeats to its node.
"""

import threading
import time

import cheroot.server
import msgspec
import urllib3

THREADS = 16
HANG_S = 30.0
HEARTBEAT_TIMEOUT_S = 1.0


class BackendGateway(cheroot.server.Gateway):
    """Answers requests as the stand-in is told."""

    def __init__(self, http_request, standin):
        super().__init__(http_request)
        self.standin = standin

    def respond(self):
        """Answer one request."""
        req = self.req
        headers = {k.decode().lower(): v.decode() for k, v in req.inheaders.items()}
        body = req.rfile.read()
        self.standin.requests.append((req.uri.decode(), headers, body))
        run = Run(headers.get("x-request-id", ""), time.monotonic())
        self.standin.runs.append(run)
        script = self.standin.script
        if script.hang:
            self.standin.released.wait(HANG_S)
        time.sleep(script.find_work_s(headers))
        run.ended = time.monotonic()
        if script.flood is not None:
            self._flood(script.flood)
            return
        answer = [
            ("X-Request-Id", headers.get("x-request-id", "")),
            ("X-Server-Load", "1,0,4"),
        ]
        if script.not_run:
            answer.append(("X-Not-Executed", "1"))
        else:
            answer.append(("X-Response-Signature", "s.1"))
        req.status = f"{script.status} Status".encode()
        data = script.body
        answer.append(("Content-Length", str(len(data))))
        req.outheaders = [(k.encode(), v.encode()) for k, v in answer]
        req.ensure_headers_sent()
        req.write(data)

    def _flood(self, flood):
        """Send bytes until the peer closes, in place of an answer."""
        req = self.req
        req.close_connection = True
        req.chunked_write = False
        req.sent_headers = True
        req.conn.socket.settimeout(HANG_S)
        self.standin.floods.append(flood)
        try:
            req.conn.socket.sendall(flood.start)
            while not self.standin.released.wait(flood.pause_s):
                req.conn.socket.sendall(flood.piece)
        except ConnectionError:
            self.standin.closed_floods.append(flood)


class Flood:
    """Bytes without end.

    Attributes:
        start: Bytes that are sent once.
        piece: Bytes that follow again and again.
        pause_s: Seconds before each piece.
    """

    __slots__ = ("start", "piece", "pause_s")

    def __init__(self, start, piece, pause_s=0.0):
        self.start = start
        self.piece = piece
        self.pause_s = pause_s


class Script:
    """How the stand-in answers.

    Attributes:
        status: HTTP status.
        body: Bytes of the body.
        not_run: Whether it states that the request did not run.
        hang: Whether it gives no answer.
        work_s: Seconds that each request takes.
        flood: The `Flood` that it sends in place of an answer, or None.
    """

    __slots__ = ("status", "body", "not_run", "hang", "work_s", "flood")

    def __init__(
        self,
        status=200,
        body=b"whole",
        not_run=False,
        hang=False,
        work_s=0.0,
        flood=None,
    ):
        self.status = status
        self.body = body
        self.not_run = not_run
        self.hang = hang
        self.work_s = work_s
        self.flood = flood

    def find_work_s(self, headers):
        """Return the seconds that a request takes.

        Args:
            headers: The request's headers by their names in lower case.
        """
        return self.work_s


class Run:
    """The work on one request.

    Attributes:
        request_id: Identifier of the request.
        begun: Monotonic second at which the work began.
        ended: Monotonic second at which it ended, None while it goes on.
    """

    __slots__ = ("request_id", "begun", "ended")

    def __init__(self, request_id, begun, ended=None):
        self.request_id = request_id
        self.begun = begun
        self.ended = ended


class BackendStandin:
    """One backend server.

    Attributes:
        script: The `Script` by which it answers.
        requests: Target, headers and body of each request that came.
        runs: The `Run` of each request that came.
        released: Set to let hanging requests go.
        floods: Each `Flood` that was begun.
        closed_floods: Each `Flood` that ended because the peer closed.
    """

    def __init__(self, address, service, server_id, born):
        host, port = address.rsplit(":", 1)
        self.script = Script()
        self.requests = []
        self.runs = []
        self.floods = []
        self.closed_floods = []
        self.released = threading.Event()
        self._address = address
        self._service = service
        self._id = server_id
        self._born = born
        self._sequence = 0
        self._server = cheroot.server.HTTPServer(
            (host, int(port)),
            gateway=lambda request: BackendGateway(request, self),
            minthreads=THREADS,
            maxthreads=THREADS,
        )

    def start(self):
        """Bind and serve in a thread."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        """Close the server."""
        self.released.set()
        self._server.stop()

    def send_heartbeat(self, control, state="ready"):
        """Send a heartbeat to a node; return the status of its answer."""
        self._sequence += 1
        body = {
            "Address": self._address,
            "Info": {"Service": self._service, "Slots": 4},
            "Status": {"State": state, "Sequence": self._sequence},
            "born": self._born,
        }
        answer = urllib3.request(
            "PUT",
            f"http://{control}/persimmonlane/instances/{self._id}",
            body=msgspec.json.encode(body),
            retries=False,
            timeout=HEARTBEAT_TIMEOUT_S,
        )
        return answer.status
