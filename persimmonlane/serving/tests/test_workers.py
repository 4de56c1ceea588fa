import socket
import threading
import time
from unittest import mock

import cheroot.server
import testtools

from ..servers import NodeHTTPServer
from ..workers import WorkerPool
from .scripted import read_all

TIMEOUT_S = 30.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.005)
    return False


class PoolTests(testtools.TestCase):
    """The pool on its own, with numbers instead of connections."""

    def setUp(self):
        super().setUp()
        self.served = []
        self.gate = threading.Event()

    def start_pool(self, serve, max_workers, idle_timeout_s=TIMEOUT_S):
        pool = WorkerPool(serve, 1, max_workers)
        pool.idle_timeout_s = idle_timeout_s
        self.addCleanup(pool.stop, TIMEOUT_S)
        self.addCleanup(self.gate.set)
        pool.start()
        return pool

    def serve_after_gate(self, number):
        self.gate.wait(TIMEOUT_S)
        self.served.append(number)

    def test_pool_grows_with_the_queue_up_to_the_maximum(self):
        pool = self.start_pool(self.serve_after_gate, 4)
        self.assertEqual(1, pool.size)
        for number in range(1, 7):
            pool.put(number)
            self.assertEqual(min(4, number), pool.size)
        self.assertTrue(wait_until(lambda: pool.qsize == 2))
        self.gate.set()
        self.assertTrue(wait_until(lambda: len(self.served) == 6))
        self.assertEqual(4, pool.size)

    def test_idle_workers_are_used_before_new_ones(self):
        pool = self.start_pool(self.served.append, 4)
        for number in range(50):
            self.assertTrue(wait_until(lambda: pool.idle == 1))
            pool.put(number)
        self.assertTrue(wait_until(lambda: len(self.served) == 50))
        self.assertEqual(1, pool.size)

    def test_idle_workers_end_down_to_the_minimum(self):
        pool = self.start_pool(self.serve_after_gate, 8, idle_timeout_s=0.01)
        for number in range(8):
            pool.put(number)
        self.assertEqual(8, pool.size)
        self.gate.set()
        self.assertTrue(wait_until(lambda: pool.size == 1))
        pool.put(8)
        self.assertTrue(wait_until(lambda: len(self.served) == 9))

    def test_each_connection_is_served_once_while_workers_start_and_end(self):
        pool = self.start_pool(self.served.append, 8, idle_timeout_s=0.0001)

        def put_many(start):
            for number in range(start, start + 1000):
                pool.put(number)
                if number % 5 == 0:
                    time.sleep(0.0002)

        putters = [threading.Thread(target=put_many, args=(n * 1000,)) for n in (0, 1)]
        for putter in putters:
            putter.start()
        for putter in putters:
            putter.join()
        self.assertTrue(wait_until(lambda: len(self.served) >= 2000))
        self.assertEqual(list(range(2000)), sorted(self.served))

    def test_connection_is_queued_again_if_serve_returns_true(self):
        rounds = []

        def serve(number):
            rounds.append(number)
            return len(rounds) < 5

        pool = self.start_pool(serve, 4)
        pool.put(3)
        self.assertTrue(wait_until(lambda: pool.idle == 1 and rounds))
        self.assertEqual([3] * 5, rounds)

    def test_existing_workers_serve_if_no_thread_can_be_started(self):
        pool = self.start_pool(self.serve_after_gate, 8)
        failure = mock.Mock(side_effect=RuntimeError("can't start new thread"))
        with mock.patch.object(threading.Thread, "start", failure):
            for number in range(4):
                pool.put(number)
            self.assertEqual(1, pool.size)
            self.gate.set()
            self.assertTrue(wait_until(lambda: len(self.served) == 4))
        self.gate.clear()
        for number in range(4, 8):
            pool.put(number)
        self.assertEqual(4, pool.size)
        self.gate.set()
        self.assertTrue(wait_until(lambda: len(self.served) == 8))

    def test_pool_without_any_thread_recovers(self):
        pool = WorkerPool(self.served.append, 1, 2)
        self.addCleanup(pool.stop, TIMEOUT_S)
        failure = mock.Mock(side_effect=RuntimeError("can't start new thread"))
        with mock.patch.object(threading.Thread, "start", failure):
            pool.start()
            pool.put(1)
        self.assertEqual(0, pool.size)
        pool.grow()
        self.assertTrue(wait_until(lambda: self.served == [1]))

    def test_stop_serves_the_queue_and_ends_all_workers(self):
        pool = self.start_pool(self.serve_after_gate, 2)
        for number in range(6):
            pool.put(number)
        pool.stop(0.01)
        self.gate.set()
        self.assertTrue(wait_until(lambda: pool.size == 0))
        self.assertEqual(list(range(6)), sorted(self.served))


class ServerThreadsTests(testtools.TestCase):
    """The number of threads of a server on loopback."""

    def setUp(self):
        super().setUp()
        self.gate = threading.Event()
        self.running = threading.Semaphore(0)

    def start_server(self, threads):
        server = NodeHTTPServer("127.0.0.1:0", self.build_gateway, threads)
        server.start_in_background()
        self.addCleanup(server.stop)
        self.addCleanup(self.gate.set)
        return server

    def build_gateway(self, request):
        gateway = cheroot.server.Gateway(request)
        gateway.respond = lambda: self.respond(request)
        return gateway

    def respond(self, request):
        self.running.release()
        self.gate.wait(TIMEOUT_S)
        request.status = b"200 OK"
        request.outheaders = [(b"Content-Length", b"2")]
        request.ensure_headers_sent()
        request.write(b"ok")

    def send(self, server):
        sock = socket.create_connection(server.bind_addr, TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        return sock

    def test_idle_server_has_few_threads(self):
        before = threading.active_count()
        self.start_server(40)
        self.assertLessEqual(threading.active_count() - before, 2)

    def test_each_request_gets_a_thread_up_to_the_maximum(self):
        server = self.start_server(12)
        socks = [self.send(server) for _ in range(15)]
        for _ in range(12):
            self.assertTrue(self.running.acquire(timeout=TIMEOUT_S))
        self.assertTrue(wait_until(lambda: server.requests.qsize == 3))
        self.gate.set()
        for sock in socks:
            self.assertTrue(read_all(sock).endswith(b"ok"))
