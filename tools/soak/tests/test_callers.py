import socket
import threading
import types

import testtools

from ..callers import Caller, encode_body
from ..plan import CallerStyle, Request, draw_plan
from ..records import ExchangeEnd, Process

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
REQUEST_BYTES = 100_000


class OneShotServer:
    """Accepts one connection, reads up to a marker, responds and closes."""

    def __init__(self, mark, answer):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.mark = mark
        self.answer = answer
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            data = b""
            while self.mark not in data:
                data += connection.recv(1 if self.mark == b"P" else REQUEST_BYTES)
            if self.mark == b"P":
                # The rest is received but left unread, so that the close sends a reset.
                while not connection.recv(REQUEST_BYTES, socket.MSG_PEEK).endswith(
                    b"0\r\n\r\n"
                ):
                    pass
            connection.sendall(self.answer)
            connection.shutdown(socket.SHUT_RDWR)

    def stop(self):
        self.listener.close()
        self.thread.join()


class OneVmFleet:
    """Stand-in for a fleet of one VM."""

    def __init__(self, address):
        self.process = Process("vm-1")
        vm = types.SimpleNamespace(callers=address)
        self.site = types.SimpleNamespace(vms=[vm])

    def get_process(self, index):
        return self.process

    def find_ready(self):
        return [0]


class OneRequestPlan:
    """Plan that draws only one kind of request."""

    seed = 1
    timeout_s = 8.0

    def __init__(self, body_bytes):
        self.body_bytes = body_bytes

    def draw_request(self, rng):
        request = Request()
        request.method, request.service, request.unsafe = "POST", "prices", True
        request.body_bytes, request.chunked = self.body_bytes, True
        request.caller_timeout_s, request.work_s = 5.0, 0.0
        return request


class CallerTests(testtools.TestCase):
    def exchange(self, mark, answer, slow=False):
        server = OneShotServer(mark, answer)
        self.addCleanup(server.stop)
        style = draw_plan(1, 16.0).callers[0]
        style.vm, style.keeps_alive, style.delays_body = 0, True, False
        style.slow_reader, style.pause_s = slow, (0.0, 0.0)
        ended = threading.Event()
        caller = Caller(
            1, OneRequestPlan(200), style, OneVmFleet(server.address), ended
        )
        caller.start()
        server.thread.join()
        server.listener.close()
        ended.set()
        caller.join()
        return caller.exchanges[0]

    def test_whole_answer(self):
        for slow in (False, True):
            exchange = self.exchange(b"0\r\n\r\n", ANSWER, slow)
            self.assertEqual(
                (ExchangeEnd.ANSWERED, 200), (exchange.end, exchange.status)
            )
            self.assertTrue(exchange.started <= exchange.sent <= exchange.ended)
            self.assertTrue(exchange.is_first)

    def test_answer_that_ends_early(self):
        for slow in (False, True):
            for end in (-1, -5, 9):
                exchange = self.exchange(b"0\r\n\r\n", ANSWER[:end], slow)
                self.assertEqual(ExchangeEnd.TRUNCATED, exchange.end)

    def test_connection_that_is_closed_after_the_whole_request_was_read(self):
        exchange = self.exchange(b"0\r\n\r\n", b"")
        self.assertEqual(ExchangeEnd.CLOSED, exchange.end)
        self.assertIsNotNone(exchange.sent)

    def test_connection_that_is_closed_before_the_request_was_read(self):
        exchange = self.exchange(b"P", b"")
        self.assertEqual(ExchangeEnd.RESET, exchange.end)

    def test_chunks_hold_the_whole_body(self):
        request = OneRequestPlan(40_000).draw_request(None)
        body = encode_body(request)
        self.assertEqual(40_000, body.count(b"x"))
        self.assertTrue(body.endswith(b"0\r\n\r\n"))


class StyleTests(testtools.TestCase):
    def test_styles_vary(self):
        callers = [c for seed in range(20) for c in draw_plan(seed, 16.0).callers]
        for name in CallerStyle.__slots__:
            self.assertTrue(len({getattr(caller, name) for caller in callers}) > 1)
