import logging

import testtools

from ..events import (
    AttemptEnded,
    OwnerEnded,
    RequestEnded,
    ResponseMalformed,
    log_event,
)


def build_owner_ended(request="r-1", outcome="answered", status=200):
    return OwnerEnded(
        request,
        "lookup",
        "i-1",
        outcome,
        "ran",
        status,
        1,
        0.01234567,
        0.2,
        3,
        0,
        "sound",
    )


class CapturingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def capture_records(test, name="persimmonlane"):
    handler = CapturingHandler()
    log = logging.getLogger(name)
    level = log.level
    log.setLevel(logging.INFO)
    log.addHandler(handler)
    test.addCleanup(log.removeHandler, handler)
    test.addCleanup(log.setLevel, level)
    return handler.records


class EventTests(testtools.TestCase):
    def test_log_line_holds_every_field_of_the_event(self):
        records = capture_records(self)
        log_event(build_owner_ended())
        (record,) = records
        self.assertEqual(("owner-ended", "r-1"), (record.event, record.request))
        self.assertEqual(0.0123, record.waited_s)
        for field in OwnerEnded.__slots__:
            self.assertTrue(hasattr(record, field), field)
        self.assertTrue(record.getMessage().startswith("Owner: "))

    def test_failures_are_logged_at_a_higher_level_than_successes(self):
        records = capture_records(self)
        log_event(build_owner_ended())
        log_event(build_owner_ended(outcome="server-busy", status=0))
        log_event(build_owner_ended(status=500))
        levels = [record.levelno for record in records]
        self.assertEqual([logging.INFO, logging.WARNING, logging.WARNING], levels)

    def test_events_have_distinct_names(self):
        events = (AttemptEnded, OwnerEnded, RequestEnded, ResponseMalformed)
        self.assertEqual(len(events), len({cls.name for cls in events}))
        for cls in events:
            self.assertIn("request", cls.__slots__)
            self.assertTrue(cls.text.format(**dict.fromkeys(cls.__slots__, "x")))
