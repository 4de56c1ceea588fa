"""Selection of the data centre in the ingress, and where it does not take part."""

import random
import sys

from testtools.matchers import GreaterThan, LessThan

from ...localities import Locality
from ...quarantine.ledger import LedgerEntry
from ..ingress import MAX_PLACEMENTS, MAX_QUEUE_WAITS_S
from ..overflow import compute_patience_s
from ..placement import Placement
from ..selection import EXCHANGE_BYTES, Reason, build_selector
from .test_overflow import build_demand
from .test_regions import (
    REGIONS,
    IngressTestCase,
    RouteKind,
    build_rejections,
    build_request,
    build_route,
    build_settings,
    fail,
    reject,
)

ONE_REGION = dict.fromkeys(REGIONS, "south")
SEED = 7


class UnweighedTests(IngressTestCase):
    """Where nothing asks for it, placement is as it was before it was weighed."""

    def test_selector_exists_only_where_it_is_asked_for(self):
        for regions, has_overload, expected in (
            ({}, False, False),
            (ONE_REGION, False, False),
            ({}, True, True),
            (ONE_REGION, True, True),
            (REGIONS, False, True),
        ):
            settings = build_settings(regions, has_overload=has_overload)
            selector = build_selector(settings, self.clock, random.Random(), None)
            self.assertEqual(expected, selector is not None, (regions, has_overload))

    def add_servers(self):
        for number in range(2, 26):
            data_centre = sorted(REGIONS)[number % 3]
            self.add(
                number,
                data_centre,
                running=number % 6,
                waiting=number % 5 if number % 6 > 3 else 0,
                standing="trial" if number % 11 == 0 else "sound",
                hang_risk=number % 4 * 10,
                quiet=number % 7 == 0,
            )

    def test_same_servers_are_drawn_with_the_same_random_numbers(self):
        # The reference is the choice as it was: among all that were not tried yet.
        self.build(regions={})
        self.add_servers()
        rng = random.Random(SEED)
        placement = Placement(rng)
        for number in range(300):
            idempotent = number % 2 == 0
            kind = RouteKind.SAFE if idempotent else RouteKind.UNSAFE
            body = b"x" * (number % 3 * 10_000)
            request = build_request(self.clock, build_route(kind=kind), body=body)
            rejections = number % (MAX_PLACEMENTS + 1)
            self.forward(request, *build_rejections(rejections))
            left = self.ingress._candidates.find("prices")
            for place, choice in enumerate(self.sender.choices):
                if choice.last_resort:
                    placement.choose_last_resort(left, {})
                    continue
                mean_s = self.ingress._estimate_mean_s(request.route)
                expected = placement.choose(left, idempotent, len(body), mean_s)
                server_id = expected.server.server_id
                self.assertEqual(server_id, choice.candidate.server.server_id)
                wait_s = MAX_QUEUE_WAITS_S[min(place, 2)]
                self.assertEqual((wait_s, ""), (choice.max_wait_s, choice.reason))
                left = [item for item in left if item.server.server_id != server_id]
            if number % 5 == 4:
                # A last resort draws a number for each candidate; start anew.
                rng.seed(number)
                self.ingress._rng.seed(number)
            else:
                self.assertEqual(rng.getstate(), self.ingress._rng.getstate())


