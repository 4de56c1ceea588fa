import random

import testtools
from testtools.matchers import GreaterThan, LessThan

from ...routing.rulebook import Organisation
from .test_loans import LoadedFleet, Rulebook

RATE = 40.0
BURST = 200.0
WINDOW_S = 5.0
# Users' upper bound on the requests of one organisation in a window.
MAX_GRANTED = (RATE * WINDOW_S + BURST) * 1.1 + 20
CALM = 6.0
HOT = 300.0
# A planned stop: the node announces it, ends later and is started again.
END_S = 2.5
RESTART_S = 0.8
# Seeded orders of events; the environment of a long run may ask for more.
SEEDS = 40
EVENTS = 8


class ChangingFleet(LoadedFleet):
    """A fleet whose holder of an organisation's rate changes.

    Attributes:
        events: Names of the events so far, for the message of a failed check.
    """

    def __init__(self, sizes=(3,), seed=1):
        self.events = []
        self.organisation = Organisation("census", RATE, BURST, None)
        super().__init__(sizes, seed)
        self.organisation = Organisation("census", RATE, BURST, None)
        for node in self.nodes.values():
            node.document.rulebook = Rulebook(self.organisation)

    def find_holder(self):
        number = self.find_home() if len(self._list_data_centres()) > 1 else 1
        return sorted(self.find_holders(number))[0]

    def _list_data_centres(self):
        return {host.rpartition(".")[0] for host in self.nodes}

    def list_senders(self, *excluded):
        return [
            host
            for host, node in self.nodes.items()
            if host not in excluded and not node.state.leaving
        ]

    def announce_stop(self, host):
        self.events.append(f"stop {host}")
        self.nodes[host].state.leaving = True
        self.nodes[host].announce()

    def start_again(self, host):
        """Start a node; it announces itself once it has read the store's entries."""
        self.start(host)
        self.register()
        self.nodes[host].announce()

    def stop_and_start(self, host, rate):
        """Stop and start a node in good order; callers avoid it meanwhile."""
        self.announce_stop(host)
        self.load(END_S, rate, self.list_senders(host))
        self.kill(host)
        self.load(RESTART_S, rate, self.list_senders(host))
        self.start_again(host)

    def kill_and_start(self, host, rate, seconds):
        self.events.append(f"kill {host} for {seconds:.1f}")
        self.kill(host)
        self.load(seconds, rate)
        self.start_again(host)

    def freeze(self, hosts, rate, seconds):
        self.events.append(f"freeze {hosts} for {seconds:.1f}")
        self.network.paused = set(hosts)
        self.load(seconds, rate)
        self.network.paused = set()

    def cut(self, host, rate, seconds, directions):
        self.events.append(f"cut {host} {directions} for {seconds:.1f}")
        for other in self.nodes:
            if other != host and directions in ("both", "in"):
                self.network.cuts.add((other, host))
            if other != host and directions in ("both", "out"):
                self.network.cuts.add((host, other))
        self.load(seconds, rate)
        self.network.cuts.clear()


def play_events(fleet, rng, count=EVENTS):
    """Let events befall the nodes at random, mostly the holder of the rate."""
    for _ in range(count):
        rate = rng.choice((CALM, CALM, HOT))
        hosts = sorted(fleet.nodes)
        host = fleet.find_holder() if rng.random() < 0.7 else rng.choice(hosts)
        kind = rng.choice(("stop", "kill", "freeze", "cut", "wait"))
        if kind == "stop":
            fleet.stop_and_start(host, rate)
        elif kind == "kill":
            fleet.kill_and_start(host, rate, rng.uniform(0.3, 6.0))
        elif kind == "freeze":
            fleet.freeze([host], rate, rng.uniform(0.2, 8.0))
        elif kind == "cut":
            directions = rng.choice(("both", "in", "out"))
            fleet.cut(host, rate, rng.uniform(0.5, 8.0), directions)
        fleet.network.loss = rng.choice((0.0, 0.0, 0.03))
        fleet.load(rng.uniform(0.2, 7.0), rng.choice((CALM, HOT)))


class ChangeOfHolderTestCase(testtools.TestCase):
    def assert_within_bound(self, fleet):
        granted = fleet.find_max_granted()
        self.assertThat(granted, LessThan(MAX_GRANTED), f"{fleet.events}")


class HandoverTests(ChangeOfHolderTestCase):
    """The sum granted in any window, whoever holds the rate."""

    def test_holder_is_stopped_again_while_the_organisation_sends_its_burst(self):
        # A bucket that was not in use meanwhile must not be full (review/4).
        fleet = ChangingFleet()
        fleet.load(6.0, CALM)
        host = fleet.find_holder()
        others = fleet.list_senders(host)
        fleet.stop_and_start(host, CALM)
        fleet.load(9.0, CALM, others)
        fleet.load(1.0, HOT, others)
        fleet.stop_and_start(host, HOT)
        self.assert_within_bound(fleet)

    def test_node_that_stops_does_not_grant_beside_its_successor(self):
        fleet = ChangingFleet()
        fleet.load(8.0, CALM)
        host = fleet.find_holder()
        fleet.announce_stop(host)
        fleet.load(END_S, HOT, list(fleet.nodes))
        self.assert_within_bound(fleet)

    def test_planned_stop_hands_the_burst_over(self):
        # Without the state, the successor would refuse a burst that is allowed.
        fleet = ChangingFleet()
        fleet.load(12.0, CALM)
        host = fleet.find_holder()
        fleet.announce_stop(host)
        fleet.load(0.3, CALM, fleet.list_senders(host))
        fleet.granted.clear()
        fleet.load(0.5, HOT, fleet.list_senders(host))
        self.assertThat(len(fleet.granted), GreaterThan(BURST * 0.7))

    def test_holders_are_stopped_in_turn(self):
        for seed in range(4):
            fleet = ChangingFleet(seed=seed)
            fleet.load(10.0, CALM)
            for rate in (HOT, CALM, HOT, HOT):
                for host in sorted(fleet.nodes):
                    fleet.stop_and_start(host, rate)
            self.assert_within_bound(fleet)

    def test_seeded_orders_of_events_in_a_small_fleet(self):
        for seed in range(SEEDS):
            fleet = ChangingFleet(seed=seed)
            play_events(fleet, random.Random(seed))
            self.assert_within_bound(fleet)

    def test_lost_announcement_of_a_node_that_stops(self):
        # Its successor hands the tokens back until it knows; both buckets filled.
        fleet = ChangingFleet(seed=70)
        play_events(fleet, random.Random(70))
        self.assert_within_bound(fleet)

    def check_order(self, seed):
        fleet = ChangingFleet(seed=seed)
        play_events(fleet, random.Random(seed))
        self.assert_within_bound(fleet)

    def test_seeded_order_440(self):
        # A receiver that was started between two copies of a handover.
        self.check_order(440)

    def test_seeded_order_534(self):
        # Several faults within 50 s; see KNOWN-RED.txt.
        self.check_order(534)

    def test_seeded_order_927(self):
        # Several faults within 50 s; see KNOWN-RED.txt.
        self.check_order(927)

    def test_seeded_orders_of_events_in_several_data_centres(self):
        for seed in range(SEEDS // 4):
            fleet = ChangingFleet((6, 5, 4), seed=seed)
            play_events(fleet, random.Random(seed))
            self.assert_within_bound(fleet)
