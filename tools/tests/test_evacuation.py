import signal
import tempfile
import threading
import time

import testtools
import urllib3

from persimmonlane.platform.evacuations import build_evacuation_key
from persimmonlane.platform.settings import EVACUATIONS

from ..site import HOST, KEY, Site

EVACUATION_S = 5.0
CALLERS = 12
TIMEOUT_S = 30.0


class SuspendedVmTests(testtools.TestCase):
    """The process of a node that no other node can tell of the evacuation."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.site = Site(
            directory.name,
            ("prices",),
            ("south",),
            contracts=[EVACUATIONS],
            # Keyed requests would else be refused for the age of the document.
            bounds=["RevokeS=60"],
        )
        self.addCleanup(self.site.stop)
        self.site.start()
        (self.south,) = self.site.vms
        self.statuses = []

    def call(self, number=0):
        answer = urllib3.request(
            "GET",
            f"http://{self.south.callers}/prices/safe/",
            headers={
                "Host": HOST,
                "X-Request-Id": f"request-{number}",
                "X-Timeout-Ms": "20000",
                "X-Credential": KEY,
            },
            retries=False,
            timeout=TIMEOUT_S,
        )
        self.statuses.append(answer.status)
        return answer.status

    def test_resumed_node_sends_nothing_to_its_evacuated_server(self):
        # It finds callers waiting, and has not heard of the key.
        self.assertEqual(200, self.call())
        self.south.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.south.process.send_signal, signal.SIGCONT)
        state, key = self.site.store.state, build_evacuation_key("south")
        state.put(key, b"{}")
        before = len(self.south.server.requests)
        self.statuses.clear()
        callers = [
            threading.Thread(target=self.call, args=[number])
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(EVACUATION_S + 0.5)
        self.south.process.send_signal(signal.SIGCONT)
        for caller in callers:
            caller.join()
        self.assertEqual([503] * CALLERS, self.statuses)
        self.assertEqual(before, len(self.south.server.requests))
        state.remove(key)
        deadline = time.monotonic() + TIMEOUT_S
        while self.call() != 200 and time.monotonic() < deadline:
            time.sleep(0.1)
        self.assertEqual(200, self.statuses[-1])
