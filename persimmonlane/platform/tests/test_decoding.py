import json
import pathlib
import random
import tempfile

import testtools

from ...errors import InputError
from ...headers import Header
from ...owner.backend import ServerState
from ...routing.metadata import Order
from ...routing.rulebook import RouteKind, choose_service
from .. import headers, heartbeats
from ..documents import decode_document
from ..settings import parse_bounds, read_fleet_settings

SETTINGS = """
NodeName: "sidecar-1"
Ip: "10.1.0.26"
Zone: "south"
Listen:
  Inbound: "10.1.0.26:8543"
  Outbound: "10.1.0.26:8548"
  Readiness: "10.1.0.26:8546"
  Control: "10.1.0.26:8540"
InternalPorts: [7000, 7015]
Unknown: {a: 1}
Bounds: ["GraceS=6", "StrictRevoke=true", "RevokeS=5", "ConfigApplyS=2.5"]
AppAddr: "10.1.0.26:8547"
Service: "prices"
Platform: {Address: "10.200.1.7:8545", form: "kv", TtlMinS: 1}
"""


def build_document(**changes):
    route = {
        "Host": "Shop.example",
        "Prefix": "/a/",
        "Kind": "safe",
        "TimeoutS": 2,
        "TrafficSplit": [
            {"Service": "x", "Weight": 90},
            {"Service": "y", "Weight": 10},
        ],
        "MaxAttempts": 2,
    }
    longer_prefix_route = {"Host": "shop.example", "Prefix": "/a/b/", "Kind": "upload"}
    longer_prefix_route["Service"] = "z"
    resources = [
        {"Type": "Routes", "Metadata": {"Name": "r1"}, "Spec": route},
        {"Type": "Routes", "Metadata": {"Name": "r2"}, "Spec": longer_prefix_route},
        {
            "Type": "Tenants",
            "Metadata": {"Name": "census"},
            "Spec": {"ApiKeys": ["k1", "k2"], "RatePerS": 42, "Burst": 10},
        },
        {"Type": "Limits", "Metadata": {}, "Spec": {"IdleTimeoutS": 9}},
        {"Type": "News", "Metadata": {}, "Spec": {}},
    ]
    fields = {"Version": "0000000c", "Resources": resources}
    fields.update(changes)
    return json.dumps(fields).encode()


class DocumentTests(testtools.TestCase):
    def test_routes_match_by_host_and_longest_prefix(self):
        rulebook = decode_document(build_document())
        self.assertEqual(12, rulebook.version)
        self.assertEqual("r2", rulebook.find_route("shop.example:80", "/a/b/c").name)
        self.assertEqual("r1", rulebook.find_route("SHOP.example", "/a/bc").name)
        self.assertIsNone(rulebook.find_route("shop.example", "/b/"))
        self.assertIsNone(rulebook.find_route("other.example", "/a/"))

    def test_kinds_api_keys_and_limits_are_decoded(self):
        rulebook = decode_document(build_document())
        self.assertEqual(
            RouteKind.UPLOAD, rulebook.find_route("shop.example", "/a/b/").kind
        )
        self.assertEqual("census", rulebook.find_organisation("k2").name)
        self.assertIsNone(rulebook.find_organisation("k3"))
        self.assertEqual(9, rulebook.limits.idle_timeout_s)

    def test_traffic_split_follows_weights(self):
        route = decode_document(build_document()).find_route("shop.example", "/a/")
        rng = random.Random(4)
        services = [choose_service(route, rng) for _ in range(2000)]
        self.assertThat(services.count("y"), testtools.matchers.LessThan(260))
        self.assertThat(services.count("y"), testtools.matchers.GreaterThan(140))

    def test_invalid_document_error_has_code_and_place(self):
        for raw in (
            b"\xff",
            b"{}",
            build_document(Version="zz"),
            build_document(Resources=[{"Type": "Routes", "Spec": {"Host": 1}}]),
        ):
            error = self.assertRaises(InputError, decode_document, raw)
            self.assertEqual("document-invalid", error.code)
            self.assertTrue(error.place)


