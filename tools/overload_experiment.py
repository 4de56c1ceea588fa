"""Overload experiment.

Offers a service several times the work that it can do and compares the service
queue with first come, first served. A second part takes half of a service down and
measures what retries add to the load. Each line of output is a JSON object.
"""

import argparse
import collections
import heapq
import itertools
import random

import msgspec

from persimmonlane.clocks import ManualClock
from persimmonlane.config.model import DetectionPolicy, RetryPolicy, Service
from persimmonlane.ejection import create_ejector
from persimmonlane.ejection.outcome import Kind, Outcome
from persimmonlane.errors import Refusal
from persimmonlane.membership.servers import BackendServer
from persimmonlane.overload import QueuedRequest, ServiceQueue
from persimmonlane.retries import RequestAttempts, RetryBudget
from persimmonlane.verdicts import Verdict

SLOTS = 40
SERVICE_S = 0.1
DEADLINE_S = 0.5
RUN_S = 120.0
EXPIRE_S = 0.05
# Rates of the organisations; together they are what the service can do.
RATES = {"a": 120, "b": 100, "c": 80, "d": 40, "e": 20, "f": 20, "g": 10, "h": 10}
GREEDY = ("a", "b")
SERVERS = 10
REQUESTS_PER_S = 400.0
ANSWER_S = 0.02
TICK_S = 0.05
DOWN_AT_S = 10.0
DOWN_RUN_S = 60.0


class Fifo:
    """First come, first served, with the same bound on the queue."""

    name = "fifo"

    def __init__(self, service, clock, weights):
        self._limit = service.queue_limit
        self._requests = collections.deque()

    def offer(self, request):
        """Take a request unless the queue is full."""
        if len(self._requests) >= self._limit:
            raise Refusal(503, "overloaded", "the queue is full")
        self._requests.append(request)

    def take(self):
        """Return the oldest request, or None."""
        return self._requests.popleft() if self._requests else None

    def expire(self):
        """Return nothing: no request is refused once it waits."""
        return []

    def note_latency(self, latency_s):
        """Ignore a latency."""


class Shares(msgspec.Struct):
    """What a queue gave under a multiple of the load.

    Attributes:
        queue: Name of the queue.
        load: Offered load as a multiple of what the service can do.
        seed: Seed.
        queue_limit: Most requests that wait.
        goodput: Answers in time, as a share of what the service can do.
        worst: Least share of its fair part that an organisation got in time.
        worst_organisation: Name of that organisation.
        late: Share of the work done that came after its deadline.
    """

    queue: str
    load: float
    seed: int
    queue_limit: int
    goodput: float
    worst: float
    worst_organisation: str
    late: float


