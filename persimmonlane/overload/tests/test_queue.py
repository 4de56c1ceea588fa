import random

import testtools

from ...clocks import ManualClock
from ...config.model import Service
from ...errors import Refusal
from ...verdicts import Verdict
from .. import QueuedRequest, ServiceQueue

RATES = {"large": 30.0, "small": 10.0, "tiny": 1.0}


class QueueTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        service = Service(name="basket", queue_limit=40)
        self.queue = ServiceQueue(service, self.clock, RATES.__getitem__)

    def offer(self, organisation, count=1, wait_s=5.0):
        for _ in range(count):
            self.queue.offer(QueuedRequest(organisation, self.clock.now() + wait_s))

    def take(self, count):
        taken = [self.queue.take().organisation for _ in range(count)]
        return {name: taken.count(name) for name in RATES}

    def test_organisations_share_by_rate(self):
        for name in RATES:
            self.offer(name, 13)
        shares = self.take(16)
        self.assertTrue(9 <= shares["large"] <= 13, shares)
        self.assertTrue(2 <= shares["small"] <= 6, shares)

    def test_queue_is_empty_after_all_were_taken(self):
        self.offer("large", 3)
        self.take(3)
        self.assertIsNone(self.queue.take())
        self.assertEqual(0, len(self.queue))

    def test_request_that_is_put_back_keeps_its_place(self):
        self.offer("large", 3)
        self.offer("small", 2)
        first = self.queue.take()
        self.queue.put_back(first)
        self.assertEqual(5, len(self.queue))
        self.assertIs(first, self.queue.take())

    def test_full_queue_refuses_the_greediest(self):
        self.offer("large", 40)
        error = self.assertRaises(Refusal, self.offer, "large")
        self.assertIs(Verdict.NOT_RUN, error.verdict)
        self.assertTrue(error.retry_after > 0.0)

    def test_full_queue_makes_room_for_others(self):
        self.offer("large", 40)
        self.offer("tiny")
        self.assertEqual(["large"], [r.organisation for r in self.queue.expire()])
        self.assertEqual(40, len(self.queue))
        self.assertEqual(1, self.take(5)["tiny"])

    def test_request_that_cannot_be_answered_in_time_is_refused(self):
        for _ in range(100):
            self.queue.note_latency(0.5)
        error = self.assertRaises(Refusal, self.offer, "small", wait_s=0.4)
        self.assertEqual("deadline-too-short", error.code)
        self.offer("small", wait_s=1.0)
        self.clock.advance(0.6)
        self.assertIsNone(self.queue.take())
        self.assertEqual(1, len(self.queue.expire()))

    def test_each_request_leaves_the_queue_once(self):
        rng = random.Random(7)
        inside, gone = set(), []
        for number in range(5000):
            self.clock.advance(rng.expovariate(200.0))
            deadline = self.clock.now() + rng.uniform(0.01, 0.5)
            name = rng.choice(sorted(RATES))
            try:
                self.queue.offer(QueuedRequest(name, deadline, 1.0, number))
                inside.add(number)
            except Refusal:
                pass
            if rng.random() < 0.5:
                request = self.queue.take()
                gone += [request.payload] if request else []
            gone += [request.payload for request in self.queue.expire()]
            self.assertTrue(len(self.queue) <= 40)
        self.assertEqual(len(gone), len(set(gone)))
        self.assertEqual(len(inside), len(gone) + len(self.queue))
