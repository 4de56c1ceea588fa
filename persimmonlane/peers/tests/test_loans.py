import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from ...quotas.limiter import TOLERATED_MISSING_NODES
from ...routing.rulebook import Organisation
from ...serving.admission import RATE_QUERIES, RATE_REPLY_TIMEOUT_S
from ..messages import LoanRequest, LoanResponse, RateRequest
from .simulation import PORT, Fleet
from .test_gossip import deliver

SIZES = (6, 5, 4)
RATE = 40.0
BURST = 40.0
WINDOW_S = 5.0
# Users' upper bound on the requests of one organisation in a window.
MAX_GRANTED = (RATE * WINDOW_S + BURST) * 1.1 + 20
STEP_S = 0.05
PATIENCE_S = RATE_REPLY_TIMEOUT_S


class Rulebook:
    def __init__(self, organisation):
        self.organisations = {organisation.name: organisation}


class Reply:
    def __init__(self, clock):
        self.asked_at = clock.now()
        self.wait_s = None

    def set(self, wait_s):
        self.wait_s = wait_s


class LoadedFleet(Fleet):
    """A fleet whose nodes get requests of one organisation.

    Attributes:
        granted: Clock seconds of the granted requests.
        refused: Number of refused requests.
        alone: Number of requests that a node decided from its own share.
    """

    def __init__(self, sizes=SIZES, seed=1, legacy=(), rate=RATE):
        super().__init__(sizes, seed, legacy)
        self.organisation = Organisation("census", rate, rate, None)
        self.granted = []
        self.refused = 0
        self.alone = 0
        self.waiting = []
        self.run(5.0)

    def start(self, host, *arguments, **fields):
        node = super().start(host, *arguments, **fields)
        organisation = getattr(self, "organisation", None) or Organisation(
            "census", RATE, BURST, None
        )
        node.document.rulebook = Rulebook(organisation)
        return node

    def load(self, seconds, rate, hosts=None):
        """Send requests at a rate, spread at random over some nodes."""
        due = 0.0
        for _ in range(round(seconds / STEP_S)):
            self.run_step()
            due += rate * STEP_S
            while due >= 1.0:
                due -= 1.0
                names = [
                    host
                    for host in hosts or self.nodes
                    if host in self.nodes and host not in self.network.paused
                ]
                self.send(self.rng.choice(sorted(names)))
            self.network.deliver()
            self.collect()

    def run_step(self):
        self.clock.advance(STEP_S)
        for host, node in list(self.nodes.items()):
            if host in self.network.paused:
                continue
            if self.clock.now() >= self._phases[host]:
                self._phases[host] = self.clock.now() + 1.0
                node.announce()
        self.network.deliver()

    def send(self, host):
        node = self.nodes[host]
        reply = Reply(self.clock)
        node.gossip._rates.check(self.organisation, reply)
        self.waiting.append((node, reply, RATE_QUERIES - 1))

    def collect(self):
        now = self.clock.now()
        for entry in list(self.waiting):
            node, reply, queries_left = entry
            if reply.wait_s is None and now - reply.asked_at < PATIENCE_S:
                continue
            self.waiting.remove(entry)
            wait_s = reply.wait_s
            reply.set = lambda wait_s: None
            if wait_s is None and queries_left:
                reply = Reply(self.clock)
                node.gossip._rates.check(self.organisation, reply)
                self.waiting.append((node, reply, queries_left - 1))
                continue
            if wait_s is None:
                self.alone += 1
                wait_s = node.gossip._rates.decide_from_share(self.organisation)
            if wait_s <= 0:
                self.granted.append(now)
            else:
                self.refused += 1

    def find_max_granted(self):
        most = first = 0
        for last, at in enumerate(self.granted):
            while self.granted[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def find_home(self):
        """Return the number of the organisation's home data centre."""
        for number in (1, 2, 3):
            host = self.list_data_centre(number)[0]
            if self.nodes[host].gossip._rates.find_lender(self.organisation) is None:
                return number
        return None

    def find_holders(self, number):
        """Return the hosts that decide in a data centre, as its nodes see it."""
        holders = set()
        for host in self.list_data_centre(number):
            peer = self.nodes[host].gossip._rates.find_holder(self.organisation)
            holders.add(peer.host if peer else host)
        return holders


class BoundTestCase(testtools.TestCase):
    def assert_within_bound(self, fleet):
        self.assertThat(fleet.find_max_granted(), LessThan(MAX_GRANTED))


class LoanTests(BoundTestCase):
    def test_organisation_within_its_rate_is_not_refused(self):
        fleet = LoadedFleet()
        # A new bucket has few tokens.
        fleet.load(3.0, RATE * 0.3)
        fleet.refused = fleet.alone = 0
        fleet.load(20.0, RATE * 0.6)
        self.assertEqual((0, 0), (fleet.refused, fleet.alone))

    def test_small_organisation_within_its_rate_is_rarely_refused(self):
        fleet = LoadedFleet(rate=3.0)
        fleet.load(4.0, 0.5)
        fleet.refused = fleet.alone = 0
        fleet.load(60.0, 1.5)
        # One bucket of this rate and burst in one place would refuse about one request.
        self.assertEqual(0, fleet.alone)
        self.assertThat(fleet.refused, LessThan(5))

    def test_requests_that_arrive_together_are_not_refused(self):
        fleet = LoadedFleet()
        fleet.load(3.0, 1.0)
        fleet.refused = fleet.alone = 0
        for host in fleet.nodes:
            fleet.send(host)
        fleet.network.deliver()
        fleet.collect()
        self.assertEqual((0, 0), (fleet.refused, fleet.alone))

    def test_organisation_far_above_its_rate_is_limited_to_it(self):
        fleet = LoadedFleet()
        fleet.load(20.0, RATE * 7.5)
        self.assert_within_bound(fleet)
        self.assertThat(len(fleet.granted), GreaterThan(RATE * 20 * 0.9))

    def test_organisation_in_one_data_centre_gets_its_whole_rate(self):
        for number in (1, 2, 3):
            fleet = LoadedFleet()
            fleet.load(20.0, RATE * 3, fleet.list_data_centre(number))
            self.assert_within_bound(fleet)
            self.assertThat(len(fleet.granted), GreaterThan(RATE * 20 * 0.9))

    def test_burst_after_silence_is_within_the_bound(self):
        fleet = LoadedFleet()
        for _ in range(4):
            fleet.load(3.0, RATE * 0.5)
            fleet.load(4.0, RATE * 10)
            fleet.load(8.0, 1.0)
        self.assert_within_bound(fleet)

    def test_most_requests_need_no_message_between_data_centres(self):
        fleet = LoadedFleet()
        fleet.load(5.0, RATE * 0.6)
        fleet.network.seen.clear()
        fleet.load(20.0, RATE * 0.6)
        requests = RATE * 0.6 * 20
        loans = [
            message
            for _, message in fleet.network.seen
            if isinstance(message, LoanRequest)
        ]
        self.assertThat(len(loans), LessThan(requests * 0.2))
        for receiver, message in fleet.network.seen:
            if isinstance(message, RateRequest):
                sender = message.node.removeprefix("vm-")
                self.assertEqual(sender.rpartition(".")[0], receiver.rpartition(".")[0])

    def test_one_node_decides_in_each_data_centre(self):
        fleet = LoadedFleet()
        for number in (1, 2, 3):
            self.assertEqual(1, len(fleet.find_holders(number)))


class DisruptionTests(BoundTestCase):
    """The bound holds whatever fails; the organisation sends far above its rate."""

    def test_holder_dies(self):
        fleet = LoadedFleet()
        fleet.load(6.0, RATE * 5)
        for host in fleet.find_holders(fleet.find_home()):
            fleet.kill(host)
        fleet.load(15.0, RATE * 5)
        self.assert_within_bound(fleet)

    def test_holder_is_restarted_again_and_again(self):
        fleet = LoadedFleet()
        fleet.load(6.0, RATE * 5)
        (host,) = fleet.find_holders(fleet.find_home())
        for _ in range(4):
            fleet.kill(host)
            fleet.load(0.8, RATE * 5)
            fleet.start(host)
            fleet.register()
            fleet.load(2.0, RATE * 5)
        self.assert_within_bound(fleet)

    def test_borrowers_are_restarted(self):
        fleet = LoadedFleet()
        home = fleet.find_home()
        for _ in range(4):
            fleet.load(2.0, RATE * 5)
            for number in {1, 2, 3} - {home}:
                for host in fleet.find_holders(number):
                    fleet.kill(host)
                    fleet.start(host)
            fleet.register()
        fleet.load(5.0, RATE * 5)
        self.assert_within_bound(fleet)

    def test_paused_holder_comes_back(self):
        for seconds in (1.0, 3.0, 8.0):
            fleet = LoadedFleet()
            fleet.load(6.0, RATE * 5)
            fleet.network.paused = set(fleet.find_holders(fleet.find_home()))
            fleet.load(seconds, RATE * 5)
            fleet.network.paused = set()
            fleet.load(8.0, RATE * 5)
            self.assert_within_bound(fleet)

    def test_data_centre_is_cut_off(self):
        for number in (1, 2, 3):
            for directions in ("both", "in", "out"):
                fleet = LoadedFleet()
                fleet.load(6.0, RATE * 5)
                for other in {1, 2, 3} - {number}:
                    if directions in ("both", "in"):
                        fleet.network.cuts.add((f"10.0.{other}", f"10.0.{number}"))
                    if directions in ("both", "out"):
                        fleet.network.cuts.add((f"10.0.{number}", f"10.0.{other}"))
                fleet.load(20.0, RATE * 5)
                fleet.network.cuts.clear()
                fleet.load(10.0, RATE * 5)
                self.assert_within_bound(fleet)

    def test_data_centre_that_is_cut_off_goes_on_with_a_share(self):
        fleet = LoadedFleet()
        number = fleet.find_home() % 3 + 1
        for other in {1, 2, 3} - {number}:
            fleet.network.cuts.add((f"10.0.{other}", f"10.0.{number}"))
            fleet.network.cuts.add((f"10.0.{number}", f"10.0.{other}"))
        hosts = fleet.list_data_centre(number)
        fleet.load(10.0, RATE, hosts)
        fleet.granted.clear()
        fleet.load(10.0, RATE, hosts)
        share = len(hosts) / sum(SIZES)
        self.assertThat(len(fleet.granted), GreaterThan(RATE * 10 * share * 0.8))

    def test_single_nodes_are_cut_off(self):
        for seed in range(101, 113):
            fleet = LoadedFleet(seed=seed)
            fleet.load(6.0, RATE * 5)
            hosts = sorted(fleet.nodes)
            isolated = fleet.rng.sample(hosts, 5)
            for host in isolated:
                for other in hosts:
                    fleet.network.cuts.add((host, other))
                    fleet.network.cuts.add((other, host))
            fleet.load(12.0, RATE * 5)
            fleet.network.cuts.clear()
            fleet.load(8.0, RATE * 5)
            self.assert_within_bound(fleet)

    def test_many_nodes_are_killed_at_once(self):
        for seed in range(4):
            fleet = LoadedFleet(seed=seed)
            fleet.load(6.0, RATE * 5)
            killed = fleet.rng.sample(sorted(fleet.nodes), 8)
            for host in killed:
                fleet.kill(host)
            fleet.load(2.0, RATE * 5)
            for host in killed:
                fleet.start(host)
            fleet.register()
            fleet.load(8.0, RATE * 5)
            self.assert_within_bound(fleet)

    def test_seeded_disruptions(self):
        for seed in range(8):
            fleet = LoadedFleet(seed=seed)
            rng = random.Random(seed)
            for _ in range(8):
                network = fleet.network
                hosts = sorted(fleet.nodes)
                network.loss = rng.choice((0.0, 0.03, 0.1))
                network.paused = set(rng.sample(hosts, rng.randrange(3)))
                network.cuts = {
                    tuple(rng.sample(hosts, 2)) for _ in range(rng.randrange(8))
                }
                if rng.random() < 0.3:
                    network.cuts.add(("10.0.1", "10.0.2"))
                if rng.random() < 0.4:
                    host = rng.choice(hosts)
                    fleet.kill(host)
                    fleet.start(host)
                    fleet.register()
                fleet.load(rng.random() * 5.0, RATE * rng.choice((0.5, 2, 6)))
            self.assert_within_bound(fleet)


class MixedReleaseTests(BoundTestCase):
    def test_bound_holds_beside_older_releases(self):
        fleet = LoadedFleet(legacy=("10.0.1.1", "10.0.2.3", "10.0.3.4"))
        fleet.load(15.0, RATE * 5)
        self.assert_within_bound(fleet)
        self.assertThat(len(fleet.granted), GreaterThan(RATE * 15 * 0.9))


class BadInputTests(testtools.TestCase):
    """Forged and replayed messages change neither a bucket nor a loan."""

    def setUp(self):
        super().setUp()
        self.fleet = LoadedFleet()
        self.home = self.fleet.find_home()
        (host,) = self.fleet.find_holders(self.home)
        self.holder = self.fleet.nodes[host]
        number = self.home % 3 + 1
        (host,) = self.fleet.find_holders(number)
        self.borrower = self.fleet.nodes[host]

    def get_bucket(self):
        return self.holder.gossip._rates._limiter._buckets["census"]

    def ask(self, sequence, want=5, unspent=0, organisation="census"):
        boot = self.borrower.gossip._boot
        request = LoanRequest(
            sequence, organisation, boot, sequence, want, 0, unspent, 0
        )
        deliver(self.holder.gossip, request, (self.borrower.host, PORT))

    def test_replayed_request_lends_nothing(self):
        self.ask(1)
        tokens = self.get_bucket().tokens
        self.ask(1)
        self.assertEqual(tokens, self.get_bucket().tokens)

    def test_request_for_an_unknown_organisation_is_ignored(self):
        self.fleet.network.seen.clear()
        self.ask(1, organisation="unknown")
        self.fleet.network.deliver()
        self.assertEqual([], self.fleet.network.seen)

    def test_request_for_too_many_tokens_gets_those_that_there_are(self):
        self.ask(1, want=1 << 40)
        self.assertThat(self.get_bucket().tokens, GreaterThan(-0.001))

    def test_response_that_was_not_asked_for_is_ignored(self):
        rates = self.borrower.gossip._rates
        deliver(
            self.borrower.gossip,
            LoanResponse(99, 1000, 0.0),
            (self.holder.host, PORT),
        )
        self.assertEqual({}, rates._borrowed)

    def test_late_response_is_ignored(self):
        now = self.fleet.clock.now()
        rates = self.borrower.gossip._rates
        borrowed = rates._get_borrowed(self.fleet.organisation)
        with rates._lock:
            rates._borrow(self.fleet.organisation, borrowed, self.as_peer(), now)
            rates._borrow(self.fleet.organisation, borrowed, self.as_peer(), now)
        correlation_id = rates._pending._last_id - 1
        response = LoanResponse(correlation_id, 1000, 0.0)
        deliver(self.borrower.gossip, response, (self.holder.host, PORT))
        self.assertEqual(0, borrowed.borrower.count_unspent(now))

    def as_peer(self):
        return self.borrower.table.peers[self.holder.name]

    def test_tolerated_nodes_are_few(self):
        self.assertThat(TOLERATED_MISSING_NODES, LessThan(3))
