"""Callers of a soak run.

They keep using open connections until the node's process has exited.
"""

import http.client
import random
import socket
import threading
import time

from persimmonlane.platform.headers import CREDENTIAL, MS_PER_S, REQUEST_ID, TIMEOUT
from persimmonlane.serving.answers import VERDICT_HEADER

from ..site import HOST, KEY
from .fleet import WORK_HEADER
from .records import Exchange, ExchangeEnd

# Callers wait this much longer than their time limit, to record a late response.
RESPONSE_MARGIN_S = 3.0
RECONNECT_S = 0.2
BODY_DELAY_S = (0.05, 0.6)
SLOW_BUFFER_BYTES = 4096
SLOW_READ_BYTES = 16_384
SLOW_PAUSE_S = 0.05
CHUNK_BYTES = 16_000
# Wait for a reset that may follow the close of a connection.
RESET_WAIT_S = 0.05


class Caller:
    """One caller, which sends requests in its own thread.

    Attributes:
        exchanges: The `Exchange`s so far.
    """

    def __init__(self, number, plan, style, fleet, ended):
        self.exchanges = []
        self._plan = plan
        self._style = style
        self._fleet = fleet
        self._ended = ended
        self._rng = random.Random(f"{plan.seed} {number}")
        self._id_prefix = f"{plan.seed:04x}{number:04x}"
        self._connection = None
        self._process = None
        self._is_first = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start sending requests."""
        self._thread.start()

    def join(self):
        """Wait until the last response has been received."""
        self._thread.join()

    def _run(self):
        while not self._ended.is_set():
            if self._connection is None and not self._connect():
                self._ended.wait(RECONNECT_S)
                continue
            self._exchange()
            self._ended.wait(self._rng.uniform(*self._style.pause_s))
        self._disconnect()

    def _connect(self):
        index = self._choose_vm()
        self._process = self._fleet.get_process(index)
        host, port = self._fleet.site.vms[index].callers.split(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=RESPONSE_MARGIN_S
        )
        try:
            connection.connect()
        except OSError:
            return False
        if self._style.slow_reader:
            connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )
        self._connection = connection
        self._is_first = True
        return True

    def _choose_vm(self):
        own = self._style.vm
        ready = self._fleet.find_ready()
        if not self._style.avoids_unready or own in ready or not ready:
            return own
        return self._rng.choice(ready)

    def _disconnect(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _exchange(self):
        request = self._plan.draw_request(self._rng)
        exchange = self._describe(request)
        self.exchanges.append(exchange)
        self._connection.sock.settimeout(request.caller_timeout_s + RESPONSE_MARGIN_S)
        exchange.started = time.monotonic()
        try:
            self._send(request, exchange.request_id)
        except OSError:
            exchange.ended = time.monotonic()
            self._disconnect()
            return
        exchange.sent = time.monotonic()
        exchange.end = self._receive(exchange)
        self._is_first = False
        if exchange.end is not ExchangeEnd.ANSWERED or not self._style.keeps_alive:
            self._disconnect()

    def _describe(self, request):
        request_id = f"{self._id_prefix}{len(self.exchanges):08x}"
        timeout_s = min(request.caller_timeout_s, self._plan.timeout_s)
        exchange = Exchange(
            request_id, request.describe(), request.unsafe, timeout_s, self._process
        )
        exchange.is_first = self._is_first
        return exchange

    def _send(self, request, request_id):
        connection = self._connection
        kind = "unsafe" if request.unsafe else "safe"
        connection.putrequest(
            request.method, f"/{request.service}/{kind}/", skip_host=True
        )
        for name, value in build_headers(request, request_id):
            connection.putheader(name, value)
        body = encode_body(request)
        if not body or not self._style.delays_body:
            connection.endheaders(body or None)
            return
        connection.endheaders()
        time.sleep(self._rng.uniform(*BODY_DELAY_S))
        connection.send(body)

    def _receive(self, exchange):
        """Receive the response; return the `ExchangeEnd`."""
        end = self._await_answer()
        exchange.ended = time.monotonic()
        if end is ExchangeEnd.CLOSED and was_reset(self._connection.sock):
            return ExchangeEnd.RESET
        if end is not ExchangeEnd.ANSWERED:
            return end
        return self._read_answer(exchange)

    def _await_answer(self):
        try:
            first = self._connection.sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            return ExchangeEnd.TIMED_OUT
        except OSError:
            return ExchangeEnd.RESET
        return ExchangeEnd.ANSWERED if first else ExchangeEnd.CLOSED

    def _read_answer(self, exchange):
        try:
            answer = self._connection.getresponse()
            exchange.status = answer.status
            exchange.is_from_node = bool(answer.getheader(VERDICT_HEADER))
            self._read_body(answer)
        except (OSError, http.client.HTTPException):
            return ExchangeEnd.TRUNCATED
        finally:
            exchange.ended = time.monotonic()
        if answer.will_close:
            self._disconnect()
        return ExchangeEnd.ANSWERED

    def _read_body(self, answer):
        if not self._style.slow_reader:
            answer.read()
            return
        left = answer.length
        while piece := answer.read(SLOW_READ_BYTES):
            left -= len(piece)
            time.sleep(SLOW_PAUSE_S)
        if left:
            raise http.client.IncompleteRead(b"", left)


def was_reset(sock):
    """Return whether a closed connection is reset within `RESET_WAIT_S`."""
    time.sleep(RESET_WAIT_S)
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def build_headers(request, request_id):
    """Return the headers of a request as pairs of name and value."""
    headers = [
        ("Host", HOST),
        (CREDENTIAL, KEY),
        (TIMEOUT, str(int(request.caller_timeout_s * MS_PER_S))),
        (REQUEST_ID, request_id),
        (WORK_HEADER, f"{request.work_s:.3f}"),
    ]
    if request.chunked:
        headers.append(("Transfer-Encoding", "chunked"))
    elif request.body_bytes:
        headers.append(("Content-Length", str(request.body_bytes)))
    return headers


def encode_body(request):
    """Return the encoded body of a request, in chunks if it is chunked."""
    body = b"x" * request.body_bytes
    if not request.chunked:
        return body
    pieces = [body[n : n + CHUNK_BYTES] for n in range(0, len(body), CHUNK_BYTES)]
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(chunks) + b"0\r\n\r\n"
