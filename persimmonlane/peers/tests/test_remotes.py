import random

import msgspec
import testtools
from testtools.matchers import GreaterThan, LessThan

from ..commands import PendingMemberQuery
from ..messages import decoder, encoder
from ..peer import REMOTE_LIVE_TIMEOUT_S
from ..remotes import ASK_AFTER_S
from ..statuses import (
    MAX_DIGEST_MEMBERS,
    Announcement,
    Delta,
    Digest,
    Member,
    MemberResponse,
    MemberState,
    ServerLoad,
    ServerStatus,
)
from .simulation import PORT, VERSION, Fleet
from .test_gossip import deliver

SIZES = (6, 5, 4)
# Time for the first digests to reach all nodes.
SETTLE_S = 4.0
# A relay's loss is noticed after the timeout of its neighbours and one round more.
REPLACED_S = 4.0


class FleetTestCase(testtools.TestCase):
    sizes = SIZES
    legacy = ()

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.sizes, legacy=self.legacy)
        self.fleet.run(SETTLE_S)

    def assert_all_live(self, only_remote=False):
        """All nodes take all running nodes for live."""
        for node in self.fleet.nodes.values():
            for number in range(1, len(self.sizes) + 1):
                if only_remote and node.data_centre == f"10.0.{number}":
                    continue
                expected = self.fleet.list_data_centre(number)
                live = set(node.list_live(f"10.0.{number}"))
                missing = set(expected) - live - {node.host}
                self.assertEqual(set(), missing, f"{node.host} misses nodes")

    def watch(self, seconds, check):
        for _ in range(round(seconds / 0.5)):
            self.fleet.run(0.5)
            check()

    def get_relays(self, number):
        hosts = self.fleet.list_data_centre(number)
        host = next(host for host in hosts if host not in self.legacy)
        names = self.fleet.nodes[host].table.rank_relays(f"10.0.{number}")
        return [name.removeprefix("vm-") for name in names]

    def find_ordinary_node(self, number):
        relays = self.get_relays(number)
        hosts = self.fleet.list_data_centre(number)
        return next(host for host in hosts if host not in relays)


class DigestTests(FleetTestCase):
    def test_all_nodes_know_all_others(self):
        self.assert_all_live()
        self.watch(20.0, self.assert_all_live)

    def test_nodes_announce_themselves_in_their_data_centre_only(self):
        self.fleet.network.seen.clear()
        self.fleet.run(5.0)
        for receiver, message in self.fleet.network.seen:
            if isinstance(message, Announcement):
                sender = message.address.partition(":")[0]
                self.assertEqual(sender.rpartition(".")[0], receiver.rpartition(".")[0])

    def test_load_health_and_departure_reach_the_other_data_centres(self):
        node = self.fleet.nodes["10.0.1.3"]
        node.state.server = ServerStatus(
            "i-vm-10.0.1.3", "census", False, 4, 3, 2, "ejected", 0.5, True
        )
        node.state.leaving = True
        self.fleet.run(3.5)
        for host in (*self.fleet.list_data_centre(2), *self.fleet.list_data_centre(3)):
            announcement = self.fleet.nodes[host].table.peers[node.name].announcement
            self.assertTrue(announcement.leaving)
            self.assertEqual(node.state.server, announcement.server)

    def test_another_backend_server_is_known_by_its_identifier(self):
        node = self.fleet.nodes["10.0.1.3"]
        node.state.server = ServerStatus(
            "i-new", "harbour", True, 2, 0, 0, "sound", 0.0
        )
        self.fleet.run(4.0)
        for host in self.fleet.list_data_centre(3):
            server = self.fleet.nodes[host].table.peers[node.name].announcement.server
            self.assertEqual(("i-new", "harbour"), (server.server_id, server.service))

    def test_restarted_node_is_known_by_its_new_process(self):
        self.fleet.start("10.0.1.3")
        self.fleet.register()
        self.fleet.run(4.0)
        boot = self.fleet.nodes["10.0.1.3"].gossip._boot
        for node in self.fleet.nodes.values():
            if node.host != "10.0.1.3":
                known = node.table.peers["vm-10.0.1.3"].announcement.boot
                self.assertEqual(boot, known)
        self.assert_all_live()

    def test_lost_node_expires_within_its_timeout(self):
        self.fleet.kill("10.0.1.3")
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S + 1.0)
        for node in self.fleet.nodes.values():
            self.assertNotIn("10.0.1.3", node.list_live("10.0.1"))

    def test_members_are_counted_over_the_whole_fleet(self):
        for node in self.fleet.nodes.values():
            self.assertEqual(sum(SIZES), node.table.count_members())


