"""HTTP servers of a node.

cheroot's HTTP server with its own connection manager and worker pool, and with strict
parsing: a request that two HTTP parsers could read differently is refused.
"""

import contextlib
import logging
import socket
import threading
import time

import cheroot.server

from ..addresses import split_address
from ..errors import Refusal
from ..verdicts import Verdict
from .answers import build_memory_refusal, encode_refusal
from .buffers import MemoryLimitError
from .inbound import InboundConnections
from .memory import MemoryReservation
from .parsing import (
    CODES_BY_STATUS,
    HeaderTable,
    StrictHeaderReader,
    check_framing,
)
from .stalls import StallTracker, Transfer
from .streams import open_stream
from .workers import WorkerPool

log = logging.getLogger("persimmonlane.serving")

LISTEN_BACKLOG = 512
MAX_HEAD_BYTES = 64 * 1024
MAX_KEEP_ALIVE_CONNECTIONS = 2000
MAX_CONNECTIONS = 2 * MAX_KEEP_ALIVE_CONNECTIONS
MIN_WORKERS = 1
STOP_WAIT_S = 0.1
# Of each inbound connection; the kernel would let it grow to tens of megabytes. This
# size carries 100 Mbit/s over a round trip of 5 ms.
RECEIVE_BUFFER_BYTES = 64 * 1024
# The same before it is accepted: nothing bounds what clients send to the backlog but
# its length and this size.
BACKLOG_BUFFER_BYTES = 16 * 1024
# Of each inbound connection. What an answer has beyond it stays in the account.
SEND_BUFFER_BYTES = 64 * 1024
SERVER_NAME = "persimmonlane"


class NodeHTTPRequest(cheroot.server.HTTPRequest):
    """A request whose headers and framing are checked before it is handled."""

    header_reader = StrictHeaderReader()

    def __init__(self, server, conn, proxy_mode=False, strict_mode=True):
        super().__init__(server, conn, proxy_mode, strict_mode)
        memory = server.memory
        self.inheaders = HeaderTable(memory and MemoryReservation(memory, True))
        self.method = b""

    def read_request_headers(self):
        """Read and check the headers.

        Returns:
            Whether they are accepted; if not, the refusal has been written.
        """
        try:
            if not super().read_request_headers():
                return False
            check_framing(self.inheaders.header_list, self.request_protocol)
        except Refusal as refusal:
            self.write_refusal(refusal)
            return False
        except MemoryLimitError:
            self.write_refusal(build_memory_refusal())
            return False
        self.conn.clear_read_limit()
        self.conn.transfer.end()
        return True

    def simple_response(self, status, msg=""):
        """Write the answer to a request that cheroot rejects.

        cheroot calls this with its own status line and message. The answer gets the
        format of the node's other refusals.

        Args:
            status: HTTP status with its reason phrase.
            msg: Message for a person, or an empty string.
        """
        number = str(status)[:3]
        verdict = Verdict.MAY_HAVE_RUN if number == "500" else Verdict.NOT_RUN
        code = CODES_BY_STATUS.get(number, "request-malformed")
        message = str(msg) or str(status)[4:]
        self.write_refusal(Refusal(int(number), code, message, verdict=verdict))

    def write_refusal(self, refusal):
        """Write the answer for a `Refusal`; the connection closes after it."""
        self.close_connection = True
        self.conn.clear_read_limit()
        self.conn.wfile.write(encode_refusal(refusal))


class NodeHTTPConnection(cheroot.server.HTTPConnection):
    """A connection that a server of the node accepted.

    Attributes:
        transfer: The `Transfer` of the request that is read, or of the answer that is
            written.
    """

    RequestHandlerClass = NodeHTTPRequest

    def __init__(self, server, sock, makefile=open_stream):
        super().__init__(server, sock, open_stream)
        set_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        self.transfer = Transfer(server.stalls, server, self._interrupt)
        self.rfile.report_to(self.transfer)
        self.wfile.report_to(self.transfer)

    def communicate(self):
        """Serve one request; return whether the connection is kept alive."""
        self.limit_read_time(self.server.header_timeout_s)
        self.transfer.begin()
        try:
            return super().communicate()
        finally:
            if not self.wfile.is_pending:
                self.transfer.end()

    def close(self):
        """Close the connection and drop what was not sent."""
        self.transfer.end()
        self.wfile.clear()
        super().close()

    def _interrupt(self):
        """End the read or write that waits; after a read an answer can be written."""
        how = socket.SHUT_RDWR if self.transfer.is_answer else socket.SHUT_RD
        with contextlib.suppress(OSError):
            self.socket.shutdown(how)

    def limit_read_time(self, limit_s):
        """Limit the total time of all reads until `clear_read_limit` is called.

        Args:
            limit_s: Total time in seconds.
        """
        self.rfile.set_deadline(time.monotonic() + limit_s)

    def clear_read_limit(self):
        """Remove the total limit; the server's timeout applies to each call again."""
        self.rfile.set_deadline(None)
        self.socket.settimeout(self.server.timeout)


