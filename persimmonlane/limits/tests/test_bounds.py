import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.invariants import InvariantError
from persimmonlane.limits import holder
from persimmonlane.limits.admission import Admission
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.holder import Holder
from persimmonlane.limits.lease import Lease, Member, ShardEpoch, encode_lease, get_key
from persimmonlane.limits.tests import broken, simulation
from persimmonlane.limits.tests.fakes import create_view
from persimmonlane.limits.tests.faults import run_with_faults
from persimmonlane.limits.tests.machine import LoanMachine
from persimmonlane.limits.tests.simulation import (
    Fleet,
    OverAdmission,
    TwoHolders,
)
from persimmonlane.store.client import Entry

STEPS = 1500
MACHINE_SEEDS = range(30)
FLEET_SEEDS = range(12)
TRANSIT_SEEDS = range(200)
FOREVER = float("inf")


class LoanBoundTests(testtools.TestCase):
    """No window holds more than rate times its length plus burst."""

    def test_bound_holds(self):
        admitted = sum(LoanMachine(seed).run(STEPS) for seed in MACHINE_SEEDS)
        self.assertTrue(admitted > 1000, admitted)

    def assert_noticed(self, seeds=MACHINE_SEEDS, **options):
        def run():
            for seed in seeds:
                LoanMachine(seed, **options).run(STEPS)

        self.assertRaises(OverAdmission, run)

    def test_broken_borrowers_are_noticed(self):
        for borrower_class in (broken.CarelessBorrower, broken.HoardingBorrower):
            self.assert_noticed(borrower_class=borrower_class)

    def test_broken_holders_are_noticed(self):
        for holder_class in (broken.HastyHolder, broken.GenerousHolder):
            self.assert_noticed(holder_class=holder_class)

    def test_broken_ledgers_are_noticed(self):
        for name in ("HastyLedger", "ShortLedger", "TrustingLedger"):
            self.patch(holder, "Ledger", getattr(broken, name))
            self.assert_noticed()

    def test_uncounted_tokens_on_their_way_are_noticed(self):
        self.patch(holder, "Ledger", broken.TransitLedger)
        self.assert_noticed(seeds=TRANSIT_SEEDS)

    def test_clocks_beyond_the_assumed_drift_are_noticed(self):
        self.assert_noticed(drift=0.2)


class LateAnswerTests(testtools.TestCase):
    """A loan runs from before it was asked, however late its answer comes."""

    def admit_after_late_answer(self, borrower_class):
        """Return the admission once the holder counts the loan as ended."""
        clock = ManualClock(100.0)
        lender, borrower = Holder(clock), borrower_class("a", clock, "1")
        for one in (lender, borrower):
            one.set_view(create_view(rate=100.0, burst=10.0, shards=1))
        lender.take(0, 1, FOREVER, first=True, longest_loan_s=2.0)
        borrower.admit("acme")
        late = lender.lend(borrower.demands())
        clock.advance(1.99)
        borrower.apply(late)
        clock.advance(0.02)
        ledger = lender.shards[0].ledgers["acme"]
        ledger.refill(clock.now())
        self.assertEqual({}, ledger.loans)
        return borrower.admit("acme")

    def test_late_answer_adds_nothing(self):
        admission = self.admit_after_late_answer(Borrower)
        self.assertIs(Admission.WAIT, admission)

    def test_counting_from_the_answer_is_noticed(self):
        admission = self.admit_after_late_answer(broken.LateBorrower)
        self.assertIs(Admission.ADMITTED, admission)


