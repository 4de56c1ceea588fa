import testtools

from ...clocks import ManualClock
from ..connections import (
    IDLE_LIMIT_S,
    KEPT_PER_ADDRESS,
    SUSPICION_INTERVAL_S,
    BackendConnection,
    ConnectionPool,
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
        host, _, port = self.server.address.rpartition(":")
        connection = BackendConnection(
            self.server.address, host, int(port), self.clock.now()
        )
        connection.connect()
        self.addCleanup(connection.close)
        return connection

    def take(self, **options):
        return self.pool.take(self.server.address, **options)

    def test_latest_connection_is_taken_first(self):
        first, second = self.open(), self.open()
        self.pool.put(first)
        self.pool.put(second)
        self.assertEqual([second, first, None], [self.take() for _ in range(3)])

    def test_connection_idle_for_long_is_left(self):
        self.pool.put(self.open())
        self.clock.advance(IDLE_LIMIT_S + 1)
        self.assertIsNone(self.take())

    def test_connection_idle_for_a_while_is_kept_for_others(self):
        connection = self.open()
        self.pool.put(connection)
        self.clock.advance(2.0)
        self.assertIsNone(self.take(idle_s=1.0))
        self.assertIs(connection, self.take())

    def test_closed_connection_is_not_taken(self):
        connection = self.open()
        self.pool.put(connection)
        connection.close()
        self.assertIsNone(self.take())

    def test_purge_drops_connections_also_those_in_use(self):
        kept, used = self.open(), self.open()
        self.pool.put(kept)
        self.pool.purge(self.server.address)
        self.pool.put(used)
        self.assertIsNone(self.take())
        self.clock.advance(0.1)
        later = self.open()
        self.pool.put(later)
        self.assertIs(later, self.take())

    def test_distrust_keeps_connections_opened_since(self):
        old = self.open()
        self.clock.advance(1.0)
        new = self.open()
        self.pool.put(old)
        self.pool.put(new)
        self.pool.distrust(self.server.address, 100.5)
        self.assertEqual([new, None], [self.take(), self.take()])

    def test_connections_are_bounded(self):
        for _ in range(KEPT_PER_ADDRESS + 2):
            self.pool.put(self.open())
        taken = 0
        while self.take() is not None:
            taken += 1
        self.assertEqual(KEPT_PER_ADDRESS, taken)

    def test_connections_opened_after_a_purge_are_trusted_for_a_while(self):
        old = self.open()
        self.assertTrue(self.pool.may_suspect(old))
        self.pool.purge(self.server.address)
        self.assertTrue(self.pool.may_suspect(old))
        self.clock.advance(0.1)
        new = self.open()
        self.assertFalse(self.pool.may_suspect(new))
        self.clock.advance(SUSPICION_INTERVAL_S)
        self.assertTrue(self.pool.may_suspect(new))

    def test_connections_to_servers_that_left_are_dropped(self):
        self.pool.put(self.open())
        self.pool.retain(set())
        self.assertIsNone(self.take())
