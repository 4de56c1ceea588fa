import testtools

from persimmonlane.traces import events as ev
from persimmonlane.traces.files import TraceError, decode_trace, encode_trace
from persimmonlane.traces.scenarios import KeyWithdrawn, LostAnswer

HEADER = ev.Header(trace=ev.FORMAT, title="test")


class FilesTest(testtools.TestCase):
    def assert_fault(self, data, code, place):
        error = self.assertRaises(TraceError, decode_trace, data, "t.jsonl")
        self.assertEqual((code, place), (error.code, error.place))

    def test_coding(self):
        events = LostAnswer().list_events()
        trace = decode_trace(encode_trace(HEADER, events))
        self.assertEqual(HEADER, trace.header)
        self.assertEqual(events, [each.event for each in trace.events])

    def test_every_cut_is_noticed(self):
        data = KeyWithdrawn().build()
        for size in range(len(data)):
            error = self.assertRaises(TraceError, decode_trace, data[:size])
            self.assertIn(error.code, ("trace-foreign", "trace-truncated"))

    def test_a_missing_line_is_noticed(self):
        lines = KeyWithdrawn().build().splitlines(keepends=True)
        data = b"".join(lines[:3] + lines[4:])
        self.assert_fault(data, "trace-truncated", f"t.jsonl:{len(lines) - 1}")

    def test_foreign_files(self):
        for data in (b"", b"\x00\x01", b"{}\n", b'{"type":"end","lines":0}\n'):
            self.assert_fault(data, "trace-foreign", "t.jsonl:1")

    def test_other_formats(self):
        data = KeyWithdrawn().build().replace(b'"trace":1', b'"trace":9')
        self.assert_fault(data, "trace-format", "t.jsonl:1")

    def test_faulty_lines(self):
        data = KeyWithdrawn().build()
        faulty = data.replace(b"key-presented", b"key-invented", 1)
        self.assert_fault(faulty, "trace-invalid", "t.jsonl:4")
        unordered = data.replace(b'"at":2.0', b'"at":0.5')
        self.assert_fault(unordered, "trace-order", "t.jsonl:7")
