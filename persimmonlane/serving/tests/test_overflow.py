"""The share of a service's requests that leaves a data centre, without a network."""

import itertools
import random

import testtools
from testtools.matchers import AfterPreprocessing, Equals, GreaterThan, LessThan

from ...localities import Locality
from ...peers.statuses import ServerStatus
from ..overflow import (
    MAX_AGE_S,
    MIN_PATIENCE_S,
    DataCentreLoad,
    Demand,
    build_plan,
    compute_patience_s,
    measure_server,
)
from ..placement import Candidate

REGIONS = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b"}
MEAN_S = 0.5


def build_demand(**changes):
    fields = {"idempotent": True, "body_bytes": 0, "mean_s": MEAN_S, "left_s": 2.5}
    fields.update(changes)
    return Demand(**fields)


def build_loads(seen_from="a-1", age_s=0.0, is_reachable=True, **busy_and_slots):
    """Return the loads of data centres, given as `a_1=(busy, slots)`."""
    loads = []
    for key, (busy, slots) in busy_and_slots.items():
        name = key.replace("_", "-")
        if name == seen_from:
            locality = Locality.DATA_CENTRE
        elif REGIONS[name] == REGIONS[seen_from]:
            locality = Locality.REGION
        else:
            locality = Locality.ELSEWHERE
        load = DataCentreLoad(name, REGIONS[name], locality, 0.01)
        load.is_reachable = is_reachable or locality is not Locality.ELSEWHERE
        load.add(slots, busy, 0.0 if name == seen_from else age_s)
        loads.append(load)
    return loads


def plan(demand=None, **loads):
    return build_plan(build_loads(**loads), demand or build_demand())


class PlanTests(testtools.TestCase):
    def test_requests_stay_while_servers_nearby_are_free(self):
        self.assertEqual({}, plan(a_1=(30, 40), a_2=(0, 40)).shares)

    def test_requests_stay_for_a_short_wait(self):
        # All servers nearby are busy; the wait is a fraction of what the objective
        # leaves. Requests left at once in such moments.
        self.assertEqual({}, plan(a_1=(46, 40), a_2=(0, 40), b_1=(0, 40)).shares)

    def test_long_wait_sends_a_share_to_the_region_and_not_elsewhere(self):
        shares = plan(a_1=(75, 40), a_2=(10, 40), b_1=(0, 40)).shares
        self.assertEqual(["a-2"], list(shares))
        self.assertTrue(0.0 < shares["a-2"] < 1.0)

    def test_other_regions_get_what_the_region_has_no_room_for(self):
        full = {"a_2": (60, 40), "b_1": (0, 40), "b_2": (20, 40)}
        shares = plan(a_1=(120, 40), **full).shares
        self.assertEqual({"b-1", "b-2"}, set(shares))
        self.assertThat(shares["b-1"], GreaterThan(shares["b-2"]))

    def test_other_regions_need_a_longer_wait(self):
        self.assertEqual({}, plan(a_1=(60, 40), b_1=(0, 40)).shares)
        self.assertEqual(["a-2"], list(plan(a_1=(75, 40), a_2=(0, 40)).shares))

    def test_nothing_is_sent_to_a_region_that_the_link_does_not_bear(self):
        loads = build_loads(a_1=(120, 40), b_1=(0, 40), is_reachable=False)
        self.assertEqual({}, build_plan(loads, build_demand()).shares)

    def test_urgent_requests_leave_sooner(self):
        loads = {"a_1": (60, 40), "a_2": (10, 40)}
        patient = plan(build_demand(left_s=3.0), **loads)
        urgent = plan(build_demand(left_s=0.8), **loads)
        self.assertThat(urgent.leaving, GreaterThan(patient.leaving))

    def test_older_information_sends_less(self):
        sent = [
            build_plan(
                build_loads(a_1=(200, 40), a_2=(20, 40), age_s=age_s), build_demand()
            ).leaving
            for age_s in (0.0, 2.0, 4.0, MAX_AGE_S)
        ]
        self.assertEqual(sorted(sent, reverse=True), sent)
        self.assertEqual(0.0, sent[-1])
        self.assertThat(sent[0], GreaterThan(sent[1]))

    def test_senders_together_send_no_more_than_fits(self):
        # Two data centres have too much, and see the same free slots in the third.
        loads = {"a_1": (200, 40), "a_2": (200, 40), "a_3": (14, 40)}
        sent = 0.0
        for name in ("a-1", "a-2"):
            seen = build_loads(name, **loads)
            # 80 requests a second arrive while 40 slots are in use for 0.5 s each.
            sent += 80 * build_plan(seen, build_demand()).leaving
        free_per_s = (40 - 14) / MEAN_S
        self.assertThat(sent, LessThan(free_per_s))
        self.assertThat(sent, GreaterThan(free_per_s * 0.5))

    def test_receiver_must_be_clearly_less_loaded(self):
        # The states of two nodes differ by some datagrams; without a gap, two data
        # centres near their limits could send urgent requests to each other.
        urgent = build_demand(left_s=0.0)
        self.assertEqual({}, plan(urgent, a_1=(42.5, 40), a_2=(33, 40)).shares)
        shares = plan(urgent, a_1=(42.5, 40), a_2=(20, 40)).shares
        self.assertEqual(["a-2"], list(shares))

    def test_two_data_centres_never_send_to_each_other(self):
        rng = random.Random(3)
        names = [name.replace("-", "_") for name in REGIONS]
        for _ in range(2000):
            loads = {name: (rng.randrange(120), rng.randrange(41)) for name in names}
            plans = {
                name: build_plan(build_loads(name, **loads), build_demand()).shares
                for name in REGIONS
                if loads[name.replace("-", "_")][1]
            }
            for one, other in itertools.combinations(plans, 2):
                if other in plans[one]:
                    self.assertNotIn(one, plans[other], loads)

    def test_shares_are_probabilities(self):
        rng = random.Random(4)
        names = [name.replace("-", "_") for name in REGIONS]
        for _ in range(2000):
            loads = {name: (rng.randrange(400), rng.randrange(41)) for name in names}
            demand = build_demand(left_s=rng.uniform(0.0, 3.0), mean_s=rng.random())
            found = plan(demand, **loads)
            self.assertTrue(0.0 <= found.leaving <= 1.000001, loads)
            self.assertTrue(all(share >= 0.0 for share in found.shares.values()))

    def test_data_centre_without_servers_uses_the_nearest_ones(self):
        for own in ({}, {"a_1": (0, 0)}):
            shares = plan(**own, a_2=(10, 40), b_1=(0, 40)).shares
            self.assertThat(shares, Equals({"a-2": 1.0}))
            shares = plan(**own, a_2=(60, 40), b_1=(0, 40)).shares
            self.assertThat(shares, Equals({"b-1": 1.0}))
            shares = plan(**own, a_2=(60, 40), b_1=(60, 40)).shares
            self.assertThat(shares, Equals({"a-2": 1.0}))
            self.assertEqual({}, plan(**own).shares)

    def test_controlled_overload_settles(self):
        # 40 slots finish 80 requests a second and 112 arrive; the state is one second
        # old. The share must neither swing between none and all nor send too much.
        busy, arrivals, finished = 40.0, 112.0, 80.0
        shares = []
        for _ in range(60):
            found = plan(a_1=(busy, 40), a_2=(0, 400)).leaving
            shares.append(found)
            busy = max(40.0, busy + arrivals * (1.0 - found) - finished)
        settled = shares[20:]
        expected = 1.0 - finished / arrivals
        self.assertThat(
            settled,
            AfterPreprocessing(
                lambda found: max(abs(share - expected) for share in found),
                LessThan(0.1),
            ),
        )


