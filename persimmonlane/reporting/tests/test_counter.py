import msgspec
import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.errors import InputError
from persimmonlane.reporting import counter, records


def write_log(found):
    lines = [{"message": "m", "record": records.to_builtins(each)} for each in found]
    return msgspec.json.Encoder().encode_lines([{"message": "other"}, *lines])


class RequestCounterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.counter = counter.RequestCounter(self.clock, "n1")

    def count_request(self, status=200, latency_s=0.02, code=None, organisation="acme"):
        if code is not None:
            self.counter.count_refusal("prices", organisation, status, code)
            return
        self.counter.count_answer("prices", organisation, status, latency_s, 0.25)

    def test_counts_of_one_interval(self):
        self.count_request()
        self.count_request(latency_s=0.4)
        self.count_request(status=502)
        self.count_request(status=429, code="rate-exceeded")
        self.count_request(status=503, code="overload")
        self.clock.advance(5)
        (record,) = self.counter.drain()
        self.assertEqual((5, 2, 1), (record.total, record.errors, record.late))
        self.assertEqual((4, 3), (record.eligible, record.answered))
        self.assertEqual((100.0, 105.0), (record.start_s, record.end_s))
        self.assertEqual(
            {"rate-exceeded", "overload"}, {r.code for r in record.refused}
        )
        self.assertEqual([], self.counter.drain())

    def test_rows_are_limited_and_no_request_is_lost(self):
        for number in range(counter.MAX_ROWS + 50):
            self.count_request(organisation=f"o{number}")
        drained = self.counter.drain()
        self.assertEqual(counter.MAX_ROWS + 1, len(drained))
        self.assertEqual(counter.MAX_ROWS + 50, sum(r.total for r in drained))

    def test_records_are_decoded_as_they_were_encoded(self):
        self.count_request()
        drained = self.counter.drain()
        data = write_log(drained)
        self.assertEqual(drained, records.decode_records(data))

    def test_errors_name_the_place_of_invalid_and_unsupported_lines(self):
        self.count_request()
        data = write_log(self.counter.drain())
        unsupported = data.splitlines()[1].replace(b'"format":1', b'"format":9')
        for faulty, code in (
            (data + data.splitlines()[1][:40], "record-invalid"),
            (data + b'{"record": 1}', "record-invalid"),
            (data + unsupported, "record-format"),
        ):
            error = self.assertRaises(
                InputError, records.decode_records, faulty, "r.jsonl"
            )
            self.assertEqual((code, "r.jsonl:3"), (error.code, error.place))
