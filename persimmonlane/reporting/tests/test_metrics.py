import socket

import testtools

from persimmonlane import invariants
from persimmonlane.reporting import metrics


class MetricsTest(testtools.TestCase):
    def open_server(self):
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        return server, f"127.0.0.1:{server.getsockname()[1]}"

    def test_sends_to_statsd(self):
        server, address = self.open_server()
        sender = metrics.create_metrics(address, "persimmon.n1")
        sender.count("requests", 2)
        self.assertEqual(b"persimmon.n1.requests:2|c", server.recv(100))
        sender.time("latency", 0.25)
        self.assertEqual(b"persimmon.n1.latency:250.000000|ms", server.recv(100))

    def test_a_dead_server_neither_blocks_nor_fails(self):
        server, address = self.open_server()
        server.close()
        sender = metrics.create_metrics(address, "persimmon.n1")
        for _ in range(20000):
            sender.count("requests")

    def test_without_an_address_nothing_is_sent(self):
        sender = metrics.create_metrics(None, "persimmon.n1")
        sender.count("requests")
        sender.gauge("servers", 3)
        sender.time("latency", 0.1)

    def test_a_broken_invariant_is_counted(self):
        server, address = self.open_server()
        self.addCleanup(setattr, invariants.monitor, "listener", None)
        metrics.count_invariants(metrics.create_metrics(address, "p"))
        self.assertRaises(
            invariants.InvariantError,
            invariants.check_invariant,
            "floor",
            False,
            "seen",
        )
        self.assertEqual(b"p.invariants.floor:1|c", server.recv(100))
