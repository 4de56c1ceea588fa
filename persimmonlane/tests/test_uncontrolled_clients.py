"""Clients that nobody controls, against a `persimmon-sidecar` with lowered limits.

Each test starts the process beside stand-ins of the store and of its backend server,
and connects a small crowd of clients to it. The bounds are those of its own settings.
"""

import threading

from ..platform.settings import LimitSettings
from ..standins.backend import Script
from ..standins.clients import PIECE_BYTES, receive_all
from .crowds import (
    CHUNKED_HEAD,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    MIB,
    Crowd,
    SidecarTestCase,
    build_head,
    send_all,
)

# The smallest VM of the deployments.
CALM_MEMORY_MB = 200
MAX_BODY_BYTES = 64 * MIB

ENDLESS_CLIENTS = 8
ENDLESS_BYTES = 48 * MIB
UPLOADS = 14
UPLOAD_BYTES = 24 * MIB
# Of the uploads that come piece by piece, those that come whole.
WHOLE_UPLOADS = 3
MISSING_BYTES = 100
SLOW_READERS = 80
ANSWER_BYTES = 12 * MIB
SLOW_READER_BUFFER_BYTES = 4096
SILENT_CONNECTIONS = 200
HALF_HEADS = 200
UPLOAD_HEAD = build_head("POST", f"Content-Length: {UPLOAD_BYTES}")


class CrowdTests(SidecarTestCase):
    """A crowd must neither end the process nor keep it from its other callers."""

    def setUp(self):
        super().setUp()
        self.sidecar = self.start(memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
        self.crowd = Crowd(self, self.sidecar)

    def send_endlessly(self, start, piece):
        """Return what a client does that sends a piece again and again."""

        def behave(sock):
            sock.sendall(CHUNKED_HEAD + start)
            if not send_all(sock, piece * (PIECE_BYTES // len(piece)), ENDLESS_BYTES):
                receive_all(sock)

        return behave

    def test_endless_trailers_use_up_no_memory(self):
        self.crowd.add(self.send_endlessly(b"0\r\nX-T: ", b"x"), ENDLESS_CLIENTS)
        self.crowd.add(self.send_endlessly(b"0\r\n", b"X-T: x\r\n"), ENDLESS_CLIENTS)
        self.check_crowd(self.sidecar, self.crowd)

    def test_endless_chunk_size_lines_use_up_no_memory(self):
        self.crowd.add(self.send_endlessly(b"", b"0"), ENDLESS_CLIENTS)
        self.crowd.add(self.send_endlessly(b"5;", b"x"), ENDLESS_CLIENTS)
        self.check_crowd(self.sidecar, self.crowd)

    def test_many_whole_large_bodies_use_up_no_memory(self):
        def behave(sock):
            sock.sendall(UPLOAD_HEAD)
            send_all(sock, bytes(PIECE_BYTES), UPLOAD_BYTES)
            receive_all(sock)

        self.crowd.add(behave, UPLOADS)
        self.assert_serves(self.sidecar)
        self.check_crowd(self.sidecar, self.crowd)

    def test_many_large_bodies_that_stop_short_use_up_no_memory(self):
        def behave(sock, missing=MISSING_BYTES):
            sock.sendall(UPLOAD_HEAD)
            send_all(sock, bytes(PIECE_BYTES), UPLOAD_BYTES - missing)

        def send_whole(sock):
            behave(sock, 0)
            receive_all(sock)

        self.crowd.add(behave, UPLOADS - WHOLE_UPLOADS)
        self.crowd.add(send_whole, WHOLE_UPLOADS)
        self.check_crowd(self.sidecar, self.crowd)

    def test_many_slow_readers_of_long_answers_use_up_no_memory(self):
        self.sidecar.server.script = LongAnswers()

        def behave(sock):
            sock.sendall(build_head("GET", "X-Long: 1"))
            sock.recv(1)

        self.crowd.add(behave, SLOW_READERS, SLOW_READER_BUFFER_BYTES)
        self.check_crowd(self.sidecar, self.crowd)

    def test_many_silent_connections_use_up_no_descriptors(self):
        self.crowd.add(lambda sock: None, SILENT_CONNECTIONS)
        self.crowd.add(lambda sock: sock.sendall(UPLOAD_HEAD[:-4]), HALF_HEADS)
        self.check_crowd(self.sidecar, self.crowd)

    def test_many_bodies_that_do_not_come_use_up_no_workers(self):
        def behave(sock):
            sock.sendall(build_head("POST", "Content-Length: 1000"))

        self.crowd.add(behave, HALF_HEADS)
        self.check_crowd(self.sidecar, self.crowd)


class LongAnswers(Script):
    """Answers requests that have the header X-Long with a long body, others briefly."""

    __slots__ = ("_long", "_is_long")

    def __init__(self, size=ANSWER_BYTES):
        super().__init__()
        self._long = bytes(size)
        self._is_long = threading.local()

    @property
    def body(self):
        return self._long if getattr(self._is_long, "value", False) else b"whole"

    @body.setter
    def body(self, value):
        pass

    def get_work_s(self, headers):
        self._is_long.value = "x-long" in headers
        return 0.0


class CalmTests(SidecarTestCase):
    """What a single caller within the documented limits may send is served."""

    def test_body_of_the_greatest_size_is_served_on_the_smallest_vm(self):
        sidecar = self.start(memory_mb=CALM_MEMORY_MB)
        self.assertEqual(200, sidecar.call("POST", bytes(MAX_BODY_BYTES)))
        (_, _, body) = sidecar.server.requests[-1]
        self.assertEqual(MAX_BODY_BYTES, len(body))
        self.assert_bounded(sidecar, CALM_MEMORY_MB, LimitSettings().max_fds)

    def test_long_chunk_is_served(self):
        sidecar = self.start(memory_mb=CALM_MEMORY_MB)
        size = 3 * MIB
        with sidecar.connect() as sock:
            sock.sendall(CHUNKED_HEAD + b"%x\r\n" % size)
            send_all(sock, b"a" * PIECE_BYTES, size)
            sock.sendall(b"\r\n0\r\n\r\n")
            self.assertTrue(sock.recv(PIECE_BYTES).startswith(b"HTTP/1.1 200 "))
        (_, _, body) = sidecar.server.requests[-1]
        self.assertEqual(b"a" * size, body)

    def test_many_headers_are_served(self):
        sidecar = self.start(memory_mb=CALM_MEMORY_MB)
        headers = {f"X-N{number}": "v" for number in range(300)}
        self.assertEqual(200, sidecar.call(headers=headers))
        (_, received, _) = sidecar.server.requests[-1]
        self.assertEqual("v", received["x-n299"])
