import pathlib

import testtools

from tools import configuration_page

from ..checks import validate

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class PageTests(testtools.TestCase):
    def test_page_is_what_the_model_says(self):
        page = configuration_page.PAGE.read_text()
        self.assertEqual(configuration_page.write_page(), page)

    def test_examples_are_valid(self):
        for name in ("agence", "cooperativa"):
            document = validate(EXAMPLES.joinpath(f"{name}.json").read_bytes())
            self.assertEqual(3, len(document.services))
            self.assertEqual(8, len(document.organisations))
