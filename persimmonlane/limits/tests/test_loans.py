import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.limits.admission import Admission
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.holder import Holder
from persimmonlane.limits.tests.fakes import create_view

FOREVER = float("inf")
WAIT_STEPS = 22


class LoanTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.holder = Holder(self.clock)
        self.borrowers = [
            Borrower(f"node{index}", self.clock, str(index)) for index in range(3)
        ]
        self.set_view(create_view())
        for shard in range(4):
            self.holder.take(shard, 1, FOREVER, first=True, longest_loan_s=2.0)

    def set_view(self, view):
        for one in (self.holder, *self.borrowers):
            one.set_view(view)

    def exchange(self, borrower):
        demands = borrower.demands()
        if demands is not None:
            borrower.apply(self.holder.lend(demands))

    def request(self, borrower):
        """Send one request; return whether it was admitted."""
        if borrower.admit("acme") is Admission.WAIT:
            self.exchange(borrower)
            return borrower.admit("acme", again=True) is Admission.ADMITTED
        return True

    def test_first_request_on_an_idle_fleet_is_admitted(self):
        self.assertIs(Admission.WAIT, self.borrowers[0].admit("acme"))
        self.exchange(self.borrowers[0])
        self.assertIs(Admission.ADMITTED, self.borrowers[0].admit("acme", again=True))

    def test_unknown_organisation_is_refused(self):
        self.assertIs(Admission.REFUSED, self.borrowers[0].admit("bolt"))

    def test_burst_counts_over_all_borrowers(self):
        admitted = 0
        for _ in range(60):
            for borrower in self.borrowers:
                admitted += self.request(borrower)
        self.assertTrue(admitted <= 50, admitted)

    def test_surrender_hands_back_all_tokens(self):
        borrower = self.borrowers[0]
        for _ in range(10):
            borrower.admit("acme")
        self.exchange(borrower)
        (ledger,) = [
            shard.ledgers["acme"]
            for shard in self.holder.shards.values()
            if "acme" in shard.ledgers
        ]
        pool, level = ledger.pool, borrower._accounts["acme"].level
        self.holder.lend(borrower.surrender())
        self.assertEqual((pool + level, 0.0), (ledger.pool, ledger.lent_cap))
        self.assertIsNot(Admission.ADMITTED, borrower.admit("acme"))

    def test_removed_organisation_is_refused_and_gets_no_loan(self):
        borrower = self.borrowers[0]
        borrower.admit("acme")
        demands = borrower.demands()
        self.set_view(create_view(names=("bolt",)))
        self.assertIs(Admission.REFUSED, borrower.admit("acme"))
        self.assertEqual((), self.holder.lend(demands).grants)

    def test_steady_traffic_within_the_rate_is_admitted(self):
        refused, waiting = 0, []
        for step in range(6000):
            self.clock.advance(1 / 90)
            borrower = self.borrowers[0 if step % 10 else 1 + step // 10 % 2]
            if not self.request(borrower):
                waiting.append((step + WAIT_STEPS, borrower))
            for one in self.borrowers:
                self.exchange(one)
            late = [entry for entry in waiting if entry[0] <= step]
            refused += len(late)
            waiting = [
                entry
                for entry in waiting
                if entry not in late
                and entry[1].admit("acme", again=True) is not Admission.ADMITTED
            ]
        self.assertEqual(0, refused)