class DisruptionTests(FleetTestCase):
    def test_no_node_is_given_up_if_digests_are_lost(self):
        self.fleet.network.loss = 0.05
        self.watch(60.0, lambda: self.assert_all_live(only_remote=True))

    def test_one_relay_is_replaced(self):
        self.fleet.kill(self.get_relays(1)[0])
        self.watch(15.0, self.assert_all_live)

    def test_both_relays_are_replaced(self):
        for host in self.get_relays(1):
            self.fleet.kill(host)
        self.watch(15.0, self.assert_all_live)

    def test_relays_of_all_data_centres_are_replaced_at_once(self):
        for number in (1, 2, 3):
            for host in self.get_relays(number):
                self.fleet.kill(host)
        self.fleet.run(REPLACED_S + ASK_AFTER_S)
        self.watch(10.0, self.assert_all_live)

    def test_paused_relays_are_replaced_and_come_back(self):
        paused = self.get_relays(1)
        self.fleet.network.paused.update(paused)
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S + 2.0)
        for host in self.fleet.list_data_centre(2):
            live = self.fleet.nodes[host].list_live("10.0.1")
            self.assertEqual(
                sorted(set(self.fleet.list_data_centre(1)) - set(paused)), live
            )
        self.fleet.network.paused.clear()
        self.fleet.run(SETTLE_S)
        self.assert_all_live()

    def test_digests_kept_by_a_paused_node_make_nobody_look_alive(self):
        victim = self.find_ordinary_node(1)
        reader = self.fleet.nodes["10.0.2.1"]
        self.fleet.network.paused.add(reader.host)
        self.fleet.run(1.0)
        self.fleet.kill(victim)
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S)
        self.fleet.network.paused.clear()
        self.fleet.network.deliver()
        self.assertNotIn(victim, reader.list_live("10.0.1"))

    def test_relay_that_was_paused_does_not_spread_old_facts(self):
        victim = self.find_ordinary_node(1)
        relays = self.get_relays(2)
        self.fleet.network.paused.update(relays)
        self.fleet.run(1.0)
        self.fleet.kill(victim)
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S)
        self.fleet.network.paused.clear()
        for host in relays:
            self.fleet.nodes[host].announce()

        def check():
            for host in self.fleet.list_data_centre(2):
                self.assertNotIn(victim, self.fleet.nodes[host].list_live("10.0.1"))

        self.watch(5.0, check)

    def test_cut_in_one_direction_hides_one_side_only(self):
        self.fleet.network.cuts.add(("10.0.1", "10.0.2"))
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S + 1.0)
        for host in self.fleet.list_data_centre(2):
            self.assertEqual([], self.fleet.nodes[host].list_live("10.0.1"))
        self.fleet.network.cuts.clear()
        self.fleet.run(SETTLE_S)
        self.assert_all_live()

    def test_node_that_hears_no_relay_asks_the_other_data_centre(self):
        node = self.fleet.nodes["10.0.3.4"]
        relays = [host for host in self.get_relays(3) if host != node.host]
        self.fleet.network.cuts.update((relay, node.host) for relay in relays)
        self.fleet.run(ASK_AFTER_S + 3.0)
        for number in (1, 2):
            expected = self.fleet.list_data_centre(number)
            self.assertEqual(expected, node.list_live(f"10.0.{number}"))

    def test_data_centre_restarts_while_the_store_is_unavailable(self):
        hosts = self.fleet.list_data_centre(3)
        for host in hosts:
            self.fleet.kill(host)
        self.fleet.run(8.0)
        for host in hosts:
            self.fleet.start(host, version=0)
        self.fleet.run(10.0)
        self.assert_all_live()

    def test_silent_node_is_not_given_up_in_its_own_data_centre(self):
        # Digests of others, which miss the node, say nothing about it here.
        quiet, relay = self.find_ordinary_node(1), self.get_relays(1)[0]
        self.fleet.network.cuts.add((quiet, relay))
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S)
        for host in self.fleet.list_data_centre(1):
            if host not in (quiet, relay):
                self.assertIn(quiet, self.fleet.nodes[host].list_live("10.0.1"))
        self.assert_live_elsewhere(quiet)

    def assert_live_elsewhere(self, host):
        for other in (*self.fleet.list_data_centre(2), *self.fleet.list_data_centre(3)):
            self.assertIn(host, self.fleet.nodes[other].list_live("10.0.1"))

    def test_seeded_disruptions_heal(self):
        for seed in range(6):
            fleet = self.fleet = Fleet(SIZES, seed)
            rng = random.Random(seed)
            for _ in range(12):
                fleet.network.loss = rng.choice((0.0, 0.02, 0.1))
                hosts = sorted(fleet.nodes)
                fleet.network.paused = set(rng.sample(hosts, rng.randrange(3)))
                fleet.network.cuts = {
                    tuple(rng.sample(hosts, 2)) for _ in range(rng.randrange(6))
                }
                if rng.random() < 0.5:
                    host = rng.choice(hosts)
                    fleet.kill(host)
                    fleet.run(rng.random() * 3.0)
                    fleet.start(host)
                    fleet.register()
                fleet.run(rng.random() * 6.0)
            fleet.network.loss, fleet.network.cuts = 0.0, set()
            fleet.network.paused = set()
            fleet.run(10.0)
            self.assert_all_live()


