import testtools

from ..buckets import CARRY_S, Bucket


class HandoverTests(testtools.TestCase):
    """Tokens of a bucket whose rate changes hands are neither lost nor added."""

    def setUp(self):
        super().setUp()
        self.bucket = Bucket(10.0, 100.0, 50.0, 0.0)

    def test_suspended_bucket_keeps_nothing_and_does_not_fill(self):
        self.assertEqual(60, self.bucket.suspend(1.0))
        self.bucket.resume(50.0)
        self.bucket.refill(50.0)
        self.assertEqual(0.0, self.bucket.tokens)
        self.bucket.refill(51.0)
        self.assertEqual(10.0, self.bucket.tokens)

    def test_debt_is_kept(self):
        self.bucket.tokens = -5.0
        self.assertEqual(0, self.bucket.suspend(0.0))
        self.assertEqual(-5.0, self.bucket.tokens)

    def test_tokens_beyond_the_burst_are_not_added(self):
        self.bucket.add(90, 0.0, CARRY_S)
        self.assertEqual(100.0, self.bucket.tokens)

    def test_what_was_spent_before_the_handover_counts(self):
        # Or a repeated datagram would add a burst to one that is already spent.
        for _ in range(50):
            self.bucket.take(0.0)
        self.bucket.add(100, 0.0, CARRY_S)
        self.assertEqual(50.0, self.bucket.tokens)

    def test_tokens_beyond_a_share_are_added_once_the_burst_grows(self):
        self.bucket.set_rate(5.0, 50.0, 0.0)
        self.bucket.add(40, 0.0, CARRY_S)
        self.assertEqual(50.0, self.bucket.tokens)
        self.bucket.set_rate(10.0, 100.0, 0.0)
        self.assertEqual(90.0, self.bucket.tokens)

    def test_tokens_beyond_a_share_are_dropped_later(self):
        self.bucket.set_rate(0.0, 50.0, 0.0)
        self.bucket.add(40, 0.0, CARRY_S)
        self.bucket.set_rate(0.0, 100.0, CARRY_S + 1.0)
        self.assertEqual(50.0, self.bucket.tokens)

    def test_distrusted_bucket_keeps_a_few_tokens(self):
        self.bucket.distrust(2.0, 30.0)
        self.bucket.refill(30.0)
        self.assertEqual(2.0, self.bucket.tokens)