class HeartbeatTests(testtools.TestCase):
    def build_body(self, **changes):
        fields = {
            "Address": "10.0.0.1:80",
            "Info": {"Service": "prices", "Slots": 4},
            "Status": {"State": "draining", "Sequence": 4, "ColdRemainingS": 0.5},
            "born": 17,
        }
        fields.update(changes)
        return json.dumps(fields).encode()

    def test_heartbeat_is_decoded(self):
        heartbeat = heartbeats.decode_heartbeat("i-1", self.build_body())
        self.assertEqual(ServerState.DRAINING, heartbeat.state)
        self.assertEqual(
            (17, 4, 0.5), (heartbeat.born, heartbeat.sequence, heartbeat.cold_s)
        )

    def test_invalid_heartbeats_are_rejected(self):
        for raw in (
            b"\xff\xfe",
            b"",
            b"[]",
            self.build_body(born="17"),
            self.build_body(born=1.5),
            self.build_body(born=None),
            self.build_body(Info={"Service": "prices"}),
            self.build_body(Status={"State": "lost", "Sequence": 4}),
            self.build_body(Address=7),
        ):
            self.assertRaises(InputError, heartbeats.decode_heartbeat, "i-1", raw)

    def test_server_id_is_parsed_from_the_path(self):
        self.assertEqual(
            "i 1", heartbeats.parse_server_id(heartbeats.INSTANCES_PATH + "i%201?x=1")
        )
        self.assertIsNone(heartbeats.parse_server_id("/other/i-1"))


class HeaderTests(testtools.TestCase):
    def test_malformed_timeouts_are_ignored(self):
        self.assertEqual(2.5, headers.parse_timeout("2500"))
        for text in ("", "-1", "1e3", "٣", "9" * 12):
            self.assertIsNone(headers.parse_timeout(text))

    def test_caller_credential_and_forged_headers_are_stripped(self):
        for name in ("x-credential", "X-TENANT", "X-Caller-Service", "X-Timeout-Ms"):
            self.assertTrue(headers.is_stripped(name))
        order = Order("r", "i-1", "s", "own", "census", True, 0, "r1", 1, 1, 1.0)
        built = headers.build_backend_headers(order, 0.5, "i-1")
        self.assertEqual(
            [
                ("X-Timeout-Ms", "500"),
                ("X-Target-Instance", "i-1"),
                ("X-Caller-Service", "own"),
                ("X-Tenant", "census"),
            ],
            [(header.name, header.value) for header in built],
        )

    def test_response_headers_are_parsed(self):
        marks = headers.parse_response_headers(
            [Header("X-Request-Id", "r"), Header("X-Server-Load", "3,0,8")]
        )
        self.assertEqual(
            ("r", False, False), (marks.request_id, marks.signed, marks.not_run)
        )


class SettingsTests(testtools.TestCase):
    def write_file(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "node.yaml"
        path.write_text(text)
        return str(path)

    def test_settings_file_is_decoded(self):
        settings = read_fleet_settings(self.write_file(SETTINGS))
        self.assertEqual("10.1.0.26:8548", settings.caller_address)
        self.assertEqual((6.0, 5.0), (settings.grace_s, settings.key_revocation_s))
        self.assertEqual(2.5, settings.document_apply_s)
        self.assertEqual(7000, settings.gossip_port)

    def test_invalid_settings_are_rejected(self):
        error = self.assertRaises(InputError, read_fleet_settings, "/nowhere")
        self.assertEqual("settings-unreadable", error.code)
        for text in (
            "a: [",
            "[]",
            SETTINGS.replace('Ip: "', 'Ip: ["').replace('26"\nZ', '26"]\nZ'),
        ):
            self.assertRaises(InputError, read_fleet_settings, self.write_file(text))
        self.assertRaises(InputError, parse_bounds, ["GraceS=six"])
