import testtools

from persimmonlane.membership.poller import decode_answer
from persimmonlane.membership.watch import (
    REFUSALS_TO_WITHDRAW,
    Advice,
    Health,
    ServerWatch,
)


class ServerWatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.watch = ServerWatch()

    def observe(self, *looks):
        return [self.watch.observe(look) for look in looks]

    def test_announced_at_first_sign_of_life(self):
        self.assertEqual([Advice.ANNOUNCE], self.observe(Health.UNKNOWN))

    def test_not_announced_while_port_refuses(self):
        self.assertEqual([Advice.KEEP] * 5, self.observe(*[Health.REFUSED] * 5))

    def test_silent_endpoint_changes_nothing(self):
        self.observe(Health.SERVING)
        self.assertEqual([Advice.KEEP] * 50, self.observe(*[Health.UNKNOWN] * 50))

    def test_draining_leaves_once(self):
        self.observe(Health.SERVING)
        advice = self.observe(Health.DRAINING, Health.DRAINING)
        self.assertEqual([Advice.LEAVE, Advice.KEEP], advice)

    def test_refusing_port_leaves_after_several_looks(self):
        self.observe(Health.SERVING)
        advice = self.observe(*[Health.REFUSED] * REFUSALS_TO_WITHDRAW)
        self.assertEqual(Advice.LEAVE, advice[-1])
        self.assertNotIn(Advice.LEAVE, advice[:-1])

    def test_returns_after_two_good_looks(self):
        self.observe(Health.SERVING, Health.DRAINING)
        advice = self.observe(Health.SERVING, Health.DRAINING, Health.COLD)
        self.assertEqual([Advice.KEEP] * 3, advice)
        self.assertEqual([Advice.ANNOUNCE], self.observe(Health.SERVING))


class DecodeAnswerTest(testtools.TestCase):
    def decode(self, body, status=200):
        return decode_answer("127.0.0.1:1", status, body)

    def test_load(self):
        seen = self.decode(b'{"state": "cold", "running": 2, "waiting": 1, "x": 3}')
        self.assertEqual((Health.COLD, 2, 1), (seen.health, seen.running, seen.waiting))

    def test_garbled(self):
        for body in (b"", b"[]", b'{"state": "odd"}', b'{"running": "many"}'):
            self.assertEqual(Health.UNKNOWN, self.decode(body).health)

    def test_impossible_load(self):
        self.assertIsNone(self.decode(b'{"running": -4}').running)

    def test_error_status_says_nothing(self):
        self.assertEqual(Health.UNKNOWN, self.decode(b"{}", 500).health)
