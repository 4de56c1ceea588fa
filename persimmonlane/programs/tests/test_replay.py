import contextlib
import io
import pathlib
import tempfile

import testtools

from persimmonlane.programs import replay
from persimmonlane.traces.scenarios import KeyWithdrawn


class ReplayTest(testtools.TestCase):
    def run_on(self, data, *options):
        with tempfile.NamedTemporaryFile(suffix=".jsonl") as file:
            pathlib.Path(file.name).write_bytes(data)
            return self.run_program(file.name, *options)

    def run_program(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                replay.main(arguments)
            except SystemExit as end:
                return end.code, out.getvalue(), err.getvalue()

    def test_as_stated(self):
        code, out, _ = self.run_on(KeyWithdrawn().build())
        self.assertEqual(0, code)
        self.assertIn("9 events as stated", out)

    def test_first_difference(self):
        data = KeyWithdrawn().build().replace(b'"key-unknown"', b'"acme"')
        code, out, _ = self.run_on(data)
        self.assertEqual(1, code)
        self.assertIn("line 8, 2.000 s, keys: key-presented", out)
        self.assertIn("- stated: acme\n  + found:  key-unknown", out)

    def test_foreign_and_missing_files(self):
        code, _, err = self.run_on(b"hello\n")
        self.assertEqual(2, code)
        self.assertIn("[trace-foreign] at ", err)
        code, _, err = self.run_program("/nonexistent/trace.jsonl")
        self.assertEqual(2, code)
        self.assertIn("[trace-unreadable]", err)

    def test_cut_file(self):
        data = KeyWithdrawn().build()[:-90]
        code, _, err = self.run_on(data)
        self.assertEqual(2, code)
        self.assertIn("[trace-truncated]", err)
        code, out, _ = self.run_on(data, "--partial")
        self.assertEqual(0, code)
        self.assertIn("8 events as stated", out)

    def test_unknown_instance(self):
        data = (
            KeyWithdrawn()
            .build()
            .replace(b'"on":"keys","number":1', b'"on":"x","number":1')
        )
        code, _, err = self.run_on(data)
        self.assertEqual(2, code)
        self.assertIn("[trace-instance] at line 4", err)

    def test_version_and_help(self):
        self.assertEqual(0, self.run_program("--version")[0])
        self.assertIn("Exit codes", self.run_program("--help")[1])
