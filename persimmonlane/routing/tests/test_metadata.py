import math

import msgspec
import testtools

from ..metadata import Order

VALID = Order("r", "i-1", "prices", "own", "census", True, 0, "r1", 2.0, 0.5, 1.0)
ODD_VALUES = {
    "priority": (-2, 1 << 40),
    "time_left_s": (math.inf, math.nan, -1e300),
    "max_wait_s": (math.inf, math.nan, -1.0),
    "objective_s": (math.inf, math.nan, 1e308, -1.0),
}


class OrderTests(testtools.TestCase):
    """Numbers of another node by which an owner would estimate wrongly for good."""

    def decode(self, **changes):
        order = msgspec.structs.replace(VALID, **changes)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(order), type=Order)

    def test_usual_numbers_are_accepted(self):
        self.assertEqual(VALID, self.decode())
        self.assertEqual(-1, self.decode(priority=-1).priority)
        self.assertEqual(-0.2, self.decode(time_left_s=-0.2).time_left_s)

    def test_numbers_that_can_not_be_true_are_refused(self):
        for name, values in ODD_VALUES.items():
            for value in values:
                self.assertRaises(msgspec.ValidationError, self.decode, **{name: value})
