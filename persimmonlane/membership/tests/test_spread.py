import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from persimmonlane.membership.tests.network import (
    LEASE_S,
    STEP_S,
    FakeNetwork,
    build_fleet,
)

SETTLE_S = 12.0
NAMES = ("n00", "n01", "n10", "n11", "n20")
SEEDS = ("n00", "n10")
names = st.sampled_from(NAMES)


class SpreadMachine(stateful.RuleBasedStateMachine):
    """Several tables over a network that loses, delays, repeats and cuts."""

    def __init__(self):
        super().__init__()
        self.network = FakeNetwork(7)
        self.lives = 10
        self.last_word = {}
        self.told = {}
        for name in NAMES:
            self.boot(name, self.lives)
        self.advance(4.0)

    def boot(self, name, incarnation):
        node = self.network.add_node(name, f"dc{name[1]}", incarnation, SEEDS)
        self.told[name] = set()
        node.add_server(f"{name}:80", incarnation)
        self.note_word(node)

    def note_word(self, node):
        if node.alive and not node.paused:
            for server in node.hosted.announcement.servers:
                if not server.leaving:
                    key = (server.address, server.incarnation)
                    self.last_word[key] = self.network.clock.now()

    def check(self):
        now = self.network.clock.now()
        for node in self.network.nodes.values():
            self.note_word(node)
        for node in self.network.nodes.values():
            listed = {(s.address, s.incarnation) for s in node.table.servers()}
            for key in listed:
                age_s = now - self.last_word[key]
                assert age_s <= LEASE_S + STEP_S, (node.name, key, age_s)
            back = listed & self.told[node.name]
            assert not back, (node.name, back)
            self.told[node.name] |= self.collect_leaving(node)

    def collect_leaving(self, node):
        return {
            (server.address, server.incarnation)
            for group in node.table._groups.values()
            if group.announcement is not None
            for server in group.announcement.servers
            if server.leaving
        }

    def advance(self, seconds):
        self.network.run(seconds, self.check)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2, 0.5, 1.0, 4.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @stateful.rule(name=names)
    def leave(self, name):
        node = self.network.nodes[name]
        self.note_word(node)
        if node.alive and not node.paused:
            node.leave(f"{name}:80")

    @stateful.rule(name=names, forward=st.booleans())
    def restart(self, name, forward):
        self.network.resume(name)
        self.network.kill(name)
        self.lives += 1
        self.advance(0.1)
        # A clock set back gives a lower incarnation than the last life's.
        incarnation = self.lives if forward else 1000 - self.lives
        self.boot(name, incarnation)

    @stateful.rule(name=names)
    def pause(self, name):
        self.note_word(self.network.nodes[name])
        self.network.pause(name)

    @stateful.rule(name=names)
    def resume(self, name):
        self.network.resume(name)
        self.check()

    @stateful.rule(sender=names, receiver=names)
    def cut(self, sender, receiver):
        self.network.cuts.add((sender, receiver))

    @stateful.rule()
    def heal(self):
        self.network.cuts.clear()

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.5, 1.0]),
        delay_s=st.sampled_from([0.0, 0.9, 4.0]),
        repeats=st.sampled_from([0.0, 0.5]),
    )
    def degrade(self, loss, delay_s, repeats):
        self.network.loss = loss
        self.network.extra_delay_s = delay_s
        self.network.repeats = repeats

    def teardown(self):
        self.heal()
        self.degrade(loss=0.0, delay_s=0.0, repeats=0.0)
        for name in NAMES:
            self.network.resume(name)
        self.advance(SETTLE_S)
        expected = {
            server.address
            for node in self.network.nodes.values()
            for server in node.hosted.announcement.servers
            if not server.leaving
        }
        for node in self.network.nodes.values():
            assert node.addresses() == expected, (node.name, node.addresses())


class SpreadTest(testtools.TestCase):
    def test_random_faults(self):
        stateful.run_state_machine_as_test(
            SpreadMachine,
            settings=hypothesis.settings(
                max_examples=60,
                stateful_step_count=25,
                phases=[hypothesis.Phase.generate],
            ),
        )


class LeavingTest(testtools.TestCase):
    def count_messages(self, address):
        network = build_fleet(3)
        network.sent = 0
        network.nodes["n00"].leave(address)
        network.run(1.0)
        return network.sent

    def measure_spread(self, prepare):
        address = "10.0.0.1:80"
        network = build_fleet(3)
        network.sent = 0
        prepare(network)
        left_at = network.clock.now()
        network.nodes["n00"].leave(address)
        while any(
            address in node.addresses()
            for node in network.nodes.values()
            if node.alive and not node.paused
        ):
            network.step()
        return network.clock.now() - left_at

    def test_whatever_message_is_lost(self):
        for number in range(1, self.count_messages("10.0.0.1:80") + 1):

            def lose(network, number=number):
                network.drop_next = number

            self.assertLess(self.measure_spread(lose), 1.5)

    def test_one_way_cuts(self):
        def cut(network):
            others = [name for name in network.nodes if name != "n00"]
            network.cuts |= {("n00", name) for name in others if name != "n21"}
            network.cuts |= {(name, "n00") for name in others[::2]}

        self.assertLess(self.measure_spread(cut), LEASE_S)

    def test_all_messages_lost(self):
        def lose(network):
            network.loss = 1.0

        self.assertLess(self.measure_spread(lose), LEASE_S + 2 * STEP_S)

    def test_relay_stopped(self):
        def stop(network):
            network.pause("n01")
            network.kill("n10")

        self.assertLess(self.measure_spread(stop), 1.5)


class RenewalTest(testtools.TestCase):
    def test_survives_stopped_relays(self):
        network = build_fleet(5)
        network.pause("n01")
        network.kill("n11")
        network.cuts.add(("n00", "n20"))

        def check():
            for name in ("n02", "n10", "n20", "n21"):
                self.assertIn("10.0.0.1:80", network.nodes[name].addresses())

        network.run(20.0, check)

    def test_pause_makes_nothing_fresh(self):
        network = build_fleet(5)
        network.pause("n22")
        network.run(1.0)
        for name in ("n00", "n01", "n02"):
            network.kill(name)
        network.run(20.0)
        network.resume("n22")
        listed = network.nodes["n22"].addresses()
        self.assertEqual(set(), {item for item in listed if item.startswith("10.0.")})

    def test_regions_meet_again(self):
        network = build_fleet(5)
        left = [name for name in network.nodes if name.startswith("n0")]
        right = [name for name in network.nodes if not name.startswith("n0")]
        network.cuts = {(a, b) for a in left for b in right}
        network.cuts |= {(b, a) for a in left for b in right}
        network.run(120.0)
        self.assertEqual(3, len(network.nodes["n00"].addresses()))
        network.cuts.clear()
        network.run(8.0)
        for node in network.nodes.values():
            self.assertEqual(9, len(node.addresses()))
