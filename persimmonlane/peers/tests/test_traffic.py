import testtools

from ...headers import Header
from ..messages import CapacityResponse, RateResponse
from ..traffic import HEADER_BYTES, TrafficCounter


class TrafficCounterTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.counter = TrafficCounter(lambda host: host.startswith("10.0."))

    def drain(self):
        return sorted(
            (row.kind, row.is_local, row.messages, row.size)
            for row in self.counter.drain()
        )

    def test_datagrams_are_counted_by_kind_and_distance(self):
        response = RateResponse(1, True, 0.0)
        self.counter.count(response, "10.0.0.1", 10)
        self.counter.count(response, "10.0.0.2", 20)
        self.counter.count(response, "10.1.0.1", 5)
        self.counter.count(CapacityResponse(1, None), "10.1.0.1", 7)
        self.assertEqual(
            [
                ("CapacityResponse", False, 1, 7 + HEADER_BYTES),
                ("RateResponse", False, 1, 5 + HEADER_BYTES),
                ("RateResponse", True, 2, 30 + 2 * HEADER_BYTES),
            ],
            self.drain(),
        )

    def test_traffic_to_other_regions_is_told_apart(self):
        # It costs a multiple of what traffic within a region does.
        counter = TrafficCounter(lambda host: False, lambda host: host == "10.2.0.1")
        for host, size in (("10.1.0.1", 5), ("10.2.0.1", 7), ("10.2.0.1", 7)):
            counter.count(RateResponse(1, True, 0.0), host, size)
        rows = [row.describe() for row in counter.drain()]
        self.assertEqual(
            [(False, 5 + HEADER_BYTES), (True, 2 * (7 + HEADER_BYTES))],
            sorted((row["elsewhere"], row["bytes"]) for row in rows),
        )

    def test_drain_starts_a_new_interval(self):
        self.counter.count(RateResponse(1, True, 0.0), "10.0.0.1", 10)
        self.assertEqual(1, len(self.drain()))
        self.assertEqual([], self.drain())

    def test_exchange_is_counted_with_headers_and_bodies(self):
        self.counter.count_exchange("10.1.0.1", Message(b"abc"), Message(b"x" * 50))
        self.counter.count_exchange("10.1.0.1", Message(b""), None)
        self.assertEqual(
            [
                ("ForwardedRequest", False, 2, 2 * (len("/a") + 8) + 3),
                ("ForwardedResponse", False, 1, 8 + 50),
            ],
            self.drain(),
        )


class Message:
    target = "/a"

    def __init__(self, body):
        self.headers = [Header("N", "123")]
        self.body = body
