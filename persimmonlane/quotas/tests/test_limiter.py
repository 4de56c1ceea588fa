import testtools

from ...clocks import ManualClock
from ...routing.rulebook import Organisation
from ..buckets import rank_holders
from ..limiter import Limiter

RATE = 42.0
BURST = 42.0
WINDOW_S = 5.0
# Users' upper bound on the requests of one organisation in a window.
MAX_GRANTED = (RATE * WINDOW_S + BURST) * 1.1 + 20


class SimulatedFleet:
    """Limiters of a fleet; the holder that the sender finds decides on each request."""

    def __init__(self, size):
        self.clock = ManualClock(10.0)
        self.names = [f"node-{number}" for number in range(size)]
        self.limiters = {name: Limiter(name, self.clock) for name in self.names}
        self.live = {name: list(self.names) for name in self.names}
        self.organisation = Organisation("census", RATE, BURST, None)
        self.granted = []

    def request(self, name):
        live = self.live[name]
        others = [other for other in live if other != name]
        holder = self.limiters[name].find_holder("census", others)
        wait_s = self.limiters[holder].decide(
            self.organisation, len(live), len(self.names)
        )
        if wait_s <= 0:
            self.granted.append(self.clock.now())
        return wait_s

    def load(self, seconds, rate):
        for number in range(int(seconds * rate)):
            self.clock.advance(1.0 / rate)
            self.request(self.names[number % len(self.names)])

    def find_max_granted(self):
        return max(
            sum(
                1 for at in self.granted if window_start <= at < window_start + WINDOW_S
            )
            for window_start in self.granted
        )


class LimiterTests(testtools.TestCase):
    def test_organisation_far_above_its_rate_is_limited_to_its_rate(self):
        fleet = SimulatedFleet(30)
        fleet.load(20.0, RATE * 7.5)
        self.assertThat(
            fleet.find_max_granted(), testtools.matchers.LessThan(MAX_GRANTED)
        )
        self.assertThat(
            len(fleet.granted), testtools.matchers.GreaterThan(RATE * 20 * 0.95)
        )

    def test_organisation_within_its_rate_is_not_refused(self):
        fleet = SimulatedFleet(30)
        fleet.load(20.0, RATE * 0.9)
        self.assertEqual(int(20 * RATE * 0.9), len(fleet.granted))

    def test_holder_follows_the_live_nodes(self):
        limiter = Limiter("own", ManualClock(1.0))
        names = [f"node-{number}" for number in range(30)]
        for live in (names, names[:10], names[10:], names, []):
            for organisation in ("census", "harbour", "census"):
                ranked = rank_holders(organisation, ["own", *live])
                self.assertEqual(ranked[0], limiter.find_holder(organisation, live))

    def test_partitioned_fleet_stays_within_the_bound(self):
        fleet = SimulatedFleet(30)
        fleet.load(10.0, RATE * 7.5)
        partitioned, rest = fleet.names[:10], fleet.names[10:]
        fleet.live.update({name: [name] for name in partitioned})
        fleet.live.update(dict.fromkeys(rest, rest))
        fleet.load(10.0, RATE * 7.5)
        self.assertThat(
            fleet.find_max_granted(), testtools.matchers.LessThan(MAX_GRANTED)
        )

    def test_successor_of_a_lost_holder_starts_with_few_tokens(self):
        fleet = SimulatedFleet(30)
        fleet.load(10.0, RATE * 7.5)
        holder = rank_holders("census", fleet.names)[0]
        rest = [name for name in fleet.names if name != holder]
        fleet.live.update(dict.fromkeys(rest, rest))
        fleet.names = rest
        fleet.load(10.0, RATE * 7.5)
        self.assertThat(
            fleet.find_max_granted(), testtools.matchers.LessThan(MAX_GRANTED)
        )

    def test_refusal_returns_the_time_to_the_next_token(self):
        fleet = SimulatedFleet(3)
        waits = [fleet.request("node-0") for _ in range(200)]
        wait_s = max(waits)
        fleet.clock.advance(wait_s + 0.001)
        self.assertEqual(0.0, fleet.request("node-0"))

    def test_share_granted_without_the_holder_is_small(self):
        fleet = SimulatedFleet(30)
        limiter = fleet.limiters["node-0"]
        granted = 0
        for _ in range(1000):
            fleet.clock.advance(0.01)
            granted += limiter.decide_from_share(fleet.organisation, 30) <= 0
        self.assertThat(granted, testtools.matchers.LessThan(RATE / 30 * 10 + 4))
