import json
import pathlib
import tempfile

import testtools

from ...errors import InputError
from ..reading import find_request, render_explanation


def build_line(second, node, event, message, **fields):
    values = {"asctime": f"2026-12-04 10:00:{second:06.3f}", "node": node}
    values |= {"event": event, "message": message, "request": "r-1", **fields}
    return json.dumps(values)


INGRESS_LOG = "\n".join(
    (
        build_line(1.0, "a", "attempt-ended", "tried i-1", outcome="server-busy"),
        build_line(2.5, "a", "attempt-ended", "tried i-2", outcome="deadline-passed"),
        build_line(
            2.6, "a", "request-ended", "ended", code="deadline-passed", status=504
        ),
        build_line(
            2.7, "a", "request-ended", "another", request="r-10", code="answered"
        ),
    )
)
# A log collector puts a prefix before each line.
OWNER_LOG = "\n".join(
    (
        "0.9 b "
        + build_line(0.9, "b", "owner-ended", "refused", outcome="server-busy"),
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
        for number, text in enumerate((INGRESS_LOG, OWNER_LOG)):
            path = pathlib.Path(folder.name) / f"{number}.log"
            path.write_text(text)
            self.paths.append(path)

    def test_lines_of_all_nodes_are_in_order_with_the_cause(self):
        request_log = find_request("r-1", self.paths)
        self.assertEqual(
            ["b", "a", "a", "a"], [row.node for row, _ in request_log.lines]
        )
        self.assertEqual(2, request_log.skipped)
        text = render_explanation(request_log)
        self.assertIn("the backend server may hang", text)
        self.assertIn("outcome server-busy", text)
        self.assertIn("2 lines could not be read", text)

    def test_unknown_request_has_no_lines(self):
        self.assertEqual([], find_request("r-2", self.paths).lines)

    def test_error_names_the_missing_file(self):
        error = self.assertRaises(InputError, find_request, "r-1", ["/nowhere/x.log"])
        self.assertEqual(
            ("log-unreadable", "/nowhere/x.log"), (error.code, error.place)
        )
