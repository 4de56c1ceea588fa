"""What clients can make a `persimmon-sidecar` hold outside of the account for bodies.

Each test starts the process beside stand-ins and connects a small crowd to it, as in
`test_uncontrolled_clients`. What lies in the buffers of sockets counts as memory.
"""

import itertools
import threading
import time

import msgspec

from ..routing.metadata import Order
from ..serving.nodeheaders import ORDER_HEADER
from ..standins.backend import Script
from ..standins.clients import PIECE_BYTES, receive_all
from .crowds import (
    MAX_DESCRIPTORS,
    MEMORY_MB,
    MIB,
    RETRY_PAUSE_S,
    Crowd,
    SidecarTestCase,
    build_head,
    send_all,
)
from .test_uncontrolled_clients import LongAnswers

SMALL_MEMORY_MB = 80
# Within the longest head that callers may send.
IDENTIFIER_BYTES = 12 * 1024
IDENTIFIED_REQUESTS = 6000
IDENTIFIED_CLIENTS = 8
SENDERS = 60
SEND_ON_BYTES = 4 * MIB
SEND_TIMEOUT_S = 5.0
CALLERS_AT_ONCE = 110
REQUESTS_EACH = 20
WORK_S = 0.3
KERNEL_READERS = 80
# Shorter than what the kernel would take of an answer that is not read.
KERNEL_ANSWER_BYTES = 2 * MIB
# A body of which the kernel would take most while the backend server doesn't read.
UNREAD_BODY_BYTES = 3 * MIB
UNREAD_S = 3.0
UPLOADERS = 60
MANY_DESCRIPTORS = 4100
PEER_CONNECTIONS = 1000
PEER_BYTES = 60 * 1024


class IdentifierTests(SidecarTestCase):
    """What is remembered of a request must not depend on what its caller sent."""

    def test_long_identifiers_use_up_no_memory(self):
        sidecar = self.start(memory_mb=SMALL_MEMORY_MB, max_fds=MAX_DESCRIPTORS)
        crowd = Crowd(self, sidecar)
        numbers = itertools.count()
        lock = threading.Lock()

        def behave(sock):
            file = sock.makefile("rb")
            while True:
                with lock:
                    number = next(numbers)
                if number >= IDENTIFIED_REQUESTS:
                    return
                sock.sendall(build_identified_head(number))
                skip_answer(file)

        crowd.add(behave, IDENTIFIED_CLIENTS)
        crowd.join()
        self.assert_serves(sidecar)
        self.assertGreaterEqual(next(numbers), IDENTIFIED_REQUESTS)
        self.assert_bounded(sidecar, SMALL_MEMORY_MB, MAX_DESCRIPTORS)


class DescriptorTests(SidecarTestCase):
    """What a running request holds open must fit beside the connections."""

    def test_many_requests_at_once_use_up_no_descriptors(self):
        sidecar = self.start(memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
        sidecar.server.script = Script(work_s=WORK_S)
        crowd = Crowd(self, sidecar)

        def behave(sock):
            for _ in range(REQUESTS_EACH):
                sock.sendall(build_head("GET"))
                sock.recv(PIECE_BYTES)

        crowd.add(behave, CALLERS_AT_ONCE)
        self.check_crowd(sidecar, crowd)


class UnreadAnswerTests(SidecarTestCase):
    """Callers that send on and on must not keep out one that reads its answers."""

    def test_callers_that_send_on_without_reading_use_up_nothing(self):
        sidecar = self.start(memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
        sidecar.server.script = LongAnswers()
        crowd = Crowd(self, sidecar)

        def behave(sock):
            sock.settimeout(SEND_TIMEOUT_S)
            send_all(sock, build_head("GET", "X-Long: 1"), SEND_ON_BYTES)

        crowd.add(behave, SENDERS)
        self.assert_serves(sidecar)
        self.check_crowd(sidecar, crowd)


class KernelBufferTests(SidecarTestCase):
    """What lies in the buffers of sockets must be bounded as well."""

    def test_answers_that_are_not_read_use_up_no_memory_of_the_kernel(self):
        sidecar = self.start(memory_mb=MEMORY_MB, max_fds=MANY_DESCRIPTORS)
        sidecar.server.script = LongAnswers(KERNEL_ANSWER_BYTES)
        crowd = Crowd(self, sidecar)

        def behave(sock):
            request = build_head("GET", "X-Long: 1")
            sock.sendall(request)
            while b" 200 " not in sock.recv(PIECE_BYTES)[:16]:
                time.sleep(RETRY_PAUSE_S)
                sock.sendall(request)

        crowd.add(behave, KERNEL_READERS)
        crowd.join()
        self.assert_serves(sidecar)
        self.assert_bounded(sidecar, MEMORY_MB, MANY_DESCRIPTORS)
        self.assert_buffers_bounded(sidecar, MEMORY_MB)

    def test_bodies_that_the_backend_server_does_not_read_use_up_no_memory(self):
        sidecar = self.start(memory_mb=MEMORY_MB, max_fds=MANY_DESCRIPTORS)
        sidecar.server.script = Script(unread_s=UNREAD_S)
        crowd = Crowd(self, sidecar)
        head = build_head("POST", f"Content-Length: {UNREAD_BODY_BYTES}")

        def behave(sock):
            sock.sendall(head)
            send_all(sock, bytes(PIECE_BYTES), UNREAD_BODY_BYTES)
            receive_all(sock)

        crowd.add(behave, UPLOADERS)
        crowd.join()
        self.assert_serves(sidecar)
        self.assert_bounded(sidecar, MEMORY_MB, MANY_DESCRIPTORS)
        self.assert_buffers_bounded(sidecar, MEMORY_MB)

    def test_connections_for_other_nodes_use_up_no_memory_of_the_kernel(self):
        sidecar = self.start(memory_mb=SMALL_MEMORY_MB, max_fds=MANY_DESCRIPTORS)
        crowd = Crowd(self, sidecar, sidecar.peer_address)
        head = build_head("POST", f"Content-Length: {MIB}", build_order_line())

        def behave(sock):
            sock.sendall(head)
            if not send_all(sock, bytes(PIECE_BYTES), PEER_BYTES):
                receive_all(sock)

        crowd.add(behave, PEER_CONNECTIONS)
        crowd.join()
        self.assert_serves(sidecar)
        self.assert_bounded(sidecar, SMALL_MEMORY_MB, MANY_DESCRIPTORS)
        self.assert_buffers_bounded(sidecar, SMALL_MEMORY_MB)


def build_order_line():
    """Return the header line of an `Order` as other nodes send it."""
    order = Order("two", "i-near", "near", "far", "", True, 0, "r-near", 15.0, 1.0, 1.0)
    return f"{ORDER_HEADER}: {msgspec.json.encode(order).decode()}"


def build_identified_head(number):
    """Return the head of a request with a long identifier of its own."""
    identifier = f"{number:08d}".ljust(IDENTIFIER_BYTES, "x")
    return build_head("GET").replace(b": two", b": " + identifier.encode())


def skip_answer(file):
    """Read an answer with a length from a file.

    Raises:
        OSError: If there is none.
    """
    size = 0
    if not file.readline().startswith(b"HTTP/1.1 "):
        raise ConnectionError("the connection was closed")
    while (line := file.readline().lower()) not in (b"\r\n", b""):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    file.read(size)
