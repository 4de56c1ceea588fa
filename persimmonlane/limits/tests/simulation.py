"""Simulation of limits.

Several nodes over a fake network and a fake store, with skewed and paused clocks,
and a count of all admissions over the true clock.
"""

import heapq
import itertools
import random

from persimmonlane.limits.admission import Admission
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.lease import AskPromise, Member, ReadKey, WriteKey
from persimmonlane.limits.node import AskLoans, DeliverLoans, LimitsNode
from persimmonlane.limits.policy import ANSWER_S
from persimmonlane.membership.peers import Peer
from persimmonlane.store.client import Entry

TICK_S = 0.05
STORE_TIMEOUT_S = 0.5
WAIT_S = 0.25
EPSILON = 1e-6


class World:
    """True time and the events to come."""

    def __init__(self, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.check = None
        self._events = []
        self._numbers = itertools.count()

    def at(self, when, action, *arguments):
        event = (max(when, self.now), next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def after(self, delay, action, *arguments):
        self.at(self.now + delay, action, *arguments)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
            if self.check is not None:
                self.check()
        self.now = until


class SkewedClock:
    """A node's clock: another origin, and slightly another speed."""

    def __init__(self, world, speed, origin):
        self.world = world
        self.speed = speed
        self.origin = origin

    def now(self):
        return self.origin + self.world.now * self.speed


class OverAdmission(AssertionError):
    """An organisation got more than rate times time plus burst."""


class TwoHolders(AssertionError):
    """Two nodes could lend the rates of one shard at the same moment."""


class Count:
    """All admissions of one organisation over the true clock."""

    def __init__(self, rate, burst, strict):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = 0.0
        self.strict = strict
        self.admitted = 0
        self.worst = 0.0

    def settle(self, now):
        elapsed = now - self.at
        self.level = min(self.burst, self.level + self.rate * elapsed)
        self.at = now

    def add(self, now):
        """Count an admission against a bucket that starts full.

        The bucket never falls below 0 exactly if every window holds at most rate
        times its length plus burst.
        """
        self.settle(now)
        self.level -= 1.0
        self.admitted += 1
        self.worst = max(self.worst, -self.level)
        if self.strict and self.level < -EPSILON:
            raise OverAdmission(f"{-self.level} above the bound at {now}")


class FakeStore:
    """Keys with versions; may be away, lose answers and be late."""

    def __init__(self, world, loss=0.0):
        self.world = world
        self.loss = loss
        self.away = False
        self.entries = {}
        self.reads = 0
        self.writes = 0

    def get(self, key):
        self.reads += 1
        return self.entries.get(key, Entry(key))

    def compare_and_swap(self, step):
        self.writes += 1
        entry = self.entries.get(step.key, Entry(step.key))
        if entry.version == step.version:
            entry = Entry(step.key, step.value, entry.version + 1)
            self.entries[step.key] = entry
        return entry


class Network:
    """Messages between nodes: late, lost, doubled, cut one way."""

    def __init__(self, world, delay_s=0.001, loss=0.0, doubled=0.0, late=0.0):
        self.world = world
        self.delay_s = delay_s
        self.loss = loss
        self.doubled = doubled
        self.late = late
        self.cut = set()
        self.calls = 0

    def send(self, source, target, action, *arguments):
        rng = self.world.rng
        copies = 1 + (rng.random() < self.doubled)
        for _ in range(copies):
            if (source, target) in self.cut or rng.random() < self.loss:
                continue
            delay = self.delay_s * (0.5 + rng.expovariate(1.0))
            if rng.random() < self.late:
                delay += rng.uniform(0.0, 5.0)
            self.world.after(delay, action, *arguments)


class Request:
    """A request that waits for a token."""

    __slots__ = ("organisation", "node", "deadline", "done")

    def __init__(self, organisation, node, deadline):
        self.organisation = organisation
        self.node = node
        self.deadline = deadline
        self.done = False


class Process:
    """One process of a node; a restart makes another."""

    borrower_class = Borrower

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.world = fleet.world
        self.member = Member(name, f"{name}:1")
        rng = self.world.rng
        speed = 1.0 + rng.uniform(-fleet.drift, fleet.drift)
        self.clock = SkewedClock(self.world, speed, rng.uniform(0, 1000))
        self.incarnation = f"{name}-{incarnation}"
        self.borrower = fleet.borrower_class(name, self.clock, str(incarnation))
        self.limits = fleet.create_limits(self)
        self.alive = True
        self.paused_until = 0.0
        self.waiting = []
        self.set_view(fleet.view)
        self.world.after(rng.uniform(0, TICK_S), self.tick)

    def set_view(self, view):
        self.borrower.set_view(view)
        self.limits.set_view(view)

    def run(self, action, *arguments):
        """Do something now, or once the pause is over, unless the process died."""
        if not self.alive:
            return
        if self.world.now < self.paused_until:
            self.world.at(self.paused_until, self.run, action, *arguments)
            return
        action(*arguments)
        self.carry_out(self.limits.take_steps())

    def tick(self):
        if self.alive:
            self.run(self._tick)
            self.world.after(TICK_S, self.tick)

    def _tick(self):
        self.limits.tick(self.fleet.list_peers(self))
        self._retry()
        self._send()

    def request(self, organisation):
        self.run(self._request, organisation)

    def _request(self, organisation):
        admission = self.borrower.admit(organisation)
        if admission is Admission.WAIT:
            request = Request(organisation, self, self.world.now + WAIT_S)
            self.waiting.append(request)
            self._send()
        else:
            self.fleet.finish(organisation, admission is Admission.ADMITTED)

    def _send(self):
        demands = self.borrower.demands()
        if demands is not None:
            self.limits.send(demands)

    def _retry(self):
        kept = []
        for request in self.waiting:
            admission = self.borrower.admit(request.organisation, again=True)
            if admission is Admission.ADMITTED:
                self.fleet.finish(request.organisation, True)
            elif admission is Admission.REFUSED or self.world.now >= request.deadline:
                self.fleet.finish(request.organisation, False)
            else:
                kept.append(request)
        self.waiting = kept

    def end(self):
        self.alive = False
        for request in self.waiting:
            self.fleet.cut(request.organisation)
        self.waiting = []

    # Steps.

    def carry_out(self, steps):
        for step in steps:
            self.step_methods[type(step)](self, step)

    def _deliver(self, step):
        self.borrower.apply(step.loans)
        self._retry()
        self._send()

    def _ask_loans(self, call):
        target = self.fleet.find(call.member)
        self.fleet.network.calls += 1
        state = {"answered": False}

        def fail():
            if not state["answered"]:
                state["answered"] = True
                self.run(self.limits.record_failure, call)

        def take(answer):
            state["answered"] = True
            self.run(self.limits.record_answer, call, answer)

        def serve():
            answer = target.limits.answer(call.demands, call.relay)
            holder = answer.relay and self.fleet.find(answer.relay)
            if holder is None:
                self.fleet.send(target, self, take, answer)
                return

            def relay():
                relayed = holder.limits.answer(call.demands)
                back = (target, self, take, relayed)
                self.fleet.send(holder, target, self.fleet.send, *back)

            self.fleet.send(target, holder, holder.run, relay)

        self.world.after(ANSWER_S, fail)
        if target is not None:
            self.fleet.send(self, target, target.run, serve)

    def _ask_promise(self, step):
        target = self.fleet.find(step.member)
        if target is None:
            return
        self.fleet.network.calls += 1

        def serve():
            promised = target.limits.keeper.promise(step.shards)
            arguments = (target.member.name, target.incarnation, promised, step.sent_at)
            action = self.limits.keeper.record_promises
            self.fleet.send(target, self, self.run, action, *arguments)

        self.fleet.send(self, target, target.run, serve)

    def _read(self, step):
        keeper = self.limits.keeper
        self._use_store(
            lambda: keeper.record_read,
            lambda: self.fleet.store.get(step.key),
            lambda: keeper.record_failed_read(step.key),
        )

    def _write(self, step):
        keeper = self.limits.keeper
        self._use_store(
            lambda: keeper.record_write,
            lambda: self.fleet.store.compare_and_swap(step),
            lambda: keeper.record_failed_write(step.key),
        )

    def _use_store(self, get_handler, operate, fail):
        store, rng = self.fleet.store, self.world.rng
        lost = rng.random() < store.loss
        late = rng.uniform(0.0, 3.0) if rng.random() < store.loss else 0.001

        def land():
            if store.away or self.member.name in self.fleet.cut_from_store:
                return
            result = operate()
            if not lost and self.world.now < asked + STORE_TIMEOUT_S:
                state["answered"] = True
                self.world.after(0.001, self.run, get_handler(), result)

        def time_out():
            if not state["answered"]:
                self.run(fail)

        asked = self.world.now
        state = {"answered": False}
        self.world.after(late, land)
        self.world.after(STORE_TIMEOUT_S, time_out)

    step_methods = {
        DeliverLoans: _deliver,
        AskLoans: _ask_loans,
        AskPromise: _ask_promise,
        ReadKey: _read,
        WriteKey: _write,
    }


class Fleet:
    """Processes, network, store, and the count of all admissions.

    Keyword arguments name the classes of the decision parts, so that tests can
    put broken ones in place.
    """

    def __init__(
        self,
        view,
        nodes=4,
        seed=1,
        drift=0.001,
        strict=True,
        borrower_class=Borrower,
        create_limits=None,
        store_loss=0.0,
        data_centres=3,
        **network,
    ):
        self.world = World(seed)
        self.view = view
        self.drift = drift
        self.strict = strict
        self.borrower_class = borrower_class
        self._create_limits = create_limits or create_node
        self.store = FakeStore(self.world, store_loss)
        self.network = Network(self.world, **network)
        self.cut_from_store = set()
        self.data_centres = data_centres
        self.counts = {
            one.name: Count(one.rate, one.burst, strict)
            for one in view.document.organisations
        }
        self.refused = dict.fromkeys(self.counts, 0)
        self.refusals = []
        self.gone = dict.fromkeys(self.counts, 0)
        self.incarnations = itertools.count(1)
        if strict:
            self.world.check = self.check_holders
        self.processes = {}
        for index in range(nodes):
            self.start(f"n{index}")

    def create_limits(self, process):
        return self._create_limits(process)

    def start(self, name):
        self.processes[name] = Process(self, name, next(self.incarnations))

    def kill(self, name):
        process = self.processes.pop(name, None)
        if process is not None:
            process.end()

    def restart(self, name, after=0.5):
        self.kill(name)
        self.world.after(after, self.start, name)

    def pause(self, name, seconds):
        self.processes[name].paused_until = self.world.now + seconds

    def find(self, member):
        return self.processes.get(member.name)

    def send(self, source, target, action, *arguments):
        names = (source.member.name, target.member.name)
        self.network.send(*names, action, *arguments)

    def list_peers(self, process):
        return tuple(
            Peer(name, f"dc{int(name[1:]) % self.data_centres}", other.member.rpc)
            for name, other in self.processes.items()
            if other is not process
        )

    def list_holders(self, organisation=None):
        """Return the names of nodes that may lend now."""
        return [
            name
            for name, process in self.processes.items()
            if any(process.limits.holder.holds(one) for one in process_shards(process))
        ]

    def check_holders(self):
        """Check that each shard has one holder at most, paused ones included."""
        seen = set()
        for process in self.processes.values():
            for shard in process.limits.holder.shards:
                if process.limits.holder.holds(shard):
                    if shard in seen:
                        raise TwoHolders(f"of shard {shard} at {self.world.now}")
                    seen.add(shard)

    def find_holder(self, shard):
        for name, process in self.processes.items():
            if process.limits.holder.holds(shard):
                return name
        return None

    def request(self, name, organisation):
        """Send a request to a node; one that is down counts as not sent."""
        process = self.processes.get(name)
        if process is not None:
            process.request(organisation)

    def finish(self, organisation, admitted):
        if admitted:
            self.counts[organisation].add(self.world.now)
        else:
            self.refused[organisation] += 1
            self.refusals.append((self.world.now, organisation))

    def cut(self, organisation):
        self.gone[organisation] += 1

    def run(self, until):
        self.world.run(until)


def process_shards(process):
    return list(process.limits.holder.shards)


def create_node(process):
    return LimitsNode(process.member, process.incarnation, process.clock)
