import queue
import types

import testtools

from ...clocks import SystemClock
from ...serving.connections import ConnectionPool
from ...serving.tests.scripted import ScriptedServer
from ..newcomers import Condition
from ..statuscheck import StatusCheck

PATIENCE_S = 20.0
FIELDS = b"X-Instance-Id: i-1\r\nX-Cold-Ms: 500\r\n"


class StatusCheckTests(testtools.TestCase):
    def ask(self, answer):
        """Return the `ServerStatement` that is read from an answer."""
        server = ScriptedServer([[answer, ScriptedServer.CLOSE]])
        self.addCleanup(server.stop)
        clock = SystemClock()
        settings = types.SimpleNamespace(server=server.address)
        statements = queue.Queue()
        check = StatusCheck(settings, clock, ConnectionPool(clock))
        check.begin("/status", statements.put)
        return statements.get(timeout=PATIENCE_S)

    def test_statement_of_a_valid_answer_is_read(self):
        for line in (b"", b"X-Odd: \xe9\r\n"):
            statement = self.ask(b"HTTP/1.1 200 OK\r\n" + line + FIELDS + b"\r\n")
            self.assertEqual(Condition.WELL, statement.condition)
            self.assertEqual(("i-1", 0.5), (statement.server_id, statement.cold_s))

    def test_statement_of_a_malformed_answer_is_not_believed(self):
        # What it says behind the malformed line is lost: here, that it is cold.
        for status in (b"200 OK", b"503 Unavailable"):
            for line in (b"X Bad: 1\r\n", b"X\x01Bad: 1\r\n", b" folded\r\n"):
                head = b"HTTP/1.1 " + status + b"\r\nX-Instance-Id: i-1\r\n"
                statement = self.ask(head + line + b"X-Cold-Ms: 500\r\n\r\n")
                self.assertEqual(Condition.UNKNOWN, statement.condition)
                self.assertEqual("", statement.server_id)
