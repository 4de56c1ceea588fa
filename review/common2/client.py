"""A requester with one connection of its own."""

import socket
import time

READ_BYTES = 65536


class Answer:
    """What came back on a connection.

    Attributes:
        status: HTTP status, 0 if no whole head came.
        headers: Dict of the headers by lower-case name.
        body: Bytes of the body, as many as came.
        is_complete: Whether the whole body came, by the length in the head.
    """

    def __init__(self, raw):
        head, separator, rest = raw.partition(b"\r\n\r\n")
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete = False
        if not separator:
            return
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        length = int(self.headers.get("content-length", "0"))
        self.body = rest[:length]
        self.is_complete = len(rest) >= length
        self.surplus = rest[length:]


def build_request(method, path, host, key, request_id, timeout_s, body=b""):
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Timeout-Ms: {int(timeout_s * 1000)}",
        f"X-Credential: {key}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def connect(address, receive_buffer_bytes=None):
    """Return a connected socket."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    if receive_buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.settimeout(1.0)
    sock.connect((host, int(port)))
    return sock


def read_answer(sock, timeout_s, quiet_s=None):
    """Read until the answer is complete, the connection ends or time is up.

    Args:
        sock: The socket.
        timeout_s: Longest time in seconds.
        quiet_s: Seconds without a byte after which to stop, or None.
    """
    ends_at = time.monotonic() + timeout_s
    raw = bytearray()
    while (left_s := ends_at - time.monotonic()) > 0:
        sock.settimeout(left_s if quiet_s is None else min(left_s, quiet_s))
        try:
            data = sock.recv(READ_BYTES)
        except OSError:
            break
        if not data:
            break
        raw += data
        if Answer(bytes(raw)).is_complete:
            break
    return Answer(bytes(raw))


def ask(address, request, timeout_s):
    """Send a request on a new connection and return the `Answer`."""
    sock = connect(address)
    try:
        sock.sendall(request)
        return read_answer(sock, timeout_s)
    finally:
        sock.close()
