"""Servers.

cheroot's HTTP server, strict on what could be read in two ways.
"""

import logging
import threading
import time

import cheroot.server

from ..errors import Refusal
from ..settings import split_address
from ..verdicts import Verdict
from .answers import encode_refusal
from .inbound import InboundConnections
from .streams import open_stream
from .strictness import (
    CODES_BY_STATUS,
    HeaderTable,
    StrictHeaderReader,
    check_framing,
)
from .workers import WorkerPool

log = logging.getLogger("persimmonlane.serving")

BACKLOG = 1024
HEAD_BYTES = 64 * 1024
KEPT_CONNECTIONS = 2000
LEAST_WORKERS = 1
STOP_WAIT_S = 0.1
SERVER_NAME = "persimmonlane"


class SiteRequest(cheroot.server.HTTPRequest):
    """A request, checked before it is acted on."""

    header_reader = StrictHeaderReader()

    def __init__(self, server, conn, proxy_mode=False, strict_mode=True):
        super().__init__(server, conn, proxy_mode, strict_mode)
        self.inheaders = HeaderTable()
        self.method = b""

    def read_request_headers(self):
        """Read the headers; answer and return False if they are refused."""
        if not super().read_request_headers():
            return False
        try:
            check_framing(self.inheaders.header_list, self.request_protocol)
        except Refusal as refusal:
            self.write_refusal(refusal)
            return False
        self.conn.lift_limit()
        return True

    def simple_response(self, status, msg=""):
        """Answer a request that cheroot refuses."""
        number = str(status)[:3]
        verdict = Verdict.MAY_HAVE_RUN if number == "500" else Verdict.NOT_RUN
        code = CODES_BY_STATUS.get(number, "request-malformed")
        message = str(msg) or str(status)[4:]
        self.write_refusal(Refusal(int(number), code, message, verdict=verdict))

    def write_refusal(self, refusal):
        """Write an answer and close the connection afterwards."""
        self.close_connection = True
        self.conn.lift_limit()
        self.conn.wfile.write(encode_refusal(refusal))


class SiteConnection(cheroot.server.HTTPConnection):
    """A connection of a caller or another node."""

    RequestHandlerClass = SiteRequest

    def __init__(self, server, sock, makefile=open_stream):
        super().__init__(server, sock, open_stream)

    def communicate(self):
        """Serve one request; return whether the connection is kept."""
        self.limit_reading(self.server.header_timeout_s)
        return super().communicate()

    def limit_reading(self, limit_s):
        """Bound the time of all further reads together, until `lift_limit`."""
        self.rfile.set_deadline(time.monotonic() + limit_s)

    def lift_limit(self):
        """Leave the time of each read and write to the server's timeout."""
        self.rfile.set_deadline(None)
        self.socket.settimeout(self.server.timeout)


class SiteServer(cheroot.server.HTTPServer):
    """An HTTP server of a node.

    Attributes:
        header_timeout_s: Longest time for a request's whole head, from when a worker
            takes the connection.
        requests: The `WorkerPool`.
    """

    ConnectionClass = SiteConnection

    def __init__(self, address, gateway, threads):
        super().__init__(
            split_address(address),
            gateway=gateway,
            server_name=SERVER_NAME,
        )
        self.requests = WorkerPool(self._serve_conn, LEAST_WORKERS, threads)
        self.header_timeout_s = 3.0
        self.max_request_header_size = HEAD_BYTES
        self.timeout = 17.0
        self.request_queue_size = BACKLOG
        self.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._connections = None
        self._thread = None

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Log an error of cheroot without the request's content."""
        log.log(level, "Serving: the HTTP server reports an error.", exc_info=traceback)

    def prepare(self):
        """Bind, and take cheroot's `ConnectionManager` away."""
        super().prepare()
        self._connections.close()
        self._connections = InboundConnections(self)

    def begin(self):
        """Bind and serve in a thread."""
        self.prepare()
        self._thread = threading.Thread(target=self.serve, daemon=True)
        self._thread.start()

    def serve(self):
        """Wait for connections that are ready, until the server stops."""
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
            except Exception:
                log.exception("Serving: the HTTP server failed.")

    def count_open(self):
        """Return how many connections have a request that is not finished.

        See `InboundConnections.count_open` for what exactly is counted.
        """
        return self._connections.count_open()

    def stop_accepting(self):
        """Refuse new connections from now on; those that exist go on."""
        self._connections.stop_accepting()

    def close_idle(self):
        """Close kept connections on which no request has begun to arrive.

        Connections on which there was no request yet stay open.
        """
        self._connections.close_idle()

    def stop(self):
        """Close the listener and all idle connections; end the threads.

        Requests in flight go on, and their connections close after the answers. Waits
        at most `STOP_WAIT_S` for the thread that accepts and as long for the workers.
        """
        if not self.ready:
            return
        self.ready = False
        self._connections.stop()
        self._thread.join(STOP_WAIT_S)
        self.requests.stop(STOP_WAIT_S)

    def _serve_conn(self, conn):
        """Serve one request; return whether the next one has already come."""
        try:
            if conn.communicate():
                return self._connections.put(conn)
        except OSError as error:
            log.info("Serving: a connection failed: %s.", error)
        except Exception:
            log.exception("Serving: a connection failed.")
        self._connections.finish(conn)
        return False
