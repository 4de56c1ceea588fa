import msgspec
import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.errors import InputError
from persimmonlane.reporting import ledger, records


def write_log(found):
    lines = [{"message": "m", "record": records.to_builtins(each)} for each in found]
    return msgspec.json.Encoder().encode_lines([{"message": "other"}, *lines])


class LedgerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.ledger = ledger.RequestCounter(self.clock, "n1")

    def note(self, status=200, latency_s=0.02, code=None, organisation="acme"):
        if code is not None:
            self.ledger.count_refusal("prices", organisation, status, code)
            return
        self.ledger.count_answer("prices", organisation, status, latency_s, 0.25)

    def test_counts_of_one_interval(self):
        self.note()
        self.note(latency_s=0.4)
        self.note(status=502)
        self.note(status=429, code="rate-exceeded")
        self.note(status=503, code="overload")
        self.clock.advance(5)
        (record,) = self.ledger.drain()
        self.assertEqual((5, 2, 1), (record.total, record.errors, record.late))
        self.assertEqual((4, 3), (record.eligible, record.answered))
        self.assertEqual((100.0, 105.0), (record.start_s, record.end_s))
        self.assertEqual(
            {"rate-exceeded", "overload"}, {r.code for r in record.refused}
        )
        self.assertEqual([], self.ledger.drain())

    def test_rows_are_bounded_and_nothing_is_lost(self):
        for number in range(ledger.ROW_LIMIT + 50):
            self.note(organisation=f"o{number}")
        drained = self.ledger.drain()
        self.assertEqual(ledger.ROW_LIMIT + 1, len(drained))
        self.assertEqual(ledger.ROW_LIMIT + 50, sum(r.total for r in drained))

    def test_records_survive_their_coding(self):
        self.note()
        drained = self.ledger.drain()
        data = write_log(drained)
        self.assertEqual(drained, records.decode_records(data))

    def test_cut_and_foreign_lines_name_their_place(self):
        self.note()
        data = write_log(self.ledger.drain())
        foreign = data.splitlines()[1].replace(b'"format":1', b'"format":9')
        for faulty, code in (
            (data + data.splitlines()[1][:40], "record-invalid"),
            (data + b'{"record": 1}', "record-invalid"),
            (data + foreign, "record-format"),
        ):
            error = self.assertRaises(
                InputError, records.decode_records, faulty, "r.jsonl"
            )
            self.assertEqual((code, "r.jsonl:3"), (error.code, error.place))
