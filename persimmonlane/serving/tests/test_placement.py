import random

import testtools

from ...clocks import ManualClock
from ...owner.health import HealthState
from ...peers.statuses import Announcement, ServerStatus
from ...peers.table import PeerTable
from ...routing.metadata import OwnerReport
from ...routing.rulebook import ColdStart
from ..placement import Candidate, Placement

PLACEMENT_COUNT = 2000


def build_news(number, same_data_centre=True, **changes):
    fields = {
        "server_id": f"i-{number}",
        "service": "prices",
        "ready": True,
        "slots": 4,
        "running": 0,
        "waiting": 0,
        "standing": HealthState.HEALTHY.value,
        "cold_s": 0.0,
    }
    fields.update(changes)
    zone = "south" if same_data_centre else "north"
    server = ServerStatus(**fields)
    address = f"10.0.0.{number}:80"
    return Announcement(f"n-{number}", 1, 1, address, zone, False, 1, 0.1, 0, 0, server)


class PlacementTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        self.table = PeerTable("self", "south", 1, ManualClock(5.0))
        self.placement = Placement(random.Random(11))

    def add_candidate(self, number, same_data_centre=True, **changes):
        peer = self.table.apply_announcement(
            build_news(number, same_data_centre, **changes)
        )
        return Candidate(peer.announcement.server, peer, same_data_centre)

    def count_choices(self, candidates, idempotent=True, body_bytes=0):
        """Return how many requests each candidate gets."""
        counts = [0] * len(candidates)
        for _ in range(PLACEMENT_COUNT):
            chosen = self.placement.choose(candidates, idempotent, body_bytes)
            counts[candidates.index(chosen)] += 1
        return counts

    def test_cold_server_gets_requests_by_its_rate_and_not_by_its_slots(self):
        self.placement.find_cold_start = lambda service: ColdStart(5.0, 2.0)
        cold = self.add_candidate(1, slots=10, cold_s=4.0)
        candidates = [cold, self.add_candidate(2, slots=10)]
        counts = [0, 0]
        for _ in range(PLACEMENT_COUNT):
            chosen = self.placement.choose(candidates, True, 0, 0.5)
            counts[candidates.index(chosen)] += 1
        self.assertThat(counts[0], testtools.matchers.LessThan(PLACEMENT_COUNT / 8))

    def test_many_free_servers_in_other_data_centres_get_few_requests(self):
        far = [
            self.add_candidate(number, same_data_centre=False)
            for number in range(2, 12)
        ]
        near, *others = self.count_choices([self.add_candidate(1, running=3), *far])
        self.assertThat(sum(others), testtools.matchers.LessThan(PLACEMENT_COUNT * 0.1))

    def test_other_data_centres_get_requests_when_near_servers_are_full(self):
        candidates = [
            self.add_candidate(1, running=4, waiting=2),
            self.add_candidate(2, same_data_centre=False),
        ]
        near, far = self.count_choices(candidates)
        self.assertThat(near, testtools.matchers.LessThan(PLACEMENT_COUNT * 0.1))

    def test_half_open_server_gets_few_requests_from_other_data_centres(self):
        trial = self.add_candidate(
            2, same_data_centre=False, standing=HealthState.HALF_OPEN.value
        )
        near, far = self.count_choices([self.add_candidate(1), trial])
        self.assertThat(far, testtools.matchers.LessThan(PLACEMENT_COUNT * 0.05))

    def test_half_open_server_gets_a_probe_beside_unanswered_requests(self):
        for probing, running, is_probed in (
            (False, 2, True),
            # Older releases tell only how many requests run.
            (None, 0, True),
            (None, 2, False),
        ):
            half_open = self.add_candidate(
                1,
                standing=HealthState.HALF_OPEN.value,
                running=running,
                probing=probing,
            )
            chosen, _ = self.count_choices([half_open, self.add_candidate(2)])
            self.assertEqual(is_probed, chosen > PLACEMENT_COUNT * 0.3, probing)
            self.start()

    def test_half_open_server_is_not_asked_for_what_it_refuses(self):
        for idempotent, probing in ((True, True), (False, False), (False, None)):
            self.start()
            full = [self.add_candidate(n, running=4, waiting=5) for n in (2, 3)]
            half_open = self.add_candidate(
                1, standing=HealthState.HALF_OPEN.value, running=1, probing=probing
            )
            counts = self.count_choices([half_open, *full], idempotent)
            self.assertEqual(0, counts[0], (idempotent, probing))
            self.assertIsNone(self.placement.choose([half_open], idempotent, 0))

    def test_risky_server_that_is_quiet_gets_an_idempotent_request(self):
        risky = self.add_candidate(1, hang_risk=45, quiet=True)
        others = [self.add_candidate(number) for number in (2, 3, 4)]
        probes, *_ = self.count_choices([risky, *others])
        self.assertThat(probes, testtools.matchers.GreaterThan(PLACEMENT_COUNT * 0.1))
        lost, *_ = self.count_choices([risky, *others], idempotent=False)
        self.assertThat(lost, testtools.matchers.LessThan(PLACEMENT_COUNT * 0.02))

    def test_suspect_server_gets_few_requests_that_are_not_idempotent(self):
        candidates = [self.add_candidate(1, suspect=True), self.add_candidate(2)]
        suspect, healthy = self.count_choices(candidates, idempotent=False)
        self.assertThat(suspect, testtools.matchers.LessThan(PLACEMENT_COUNT * 0.05))

    def test_risky_server_gets_few_requests_that_are_not_idempotent(self):
        candidates = [self.add_candidate(1, error_risk=60), self.add_candidate(2)]
        risky, healthy = self.count_choices(candidates, idempotent=False)
        self.assertThat(risky, testtools.matchers.LessThan(PLACEMENT_COUNT * 0.05))

    def test_idempotent_requests_show_whether_a_risky_server_fails(self):
        candidates = [self.add_candidate(1, hang_risk=60), self.add_candidate(2)]
        risky, healthy = self.count_choices(candidates, idempotent=True)
        self.assertThat(risky, testtools.matchers.GreaterThan(PLACEMENT_COUNT * 0.01))
        self.assertThat(risky, testtools.matchers.LessThan(healthy))

    def test_report_updates_the_risk(self):
        candidates = [self.add_candidate(1), self.add_candidate(2)]
        report = OwnerReport("ran", "", 0, 0, "sound", 0.0, False, 70, 10)
        candidates[0].peer.apply_report("i-1", report)
        self.assertEqual(0.8, candidates[0].server.risk)

    def test_server_reported_full_gets_few_further_requests(self):
        candidates = [self.add_candidate(1), self.add_candidate(2)]
        report = OwnerReport("not-run", "server-busy", 4, 3, "sound", 0.2)
        candidates[0].peer.apply_report("i-1", report)
        full, free = self.count_choices(candidates)
        self.assertThat(full, testtools.matchers.LessThan(PLACEMENT_COUNT * 0.05))

    def test_report_on_a_replaced_server_is_ignored(self):
        candidate = self.add_candidate(1)
        report = OwnerReport("not-run", "server-gone", 4, 3, "ejected", 0.2)
        candidate.peer.apply_report("i-0", report)
        self.assertEqual(0, candidate.server.running)

    def test_limited_server_gets_the_share_that_its_limit_allows(self):
        limited = self.add_candidate(1, limit=1.0)
        other = self.add_candidate(2)
        counts = [0, 0]
        for _ in range(PLACEMENT_COUNT):
            chosen = self.placement.choose([limited, other], True, 0, mean_s=0.5)
            counts[chosen is other] += 1
        expected = PLACEMENT_COUNT * 0.5 / 4.5
        self.assertThat(counts[0], testtools.matchers.LessThan(expected * 1.3))
        self.assertThat(counts[0], testtools.matchers.GreaterThan(expected * 0.7))

    def test_last_resort_prefers_a_server_without_a_limit(self):
        limited = self.add_candidate(1, limit=0.0)
        other = self.add_candidate(2, running=4, waiting=1)
        chosen = self.placement.choose_last_resort([limited, other], {})
        self.assertIs(other, chosen)
