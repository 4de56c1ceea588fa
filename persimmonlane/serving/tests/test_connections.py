import testtools
import urllib3

from ...clocks import ManualClock
from ..connections import (
    IDLE_LIMIT_S,
    KEPT_PER_ADDRESS,
    ConnectionPool,
    KeptConnection,
)
from .scripted import ScriptedServer


class ConnectionPoolTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.pool = ConnectionPool(self.clock)
        self.server = ScriptedServer(())
        self.addCleanup(self.server.stop)

    def open(self):
        connection = KeptConnection(self.server.address, 20.0, self.clock.now())
        connection.connect()
        self.addCleanup(connection.close)
        return connection

    def take(self):
        return self.pool.take(self.server.address)

    def test_latest_connection_is_taken_first(self):
        first, second = self.open(), self.open()
        self.pool.put(first)
        self.pool.put(second)
        self.assertEqual([second, first, None], [self.take() for _ in range(3)])

    def test_connection_idle_for_long_is_left(self):
        self.pool.put(self.open())
        self.clock.advance(IDLE_LIMIT_S + 1)
        self.assertIsNone(self.take())

    def test_closed_connection_is_not_taken(self):
        connection = self.open()
        self.pool.put(connection)
        connection.close()
        self.assertIsNone(self.take())

    def test_connections_are_bounded(self):
        for _ in range(KEPT_PER_ADDRESS + 2):
            self.pool.put(self.open())
        taken = 0
        while self.take() is not None:
            taken += 1
        self.assertEqual(KEPT_PER_ADDRESS, taken)

    def test_connection_with_bytes_that_nobody_asked_for_is_not_taken(self):
        connection = self.open()
        self.pool.put(connection)
        self.server.send_to_all(b"x")
        self.assertTrue(urllib3.util.wait_for_read(connection.sock, timeout=20))
        self.assertIsNone(self.take())
