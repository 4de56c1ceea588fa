import pathlib
import re

import testtools

from ..invariants import CODES
from ..trials.breaks import breaks

ROOT = pathlib.Path(__file__).parents[2]
UNCHECKED = {"key-withdrawn"}


class InvariantsTest(testtools.TestCase):
    def find_checked(self):
        checked = set()
        for path in (ROOT / "persimmonlane").rglob("*.py"):
            parts = path.relative_to(ROOT).parts
            if "tests" not in parts and "trials" not in parts:
                pattern = r'check_invariant\(\s*"([a-z-]+)"'
                checked |= set(re.findall(pattern, path.read_text()))
        return checked

    def test_every_code_has_a_line_in_the_page(self):
        page = (ROOT / "docs" / "INVARIANTS.md").read_text()
        listed = re.findall(r"^\| `([a-z-]+)` \|", page, re.MULTILINE)
        self.assertEqual(sorted(CODES), sorted(listed))

    def test_the_page_says_which_codes_no_class_checks(self):
        self.assertEqual(set(CODES) - UNCHECKED, self.find_checked() - UNCHECKED)
        page = (ROOT / "docs" / "INVARIANTS.md").read_text()
        for code in UNCHECKED - self.find_checked():
            line = re.search(rf"^\| `{code}` \|.*$", page, re.MULTILINE).group()
            self.assertIn("no class yet", line)

    def test_the_page_names_every_break(self):
        page = (ROOT / "docs" / "INVARIANTS.md").read_text()
        for name in breaks.names():
            self.assertIn(f"`{name}`", page)
