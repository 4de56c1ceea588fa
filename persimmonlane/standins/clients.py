"""Clients that break off, half-close, pipeline, send nonsense or read too little."""

import contextlib
import random
import socket
import struct

MIB = 1024 * 1024
LONG_BODY_BYTES = MIB
PIECE_BYTES = 256 * 1024
RESET_SHARE = 0.3
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ACTIONS = []


def action(behave):
    """Register what a client may do with a connection of its own.

    It is called with the socket, a random number generator and a callable that returns
    the head of a request from its method and further header lines.
    """
    ACTIONS.append(behave)
    return behave


class MisbehavingClient:
    """A client that does something at random with each of its connections."""

    __slots__ = ("_rng", "_build_head", "_timeout_s")

    def __init__(self, seed, build_head, timeout_s):
        """Create a client.

        Args:
            seed: Seed of its random choices.
            build_head: Callable that returns the head of a request in bytes from its
                method and further header lines.
            timeout_s: Time limit of each step in seconds.
        """
        self._rng = random.Random(seed)
        self._build_head = build_head
        self._timeout_s = timeout_s

    def misbehave(self, address):
        """Open a connection, do one thing and close or reset it.

        Args:
            address: Address of the server, as host and port.
        """
        with (
            contextlib.suppress(OSError),
            socket.create_connection(address, self._timeout_s) as sock,
        ):
            self._rng.choice(ACTIONS)(sock, self._rng, self._build_head)
            if self._rng.random() < RESET_SHARE:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def receive_all(sock):
    """Read until the other side ends or nothing comes any more."""
    with contextlib.suppress(OSError):
        while sock.recv(PIECE_BYTES):
            pass


@action
def send_whole_body(sock, rng, build_head):
    """Send a whole body and read the beginning of the answer."""
    size = rng.choice((0, 1, 60000, LONG_BODY_BYTES))
    sock.sendall(build_head("POST", f"Content-Length: {size}") + bytes(size))
    sock.recv(100)


@action
def stop_within_a_body(sock, rng, build_head):
    """Send a part of a body."""
    size = rng.choice((10, 60000, LONG_BODY_BYTES))
    sock.sendall(build_head("POST", f"Content-Length: {size}"))
    sock.sendall(bytes(rng.randrange(size)))


@action
def stop_within_a_head(sock, rng, build_head):
    """Send a part of a head."""
    request = build_head("GET")
    sock.sendall(request[: rng.randrange(len(request))])


@action
def half_close_behind_a_request(sock, rng, build_head):
    """Close the sending side behind a request or within its head."""
    request = build_head("GET")
    sock.sendall(request[: rng.choice((40, len(request)))])
    sock.shutdown(socket.SHUT_WR)
    receive_all(sock)


@action
def send_chunks(sock, rng, build_head):
    """Send chunks that may be malformed, cut off or followed by trailers."""
    chunks = [b"5\r\nabcde\r\n" * rng.randrange(50), b"zz\r\n", b"5;x=y\r\nabc"]
    sock.sendall(build_head("POST", "Transfer-Encoding: chunked") + rng.choice(chunks))
    sock.sendall(rng.choice((b"", b"0\r\n\r\n", b"0\r\nX-T: x\r\n\r\n", b"0\r\nX-T")))


@action
def expect_to_go_on(sock, rng, build_head):
    """Ask whether to send a body, and send it in part or whole."""
    size = rng.choice((5, 60000))
    lines = f"Content-Length: {size}", "Expect: 100-continue"
    sock.sendall(build_head("POST", *lines))
    sock.recv(100)
    sock.sendall(bytes(rng.choice((0, size - 1, size))))
    sock.recv(100)


@action
def pipeline_requests(sock, rng, build_head):
    """Send several requests at once."""
    first = build_head("POST", "Content-Length: 5") + b"12345"
    sock.sendall(first + build_head("GET") * rng.randrange(1, 6))
    sock.recv(100)


@action
def pipeline_behind_a_refused_body(sock, rng, build_head):
    """Send a part of a body that is too long, and another request."""
    sock.sendall(build_head("POST", f"Content-Length: {200 * MIB}"))
    sock.sendall(bytes(rng.randrange(100_000)) + build_head("GET"))
    sock.recv(100)


@action
def leave_within_a_long_answer(sock, rng, build_head):
    """Read a part of a long answer."""
    sock.sendall(build_head("GET", "X-Long: 1") * rng.randrange(1, 3))
    sock.recv(rng.choice((1, 100, 200_000)))


@action
def read_a_long_answer(sock, rng, build_head):
    """Read a long answer to its end."""
    sock.sendall(build_head("GET", "X-Long: 1", "Connection: close"))
    receive_all(sock)


@action
def send_what_is_no_request(sock, rng, build_head):
    """Send random bytes."""
    sock.sendall(rng.randbytes(rng.randrange(1, 3000)) + rng.choice((b"", b"\r\n\r\n")))
