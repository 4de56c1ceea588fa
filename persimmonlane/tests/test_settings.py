import json
import pathlib
import tempfile

import testtools

from ..errors import InputError
from ..programs import node
from ..programs.common import run_program
from ..settings import read_settings, split_address

VALID = {
    "name": "node-1",
    "data_centre": "uy-sur-a",
    "rpc": "127.0.0.1:1",
    "http": "127.0.0.1:3",
    "store": "127.0.0.1:2",
    "fleet_token": "0123456789abcdef",
}


class SettingsTests(testtools.TestCase):
    def write(self, text):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "settings.json"
        path.write_text(text)
        return str(path)

    def assert_fault(self, text, place, code="settings-invalid"):
        error = self.assertRaises(InputError, read_settings, self.write(text))
        self.assertEqual((code, place), (error.code, error.place))

    def test_valid_settings_are_read(self):
        settings = read_settings(self.write(json.dumps(VALID)))
        self.assertEqual("node-1", settings.name)
        self.assertEqual(("ingress", "sidecar"), settings.roles)

    def test_unknown_field_is_a_fault(self):
        self.assert_fault(json.dumps({**VALID, "rates": 3}), "$")

    def test_wrong_field_is_named(self):
        self.assert_fault(json.dumps({**VALID, "rpc": "nowhere"}), "$.rpc")
        self.assert_fault(json.dumps({**VALID, "roles": ["boss"]}), "$.roles[0]")

    def test_ingress_without_address_is_a_fault(self):
        self.assert_fault(json.dumps({**VALID, "http": None}), "$.http")

    def test_text_that_is_not_json_is_a_fault(self):
        self.assert_fault("{", "$")

    def test_missing_file_is_a_fault(self):
        error = self.assertRaises(InputError, read_settings, "/nowhere/x.json")
        self.assertEqual("settings-unreadable", error.code)

    def test_check_ends_with_its_status(self):
        paths = {
            0: self.write(json.dumps(VALID)),
            2: self.write(json.dumps({**VALID, "rpc": "nowhere"})),
        }
        for status, path in paths.items():
            error = self.assertRaises(
                SystemExit, run_program, node.program, [path, "--check"]
            )
            self.assertEqual(status, error.code)

    def test_address_is_split(self):
        self.assertEqual(("::1", 80), split_address("[::1]:80"))
