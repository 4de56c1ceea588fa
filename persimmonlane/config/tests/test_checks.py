import msgspec
import testtools

from ..checks import DocumentInvalid, validate

SALT = "00112233445566778899aabbccddeeff"


def build_values():
    return {
        "fleet": {"key_salt": SALT},
        "services": [{"name": "prices"}],
        "routes": [{"name": "all", "path": "/prices", "service": "prices"}],
        "organisations": [{"name": "salto", "rate": 5, "burst": 10}],
    }


def find_faults(values):
    data = values if isinstance(values, bytes) else msgspec.json.encode(values)
    try:
        validate(data)
    except DocumentInvalid as error:
        return sorted((fault.code, fault.place) for fault in error.faults)
    return []


class ValidDocumentTests(testtools.TestCase):
    def test_valid_document_is_returned(self):
        document = validate(msgspec.json.encode(build_values()))
        self.assertEqual("prices", document.routes[0].service)

    def test_same_path_with_other_methods_is_no_overlap(self):
        values = build_values()
        values["routes"][0]["methods"] = ["GET"]
        values["routes"].append(
            {"name": "put", "path": "/prices/", "service": "prices", "methods": ["PUT"]}
        )
        self.assertEqual([], find_faults(values))


class TypeFaultTests(testtools.TestCase):
    def test_text_that_is_not_json(self):
        self.assertEqual([("bad-json", "$")], find_faults(b"{"))

    def test_value_that_is_not_an_object(self):
        self.assertEqual([("bad-type", "$")], find_faults(b"[]"))

    def test_all_type_faults_are_listed_at_once(self):
        values = build_values()
        values["colour"] = 1
        values["services"][0]["floor"] = 1.5
        values["services"][0]["detection"] = {"slow_factor": 1}
        values["routes"][0].pop("service")
        values["organisations"][0]["burst"] = 0
        values["organisations"][0]["keys"] = [{"id": "a", "digest": "xyz"}]
        self.assertEqual(
            [
                ("bad-form", "$.organisations[0].keys[0].digest"),
                ("missing-field", "$.routes[0].service"),
                ("out-of-range", "$.organisations[0].burst"),
                ("out-of-range", "$.services[0].detection.slow_factor"),
                ("out-of-range", "$.services[0].floor"),
                ("unknown-field", "$.colour"),
            ],
            find_faults(values),
        )

    def test_place_reaches_into_lists(self):
        values = build_values()
        values["routes"][0]["methods"] = ["GET", 5]
        self.assertEqual([("bad-type", "$.routes[0].methods[1]")], find_faults(values))


class RuleFaultTests(testtools.TestCase):
    def test_each_rule(self):
        digest = "ab" * 32
        cases = (
            ("services", {"name": "prices"}, "duplicate-name", "[1].name"),
            (
                "routes",
                {"name": "b", "path": "/b", "service": "none"},
                "unknown-service",
                "[1].service",
            ),
            (
                "routes",
                {
                    "name": "b",
                    "path": "/b",
                    "service": "prices",
                    "organisations": ["salto", "rocha"],
                },
                "unknown-organisation",
                "[1].organisations[1]",
            ),
            (
                "routes",
                {"name": "b", "path": "/prices/", "service": "prices"},
                "route-overlap",
                "[1]",
            ),
            (
                "routes",
                {"name": "b", "path": "/b?c", "service": "prices"},
                "bad-form",
                "[1].path",
            ),
            (
                "routes",
                {"name": "b", "path": "/b", "service": "prices", "methods": ["get"]},
                "bad-form",
                "[1].methods[0]",
            ),
            (
                "organisations",
                {
                    "name": "rocha",
                    "rate": 1,
                    "burst": 1,
                    "keys": [
                        {"id": "a", "digest": digest},
                        {"id": "b", "digest": digest},
                    ],
                },
                "duplicate-key",
                "[1].keys[1].digest",
            ),
            (
                "organisations",
                {
                    "name": "rocha",
                    "rate": 1,
                    "burst": 1,
                    "keys": [
                        {"id": "a", "digest": digest},
                        {"id": "a", "digest": "cd" * 32},
                    ],
                },
                "duplicate-key-id",
                "[1].keys[1].id",
            ),
            (
                "services",
                {
                    "name": "b",
                    "detection": {"base_ejection_s": 9, "max_ejection_s": 8},
                },
                "out-of-range",
                "[1].detection.max_ejection_s",
            ),
        )
        for section, item, code, place in cases:
            values = build_values()
            values[section].append(item)
            expected = [(code, f"$.{section}{place}")]
            self.assertEqual(expected, find_faults(values), code)

    def test_unknown_variants(self):
        values = build_values()
        values["services"][0] |= {"balancing": "x", "detection": {"detector": "y"}}
        expected = [
            ("unknown-variant", "$.services[0].balancing"),
            ("unknown-variant", "$.services[0].detection.detector"),
        ]
        self.assertEqual(expected, find_faults(values))

    def test_key_of_two_organisations(self):
        values = build_values()
        key = {"id": "a", "digest": "ab" * 32}
        values["organisations"][0]["keys"] = [key]
        values["organisations"].append(
            {"name": "rocha", "rate": 1, "burst": 1, "keys": [key]}
        )
        expected = [("duplicate-key", "$.organisations[1].keys[0].digest")]
        self.assertEqual(expected, find_faults(values))

    def test_faulty_service_is_not_reported_as_unknown_too(self):
        values = build_values()
        values["services"][0]["slots"] = 0
        self.assertEqual([("out-of-range", "$.services[0].slots")], find_faults(values))

    def test_fleet_policy(self):
        values = build_values()
        values["fleet"] |= {"isolation_s": 0.5, "operator_digest": "abc"}
        expected = [
            ("out-of-range", "$.fleet.isolation_s"),
            ("out-of-range", "$.fleet.operator_digest"),
        ]
        self.assertEqual(expected, find_faults(values))

    def test_rules_are_checked_beside_type_faults(self):
        values = build_values()
        values["routes"][0]["service"] = "none"
        values["organisations"][0]["rate"] = -1
        expected = [
            ("out-of-range", "$.organisations[0].rate"),
            ("unknown-service", "$.routes[0].service"),
        ]
        self.assertEqual(expected, find_faults(values))
