import contextlib
import json
import os
import socket
import threading
import time

import testtools
import urllib3

from ..application import Application
from ..explaining.tests.test_events import keep_records
from ..fleetsettings import FleetSettings
from ..platform.documents import DOCUMENT_KEY
from ..sitenode import SiteNode
from ..standins.backend import BackendStandin, Script
from ..standins.store import StoreStandin

PATIENCE_S = 30.0
KEY = "key-of-census"


NETWORK_HOSTS = 254
given_ports = set()


def build_ip(number):
    """Return a loopback address that other processes' tests do not bind."""
    network = os.getpid() % NETWORK_HOSTS**2
    high, low = divmod(network, NETWORK_HOSTS)
    return f"127.{high + 1}.{low + 1}.{number}"


def find_port(host, kind=socket.SOCK_STREAM):
    """Return a free port that was not returned before."""
    while True:
        with contextlib.closing(socket.socket(socket.AF_INET, kind)) as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port not in given_ports:
            given_ports.add(port)
            return port


def await_true(question):
    ends = time.monotonic() + PATIENCE_S
    while time.monotonic() < ends:
        if question():
            return True
        time.sleep(0.02)
    return False


def list_events(records):
    return [record for record in records if hasattr(record, "event")]


def build_document(version=7, keys=(KEY,)):
    def route(name, prefix, service, kind, attempts):
        spec = {
            "Host": "shop.example",
            "Prefix": prefix,
            "Kind": kind,
            "TimeoutS": 20,
            "Service": service,
            "MaxAttempts": attempts,
        }
        return {"Type": "Routes", "Metadata": {"Name": name}, "Spec": spec}

    tenant = {"ApiKeys": list(keys), "RatePerS": 1000, "Burst": 1000}
    rows = [
        route("r-far", "/far/", "far", "unsafe", 2),
        route("r-near", "/near/", "near", "safe", 2),
        {"Type": "Tenants", "Metadata": {"Name": "census"}, "Spec": tenant},
    ]
    return json.dumps({"Version": f"{version:08x}", "Resources": rows}).encode()


class Site:
    """Two nodes, each with a backend server of its own service, and a store."""

    def __init__(self, test):
        self.store = StoreStandin()
        self.store.start()
        test.addCleanup(self.store.stop)
        self.store.state.put(DOCUMENT_KEY, build_document())
        self.gossip_port = find_port(build_ip(1), socket.SOCK_DGRAM)
        self.nodes = {}
        self.servers = {}
        for number, service in enumerate(("near", "far")):
            self.add(test, f"node-{service}", build_ip(number + 2), service)

    def add(self, test, name, ip, service):
        def address():
            return f"{ip}:{find_port(ip)}"

        settings = FleetSettings(
            name=name,
            ip=ip,
            data_centre=f"zone-of-{service}",
            callers=address(),
            nodes=address(),
            readiness=address(),
            heartbeats=address(),
            gossip_port=self.gossip_port,
            store=self.store.address,
            least_lease_s=1.0,
            server=address(),
            service=service,
            heartbeat_s=60.0,
            **FleetSettings.DEFAULTS,
        )
        node = SiteNode(Application(), settings, lambda: settings)
        test.addCleanup(node.stop)
        node.start()
        server = BackendStandin(settings.server, service, f"i-{service}", 100)
        server.start()
        test.addCleanup(server.stop)
        server.beat(settings.heartbeats)
        self.nodes[service] = (node, settings)
        self.servers[service] = server

    def start_again(self, test, service):
        """Start a node that has ended anew; its backend server goes on."""
        _, settings = self.nodes[service]
        node = SiteNode(Application(), settings, lambda: settings)
        test.addCleanup(node.stop)
        node.start()
        self.servers[service].beat(settings.heartbeats)
        self.nodes[service] = (node, settings)

    def set_withdrawal(self, seconds):
        """Set the seconds within which a withdrawn key stops working."""
        for _, settings in self.nodes.values():
            settings.withdrawal_s = seconds

    def is_whole(self):
        return all(self.knows(service) for service in self.nodes)

    def knows(self, service):
        node, settings = self.nodes[service]
        live = node._table.list_live()
        return node.is_ready() and any(p.announcement.server for p in live)

    def call(self, path, service="near", headers=None, pool=urllib3, **fields):
        _, settings = self.nodes[service]
        sent = {
            "Host": "shop.example",
            "X-Request-Id": "one",
            "X-Timeout-Ms": "15000",
            "X-Credential": KEY,
        }
        sent.update(headers or {})
        return pool.request(
            fields.pop("method", "GET"),
            f"http://{settings.callers}{path}",
            headers=sent,
            retries=False,
            redirect=False,
            **fields,
        )


class SiteNodeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(await_true(self.site.is_whole))

    def test_request_reaches_the_server_beside_another_node(self):
        forged = {"X-Caller-Service": "forged", "X-Tenant": "forged"}
        answer = self.site.call(
            "/far/a?b=c", headers=forged, method="POST", body=b"x" * 50000
        )
        self.assertEqual((200, b"whole"), (answer.status, answer.data))
        self.assertEqual("s.1", answer.headers["X-Response-Signature"])
        self.assertEqual("one", answer.headers["X-Request-Id"])
        ((target, headers, body),) = self.site.servers["far"].requests
        self.assertEqual(("/far/a?b=c", b"x" * 50000), (target, body))
        self.assertEqual("near", headers["x-caller-service"])
        self.assertEqual("census", headers["x-tenant"])
        self.assertEqual("i-far", headers["x-target-instance"])
        self.assertEqual("shop.example", headers["host"])
        self.assertTrue(0 < int(headers["x-timeout-ms"]) <= 15000)
        self.assertNotIn("x-credential", headers)
        self.assertNotIn("persimmon-order", headers)

    def test_unknown_route_and_key_are_refused(self):
        self.assertEqual(404, self.site.call("/nowhere/").status)
        unknown = {"X-Credential": "unknown"}
        self.assertEqual(401, self.site.call("/near/", headers=unknown).status)

    def test_draining_server_gets_nothing_and_the_refusal_says_not_run(self):
        _, settings = self.site.nodes["far"]
        self.assertEqual(
            200, self.site.servers["far"].beat(settings.heartbeats, "draining")
        )
        answer = self.site.call("/far/", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual([], self.site.servers["far"].requests)

    def test_server_that_did_not_run_a_request_makes_it_not_run(self):
        self.site.servers["far"].script = Script(status=503, not_run=True)
        answer = self.site.call("/far/", method="POST", body=b"x")
        self.assertEqual(
            (503, "not-run"), (answer.status, answer.headers["Persimmon-Verdict"])
        )

    def test_unsafe_request_that_hangs_runs_once(self):
        self.site.servers["far"].script = Script(hang=True)
        answer = self.site.call(
            "/far/", method="POST", body=b"x", headers={"X-Timeout-Ms": "400"}
        )
        self.assertEqual(504, answer.status)
        self.assertEqual(1, len(self.site.servers["far"].requests))

    def test_failure_of_the_server_is_passed_on_as_it_is(self):
        self.site.servers["near"].script = Script(status=500, body=b"broken")
        answer = self.site.call("/near/")
        self.assertEqual((500, b"broken"), (answer.status, answer.data))
        self.assertEqual("s.1", answer.headers["X-Response-Signature"])

    def test_withdrawn_key_stops_working_on_every_node(self):
        self.site.store.state.put(DOCUMENT_KEY, build_document(8, ()))
        for service in ("near", "far"):
            self.assertTrue(
                await_true(
                    lambda s=service: self.site.call("/near/", service=s).status == 401
                )
            )

    def test_older_and_invalid_documents_change_nothing(self):
        node, _ = self.site.nodes["near"]
        self.assertTrue(node.documents.offer(build_document(3, ()), "a test"))
        self.assertFalse(node.documents.offer(b"{}", "a test"))
        self.assertEqual(7, node.documents.version)
        self.assertEqual(200, self.site.call("/near/").status)

    def test_lapsed_entries_come_back(self):
        state = self.site.store.state
        self.assertTrue(await_true(lambda: len(state.keys()) == 3))
        state.end_leases()
        state.refused = 503
        self.assertTrue(
            await_true(
                lambda: all(n._upkeep._was_stale for n, _ in self.site.nodes.values())
            )
        )
        state.refused = 0
        self.assertTrue(await_true(lambda: len(state.keys()) == 3))

    def test_bytes_that_are_no_request_end_no_node(self):
        _, settings = self.site.nodes["near"]
        for address in (settings.callers, settings.nodes, settings.heartbeats):
            host, port = address.rsplit(":", 1)
            with socket.create_connection((host, int(port)), timeout=20) as sock:
                sock.sendall(b"\x00\xff nothing\r\n\r\n")
                sock.recv(1000)
        with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as sock:
            sock.sendto(b"\xc1garbage", (settings.ip, self.site.gossip_port))
        self.assertEqual(200, self.site.call("/near/").status)

    def test_request_can_be_rebuilt_from_the_log_lines(self):
        records = keep_records(self)
        self.site.servers["far"].script = Script(status=500, body=b"broken")
        self.site.call("/far/", method="POST", body=b"the-body")
        # The owner's node may write its line after the caller has its answer.
        self.assertTrue(
            await_true(
                lambda: {"owner-ended"} <= {r.event for r in list_events(records)}
            )
        )
        events = {record.event: record for record in list_events(records)}
        attempt, owner = events["attempt-ended"], events["owner-ended"]
        self.assertEqual(("i-far", "node-far"), (attempt.server, attempt.owner))
        self.assertEqual(("answered", 500), (attempt.outcome, attempt.status))
        self.assertEqual(("i-far", "answered"), (owner.server, owner.outcome))
        ended = events["request-ended"]
        self.assertEqual((500, "census"), (ended.status, ended.organisation))
        self.assertEqual(7, ended.document)
        told = "".join(str(vars(record)) for record in records)
        self.assertNotIn(KEY, told)
        self.assertNotIn("the-body", told)

    def test_leaving_node_answers_what_runs(self):
        node, _ = self.site.nodes["near"]
        self.site.servers["far"].script = Script(work_s=1.5)
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.site.call("/far/", method="POST"))
        )
        caller.start()
        self.assertTrue(await_true(lambda: self.site.servers["far"].requests))
        node.drain()
        caller.join()
        self.assertEqual([200], [answer.status for answer in answers])
        self.assertFalse(node.is_ready())

    def test_all_nodes_come_back_after_they_ended_at_once(self):
        for node, _ in self.site.nodes.values():
            node.stop()
        for service in list(self.site.nodes):
            self.site.start_again(self, service)
        self.assertTrue(await_true(self.site.is_whole))
        self.assertEqual(200, self.site.call("/far/").status)

    def test_node_that_starts_while_the_store_is_away_serves_by_its_peers(self):
        node, _ = self.site.nodes["near"]
        # Keys must not lapse in the time that a busy machine takes for the restart.
        self.site.set_withdrawal(3 * PATIENCE_S)
        self.site.store.state.refused = 503
        node.stop()
        self.site.start_again(self, "near")
        self.assertTrue(await_true(lambda: self.site.knows("near")))
        self.assertTrue(await_true(lambda: self.site.call("/far/").status == 200))

    def test_keys_lapse_while_the_store_is_away_and_come_back_with_it(self):
        state = self.site.store.state
        state.refused = 503
        self.site.set_withdrawal(1.0)
        self.assertTrue(await_true(lambda: self.site.call("/far/").status == 503))
        answer = self.site.call("/far/")
        self.assertEqual(
            (503, "not-run", "document-stale"),
            (
                answer.status,
                answer.headers["Persimmon-Verdict"],
                json.loads(answer.data)["code"],
            ),
        )
        state.refused = 0
        self.site.set_withdrawal(FleetSettings.DEFAULTS["withdrawal_s"])
        self.assertTrue(await_true(lambda: self.site.call("/far/").status == 200))
