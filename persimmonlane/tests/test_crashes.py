import concurrent.futures
import json

import testtools
from testtools.matchers import LessThan

from ..explaining.reading import CAUSES
from ..explaining.tests.test_events import capture_records
from ..owner.health import HealthState
from ..platform.documents import DOCUMENT_KEY
from ..standins.backend import Script
from ..standins.store import StoreStandin
from .test_sitenode import (
    Site,
    build_document,
    build_ip,
    find_port,
    socket,
    wait_until,
)

DEADLY = "/near/deadly"
SOUND = "/near/sound"
# So many backend servers may one request bring down, and be sent to once more each.
MAX_CRASHES = 3
DATA_CENTRES = ("south", "north")


class CrashSite(Site):
    """Nodes of two data centres, whose backend servers are all of one service."""

    def __init__(self, test, size):
        self.store = StoreStandin()
        self.store.start()
        test.addCleanup(self.store.stop)
        self.store.state.put(DOCUMENT_KEY, build_document())
        self.gossip_port = find_port(build_ip(1), socket.SOCK_DGRAM)
        self.nodes = {}
        self.servers = {}
        for number in range(size):
            self.add(
                test,
                f"node-{number}",
                build_ip(number + 2),
                "near",
                f"{number}",
                DATA_CENTRES[number % 2],
            )
        for server in self.servers.values():
            server.script = Script(deadly=(DEADLY,))

    def is_converged(self):
        others = len(self.nodes) - 1
        return all(
            node.is_ready()
            and sum(p.announcement.server.ready for p in node._table.list_live())
            == others
            for node, _ in self.nodes.values()
        )

    def count_crashes(self):
        return sum(server.has_crashed for server in self.servers.values())

    def count_runs(self, target):
        return sum(
            request[0] == target
            for server in self.servers.values()
            for request in server.requests
        )


class DeadlyRequestTests(testtools.TestCase):
    """A request that ends each backend server which begins to run it."""

    def setUp(self):
        super().setUp()
        self.site = CrashSite(self, 6)
        self.assertTrue(wait_until(self.site.is_converged))

    def call(self, key, target=DEADLY, request_id="one"):
        headers = {"X-Request-Id": request_id, "X-Timeout-Ms": "3000"}
        return self.site.call(target, key, headers)

    def test_request_that_comes_again_ends_no_more_than_three_servers(self):
        for number in range(12):
            self.call(f"{number % 6}", request_id=f"id-{number}")
        self.assertThat(self.site.count_crashes(), LessThan(MAX_CRASHES + 1))
        self.assertThat(self.site.count_runs(DEADLY), LessThan(2 * MAX_CRASHES + 1))
        answer = self.call("5", request_id="last")
        self.assertEqual(503, answer.status)
        self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertEqual("request-quarantined", json.loads(answer.data)["code"])
        self.assertThat(float(answer.headers["Retry-After"]), LessThan(3600.0))

    def test_requests_that_ran_beside_it_are_served_again(self):
        for server in self.site.servers.values():
            server.script.work_s = 0.3
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            beside = [
                pool.submit(self.call, f"{number % 6}", SOUND, f"sound-{number}")
                for number in range(6)
            ]
            for number in range(6):
                self.call(f"{number}", request_id=f"id-{number}")
        for future in beside:
            future.result()
        self.assertEqual(200, self.call("1", SOUND, "sound-last").status)

    def test_crash_is_no_evidence_against_the_server_that_comes_back(self):
        self.call("0", request_id="one")
        (key,) = [
            key
            for key, server in self.site.servers.items()
            if server.has_crashed and any(r[0] == DEADLY for r in server.requests)
        ][:1]
        node, _ = self.site.nodes[key]
        self.assertTrue(wait_until(lambda: not node.owner.is_ready()))
        self.site.start_server(self, key, "i-again", 200)
        self.assertTrue(wait_until(node.owner.is_ready))
        self.assertEqual(HealthState.HEALTHY, node.owner.detector.state)
        self.assertThat(node.owner.detector.risk.total, LessThan(0.1))

    def test_log_explains_what_became_of_the_request(self):
        records = capture_records(self)
        self.call("0", request_id="one")
        for number in range(3):
            self.call("5", request_id=f"id-{number}")
        events = [record for record in records if hasattr(record, "event")]
        implicated = [r for r in events if r.event == "request-implicated"]
        ends = {
            record.request: record
            for record in events
            if record.event == "request-ended"
        }
        self.assertIn("one", {record.request for record in implicated})
        self.assertEqual("server-crashed", ends["one"].code)
        self.assertEqual("request-quarantined", ends["id-2"].code)
        self.assertIn(implicated[0].fingerprint, ends["id-2"].reason)
        for code in ("server-crashed", "request-implicated", "request-quarantined"):
            self.assertIn(code, CAUSES)

    def test_sound_request_is_not_refused_after_servers_have_ended(self):
        for key in ("0", "1", "2"):
            self.site.servers[key].crash()
        for number in range(6):
            answer = self.call("5", SOUND, f"sound-{number}")
            self.assertEqual(200, answer.status)