class PatienceTests(testtools.TestCase):
    def test_wait_and_processing_fit_into_the_objective(self):
        for mean_s, objective_s in ((0.71, 2.5), (0.39, 1.5), (0.22, 1.2), (0.16, 0.6)):
            demand = build_demand(mean_s=mean_s, left_s=objective_s)
            patience_s = compute_patience_s(demand)
            self.assertThat(patience_s + 1.3 * mean_s, LessThan(objective_s))
            self.assertThat(patience_s, GreaterThan(0.2))

    def test_request_beyond_its_objective_hardly_waits(self):
        self.assertEqual(MIN_PATIENCE_S, compute_patience_s(build_demand(left_s=0.0)))


class MeasureTests(testtools.TestCase):
    """What a server counts for, by its health and its limits."""

    def measure(self, idempotent=True, cold_rate=None, **changes):
        fields = {"running": 2, "waiting": 1, "standing": "sound", "cold_s": 0.0}
        fields.update(changes)
        server = ServerStatus("i-1", "prices", True, 4, **fields)
        demand = build_demand(idempotent=idempotent)
        return measure_server(Candidate(server, None, True), demand, cold_rate)

    def test_healthy_server_counts_with_its_slots(self):
        self.assertEqual((4, 3), self.measure())

    def test_ejected_and_suspect_servers_count_for_nothing(self):
        self.assertEqual((0, 0), self.measure(standing="ejected"))
        self.assertEqual((0, 0), self.measure(False, suspect=True))
        self.assertEqual((4, 3), self.measure(True, suspect=True))

    def test_half_open_server_counts_for_its_probe(self):
        self.assertEqual((1, 0), self.measure(standing="trial"))
        self.assertEqual((0, 0), self.measure(standing="trial", probing=True))
        self.assertEqual((0, 0), self.measure(False, standing="trial"))

    def test_failing_limited_and_cold_servers_count_for_less(self):
        self.assertEqual((2, 1.5), self.measure(hang_risk=50))
        self.assertEqual((1, 3), self.measure(limit=2.0))
        self.assertEqual((2, 3), self.measure(cold_s=9.0))
        self.assertEqual((0.5, 3), self.measure(cold_s=9.0, cold_rate=1.0))