class NodeHTTPServer(cheroot.server.HTTPServer):
    """An HTTP server of a node.

    Attributes:
        header_timeout_s: Time limit in seconds for reading the request line and all
            headers, from the moment at which a worker takes the connection.
        requests: The `WorkerPool`.
        stalls: The `StallTracker`, which servers may share.
        max_connections: Number of connections that may be open.
        memory: The `MemoryAccount` for heads, or None without a limit.
    """

    ConnectionClass = NodeHTTPConnection

    def __init__(
        self, address, gateway, max_workers, stalls=None, max_connections=None
    ):
        """Create a server.

        Args:
            address: Address to listen on, as `host:port`.
            gateway: Callable that returns the gateway of a request.
            max_workers: Most requests that are served at once.
            stalls: The `StallTracker`, or None for one of its own.
            max_connections: Number of connections that may be open, or None for the
                default.
        """
        super().__init__(
            split_address(address),
            gateway=gateway,
            server_name=SERVER_NAME,
        )
        self.requests = WorkerPool(self._serve_conn, MIN_WORKERS, max_workers)
        self.memory = None
        self.stalls = stalls or StallTracker()
        self.max_connections = max_connections or MAX_CONNECTIONS
        self.header_timeout_s = 3.0
        self.max_request_header_size = MAX_HEAD_BYTES
        self.timeout = 17.0
        self.request_queue_size = LISTEN_BACKLOG
        self.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self._connections = None
        self._thread = None

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Log an error that cheroot reports.

        cheroot's message is left out, as it may contain parts of the request.
        """
        log.log(level, "Serving: the HTTP server reports an error.", exc_info=traceback)

    def prepare(self):
        """Bind, and replace cheroot's `ConnectionManager` by `InboundConnections`."""
        super().prepare()
        # Connections in the backlog inherit it.
        set_receive_buffer(self.socket, BACKLOG_BUFFER_BYTES)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._connections.close()
        self._connections = InboundConnections(self)

    def start_in_background(self):
        """Bind, then serve in a background thread."""
        self.prepare()
        self._thread = threading.Thread(target=self.serve, daemon=True)
        self._thread.start()

    def serve(self):
        """Accept connections and dispatch requests until the server stops."""
        while self.ready:
            try:
                self._connections.run(self.expiration_interval)
            except Exception:
                log.exception("Serving: the connection loop of a server failed.")

    def count_active(self):
        """Return the number of connections with an unfinished request.

        See `InboundConnections.count_active` for what exactly is counted.
        """
        return self._connections.count_active()

    def count_open(self):
        """Return the number of open connections."""
        return self._connections.count_open()

    def stop_accepting(self):
        """Accept what is in the backlog, then close the listener; go on serving."""
        self._connections.stop_accepting()

    def close_idle(self):
        """Close idle keep-alive connections.

        Connections on which a request has begun to arrive, and those that have not
        carried any request yet, stay open.
        """
        self._connections.close_idle()

    def stop(self):
        """Close the listener and all idle connections; end the threads.

        Requests in flight are finished, and their connections close after the answers.
        Waits at most `STOP_WAIT_S` for the accepting thread, and as long again for the
        workers.
        """
        if not self.ready:
            return
        self.ready = False
        self._connections.stop()
        self._thread.join(STOP_WAIT_S)
        self.requests.stop(STOP_WAIT_S)

    def _serve_conn(self, conn):
        """Serve one request; return whether the next one may have the worker."""
        try:
            is_kept = conn.communicate()
            if conn.wfile.is_pending:
                self._connections.finish_answer(conn, is_kept)
                return False
            if is_kept:
                return self._connections.put(conn)
        except OSError as error:
            log.info("Serving: a connection failed with a network error: %s.", error)
        except Exception:
            log.exception("Serving: a connection failed with an unexpected error.")
        self._connections.finish(conn)
        return False


def set_receive_buffer(sock, size):
    """Set the size in bytes of a socket's receive buffer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
