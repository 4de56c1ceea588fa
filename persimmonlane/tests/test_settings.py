import msgspec
import testtools

from ..errors import InputError
from ..settings import build_input_error, split_address


class SettingsTests(testtools.TestCase):
    def test_address_is_split(self):
        self.assertEqual(("::1", 80), split_address("[::1]:80"))

    def test_input_error_has_code_and_place(self):
        error = self.assertRaises(
            msgspec.ValidationError,
            msgspec.convert,
            {"a": [1, "x"]},
            dict[str, list[int]],
        )
        input_error = build_input_error(error, "settings-invalid")
        self.assertIsInstance(input_error, InputError)
        self.assertEqual("settings-invalid", input_error.code)
        self.assertEqual("$[...][1]", input_error.place)
