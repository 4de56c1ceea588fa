import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from ...tests.test_sitenode import build_document
from .. import ctl


def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            ctl.main([str(argument) for argument in arguments])
        except SystemExit as error:
            return error.code, out.getvalue(), err.getvalue()


class CtlTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "file"

    def test_request_is_explained(self):
        fields = {"request": "one", "event": "request-ended", "code": "rate-exceeded"}
        self.path.write_text(json.dumps(fields))
        status, out, _ = run("explain", "one", self.path)
        self.assertEqual(0, status)
        self.assertIn("beyond its rate", out)

    def test_unknown_request_gives_exit_code_1(self):
        self.path.write_text("{}\n")
        status, _, err = run("explain", "one", self.path)
        self.assertEqual(1, status)
        self.assertIn("no line is about one", err)

    def write_reports(self, *reports):
        lines = [
            {
                "asctime": f"09:45:0{number}",
                "node": node,
                "evacuations": {
                    "known": True,
                    "age_s": 0.5,
                    "refused": 0,
                    "data_centres": [
                        {"data_centre": name, "since_s": 63.2, "running": 3}
                        for name in names
                    ],
                },
            }
            for number, (node, names) in enumerate(reports)
        ]
        rows = [json.dumps(line) for line in lines]
        self.path.write_text("\n".join([*rows, "no JSON", '{"evacuations": 7}']))

    def test_evacuations_are_shown_with_the_nodes_that_lack_them(self):
        self.write_reports(("vm-1", []), ("vm-1", ["south"]), ("vm-2", []))
        status, out, _ = run("evacuations", self.path)
        self.assertEqual(0, status)
        self.assertIn("south: evacuated for 63 s, by 1 of 2 nodes; 3 requests", out)
        self.assertIn("not by vm-2, which reported last at 09:45:02", out)

    def test_ended_evacuation_is_not_shown(self):
        self.write_reports(("vm-1", ["south"]), ("vm-1", []))
        status, out, _ = run("evacuations", self.path)
        self.assertEqual(
            (0, "No data centre is evacuated, by 1 nodes.\n"), (status, out)
        )

    def test_logs_without_reports_give_exit_code_1(self):
        self.path.write_text("{}\n")
        self.assertEqual(1, run("evacuations", self.path)[0])

    def test_valid_document(self):
        self.path.write_bytes(build_document(9))
        self.assertEqual((0, "version 9 is valid\n", ""), run("check", self.path))

    def test_invalid_document_is_reported_with_the_path_of_the_field(self):
        self.path.write_text('{"Version": "x", "Resources": []}')
        status, _, err = run("check", self.path)
        self.assertEqual(2, status)
        self.assertIn("[document-invalid] at $.Version", err)

    def write_document_with_regions(self):
        document = json.loads(build_document(9))
        document["Resources"][0]["Spec"]["AllowedRegions"] = ["east", "west"]
        document["Resources"][-1]["Spec"]["AllowedRegions"] = ["weast"]
        self.path.write_text(json.dumps(document))

    def test_unknown_regions_are_reported_where_the_known_ones_are_given(self):
        # A misspelt region would otherwise show only as refused requests.
        self.write_document_with_regions()
        options = ("--region", "east", "--region", "west")
        status, out, err = run("check", self.path, *options)
        self.assertEqual((1, "version 9 is valid\n"), (status, out))
        self.assertIn("[region-unknown]", err)
        self.assertIn(": weast\n", err)

    def test_regions_are_not_checked_unless_the_known_ones_are_given(self):
        self.write_document_with_regions()
        self.assertEqual((0, "version 9 is valid\n", ""), run("check", self.path))