class FreshnessTests(FleetTestCase):
    """One data centre alone confirms that the document is the newest."""

    def confirm(self):
        for host in self.fleet.list_data_centre(1)[:1]:
            node = self.fleet.nodes[host]
            node.table.freshness.mark(self.fleet.clock.now())

    def test_age_reaches_all_nodes_and_is_never_understated(self):
        confirmed_at = None
        for _ in range(12):
            self.confirm()
            confirmed_at = self.fleet.clock.now()
            self.fleet.run(1.0)
            for node in self.fleet.nodes.values():
                known_at = node.table.freshness.confirmed_at
                if known_at is not None:
                    self.assertThat(known_at - confirmed_at, LessThan(0.001))
        for node in self.fleet.nodes.values():
            age_s = node.table.freshness.compute_age()
            self.assertThat(age_s, LessThan(5.5))

    def test_newer_version_is_fetched_from_the_relay_that_reports_it(self):
        for host in self.fleet.list_data_centre(1):
            self.fleet.nodes[host].document.version = VERSION + 1
        self.fleet.run(3.0)
        relays = self.get_relays(2)
        for host in relays:
            sources = self.fleet.nodes[host].document.sources
            self.assertIn(VERSION + 1, [version for version, _, _ in sources])


class MixedReleaseTests(FleetTestCase):
    """Releases without digests serve on beside this one."""

    legacy = ("10.0.1.1", "10.0.1.2", "10.0.2.3", "10.0.3.4")

    def test_all_nodes_know_all_others(self):
        self.watch(10.0, self.assert_all_live)

    def test_older_nodes_get_no_message_that_they_can_not_read(self):
        for receiver, message in self.fleet.network.seen:
            if receiver in self.legacy:
                self.assertIn(type(message), (Announcement, Delta))

    def test_upgraded_node_stops_to_announce_itself_far_away(self):
        for host in self.legacy:
            self.fleet.kill(host)
            self.fleet.start(host)
        self.fleet.register()
        self.fleet.run(8.0)
        self.assert_all_live()
        self.fleet.network.seen.clear()
        self.fleet.run(3.0)
        for receiver, message in self.fleet.network.seen:
            if isinstance(message, Announcement):
                sender = message.address.partition(":")[0]
                self.assertEqual(sender.rpartition(".")[0], receiver.rpartition(".")[0])


class TrafficTests(testtools.TestCase):
    def measure(self, sizes, seconds=10.0):
        """Return the bytes a second between data centres, for each node."""
        fleet = Fleet(sizes)
        fleet.run(6.0)
        fleet.network.crossed_bytes = 0
        fleet.run(seconds)
        return fleet.network.crossed_bytes / seconds / sum(sizes)

    def test_bytes_between_data_centres_are_linear_in_the_nodes(self):
        small, large = self.measure((8, 8, 8)), self.measure((32, 32, 32))
        self.assertThat(small, GreaterThan(0.0))
        self.assertThat(large, LessThan(small * 1.1))