class OverloadRun:
    """Requests of eight organisations before one service."""

    def __init__(self, kind, load, queue_limit, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.service = Service(name="basket", queue_limit=queue_limit)
        self.queue = kind(self.service, self.clock, RATES.__getitem__)
        self.name = getattr(kind, "name", "drr")
        self.load = load
        self.seed = seed
        self.free = SLOTS
        self.offered = dict.fromkeys(RATES, 0)
        self.answered = dict.fromkeys(RATES, 0)
        self.late = 0
        self.done = 0
        self.events = []
        self.order = itertools.count()

    def run(self):
        """Return the `Shares` after the run."""
        for name in RATES:
            self._plan(0.0, self._arrive, name)
        self._plan(EXPIRE_S, self._expire)
        while self.events[0][0] <= RUN_S:
            at, _, action, arguments = heapq.heappop(self.events)
            self.clock.seconds = at
            action(*arguments)
        return self._sum_up()

    def _plan(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def _find_rate(self, name):
        """Two large organisations send all that goes beyond the rates."""
        extra = (self.load - 1.0) * sum(RATES.values()) / len(GREEDY)
        return RATES[name] + (extra if name in GREEDY else 0.0)

    def _arrive(self, name):
        now = self.clock.now()
        self._plan(
            now + self.rng.expovariate(self._find_rate(name)), self._arrive, name
        )
        self.offered[name] += 1
        try:
            self.queue.offer(QueuedRequest(name, now + DEADLINE_S))
        except Refusal:
            return
        self._serve()

    def _serve(self):
        while self.free:
            request = self.queue.take()
            if request is None:
                return
            self.free -= 1
            service_s = self.rng.expovariate(1.0 / SERVICE_S)
            self._plan(self.clock.now() + service_s, self._complete, request, service_s)

    def _complete(self, request, service_s):
        self.free += 1
        self.done += 1
        self.queue.note_latency(service_s)
        if self.clock.now() <= request.deadline:
            self.answered[request.organisation] += 1
        else:
            self.late += 1
        self._serve()

    def _expire(self):
        self._plan(self.clock.now() + EXPIRE_S, self._expire)
        self.queue.expire()

    def _sum_up(self):
        capacity = SLOTS / SERVICE_S
        shares = {}
        for name, rate in RATES.items():
            fair = min(self.offered[name], rate * RUN_S)
            shares[name] = self.answered[name] / fair
        worst = min(shares, key=shares.get)
        return Shares(
            queue=self.name,
            load=self.load,
            seed=self.seed,
            queue_limit=self.service.queue_limit,
            goodput=round(sum(self.answered.values()) / (capacity * RUN_S), 3),
            worst=round(shares[worst], 3),
            worst_organisation=worst,
            late=round(self.late / self.done, 3),
        )


class RetryLoad(msgspec.Struct):
    """What retries added while half of a service was down.

    Attributes:
        fault: What the servers that are down do.
        budget: Retry budget of the service.
        seed: Seed.
        load: Attempts as a multiple of requests while half was down.
        worst_load: The same in the worst second.
        success: Share of requests answered while half was down.
        worst_success: The same in the worst second.
    """

    fault: str
    budget: float
    seed: int
    load: float
    worst_load: float
    success: float
    worst_success: float


class RetryRun:
    """Idempotent requests to a service of which half goes down at once."""

    def __init__(self, kind, budget, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.kind = kind
        self.seed = seed
        self.policy = RetryPolicy(budget=budget)
        self.budget = RetryBudget(self.policy, self.clock)
        detection = DetectionPolicy(false_ejection_days=3.0)
        service = Service(name="basket", detection=detection)
        self.ejector = create_ejector(service, self.clock, self.rng)
        self.addresses = [f"10.0.0.{number}:80" for number in range(SERVERS)]
        self.ejector.update_servers(
            [BackendServer(a, "basket", "east", 4) for a in self.addresses]
        )
        self.down = set(self.addresses[: SERVERS // 2])
        self.events = []
        self.order = itertools.count()
        self.requests = collections.Counter()
        self.attempts = collections.Counter()
        self.answered = collections.Counter()

    def run(self):
        """Return the `RetryLoad` after the run."""
        self._plan(0.0, self._arrive)
        self._plan(TICK_S, self._tick)
        while self.events[0][0] <= DOWN_RUN_S:
            at, _, action, arguments = heapq.heappop(self.events)
            self.clock.seconds = at
            action(*arguments)
        return self._sum_up()

    def _plan(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def _tick(self):
        self._plan(self.clock.now() + TICK_S, self._tick)
        self.ejector.tick()

    def _arrive(self):
        now = self.clock.now()
        self._plan(now + self.rng.expovariate(REQUESTS_PER_S), self._arrive)
        self.requests[int(now)] += 1
        request = RequestAttempts(True, now + 5.0, self.policy, self.budget, self.clock)
        self._send(request, int(now))

    def _send(self, request, second):
        address = self._choose(request.tried)
        self.attempts[int(self.clock.now())] += 1
        request.begin(address)
        attempt = self.ejector.start(address)
        failed = self.clock.now() >= DOWN_AT_S and address in self.down
        kind = self.kind if failed else Kind.OK
        outcome = Outcome(address, attempt, kind, ANSWER_S, Verdict.MAY_HAVE_RUN)
        self._plan(
            self.clock.now() + ANSWER_S, self._complete, request, outcome, second
        )

    def _choose(self, tried):
        while True:
            address = self.rng.choice(self.addresses)
            weight = self.ejector.standing(address).weight
            if address not in tried and self.rng.random() < weight:
                return address

    def _complete(self, request, outcome, second):
        self.ejector.observe(outcome)
        if outcome.kind is Kind.OK:
            request.end(Verdict.RAN)
            self.answered[second] += 1
            return
        request.end(outcome.verdict)
        if request.may_retry(outcome.verdict):
            self._send(request, second)

    def _sum_up(self):
        seconds = range(int(DOWN_AT_S), int(DOWN_RUN_S) - 1)
        requests = sum(self.requests[s] for s in seconds)
        attempts = sum(self.attempts[s] for s in seconds)
        return RetryLoad(
            fault=self.kind.value,
            budget=self.policy.budget,
            seed=self.seed,
            load=round(attempts / requests, 3),
            worst_load=round(
                max(self.attempts[s] / self.requests[s] for s in seconds), 3
            ),
            success=round(sum(self.answered[s] for s in seconds) / requests, 3),
            worst_success=round(
                min(self.answered[s] / self.requests[s] for s in seconds), 3
            ),
        )


def main():
    """Run both experiments and print one JSON line per run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loads", type=float, nargs="*", default=[1.0, 2.0, 5.0])
    parser.add_argument("--queue-limit", type=int, default=64)
    options = parser.parse_args()
    for load in options.loads:
        for kind in (Fifo, ServiceQueue):
            run = OverloadRun(kind, load, options.queue_limit, options.seed)
            print_record(run.run())
    for budget in (0.0, 0.1, 0.2, 1.0):
        for kind in (Kind.ERROR, Kind.CONNECT):
            print_record(RetryRun(kind, budget, options.seed).run())


def print_record(record):
    """Print a record as one JSON line."""
    print(msgspec.json.encode(record).decode(), flush=True)


if __name__ == "__main__":
    main()
