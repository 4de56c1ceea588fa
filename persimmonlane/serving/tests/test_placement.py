import random

import testtools

from ...clocks import ManualClock
from ...owner.standing import HealthState
from ...peers.messages import Announcement, ServerStatus
from ...peers.table import PeerTable
from ...routing.orders import OwnerReport
from ..placement import Candidate, Placement

ROUNDS = 2000


def build_news(number, near=True, **changes):
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
    zone = "south" if near else "north"
    server = ServerStatus(**fields)
    address = f"10.0.0.{number}:80"
    return Announcement(f"n-{number}", 1, 1, address, zone, False, 1, 0.1, 0, 0, server)


class PlacementTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = PeerTable("self", 1, ManualClock(5.0))
        self.placement = Placement(random.Random(11))

    def add(self, number, near=True, **changes):
        peer = self.table.apply_announcement(build_news(number, near, **changes))
        return Candidate(peer.announcement.server, peer, near)

    def count(self, candidates, idempotent=True, body_bytes=0):
        """Return how often each candidate is chosen, in requests."""
        counts = [0] * len(candidates)
        for _ in range(ROUNDS):
            chosen = self.placement.choose(candidates, idempotent, body_bytes)
            counts[candidates.index(chosen)] += 1
        return counts

    def test_many_free_servers_elsewhere_draw_little_from_a_near_one(self):
        far = [self.add(number, near=False) for number in range(2, 12)]
        near, *others = self.count([self.add(1, running=3), *far])
        self.assertThat(sum(others), testtools.matchers.LessThan(ROUNDS * 0.1))

    def test_full_near_servers_leave_requests_to_free_ones_elsewhere(self):
        candidates = [self.add(1, running=4, waiting=2), self.add(2, near=False)]
        near, far = self.count(candidates)
        self.assertThat(near, testtools.matchers.LessThan(ROUNDS * 0.1))

    def test_server_on_trial_draws_requests_of_its_own_data_centre_alone(self):
        trial = self.add(2, near=False, standing=HealthState.HALF_OPEN.value)
        near, far = self.count([self.add(1), trial])
        self.assertThat(far, testtools.matchers.LessThan(ROUNDS * 0.05))

    def test_doubtful_server_is_spared_what_cannot_be_repeated(self):
        candidates = [self.add(1, suspect=True), self.add(2)]
        suspect, sound = self.count(candidates, idempotent=False)
        self.assertThat(suspect, testtools.matchers.LessThan(ROUNDS * 0.05))

    def test_report_of_a_full_server_moves_the_next_requests(self):
        candidates = [self.add(1), self.add(2)]
        report = OwnerReport("not-run", "server-busy", 4, 3, "sound", 0.2)
        candidates[0].peer.apply_report("i-1", report)
        full, free = self.count(candidates)
        self.assertThat(full, testtools.matchers.LessThan(ROUNDS * 0.05))

    def test_report_on_a_former_server_changes_nothing(self):
        candidate = self.add(1)
        report = OwnerReport("not-run", "server-gone", 4, 3, "ejected", 0.2)
        candidate.peer.apply_report("i-0", report)
        self.assertEqual(0, candidate.server.running)