class BadInputTests(FleetTestCase):
    """Forged, replayed and malformed messages change nothing."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes["10.0.1.1"]
        self.sender = self.fleet.nodes[self.get_relays(2)[0]]
        self.victim = self.fleet.nodes["10.0.2.5"]

    def describe(self):
        return [
            (peer.name, peer.announcement, peer.heard_at, peer.live_until)
            for peer in self.node.table.peers.values()
        ]

    def build_digest(self, **changes):
        load = ServerLoad(False, 1, 1, 1, 0, 0, False)
        state = MemberState(self.victim.gossip._boot, 0, 10**6, 0, True, load)
        fields = {
            "boot": self.sender.gossip._boot,
            "sequence": 10**6,
            "version": VERSION,
            "fresh_age_ms": 0,
            "echo": self.node.gossip._builder.sequence,
            "echo_boot": self.node.gossip._boot,
            "members": [state],
        }
        fields.update(changes)
        return Digest(**fields)

    def assert_ignored(self, digest, host):
        before = self.describe()
        age_s = self.node.table.freshness.compute_age()
        deliver(self.node.gossip, digest, (host, PORT))
        self.assertEqual(before, self.describe())
        self.assertEqual(age_s, self.node.table.freshness.compute_age())

    def test_digest_from_another_host_is_forged(self):
        self.assert_ignored(self.build_digest(), "10.0.3.1")

    def test_digest_that_echoes_nothing_is_not_applied(self):
        self.assert_ignored(self.build_digest(echo=10**9), self.sender.host)
        self.assert_ignored(
            self.build_digest(sequence=10**6 + 1, echo_boot=5), self.sender.host
        )

    def test_digest_is_applied_once(self):
        digest = self.build_digest()
        deliver(self.node.gossip, digest, (self.sender.host, PORT))
        self.assertTrue(self.node.table.peers[self.victim.name].announcement.leaving)
        self.fleet.clock.advance(0.5)
        self.assert_ignored(digest, self.sender.host)
        self.assert_ignored(self.build_digest(sequence=5), self.sender.host)

    def test_state_of_a_node_beside_this_one_is_ignored(self):
        beside = self.fleet.nodes["10.0.1.3"]
        load = ServerLoad(False, 1, 1, 1, 0, 0, False)
        state = MemberState(beside.gossip._boot, 0, 10**6, 0, True, load)
        digest = self.build_digest(members=[state], fresh_age_ms=-1)
        self.assert_ignored(digest, self.sender.host)

    def test_response_that_was_not_asked_for_is_ignored(self):
        announcement = Announcement(
            "vm-forged", 5, 1, "10.0.2.99:80", "10.0.2", False, 1, 0, 0, 0, None
        )
        response = MemberResponse(99, [Member(announcement, 0)])
        self.assert_ignored(response, self.sender.host)
        command = PendingMemberQuery(self.sender.host, self.fleet.clock.now())
        asked = self.node.gossip._pending.add(command)
        self.assert_ignored(
            MemberResponse(asked, [Member(announcement, 0)]), "10.0.3.1"
        )

    def test_fields_out_of_range_are_refused_by_the_decoder(self):
        state = self.build_digest().members[0]
        for field in ("revision", "sequence", "age_ds"):
            changed = MemberState(5, 0, 0, 0, False, None)
            setattr(changed, field, -1)
            self.assert_undecodable(self.build_digest(members=[changed]))
        self.assert_undecodable(self.build_digest(sequence=-1))
        self.assert_undecodable(self.build_digest(version=-1))
        too_many = [state] * (MAX_DIGEST_MEMBERS + 1)
        self.assert_undecodable(self.build_digest(members=too_many))

    def assert_undecodable(self, message):
        raw = encoder.encode(message)
        self.assertRaises(msgspec.ValidationError, decoder.decode, raw)

    def test_huge_age_makes_nobody_look_alive(self):
        self.fleet.kill(self.victim.host)
        self.fleet.run(REMOTE_LIVE_TIMEOUT_S + 1.0)
        digest = self.build_digest()
        digest.members[0].age_ds = 2**62
        deliver(self.node.gossip, digest, (self.sender.host, PORT))
        self.assertNotIn(self.victim.host, self.node.list_live("10.0.2"))
