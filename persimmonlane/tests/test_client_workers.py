"""Clients that misbehave must not keep all workers of a `persimmon-sidecar`.

Each test connects a crowd of several times the number of workers that goes on sending a
little at a time, too much to count as stalled, and comes again when it is refused. An
ordinary request must be answered while the crowd is there.
"""

import contextlib
import threading

from ..nodeservers import CALLER_THREADS
from .crowds import CHUNKED_HEAD, Crowd, SidecarTestCase, build_head

CLIENTS = 5 * CALLER_THREADS
# Longer than what is sent within the time limit of the requests.
BODY_BYTES = 400_000
# 16 KB/s, twice the rate below which a request counts as stalled.
DRIP_BYTES = 4 * 1024
DRIP_INTERVAL_S = 0.25
SETTLE_S = 2.0
WHOLE_REQUEST = build_head("GET")
LONG_HEAD = build_head("POST", f"Content-Length: {BODY_BYTES}")


class SlowBodyTests(SidecarTestCase):
    def setUp(self):
        super().setUp()
        self.sidecar = self.start()
        self.crowd = Crowd(self, self.sidecar)
        self.has_ended = threading.Event()
        self.addCleanup(self.has_ended.set)

    def check(self, start, piece):
        """Check that a request is answered beside clients that send pieces slowly.

        Args:
            start: Bytes that each client sends first.
            piece: Bytes that it sends again and again.
        """
        piece *= max(1, DRIP_BYTES // len(piece))

        def drip(sock):
            with contextlib.suppress(OSError):
                sock.sendall(start)
                while not self.has_ended.wait(DRIP_INTERVAL_S):
                    sock.sendall(piece)

        def behave(sock):
            drip(sock)
            while not self.has_ended.wait(DRIP_INTERVAL_S):
                with contextlib.closing(self.sidecar.connect()) as sock:
                    drip(sock)

        self.crowd.add(behave, CLIENTS)
        self.has_ended.wait(SETTLE_S)
        self.assert_serves(self.sidecar)
        self.assertIsNone(self.sidecar.process.poll())
        self.has_ended.set()
        self.crowd.leave()
        self.assert_serves(self.sidecar)

    def test_long_bodies(self):
        self.check(LONG_HEAD, b"x")

    def test_bodies_that_the_node_is_asked_to_await(self):
        head = build_head(
            "POST", f"Content-Length: {BODY_BYTES}", "Expect: 100-continue"
        )
        self.check(head, b"x")

    def test_chunks_that_look_like_the_end_of_a_body(self):
        chunk = b"4\r\n\r\n\r\n\r\n"
        self.check(CHUNKED_HEAD + chunk, chunk)

    def test_bodies_behind_a_whole_request(self):
        self.check(WHOLE_REQUEST + LONG_HEAD, b"x")
