"""Seeded mixes of clients that break off, half-close, pipeline or read too little.

They run against a whole site. Afterwards nothing may be left of them: no memory, no
connection, no running request, and no error that the node did not expect.
"""

import contextlib
import logging
import os
import random
import socket
import struct
import threading

import testtools

from ..addresses import split_address
from .crowds import CHUNKED_HEAD, MIB, build_head, receive_all
from .test_sitenode import Site, wait_until
from .test_uncontrolled_clients import LongAnswers

# The environment of a long run may name others, as the first and the last one.
SEEDS = os.environ.get("CLIENT_SEEDS", "1-3")
CLIENTS = 24
ACTIONS_EACH = 6
TIMEOUT_S = 4.0
ANSWER_BYTES = 2 * MIB
LONG_BODY_BYTES = MIB
REQUEST = build_head("GET")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ACTIONS = []


def action(behave):
    """Register what a client may do with a connection of its own."""
    ACTIONS.append(behave)
    return behave


@action
def send_whole_body(sock, rng):
    size = rng.choice((0, 1, 60000, LONG_BODY_BYTES))
    sock.sendall(build_head("POST", f"Content-Length: {size}") + bytes(size))
    sock.recv(100)


@action
def stop_within_a_body(sock, rng):
    size = rng.choice((10, 60000, LONG_BODY_BYTES))
    sock.sendall(build_head("POST", f"Content-Length: {size}"))
    sock.sendall(bytes(rng.randrange(size)))


@action
def stop_within_a_head(sock, rng):
    sock.sendall(REQUEST[: rng.randrange(len(REQUEST))])


@action
def half_close_behind_a_request(sock, rng):
    sock.sendall(REQUEST[: rng.choice((40, len(REQUEST)))])
    sock.shutdown(socket.SHUT_WR)
    receive_all(sock)


@action
def send_chunks(sock, rng):
    chunks = [b"5\r\nabcde\r\n" * rng.randrange(50), b"zz\r\n", b"5;x=y\r\nabc"]
    sock.sendall(CHUNKED_HEAD + rng.choice(chunks))
    sock.sendall(rng.choice((b"", b"0\r\n\r\n", b"0\r\nX-T: x\r\n\r\n", b"0\r\nX-T")))


@action
def expect_to_go_on(sock, rng):
    size = rng.choice((5, 60000))
    lines = f"Content-Length: {size}", "Expect: 100-continue"
    sock.sendall(build_head("POST", *lines))
    sock.recv(100)
    sock.sendall(bytes(rng.choice((0, size - 1, size))))
    sock.recv(100)


@action
def pipeline_requests(sock, rng):
    first = build_head("POST", "Content-Length: 5") + b"12345"
    sock.sendall(first + REQUEST * rng.randrange(1, 6))
    sock.recv(100)


@action
def pipeline_behind_a_refused_body(sock, rng):
    sock.sendall(build_head("POST", f"Content-Length: {200 * MIB}"))
    sock.sendall(bytes(rng.randrange(100_000)) + REQUEST)
    sock.recv(100)


@action
def leave_within_a_long_answer(sock, rng):
    sock.sendall(build_head("GET", "X-Long: 1") * rng.randrange(1, 3))
    sock.recv(rng.choice((1, 100, 200_000)))


@action
def read_a_long_answer(sock, rng):
    sock.sendall(build_head("GET", "X-Long: 1", "Connection: close"))
    receive_all(sock)


@action
def send_what_is_no_request(sock, rng):
    sock.sendall(rng.randbytes(rng.randrange(1, 3000)) + rng.choice((b"", b"\r\n\r\n")))


class ErrorHandler(logging.Handler):
    """Keeps the messages of errors with a traceback, but not what these refer to."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        if record.exc_info:
            self.messages.append(self.format(record))


class SeededClientTests(testtools.TestCase):
    def test_nothing_is_left_of_clients_that_misbehave(self):
        site = Site(self)
        self.assertTrue(wait_until(site.is_converged))
        for server in site.servers.values():
            server.script = LongAnswers(ANSWER_BYTES)
        errors = ErrorHandler()
        log = logging.getLogger("persimmonlane")
        log.addHandler(errors)
        self.addCleanup(log.removeHandler, errors)
        first, last = map(int, SEEDS.split("-"))
        for seed in range(first, last + 1):
            self.play(site, seed)
            self.assertTrue(wait_until(lambda: self.is_at_rest(site)), f"seed {seed}")
            answer = site.call("/near/")
            self.assertEqual(200, answer.status, f"seed {seed}: {answer.data[:200]}")
            self.assertEqual([], errors.messages, f"seed {seed}")

    def play(self, site, seed):
        threads = [
            threading.Thread(target=self.misbehave, args=(site, f"{seed}-{number}"))
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def misbehave(self, site, seed):
        rng = random.Random(seed)
        _, settings = site.nodes["near"]
        for _ in range(ACTIONS_EACH):
            with (
                contextlib.suppress(OSError),
                socket.create_connection(
                    split_address(settings.caller_address), TIMEOUT_S
                ) as sock,
            ):
                rng.choice(ACTIONS)(sock, rng)
                if rng.random() < 0.3:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def is_at_rest(self, site):
        """Return whether no node holds or runs anything for a client."""
        for node, _ in site.nodes.values():
            node.memory.take_peak_bytes()
            if node.memory.take_peak_bytes() or node.running.count:
                return False
        near, _ = site.nodes["near"]
        return near._servers.is_idle() and not near._servers.count_open()[-1]
