import concurrent.futures
import time

import testtools
from testtools.matchers import LessThan

from ..standins.backend import Script
from .test_sitenode import Site, wait_until

LIMIT = 1.0
# What the platform grants, beside the limit.
OVER = 1.5
SLACK = 5
CALLS = 24
SHORT = {"X-Timeout-Ms": "1000"}


class LimitTests(testtools.TestCase):
    """A backend server gets no more than the limit that it names in its answers."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))
        self.server = self.site.servers["far"]
        self.server.script = Script(headers=(("Server-Limit", str(LIMIT)),))
        self.statuses = []

    def call_from_both_nodes(self):
        for number in range(CALLS):
            service = ("near", "far")[number % 2]
            answer = self.site.call("/far/", service, SHORT, method="POST", body=b"x")
            self.statuses.append(answer.status)

    def restart_node_beside_the_server(self):
        self.server.slots = CALLS
        node, _ = self.site.nodes["far"]
        node.stop()
        self.site.restart_node(self, "far")
        self.assertTrue(wait_until(self.site.is_converged))

    def count_allowed(self, began):
        return OVER * LIMIT * (time.monotonic() - began) + SLACK

    def test_limit_holds_for_all_nodes_together(self):
        self.assertEqual(200, self.site.call("/far/", method="POST").status)
        began, before = time.monotonic(), len(self.server.requests)
        self.call_from_both_nodes()
        got = len(self.server.requests) - before
        self.assertThat(got, LessThan(self.count_allowed(began)))
        self.assertEqual({200, 503}, set(self.statuses))

    def test_limit_holds_after_a_restart_of_the_node_beside_the_server(self):
        self.assertEqual(200, self.site.call("/far/", method="POST").status)
        self.restart_node_beside_the_server()
        self.server.script = Script(work_s=0.25, headers=self.server.script.headers)
        began, before = time.monotonic(), len(self.server.requests)
        with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
            for _ in range(CALLS):
                pool.submit(self.site.call, "/far/", "near", SHORT, method="POST")
        got = len(self.server.requests) - before
        self.assertThat(got, LessThan(self.count_allowed(began)))


class LeavingTests(testtools.TestCase):
    """A backend server that says it is leaving gets no new requests."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))
        self.server = self.site.servers["far"]
        self.server.script = Script(headers=(("Server-Leaving", "1"),))
        self.assertEqual(200, self.site.call("/far/", method="POST").status)

    def test_leaving_server_gets_no_further_request(self):
        for service in ("near", "far"):
            answer = self.site.call("/far/", service, SHORT, method="POST")
            self.assertEqual(503, answer.status)
            self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertEqual(1, len(self.server.requests))

    def test_late_heartbeat_does_not_bring_a_leaving_server_back(self):
        _, settings = self.site.nodes["far"]
        self.server.send_heartbeat(settings.heartbeat_address)
        self.site.call("/far/", "near", SHORT, method="POST")
        self.assertEqual(1, len(self.server.requests))

    def test_restarted_node_does_not_bring_a_leaving_server_back(self):
        node, _ = self.site.nodes["far"]
        node.stop()
        self.site.restart_node(self, "far")
        self.assertTrue(wait_until(self.site.is_converged))
        self.site.call("/far/", "near", SHORT, method="POST")
        self.assertEqual(1, len(self.server.requests))
