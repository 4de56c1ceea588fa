import testtools
import urllib3

from ...clocks import ManualClock
from ..connections import (
    IDLE_TIMEOUT_S,
    MAX_IDLE_PER_ADDRESS,
    ConnectionPool,
    KeepAliveConnection,
)
from .scripted import ScriptedServer


class ConnectionPoolTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.pool = ConnectionPool(self.clock)
        self.server = ScriptedServer(())
        self.addCleanup(self.server.stop)

    def open_connection(self):
        connection = KeepAliveConnection(self.server.address, 20.0, self.clock.now())
        connection.connect()
        self.addCleanup(connection.close)
        return connection

    def take_connection(self):
        return self.pool.take(self.server.address, "next")

    def test_last_used_connection_is_taken_first(self):
        first, second = self.open_connection(), self.open_connection()
        self.pool.put(first)
        self.pool.put(second)
        self.assertEqual(
            [second, first, None], [self.take_connection() for _ in range(3)]
        )

    def test_connection_that_answered_the_same_request_is_left(self):
        first, second = self.open_connection(), self.open_connection()
        second.answered_ids.append("next")
        self.pool.put(first)
        self.pool.put(second)
        self.assertIs(first, self.take_connection())
        self.assertIsNone(self.take_connection())
        self.assertIs(second, self.pool.take(self.server.address, "another"))

    def test_connection_past_its_idle_timeout_is_not_taken(self):
        self.pool.put(self.open_connection())
        self.clock.advance(IDLE_TIMEOUT_S + 1)
        self.assertIsNone(self.take_connection())

    def test_closed_connection_is_not_taken(self):
        connection = self.open_connection()
        self.pool.put(connection)
        connection.close()
        self.assertIsNone(self.take_connection())

    def test_idle_connections_per_address_are_bounded(self):
        for _ in range(MAX_IDLE_PER_ADDRESS + 2):
            self.pool.put(self.open_connection())
        taken_count = 0
        while self.take_connection() is not None:
            taken_count += 1
        self.assertEqual(MAX_IDLE_PER_ADDRESS, taken_count)

    def test_idle_connections_to_all_addresses_are_bounded(self):
        self.pool = ConnectionPool(self.clock, max_idle=3)
        connections = [self.open_connection() for _ in range(5)]
        for number, connection in enumerate(connections):
            connection.address = f"127.0.0.1:{number + 1}"
            self.pool.put(connection)
        self.assertEqual(
            [True, True, False, False, False],
            [connection.sock is None for connection in connections],
        )

    def test_connection_with_unsolicited_data_is_not_taken(self):
        connection = self.open_connection()
        self.pool.put(connection)
        self.server.send_to_all(b"x")
        self.assertTrue(urllib3.util.wait_for_read(connection.sock, timeout=20))
        self.assertIsNone(self.take_connection())
