"""Scripted servers for the tests: they send given bytes to each request."""

import socket
import threading
import time

HOST = "127.0.0.1"


class ScriptedServer:
    """Accepts connections; answers the nth request with the nth script.

    A script is a list of steps: bytes are sent, callables are called, `CLOSE`
    closes the connection. `None` leaves the request unanswered.
    """

    CLOSE = object()

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.closed = threading.Event()
        self._served = threading.Semaphore(0)
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
        """Send bytes on each connection that was accepted, once there is one."""
        while not self._open:
            time.sleep(0.01)
        for connection in self._open:
            connection.sendall(data)

    def await_request(self):
        return self._served.acquire(timeout=10)

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
            while self._answer(connection):
                pass
        except OSError:
            pass
        self.closed.set()

    def _answer(self, connection):
        request = read_request(connection)
        if not request:
            return False
        self.requests.append(request)
        script = self.scripts.pop(0) if self.scripts else None
        self._served.release()
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
        piece = connection.recv(65536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    chunked = b"transfer-encoding: chunked" in head.lower()
    length = find_length(head)
    while len(body) < length or (chunked and not body.endswith(b"0\r\n\r\n")):
        piece = connection.recv(65536)
        if not piece:
            return b""
        body += piece
    return head + b"\r\n\r\n" + body


def find_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def answer(body=b"whole", status="200 OK", headers=(), length=None):
    lines = [f"HTTP/1.1 {status}".encode()]
    lines.extend(header.encode() for header in headers)
    stated = len(body) if length is None else length
    lines.append(f"Content-Length: {stated}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def read_all(sock):
    data = b""
    while True:
        try:
            piece = sock.recv(65536)
        except ConnectionResetError:
            return data
        if not piece:
            return data
        data += piece
