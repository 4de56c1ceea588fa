import msgspec
import testtools

from ..errors import InputError
from ..settings import build_input_error, split_address


class SettingsTests(testtools.TestCase):
    def test_address_is_split(self):
        self.assertEqual(("::1", 80), split_address("[::1]:80"))

    def test_fault_names_code_and_place(self):
        error = self.assertRaises(
            msgspec.ValidationError,
            msgspec.convert,
            {"a": [1, "x"]},
            dict[str, list[int]],
        )
        fault = build_input_error(error, "settings-invalid")
        self.assertIsInstance(fault, InputError)
        self.assertEqual("settings-invalid", fault.code)
        self.assertEqual("$[...][1]", fault.place)
