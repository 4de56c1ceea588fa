import contextlib
import json
import os
import socket
import threading
import time

import testtools
import urllib3

from ..application import Application
from ..explaining.tests.test_events import capture_records
from ..fleetsettings import FleetSettings
from ..platform.documents import DOCUMENT_KEY
from ..sitenode import SiteNode
from ..standins.backend import STATUS_PATH, BackendStandin, Script
from ..standins.store import StoreStandin

PATIENCE_S = 30.0
KEY = "key-of-census"
NETWORK_HOSTS = 254
used_ports = set()


def build_ip(number):
    """Return a loopback address that tests in other processes do not bind."""
    network = os.getpid() % NETWORK_HOSTS**2
    high, low = divmod(network, NETWORK_HOSTS)
    return f"127.{high + 1}.{low + 1}.{number}"


def find_port(host, kind=socket.SOCK_STREAM):
    """Return a free port that this function has not returned before."""
    while True:
        with contextlib.closing(socket.socket(socket.AF_INET, kind)) as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port not in used_ports:
            used_ports.add(port)
            return port


def wait_until(condition):
    deadline = time.monotonic() + PATIENCE_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return False


def list_events(records):
    return [record for record in records if hasattr(record, "event")]


def count_unknown(records):
    return [record.event for record in list_events(records)].count("region-unknown")


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

    def service(name):
        spec = {"HealthPath": STATUS_PATH}
        return {"Type": "Services", "Metadata": {"Name": name}, "Spec": spec}

    tenant = {"ApiKeys": list(keys), "RatePerS": 1000, "Burst": 1000}
    rows = [
        route("r-far", "/far/", "far", "unsafe", 2),
        route("r-near", "/near/", "near", "safe", 2),
        service("far"),
        service("near"),
        {"Type": "Tenants", "Metadata": {"Name": "census"}, "Spec": tenant},
    ]
    return json.dumps({"Version": f"{version:08x}", "Resources": rows}).encode()


class Site:
    """Two nodes, each with a backend server of its own service, and a store.

    Attributes:
        site_settings: Settings of all nodes beside the common ones.
        fields: Fields of all nodes' settings that one site has.
    """

    site_settings = {}
    fields = {}

    def __init__(self, test, store_era=None, **fields):
        """Start the site.

        Args:
            test: The test case, which stops it.
            store_era: Era that the store names.
            fields: Fields of all nodes' settings.
        """
        self.fields = fields
        self.store = StoreStandin()
        self.store.state.era = store_era
        self.store.start()
        test.addCleanup(self.store.stop)
        self.store.state.put(DOCUMENT_KEY, build_document())
        self.gossip_port = find_port(build_ip(1), socket.SOCK_DGRAM)
        self.nodes = {}
        self.servers = {}
        for number, service in enumerate(("near", "far")):
            self.add(test, f"node-{service}", build_ip(number + 2), service)

    def add(self, test, name, ip, service, key=None, data_centre=None):
        """Start a node and its backend server; they are found by the key."""

        def address():
            return f"{ip}:{find_port(ip)}"

        settings = FleetSettings(
            name=name,
            ip=ip,
            data_centre=data_centre or f"zone-of-{service}",
            caller_address=address(),
            peer_address=address(),
            readiness_address=address(),
            heartbeat_address=address(),
            gossip_port=self.gossip_port,
            store=self.store.address,
            min_lease_s=1.0,
            server=address(),
            service=service,
            heartbeat_s=60.0,
            **{**FleetSettings.DEFAULTS, **self.site_settings, **self.fields},
        )
        node = SiteNode(Application(), settings, lambda: settings)
        test.addCleanup(node.stop)
        node.start()
        key = key or service
        self.nodes[key] = (node, settings)
        self.start_server(test, key, f"i-{key}", 100)

    def start_server(self, test, key, server_id, born):
        """Start a process of the backend server beside a node."""
        _, settings = self.nodes[key]
        server = BackendStandin(settings.server, settings.service, server_id, born)
        server.start()
        test.addCleanup(server.stop)
        server.send_heartbeat(settings.heartbeat_address)
        self.servers[key] = server
        return server

    def restart_node(self, test, service):
        """Start a stopped node again; its backend server has kept running."""
        self.start_node(test, service)
        _, settings = self.nodes[service]
        self.servers[service].send_heartbeat(settings.heartbeat_address)

    def start_node(self, test, service):
        """Start a stopped node again; its backend server is silent."""
        _, settings = self.nodes[service]
        node = SiteNode(Application(), settings, lambda: settings)
        test.addCleanup(node.stop)
        node.start()
        self.nodes[service] = (node, settings)

    def set_key_revocation(self, seconds):
        """Set the seconds within which a revoked key is rejected."""
        for _, settings in self.nodes.values():
            settings.key_revocation_s = seconds

    def is_converged(self):
        return all(self.is_node_ready(service) for service in self.nodes)

    def is_node_ready(self, service):
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
            f"http://{settings.caller_address}{path}",
            headers=sent,
            retries=False,
            redirect=False,
            **fields,
        )


class SiteNodeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))

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

    def test_draining_server_gets_no_request_and_the_verdict_is_not_run(self):
        _, settings = self.site.nodes["far"]
        self.assertEqual(
            200,
            self.site.servers["far"].send_heartbeat(
                settings.heartbeat_address, "draining"
            ),
        )
        answer = self.site.call("/far/", method="POST", body=b"x")
        self.assertEqual(503, answer.status)
        self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual([], self.site.servers["far"].requests)

    def test_not_executed_header_gives_verdict_not_run(self):
        self.site.servers["far"].script = Script(status=503, not_run=True)
        answer = self.site.call("/far/", method="POST", body=b"x")
        self.assertEqual(
            (503, "not-run"), (answer.status, answer.headers["Persimmon-Verdict"])
        )

    def test_unsafe_request_that_hangs_is_not_retried(self):
        self.site.servers["far"].script = Script(hang=True)
        answer = self.site.call(
            "/far/", method="POST", body=b"x", headers={"X-Timeout-Ms": "400"}
        )
        self.assertEqual(504, answer.status)
        self.assertEqual(1, len(self.site.servers["far"].requests))

    def test_error_answer_of_the_server_is_forwarded_unchanged(self):
        self.site.servers["near"].script = Script(status=500, body=b"broken")
        answer = self.site.call("/near/")
        self.assertEqual((500, b"broken"), (answer.status, answer.data))
        self.assertEqual("s.1", answer.headers["X-Response-Signature"])

    def test_revoked_key_is_rejected_by_every_node(self):
        self.site.store.state.put(DOCUMENT_KEY, build_document(8, ()))
        for service in ("near", "far"):
            self.assertTrue(
                wait_until(
                    lambda s=service: self.site.call("/near/", service=s).status == 401
                )
            )

    def test_older_and_invalid_documents_are_ignored(self):
        node, _ = self.site.nodes["near"]
        self.assertTrue(node.documents.apply(build_document(3, ()), "a test"))
        self.assertFalse(node.documents.apply(b"{}", "a test"))
        self.assertEqual(7, node.documents.version)
        self.assertEqual(200, self.site.call("/near/").status)

    def test_store_entries_are_restored_after_their_leases_end(self):
        state = self.site.store.state
        self.assertTrue(wait_until(lambda: len(state.keys()) == 3))
        state.expire_leases()
        state.error_status = 503
        self.assertTrue(
            wait_until(
                lambda: all(
                    node._upkeep.registration.is_renewal_requested()
                    for node, _ in self.site.nodes.values()
                )
            )
        )
        state.error_status = 0
        self.assertTrue(wait_until(lambda: len(state.keys()) == 3))

    def test_malformed_requests_and_datagrams_do_not_stop_a_node(self):
        _, settings = self.site.nodes["near"]
        for address in (
            settings.caller_address,
            settings.peer_address,
            settings.heartbeat_address,
        ):
            host, port = address.rsplit(":", 1)
            with socket.create_connection((host, int(port)), timeout=20) as sock:
                sock.sendall(b"\x00\xff nothing\r\n\r\n")
                sock.recv(1000)
        with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as sock:
            sock.sendto(b"\xc1garbage", (settings.ip, self.site.gossip_port))
        self.assertEqual(200, self.site.call("/near/").status)

    def test_node_logs_unknown_regions_once_per_document(self):
        # A misspelt region would otherwise show only as refused requests.
        records = capture_records(self)
        document = json.loads(build_document(8))
        document["Resources"][0]["Spec"]["AllowedRegions"] = ["nowhere"]
        self.site.store.state.put(DOCUMENT_KEY, json.dumps(document).encode())
        nodes = [node for node, _ in self.site.nodes.values()]
        self.assertTrue(wait_until(lambda: {n.documents.version for n in nodes} == {8}))
        answer = self.site.call("/far/", method="POST")
        self.assertEqual(503, answer.status)
        self.assertIn(b"region-not-allowed", answer.data)
        self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertTrue(wait_until(lambda: count_unknown(records) == len(nodes)))
        time.sleep(0.3)
        self.assertEqual(len(nodes), count_unknown(records))

    def test_log_events_describe_a_request_without_key_and_body(self):
        records = capture_records(self)
        self.site.servers["far"].script = Script(status=500, body=b"broken")
        self.site.call("/far/", method="POST", body=b"the-body")
        # The owner may log its event after the caller has received the answer.
        self.assertTrue(
            wait_until(
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
        logged = "".join(str(vars(record)) for record in records)
        self.assertNotIn(KEY, logged)
        self.assertNotIn("the-body", logged)

    def test_draining_node_answers_running_requests(self):
        node, _ = self.site.nodes["near"]
        self.site.servers["far"].script = Script(work_s=1.5)
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.site.call("/far/", method="POST"))
        )
        caller.start()
        self.assertTrue(wait_until(lambda: self.site.servers["far"].requests))
        node.drain()
        caller.join()
        self.assertEqual([200], [answer.status for answer in answers])
        self.assertFalse(node.is_ready())

    def test_all_nodes_recover_after_they_stopped_at_once(self):
        for node, _ in self.site.nodes.values():
            node.stop()
        for service in list(self.site.nodes):
            self.site.restart_node(self, service)
        self.assertTrue(wait_until(self.site.is_converged))
        self.assertEqual(200, self.site.call("/far/").status)

    def test_node_started_during_a_store_outage_gets_the_document_from_peers(self):
        node, _ = self.site.nodes["near"]
        # Keeps the keys from expiring while a busy machine restarts the node.
        self.site.set_key_revocation(3 * PATIENCE_S)
        self.site.store.state.error_status = 503
        node.stop()
        self.site.restart_node(self, "near")
        self.assertTrue(wait_until(lambda: self.site.is_node_ready("near")))
        self.assertTrue(wait_until(lambda: self.site.call("/far/").status == 200))

    def test_keys_expire_during_a_store_outage_and_work_again_after_it(self):
        state = self.site.store.state
        state.error_status = 503
        self.site.set_key_revocation(1.0)
        self.assertTrue(wait_until(lambda: self.site.call("/far/").status == 503))
        answer = self.site.call("/far/")
        self.assertEqual(
            (503, "not-run", "document-stale"),
            (
                answer.status,
                answer.headers["Persimmon-Verdict"],
                json.loads(answer.data)["code"],
            ),
        )
        state.error_status = 0
        self.site.set_key_revocation(FleetSettings.DEFAULTS["key_revocation_s"])
        self.assertTrue(wait_until(lambda: self.site.call("/far/").status == 200))
