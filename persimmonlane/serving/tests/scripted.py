"""Scripted servers for tests, which send given bytes in response to each request."""

import contextlib
import socket
import threading
import time

HOST = "127.0.0.1"


class ScriptedServer:
    """Server that runs the nth script on the nth request that it receives.

    A script is an iterable of steps: bytes are sent, callables are called, and `CLOSE`
    closes the connection. Requests beyond the last script, or whose script is None, get
    no response.

    Attributes:
        scripts: Scripts that have not run yet.
        requests: Bytes of the requests received so far.
        connections: Number of connections accepted so far.
        closed: Event that is set once the other side, or `CLOSE`, has ended a
            connection.
    """

    CLOSE = object()

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.closed = threading.Event()
        self._received = threading.Semaphore(0)
        self._ended = threading.Event()
        self._socket = socket.create_server((HOST, 0))
        self._open = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"{HOST}:{self._socket.getsockname()[1]}"

    def stop(self):
        self._ended.set()
        self._socket.close()
        for connection in self._open:
            connection.close()

    def send_to_all(self, data):
        """Wait for a first connection, then send bytes on all accepted ones."""
        while not self._open:
            time.sleep(0.01)
        for connection in self._open:
            connection.sendall(data)

    def send_on(self, number, data):
        """Send bytes on the nth connection, if it is still open."""
        with contextlib.suppress(OSError):
            self._open[number].sendall(data)

    def wait_for_request(self):
        return self._received.acquire(timeout=10)

    def _accept(self):
        while not self._ended.is_set():
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            self._open.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            while self._respond(connection):
                pass
        except OSError:
            pass
        self.closed.set()

    def _respond(self, connection):
        request = read_request(connection)
        if not request:
            return False
        self.requests.append(request)
        script = self.scripts.pop(0) if self.scripts else None
        self._received.release()
        for step in script or ():
            if step is self.CLOSE:
                connection.shutdown(socket.SHUT_RDWR)
                return False
            if callable(step):
                step()
            else:
                connection.sendall(step)
        return True


def read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    chunked = b"transfer-encoding: chunked" in head.lower()
    length = get_content_length(head)
    while len(body) < length or (chunked and not body.endswith(b"0\r\n\r\n")):
        chunk = connection.recv(65536)
        if not chunk:
            return b""
        body += chunk
    return head + b"\r\n\r\n" + body


def get_content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def build_response(body=b"whole", status="200 OK", headers=(), length=None):
    lines = [f"HTTP/1.1 {status}".encode()]
    lines.extend(header.encode() for header in headers)
    declared_length = len(body) if length is None else length
    lines.append(f"Content-Length: {declared_length}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def read_all(sock):
    data = b""
    while True:
        try:
            chunk = sock.recv(65536)
        except ConnectionResetError:
            return data
        if not chunk:
            return data
        data += chunk