class WeighedTests(IngressTestCase):
    """Where requests go if leaving the data centre is weighed."""

    def build(self, **settings):
        super().build(**settings)
        self.selector = build_selector(
            self.settings, self.clock, random.Random(SEED), lambda service: None
        )
        if self.selector is not None:
            self.ingress._selector = self.selector

    def add_all(self, near, region, elsewhere):
        """Add four servers in each data centre with so many requests each."""
        for first, data_centre, count in (
            (2, "south-1", near),
            (10, "south-2", region),
            (20, "north-1", elsewhere),
        ):
            for number in range(first, first + 4):
                running, waiting = min(4, count), max(0, count - 4)
                self.add(number, data_centre, running=running, waiting=waiting)

    def count_first(self, count=400, **fields):
        """Return how many requests are sent to each data centre first."""
        # The ingress learns processing times from idempotent requests.
        fields.setdefault("kind", RouteKind.UNSAFE)
        counts = dict.fromkeys(REGIONS, 0)
        for _ in range(count):
            sent = self.forward(build_request(self.clock, build_route(**fields)))
            counts[sent[0]] += 1
        return counts

    def test_requests_wait_nearby_although_other_servers_are_free(self):
        self.add_all(near=4, region=0, elsewhere=0)
        self.assertEqual(400, self.count_first()["south-1"])
        request = build_request(self.clock, build_route(kind=RouteKind.UNSAFE))
        self.forward(request)
        mean_s = self.ingress._estimate_mean_s(request.route)
        patience_s = compute_patience_s(build_demand(mean_s=mean_s, left_s=2.0))
        self.assertEqual(patience_s, self.sender.choices[0].max_wait_s)
        self.assertThat(patience_s, GreaterThan(MAX_QUEUE_WAITS_S[0]))

    def test_longer_wait_sends_a_part_to_the_region(self):
        self.add_all(near=8, region=0, elsewhere=0)
        counts = self.count_first()
        self.assertThat(counts["south-2"], GreaterThan(20))
        self.assertThat(counts["south-1"], GreaterThan(20))
        self.assertEqual(0, counts["north-1"])

    def test_other_region_without_budget_gets_nothing(self):
        self.add_all(near=20, region=20, elsewhere=0)
        self.assertThat(self.count_first()["north-1"], GreaterThan(20))
        self.selector.budget.spend("north", 1e12)
        self.assertEqual(0, self.count_first()["north-1"])
        request = build_request(self.clock, build_route())
        sent = self.forward(request, *build_rejections(9))
        self.assertNotIn("north-1", sent)
        self.assertEqual("overloaded", self.refusal.code)

    def test_budget_counts_the_length_of_the_body(self):
        self.build(regions=REGIONS, link_bytes_per_s=400_000.0)
        self.add_all(near=20, region=20, elsewhere=0)
        self.selector.budget.spend("north", 100_000 - 2 * EXCHANGE_BYTES)
        seen = {}
        for size in (0, 20_000):
            seen[size] = 0
            for _ in range(200):
                request = build_request(self.clock, build_route(), body=b"x" * size)
                seen[size] += self.forward(request)[0] == "north-1"
        self.assertThat(seen[0], GreaterThan(10))
        self.assertEqual(0, seen[20_000])

    def test_request_that_nearby_servers_refuse_goes_to_less_loaded_ones(self):
        self.add_all(near=5, region=0, elsewhere=0)
        request = build_request(self.clock, build_route())
        sent = self.forward(request, reject(1.5), reject(1.5))
        self.assertEqual(["south-1", "south-1", "south-2"], sent)
        reasons = [choice.reason for choice in self.sender.choices]
        self.assertEqual([Reason.NEARBY, Reason.NEARBY, Reason.REFUSED], reasons)

    def test_other_region_is_no_last_resort(self):
        self.add_all(near=20, region=20, elsewhere=20)
        request = build_request(self.clock, build_route())
        self.forward(request, *build_rejections(9))
        last = [it.candidate for it in self.sender.choices if it.last_resort]
        self.assertEqual(2, len(last))
        for candidate in last:
            self.assertIsNot(Locality.ELSEWHERE, candidate.locality)

    def test_request_that_runs_alone_stays_in_the_region(self):
        # The only idle servers are in the other region.
        self.add_all(near=1, region=1, elsewhere=0)
        for number in range(1, 21):
            request = build_request(self.clock, build_route())
            request.fingerprint = number
            self.ledger.apply(LedgerEntry(number, 1, self.clock.now()))
            self.assertNotEqual(["north-1"], self.forward(request))
            self.assertTrue(self.sender.choices[0].alone)

    def test_data_centre_without_servers_uses_the_nearest_ones(self):
        for number in range(10, 14):
            self.add(number, "south-2", running=3)
            self.add(number + 10, "north-1")
        self.assertEqual(400, self.count_first()["south-2"])

    def test_allowed_regions_come_first(self):
        self.add_all(near=0, region=0, elsewhere=3)
        counts = self.count_first(allowed=frozenset({"north"}))
        self.assertEqual(400, counts["north-1"])

    def test_retry_of_a_failed_request_stays_nearby(self):
        self.add_all(near=1, region=0, elsewhere=0)
        request = build_request(self.clock, build_route())
        self.assertEqual(["south-1"] * 3, self.forward(request, fail(), fail(), fail()))

    def test_attempts_are_counted_by_locality_and_reason(self):
        self.add_all(near=1, region=0, elsewhere=0)
        self.count_first(count=3)
        self.assertEqual(
            [{"locality": "data_centre", "reason": "nearby", "attempts": 3}],
            self.selector.drain(),
        )
        self.assertEqual([], self.selector.drain())

    def test_decision_is_fast(self):
        # Bounds the calls for each server, as time depends on the machine. 60 servers
        # are about the mean of a service at the design scale.
        for number in range(2, 62):
            self.add(number, sorted(REGIONS)[number % 3], running=4, waiting=3)
        request = build_request(self.clock, build_route())
        candidates = self.ingress._candidates.find("prices")
        calls = count_calls(
            lambda: self.selector.select(request, "prices", candidates, {}, (), 0.5)
        )
        self.assertThat(calls, LessThan(60 * 40))


def count_calls(function):
    """Return the number of calls that a function leads to, as a measure of its cost."""
    calls = 0

    def note(frame, event, _):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls
