import socket
import threading

import testtools

from ...clocks import ManualClock
from ..callers import CallerDisconnected, CallerWatch
from ..shutdown import NodeShutdown, Shutdown


class CallerWatchTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.caller, server_side = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(server_side.close)
        # The servers set a timeout as well; with it each recv waits for data.
        server_side.settimeout(600.0)
        self.shutdown = Shutdown(ManualClock())
        self.watch = CallerWatch(server_side, self.shutdown)

    def test_check_of_a_silent_caller_does_not_wait(self):
        checked = threading.Event()

        def check_caller():
            self.watch.check()
            checked.set()

        threading.Thread(target=check_caller, daemon=True).start()
        self.assertTrue(checked.wait(30))

    def test_disconnect_is_detected(self):
        self.caller.close()
        self.assertRaises(CallerDisconnected, self.watch.check)

    def test_end_of_the_node_is_detected(self):
        self.shutdown.end()
        self.assertRaises(NodeShutdown, self.watch.check)
        one, other = socket.socketpair()
        self.addCleanup(one.close)
        self.addCleanup(other.close)
        self.assertRaises(NodeShutdown, self.watch.wait, one, 30.0)
