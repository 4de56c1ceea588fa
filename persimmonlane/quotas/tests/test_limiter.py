import testtools

from ...clocks import ManualClock
from ...routing.rulebook import Organisation
from ..buckets import rank_holders
from ..limiter import Limiter

RATE = 42.0
BURST = 42.0
WINDOW_S = 5.0
# The users' bound on what one organisation may run in a window.
MOST = (RATE * WINDOW_S + BURST) * 1.1 + 20


class Fleet:
    """Limiters of a fleet; each request is decided where its sender sees the holder."""

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

    def find_most(self):
        return max(
            sum(1 for at in self.granted if began <= at < began + WINDOW_S)
            for began in self.granted
        )


class LimiterTests(testtools.TestCase):
    def test_organisation_far_beyond_its_rate_gets_its_rate(self):
        fleet = Fleet(30)
        fleet.load(20.0, RATE * 7.5)
        self.assertThat(fleet.find_most(), testtools.matchers.LessThan(MOST))
        self.assertThat(
            len(fleet.granted), testtools.matchers.GreaterThan(RATE * 20 * 0.95)
        )

    def test_organisation_within_its_rate_is_not_refused(self):
        fleet = Fleet(30)
        fleet.load(20.0, RATE * 0.9)
        self.assertEqual(int(20 * RATE * 0.9), len(fleet.granted))

    def test_holder_follows_the_live_nodes(self):
        limiter = Limiter("own", ManualClock(1.0))
        names = [f"node-{number}" for number in range(30)]
        for live in (names, names[:10], names[10:], names, []):
            for organisation in ("census", "harbour", "census"):
                ranked = rank_holders(organisation, ["own", *live])
                self.assertEqual(ranked[0], limiter.find_holder(organisation, live))

    def test_cut_fleet_stays_within_the_bound(self):
        fleet = Fleet(30)
        fleet.load(10.0, RATE * 7.5)
        cut, rest = fleet.names[:10], fleet.names[10:]
        fleet.live.update({name: [name] for name in cut})
        fleet.live.update(dict.fromkeys(rest, rest))
        fleet.load(10.0, RATE * 7.5)
        self.assertThat(fleet.find_most(), testtools.matchers.LessThan(MOST))

    def test_lost_holder_is_followed_by_one_that_begins_low(self):
        fleet = Fleet(30)
        fleet.load(10.0, RATE * 7.5)
        holder = rank_holders("census", fleet.names)[0]
        rest = [name for name in fleet.names if name != holder]
        fleet.live.update(dict.fromkeys(rest, rest))
        fleet.names = rest
        fleet.load(10.0, RATE * 7.5)
        self.assertThat(fleet.find_most(), testtools.matchers.LessThan(MOST))

    def test_refusal_tells_when_the_next_token_is_there(self):
        fleet = Fleet(3)
        waits = [fleet.request("node-0") for _ in range(200)]
        wait_s = max(waits)
        fleet.clock.advance(wait_s + 0.001)
        self.assertEqual(0.0, fleet.request("node-0"))

    def test_share_without_the_holder_is_small(self):
        fleet = Fleet(30)
        limiter = fleet.limiters["node-0"]
        granted = 0
        for _ in range(1000):
            fleet.clock.advance(0.01)
            granted += limiter.decide_from_share(fleet.organisation, 30) <= 0
        self.assertThat(granted, testtools.matchers.LessThan(RATE / 30 * 10 + 4))
