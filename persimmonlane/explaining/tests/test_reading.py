import json
import pathlib
import tempfile

import testtools

from ...errors import InputError
from ..reading import find_request, render_explanation


def line(second, node, event, message, **fields):
    values = {"asctime": f"2026-12-04 10:00:{second:06.3f}", "node": node}
    values |= {"event": event, "message": message, "request": "r-1", **fields}
    return json.dumps(values)


NEAR = "\n".join(
    (
        line(1.0, "a", "attempt-ended", "tried i-1", outcome="server-busy"),
        line(2.5, "a", "attempt-ended", "tried i-2", outcome="deadline-passed"),
        line(2.6, "a", "request-ended", "ended", code="deadline-passed", status=504),
        line(2.7, "a", "request-ended", "another", request="r-10", code="answered"),
    )
)
# A collector puts its own words before each line.
FAR = "\n".join(
    (
        "0.9 b " + line(0.9, "b", "owner-ended", "refused", outcome="server-busy"),
        '1.0 b {"request": "r-1", cut',
        "1.1 b no brace but r-1",
    )
)


class ReadingTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.paths = []
        for number, text in enumerate((NEAR, FAR)):
            path = pathlib.Path(folder.name) / f"{number}.log"
            path.write_text(text)
            self.paths.append(path)

    def test_lines_of_all_nodes_come_in_order_with_the_cause(self):
        found = find_request("r-1", self.paths)
        self.assertEqual(["b", "a", "a", "a"], [row.node for row, _ in found.lines])
        self.assertEqual(2, found.skipped)
        text = render_explanation(found)
        self.assertIn("the backend server may hang", text)
        self.assertIn("outcome server-busy", text)
        self.assertIn("2 lines could not be read", text)

    def test_unknown_request_has_no_lines(self):
        self.assertEqual([], find_request("r-2", self.paths).lines)

    def test_missing_file_is_named(self):
        error = self.assertRaises(InputError, find_request, "r-1", ["/nowhere/x.log"])
        self.assertEqual(
            ("log-unreadable", "/nowhere/x.log"), (error.code, error.place)
        )
