import heapq
import itertools
import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from ...clocks import ManualClock
from ...errors import Refusal
from ..admission import AdmissionQueue, Ticket
from ..fairness import ArrivalOrder, FairOrder
from ..latency import LatencyModel
from .test_coldstart import build_settings

SLOTS = 5
DURATION_S = 60.0
SEEDS = range(6)
# As ingress nodes accept it: a share of the objective.
WAIT_SHARE = 0.6


class Kind:
    """Requests of one kind: how long they run, and how soon they must be answered."""

    def __init__(self, name, work_s, objective_s, priority):
        self.name = name
        self.work_s = work_s
        self.objective_s = objective_s
        self.priority = priority
        self.latency = LatencyModel(objective_s)
        for _ in range(100):
            self.latency.learn(work_s)


class Replay:
    """Replays a load at one backend server; counts arrivals and answers in time."""

    def __init__(self, seed, is_fair):
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        settings = build_settings()
        settings.has_overload = is_fair
        self.queue = AdmissionQueue(self.clock, settings)
        self.queue.resize(SLOTS)
        self.events = []
        self.order = itertools.count()
        self.arrived = {}
        self.served = {}
        self.late = 0
        self.waited_in_vain = 0

    def add(self, kind, organisation, rate, begin_s=0.0, end_s=DURATION_S):
        """Add Poisson arrivals of a kind and an organisation, per second."""
        at = begin_s + self.rng.expovariate(rate)
        while at < end_s:
            self.schedule(at, self.arrive, kind, organisation)
            at += self.rng.expovariate(rate)

    def schedule(self, at, call, *arguments):
        heapq.heappush(self.events, (at, next(self.order), call, arguments))

    def run(self):
        while self.events:
            at, _, call, arguments = heapq.heappop(self.events)
            self.clock.seconds = at
            call(*arguments)
        return self

    def arrive(self, kind, organisation):
        key = (kind.name, organisation)
        now = self.clock.now()
        self.arrived[key] = self.arrived.get(key, 0) + 1
        ticket = Ticket(
            kind.latency,
            kind.priority,
            now + kind.objective_s,
            kind.objective_s * WAIT_SHARE,
            lambda: None,
            organisation=organisation,
        )
        ticket.wake = lambda: self.begin(kind, key, ticket)
        try:
            self.queue.admit(ticket)
        except Refusal:
            return
        if ticket.granted_at is not None:
            self.begin(kind, key, ticket)
        else:
            self.schedule(ticket.wait_deadline, self.end_wait, ticket)

    def end_wait(self, ticket):
        """Take back a request whose accepted wait is over, as its owner does."""
        if ticket.granted_at is None and ticket.refusal is None:
            self.queue.release(ticket)
            self.waited_in_vain += 1

    def begin(self, kind, key, ticket):
        if ticket.refusal is None:
            work_s = kind.work_s * self.rng.uniform(0.8, 1.2)
            self.schedule(self.clock.now() + work_s, self.end, key, ticket)

    def end(self, key, ticket):
        self.queue.release(ticket)
        if self.clock.now() <= ticket.deadline:
            self.served[key] = self.served.get(key, 0) + 1
        else:
            self.late += 1

    def get_share(self, matches):
        """Return the share of requests served, of those whose key matches."""
        keys = [key for key in self.arrived if matches(*key)]
        served = sum(self.served.get(key, 0) for key in keys)
        return served / sum(self.arrived[key] for key in keys)


