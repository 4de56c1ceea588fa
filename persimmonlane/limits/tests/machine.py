"""Loan machine.

Borrowers that spend all they have, and holders that follow each other, under
messages delivered late, twice, out of order or never; few losses, so that the bound
is tight.
"""

import random

from persimmonlane.config.model import Organisation
from persimmonlane.limits.admission import Admission
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.holder import Holder
from persimmonlane.limits.tests.fakes import FakeView
from persimmonlane.limits.tests.simulation import Count, SkewedClock, World

NAME = "acme"
BORROWERS = 3
MOST_PENDING = 40
STEPS_S = (0.0, 0.002, 0.002, 0.02, 0.02, 0.1, 0.3, 1.1)
LOAN_S = 2.0
DRIFT = 0.001
RATE = 20.0


class Message:
    """A message under way: a batch to a holder, or its answer."""

    def __init__(self, deliver, *arguments):
        self.deliver = deliver
        self.arguments = arguments


class LoanMachine:
    """Draws steps; every admission is counted over the true clock."""

    borrower_class = Borrower
    holder_class = Holder

    def __init__(self, seed, borrower_class=Borrower, holder_class=Holder, drift=DRIFT):
        self.rng = random.Random(seed)
        self.world = World(seed)
        self.drift = drift
        self.borrower_class = borrower_class
        self.holder_class = holder_class
        self.burst = self.rng.choice((5.0, 10.0, 60.0))
        self.view = self.create_view(RATE, self.burst)
        self.count = Count(RATE, self.burst, strict=True)
        self.lower_at = float("inf")
        self.lower_bounds = (RATE, self.burst)
        self.epoch = 0
        self.incarnations = 0
        self.pending = []
        self.borrowers = [self.create_borrower(index) for index in range(BORROWERS)]
        self.stale = []
        self.holder = None
        self.change_holder()

    def create_view(self, rate, burst):
        organisation = Organisation(name=NAME, rate=rate, burst=burst)
        return FakeView(organisation, shards=1, loan_s=LOAN_S)

    def create_clock(self):
        speed = 1.0 + self.rng.choice((-1, 0, 1)) * self.drift
        return SkewedClock(self.world, speed, self.rng.uniform(0, 1000))

    def create_borrower(self, index):
        self.incarnations += 1
        clock = self.create_clock()
        borrower = self.borrower_class(f"n{index}", clock, str(self.incarnations))
        borrower.set_view(self.view)
        return borrower

    def run(self, steps):
        for _ in range(steps):
            self.step()
        return self.count.admitted

    def step(self):
        self.world.now += self.rng.choice(STEPS_S)
        self.take_lower_bounds()
        chance = self.rng.random()
        if chance < 0.006:
            self.change_holder()
        elif chance < 0.012:
            self.restart_borrower()
        elif chance < 0.016:
            self.change_document()
        elif chance < 0.024 and self.pending:
            self.pending.pop(self.rng.randrange(len(self.pending)))
        active = self.rng.sample(self.borrowers, self.rng.choice((1, 1, 2, 3)))
        for borrower in active + self.stale:
            if self.rng.random() < 0.8:
                self.spend(borrower)
        for borrower in active:
            self.ask(borrower)
        self.deliver_some()
        for borrower in active:
            if self.rng.random() < 0.8:
                self.spend(borrower)

    def spend(self, borrower):
        """Spend all tokens of a borrower."""
        for _ in range(200):
            if borrower.admit(NAME) is not Admission.ADMITTED:
                return
            self.count.add(self.world.now)

    def ask(self, borrower):
        demands = borrower.demands()
        if demands is not None:
            self.post(self.serve, self.holder, borrower, demands)

    def serve(self, holder, borrower, demands):
        self.post(borrower.apply, holder.lend(demands))

    def post(self, deliver, *arguments):
        copies = 2 if self.rng.random() < 0.05 else 1
        if len(self.pending) < MOST_PENDING:
            self.pending.extend([Message(deliver, *arguments)] * copies)

    def deliver_some(self):
        """Deliver most messages at once, and some much later."""
        for _ in range(2):
            waiting, self.pending = self.pending, []
            self.rng.shuffle(waiting)
            for message in waiting:
                if self.rng.random() < 0.8:
                    message.deliver(*message.arguments)
                else:
                    self.pending.append(message)

    def restart_borrower(self):
        """Start another process; the one before it spends on what it has."""
        index = self.rng.randrange(BORROWERS)
        self.stale = [self.borrowers[index]]
        self.borrowers[index] = self.create_borrower(index)

    def change_document(self):
        """Change rate and burst; lower bounds hold once older loans have ended."""
        rate = RATE * self.rng.choice((0.25, 1.0, 2.0))
        burst = self.rng.choice((5.0, 10.0, 60.0))
        self.view = self.create_view(rate, burst)
        for one in (self.holder, *self.borrowers, *self.stale):
            one.set_view(self.view)
        self.count.settle(self.world.now)
        self.count.rate = max(self.count.rate, rate)
        self.count.burst = max(self.count.burst, burst)
        self.lower_at = self.world.now + LOAN_S * (1 + 3 * DRIFT)
        self.lower_bounds = (rate, burst)

    def take_lower_bounds(self):
        if self.world.now < self.lower_at:
            return
        self.count.settle(self.world.now)
        self.count.rate, self.count.burst = self.lower_bounds
        self.lower_at = float("inf")

    def change_holder(self):
        """Let another holder claim the shard after the end of the last one's right."""
        if self.holder is not None:
            deadline = self.holder_clock.now()
            self.holder.extend(0, deadline, LOAN_S)
        self.epoch += 1
        clock = self.create_clock()
        self.holder = self.holder_class(clock)
        self.holder_clock = clock
        self.holder.set_view(self.view)
        self.holder.take(
            0,
            self.epoch,
            float("inf"),
            first=self.epoch == 1,
            longest_loan_s=LOAN_S,
        )
