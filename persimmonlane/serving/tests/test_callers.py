import socket
import threading

import testtools

from ...clocks import ManualClock
from ..callers import CallerLeft, CallerWatch
from ..departure import NodeShutdown, Shutdown


class CallerWatchTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.caller, near = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(near.close)
        # As the servers set it: bytes are waited for in each recv.
        near.settimeout(600.0)
        self.shutdown = Shutdown(ManualClock())
        self.watch = CallerWatch(near, self.shutdown)

    def test_look_at_a_silent_caller_does_not_wait(self):
        looked = threading.Event()

        def look():
            self.watch.check()
            looked.set()

        threading.Thread(target=look, daemon=True).start()
        self.assertTrue(looked.wait(30))

    def test_caller_that_left_is_noticed(self):
        self.caller.close()
        self.assertRaises(CallerLeft, self.watch.check)

    def test_end_of_the_node_is_noticed(self):
        self.shutdown.end()
        self.assertRaises(NodeShutdown, self.watch.check)
        one, other = socket.socketpair()
        self.addCleanup(one.close)
        self.addCleanup(other.close)
        self.assertRaises(NodeShutdown, self.watch.wait, one, 30.0)
