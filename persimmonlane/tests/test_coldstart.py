import concurrent.futures
import json
import time

import testtools
import urllib3
from testtools.matchers import GreaterThan

from ..platform.documents import DOCUMENT_KEY
from ..standins.backend import Script
from .test_sitenode import Site, build_document, wait_until

RATE = 4.0
# With the settings' defaults no more than the rate in a second.
BOUND = 4
COLD_S = 3.0
CALLERS = 12
SHORT = {"X-Timeout-Ms": "1000"}


def build_cold_document(rate):
    """Return a document in which the service `far` has a rate while cold."""
    document = json.loads(build_document(version=8))
    for resource in document["Resources"]:
        if resource["Metadata"]["Name"] == "far":
            resource["Spec"].update({"ColdStartS": COLD_S, "ColdPerS": rate})
    return json.dumps(document).encode()


class ColdServerTests(testtools.TestCase):
    """Guards against a cold server that crashes under requests of several nodes."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.site.store.state.put(DOCUMENT_KEY, build_cold_document(RATE))
        self.assertTrue(wait_until(self.site.is_converged))
        self.assertTrue(wait_until(self.has_rate))
        self.server = self.site.servers["far"]
        self.server.script = Script(work_s=0.02)
        self.control = self.site.nodes["far"][1].heartbeat_address

    def has_rate(self):
        return all(
            node.documents.rulebook.find_cold_start("far").rate == RATE
            for node, _ in self.site.nodes.values()
        )

    def is_warm(self):
        cold = self.site.nodes["far"][0].owner.admission_queue.cold
        return not cold.is_assumed_cold

    def run_load(self, seconds, disturb=lambda: None):
        """Send requests from both nodes; return their statuses."""
        ends_at = time.monotonic() + seconds

        def call(number):
            service = ("near", "far")[number % 2]
            statuses = []
            while time.monotonic() < ends_at:
                try:
                    answer = self.site.call("/far/", service, SHORT, method="POST")
                    statuses.append(answer.status)
                except urllib3.exceptions.HTTPError:
                    statuses.append(0)
                time.sleep(0.02)
            return statuses

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            calls = [pool.submit(call, number) for number in range(CALLERS)]
            time.sleep(0.5)
            disturb()
            return [status for item in calls for status in item.result()]

    def check_survived(self):
        self.assertFalse(self.server.has_crashed, self.server.cold_requests)
        self.assertThat(len(self.server.cold_requests), GreaterThan(0))

    def test_server_that_turns_cold_between_heartbeats_survives(self):
        self.assertTrue(wait_until(self.is_warm))
        statuses = self.run_load(2.5, lambda: self.server.turn_cold(COLD_S, BOUND))
        self.check_survived()
        self.assertEqual({200, 503}, set(statuses))

    def test_cold_server_survives_a_restart_of_its_node(self):
        self.server.turn_cold(3 * COLD_S, BOUND)
        node, _ = self.site.nodes["far"]

        def restart():
            node.stop()
            self.site.restart_node(self, "far")
            self.assertTrue(wait_until(lambda: self.site.is_node_ready("far")))

        self.run_load(4.0, restart)
        self.check_survived()