class LeaseBoundTests(testtools.TestCase):
    """One node at most may lend a shard's rates, and the bound holds fleet-wide."""

    def test_bounds_hold_under_faults(self):
        for seed in FLEET_SEEDS:
            fleet = run_with_faults(seed)
            for count in fleet.counts.values():
                self.assertEqual(0.0, count.worst)

    def assert_noticed(self, seeds, **classes):
        def run():
            for seed in seeds:
                options = {"create_limits": broken.create_limits(**classes)}
                run_with_faults(seed, **options)

        self.assertRaises(TwoHolders, run)

    def test_holder_that_outlives_its_lease_is_noticed(self):
        self.assert_noticed(FLEET_SEEDS, holder_class=broken.EndlessHolder)

    def test_claim_against_a_promise_is_noticed(self):
        self.assert_noticed(FLEET_SEEDS, keeper_class=broken.ForgetfulKeeper)

    def test_restarted_successor_that_waits_for_nothing_is_noticed(self):
        self.assert_noticed(range(10, 60), keeper_class=broken.RebornKeeper)

    def promise_while_claiming(self, keeper_class):
        """Return what a successor promises while its own claim is open."""
        clock = ManualClock(100.0)
        member = Member("n1", "n1:1")
        lender = Holder(clock)
        lender.set_view(create_view(shards=1))
        keeper = keeper_class(member, "x", clock, lender)
        keeper.tick(())
        keeper.record_read(Entry("limits/shards", b"1", 1))
        clock.advance(5.0)
        lease = Lease(3, Member("n0", "n0:1"), "y", (member,))
        keeper.want(0)
        keeper.record_read(Entry(get_key(0), encode_lease(lease), 7))
        self.assertIsNotNone(keeper.sightings[0].claim)
        return keeper.promise((ShardEpoch(0, 3),))

    def test_open_claim_forbids_promises(self):
        self.assertEqual((), self.promise_while_claiming(broken.Keeper))

    def test_promise_beside_an_open_claim_is_noticed(self):
        promised = self.promise_while_claiming(broken.TwoFacedKeeper)
        self.assertNotEqual((), promised)


class InvariantTests(testtools.TestCase):
    """The program itself notices spending and lending beyond what is there."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.holder = Holder(self.clock)
        self.borrower = Borrower("a", self.clock, "1")
        for one in (self.holder, self.borrower):
            one.set_view(create_view(rate=100.0, burst=50.0, shards=1))
        self.holder.take(0, 1, FOREVER, first=True, longest_loan_s=2.0)
        self.borrower.admit("acme")
        self.demands = self.borrower.demands()

    def test_borrower_notices_a_bucket_beyond_its_cap(self):
        self.borrower.apply(self.holder.lend(self.demands))
        self.borrower._accounts["acme"].level = 1000.0
        self.patch(type(self.borrower._accounts["acme"]), "refill", lambda *_: None)
        error = self.assertRaises(InvariantError, self.borrower.admit, "acme")
        self.assertEqual("invariant-rate", error.code)

    def test_holder_notices_a_sum_beyond_the_burst(self):
        ledger_class = holder.Ledger
        self.patch(ledger_class, "_clamp_pool", lambda ledger: None)
        self.holder.lend(self.demands)
        self.clock.advance(1.0)
        self.borrower.admit("acme")
        demands = self.borrower.demands()
        error = self.assertRaises(InvariantError, self.holder.lend, demands)
        self.assertEqual("invariant-rate", error.code)


class StoreAwayTests(testtools.TestCase):
    def test_rates_are_kept_while_the_store_is_away_for_three_hours(self):
        self.patch(simulation, "TICK_S", 0.15)
        fleet = Fleet(create_view(rate=10.0, burst=10.0, shards=1), nodes=3, seed=1)
        fleet.world.check = None
        fleet.world.at(2.0, fleet.request, "n0", "acme")
        fleet.world.at(5.0, setattr, fleet.store, "away", True)
        fleet.run(6.0)
        holder_name = fleet.find_holder(0)
        for when in (600.0, 3600.0, 10790.0):
            for name in fleet.processes:
                fleet.world.at(when, fleet.request, name, "acme")
        fleet.world.at(10800.0, setattr, fleet.store, "away", False)
        fleet.run(10810.0)
        self.assertEqual(0, fleet.refused["acme"])
        self.assertEqual(10, fleet.counts["acme"].admitted)
        self.assertEqual(holder_name, fleet.find_holder(0))