class LoadTests(testtools.TestCase):
    """Loads that a backend server can't serve in full, in both orders of the queue."""

    def replay(self, add_load):
        """Return the replays in order of arrival, and the fair ones."""
        replays = ([], [])
        for seed in SEEDS:
            for is_fair, found in enumerate(replays):
                replay = Replay(seed, bool(is_fair))
                add_load(replay)
                found.append(replay.run())
        return replays

    def get_mean_share(self, replays, matches):
        return sum(item.get_share(matches) for item in replays) / len(replays)

    def replay_hot_organisation(self, factor):
        kind = Kind("report", 0.82, 6.0, 1)

        def add_load(replay):
            for number in range(30):
                replay.add(kind, f"small-{number}", 0.12)
            replay.add(kind, "hot", 1.0 * factor)

        return self.replay(add_load)

    def check_hot_organisation(self, factor):
        by_arrival, fair = self.replay_hot_organisation(factor)

        def is_small(name, organisation):
            return organisation != "hot"

        before = self.get_mean_share(by_arrival, is_small)
        after = self.get_mean_share(fair, is_small)
        self.assertThat(after, GreaterThan(0.95), (before, after))
        self.assertThat(after, GreaterThan(before))
        # What is admitted is answered in time.
        self.assertEqual(0, sum(replay.late for replay in fair))
        # The hot one gets what the small ones leave.
        hot = self.get_mean_share(fair, lambda *key: not is_small(*key))
        self.assertThat(hot * factor, GreaterThan(1.0))

    def test_organisation_at_four_times_its_load_costs_small_ones_nothing(self):
        self.check_hot_organisation(4.0)

    def test_organisation_at_eight_times_its_load_costs_small_ones_nothing(self):
        self.check_hot_organisation(8.0)

    def test_hardly_any_request_beside_a_hot_organisation_waits_in_vain(self):
        _, fair = self.replay_hot_organisation(8.0)
        arrived = sum(sum(replay.arrived.values()) for replay in fair)
        in_vain = sum(replay.waited_in_vain for replay in fair)
        self.assertThat(in_vain, LessThan(0.01 * arrived))

    def test_burst_of_a_slow_kind_leaves_urgent_short_requests_served(self):
        slow = Kind("report", 0.82, 6.0, 2)
        urgent = Kind("price", 0.33, 1.0, 0)

        def add_load(replay):
            for number in range(10):
                replay.add(slow, f"o-{number}", 0.3)
                replay.add(urgent, f"o-{number}", 0.3)
                replay.add(slow, f"o-{number}", 0.3 * 1.4, 20.0, 25.0)

        by_arrival, fair = self.replay(add_load)

        def is_urgent(name, organisation):
            return name == "price"

        before = self.get_mean_share(by_arrival, is_urgent)
        after = self.get_mean_share(fair, is_urgent)
        self.assertThat(after, GreaterThan(before - 0.02), (before, after))
        less_urgent = self.get_mean_share(fair, lambda *key: not is_urgent(*key))
        self.assertThat(after, GreaterThan(less_urgent - 0.02))


class OrderTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.latency = LatencyModel(1.0)
        self.numbers = itertools.count()

    def build(self, organisation, priority=1):
        ticket = Ticket(self.latency, priority, 9.0, 9.0, None, False, organisation)
        ticket.number = next(self.numbers)
        return ticket

    def drain(self, order):
        popped = []
        while len(order):
            ticket = order.pop()
            order.note_grant(ticket)
            popped.append(ticket.organisation)
        return popped

    def test_heavy_sender_waits_behind_its_own_requests(self):
        order = FairOrder(ManualClock(0.0))
        for name in ("hot", "hot", "hot", "hot", "small", "other"):
            order.push(self.build(name))
        self.assertEqual(
            ["hot", "small", "other", "hot", "hot", "hot"], self.drain(order)
        )

    def test_nested_calls_and_urgent_requests_go_first(self):
        order = FairOrder(ManualClock(0.0))
        for name, priority in (("a", 2), ("b", 0), ("", -1), ("b", 0)):
            order.push(self.build(name, priority))
        self.assertEqual(["", "b", "b", "a"], self.drain(order))

    def test_requests_ahead_of_a_new_one_are_those_that_go_first(self):
        order = FairOrder(ManualClock(0.0))
        for _ in range(6):
            order.push(self.build("hot"))
        self.assertEqual(6, len(order.list_ahead(1, "hot")))
        self.assertEqual(1, len(order.list_ahead(1, "small")))
        self.assertEqual(0, len(order.list_ahead(0, "hot")))
        self.assertEqual(6, len(order.list_ahead(2, "small")))

    def test_removed_request_costs_its_organisation_nothing(self):
        order = FairOrder(ManualClock(0.0))
        withdrawn = self.build("a")
        order.push(withdrawn)
        order.push(self.build("b"))
        order.push(self.build("a"))
        order.remove(withdrawn)
        order.remove(withdrawn)
        self.assertEqual(2, len(order))
        self.assertEqual(["b", "a"], self.drain(order))

    def test_state_does_not_grow_with_organisations_that_have_left(self):
        order = FairOrder(ManualClock(0.0))
        for number in range(5000):
            order.push(self.build(f"o-{number}"))
            order.note_grant(order.pop())
        self.assertThat(len(order._flows[1]), LessThan(10))

    def test_state_does_not_grow_with_requests_that_are_withdrawn(self):
        order = FairOrder(ManualClock(0.0))
        for number in range(100):
            ticket = self.build(f"o-{number}")
            order.push(ticket)
            order.remove(ticket)
        self.assertEqual({}, order._flows[1])

    def test_order_without_overload_is_by_priority_and_arrival(self):
        order = ArrivalOrder()
        for name, priority in (("a", 1), ("a", 1), ("b", 1), ("c", 0)):
            order.push(self.build(name, priority))
        self.assertEqual(["c", "a", "a", "b"], self.drain(order))
