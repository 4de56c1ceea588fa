import msgspec
import testtools

from ..decoding import build_input_error
from ..errors import InputError


class DecodingTests(testtools.TestCase):
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
