import contextlib
import io
import json
import pathlib
import tempfile
import xml.etree.ElementTree

import testtools

from persimmonlane.programs import report
from persimmonlane.reporting.tests.test_burn import make_record
from persimmonlane.reporting.tests.test_counter import write_log


def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            report.main([str(argument) for argument in arguments])
        except SystemExit as error:
            return error.code, out.getvalue(), err.getvalue()


class ReportTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, records):
        path = self.directory / "records.jsonl"
        path.write_bytes(write_log(records))
        return path

    def test_exit_code_is_0_without_a_fast_burn(self):
        code, out, _ = run(self.write([make_record(n) for n in range(60)]))
        self.assertEqual(0, code)
        self.assertIn("No fast burn is on.", out)

    def test_fast_burn_sets_the_exit_code(self):
        path = self.write([make_record(n, errors=2) for n in range(60)])
        code, out, _ = run(path, "--format", "json")
        self.assertEqual(report.EXIT_FAST_BURN, code)
        self.assertTrue(json.loads(out)["fast"])

    def test_html_page_has_no_external_references(self):
        records = [make_record(n, errors=2, late=1) for n in range(60)]
        page = self.directory / "page.html"
        run(self.write(records), "--format", "html", "--output", page)
        text = page.read_text()
        self.assertNotIn("http", text)
        for part in text.split("<svg")[1:]:
            svg = "<svg" + part.split("</svg>")[0] + "</svg>"
            lines = xml.etree.ElementTree.fromstring(svg).findall("polyline")
            self.assertEqual(2, len(lines))

    def test_no_records(self):
        for report_format in ("text", "json", "html"):
            code, _, _ = run(self.write([]), "--format", report_format)
            self.assertEqual(0, code)

    def test_invalid_record_is_reported_with_file_and_line(self):
        path = self.write([make_record(0)])
        path.write_bytes(path.read_bytes()[:-9])
        code, _, err = run(path)
        self.assertEqual(2, code)
        self.assertIn(f"[record-invalid] at {path}:2", err)
