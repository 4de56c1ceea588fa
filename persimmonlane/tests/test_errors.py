import testtools

from ..errors import InputError, Refusal
from ..registries import Registry
from ..verdicts import Verdict


class ErrorTests(testtools.TestCase):
    def test_text_of_an_error_contains_code_and_place(self):
        error = InputError("is wrong", code="bad", place="$.a")
        self.assertEqual("[bad] at $.a: is wrong", str(error))

    def test_refusal_is_not_run_by_default(self):
        self.assertIs(Verdict.NOT_RUN, Refusal(404, "x", "y").verdict)


class RegistryTests(testtools.TestCase):
    def test_class_is_found_by_name_and_alias(self):
        registry = Registry("thing")

        @registry.register
        class Thing:
            name = "thing"
            aliases = ("object",)

        self.assertIs(Thing, registry.get_by_name("object"))
        self.assertEqual(["thing"], registry.names())
        error = self.assertRaises(InputError, registry.get_by_name, "none")
        self.assertEqual("unknown-variant", error.code)
