import json
import pathlib
import tempfile

import testtools

from ...errors import InputError
from ...localities import Locality
from ..documents import decode_document
from ..settings import read_fleet_settings
from .test_decoding import SETTINGS, build_document

REGIONS = """
Zones: {south: coast, north: coast, west: hills}
Contracts: [base, places]
Limits: {MemoryMb: 200, MaxFds: 4100, LinkMbps: 10.0, DiskMb: 0}
"""


class SettingsTests(testtools.TestCase):
    def read(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "node.yaml"
        path.write_text(text)
        return read_fleet_settings(str(path))

    def test_regions_contracts_and_limits_of_the_vm_are_read(self):
        bounds = SETTINGS.replace('"GraceS=6"', '"EvacS=4", "ColdOver=1.5"')
        settings = self.read(bounds + REGIONS)
        self.assertEqual(
            (True, False), (settings.has_evacuations, settings.has_overload)
        )
        self.assertEqual((4.0, 1.5), (settings.evacuation_s, settings.cold_ratio))
        self.assertEqual(200 * 1024 * 1024, settings.memory_bytes)
        self.assertEqual(4100, settings.max_descriptors)
        self.assertEqual(1_250_000, settings.link_bytes_per_s)
        regions = settings.build_region_map()
        self.assertEqual(
            [Locality.DATA_CENTRE, Locality.REGION, Locality.ELSEWHERE],
            [regions.locate(name) for name in ("south", "north", "west")],
        )
        self.assertTrue(regions.spans_regions())

    def test_settings_without_them_ask_for_nothing(self):
        settings = self.read(SETTINGS)
        self.assertEqual(
            (False, False), (settings.has_evacuations, settings.has_overload)
        )
        regions = settings.build_region_map()
        self.assertFalse(regions.spans_regions())
        self.assertIs(Locality.REGION, regions.locate("elsewhere"))

    def test_limits_that_are_no_amounts_are_refused(self):
        for value in ("0", "-1", "many"):
            text = REGIONS.replace("MemoryMb: 200", f"MemoryMb: {value}")
            error = self.assertRaises(InputError, self.read, SETTINGS + text)
            self.assertEqual("settings-invalid", error.code)


class DocumentTests(testtools.TestCase):
    def decode(self, **specs):
        document = json.loads(build_document())
        for kind, spec in specs.items():
            document["Resources"].append(
                {"Type": kind, "Metadata": {"Name": "added"}, "Spec": spec}
            )
        return decode_document(json.dumps(document).encode())

    def test_allowed_regions_are_decoded(self):
        route = {"Host": "h.example", "Prefix": "/", "Kind": "safe", "Service": "x"}
        rulebook = self.decode(
            Routes={**route, "AllowedRegions": ["coast"]},
            Tenants={"ApiKeys": ["k"], "AllowedRegions": ["hills", "coast"]},
        )
        route = rulebook.find_route("h.example", "/")
        self.assertEqual({"coast"}, route.allowed_regions)
        organisation = rulebook.find_organisation("k")
        self.assertEqual({"coast", "hills"}, organisation.allowed_regions)
        self.assertIsNone(rulebook.find_route("shop.example", "/a/").allowed_regions)

    def test_cold_starts_are_decoded(self):
        rulebook = self.decode(Services={"ColdStartS": 3.0, "ColdPerS": 7.0})
        cold = rulebook.find_cold_start("added")
        self.assertEqual((3.0, 7.0), (cold.duration_s, cold.rate))
        self.assertIsNone(rulebook.find_cold_start("unknown").rate)
        for spec in ({"ColdPerS": -1.0}, {"ColdStartS": "long"}):
            self.assertRaises(InputError, self.decode, Services=spec)
