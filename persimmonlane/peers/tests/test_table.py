import random

import testtools

from ...clocks import ManualClock
from ..commands import RegisteredNode
from ..messages import decoder, encoder
from ..peer import LIVE_TIMEOUT_S, MEMBER_TIMEOUT_S
from ..relays import rank_relays
from ..statuses import Announcement
from ..table import PeerTable


def build_announcement(**changes):
    fields = {
        "node": "b",
        "boot": 7,
        "sequence": 1,
        "address": "10.0.0.2:80",
        "data_centre": "south",
        "leaving": False,
        "version": 3,
        "fresh_age_s": 0.5,
        "echo": 0,
        "echo_boot": 0,
        "server": None,
    }
    fields.update(changes)
    return Announcement(**fields)


class PeerTableTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.table = PeerTable("a", "south", 1, self.clock)

    def test_announcement_round_trips_through_the_codec(self):
        message = decoder.decode(encoder.encode(build_announcement()))
        self.assertEqual(build_announcement(), message)

    def test_invalid_address_is_rejected(self):
        self.assertRaises(
            ValueError,
            self.table.apply_announcement,
            build_announcement(address="nowhere"),
        )
        self.table.update_registered(
            [RegisteredNode("c", "nowhere"), RegisteredNode("d", "10.0.0.4:80")]
        )
        self.assertEqual(["d"], list(self.table.peers))
        self.table.apply_announcement(build_announcement())
        moved = build_announcement(sequence=2, address="nowhere")
        self.assertRaises(ValueError, self.table.apply_announcement, moved)
        self.assertEqual("10.0.0.2:80", self.table.peers["b"].address)

    def test_stale_announcements_are_ignored(self):
        self.table.apply_announcement(build_announcement(sequence=5))
        self.assertIsNone(self.table.apply_announcement(build_announcement(sequence=4)))
        self.assertIsNotNone(
            self.table.apply_announcement(build_announcement(sequence=1, boot=8))
        )

    def test_process_that_goes_on_announcing_itself_prevails(self):
        # A late datagram of the ended process came after the first of the new one.
        self.table.apply_announcement(build_announcement(boot=8))
        self.table.apply_announcement(build_announcement(boot=7, sequence=90))
        for sequence in range(2, 6):
            self.clock.advance(1.0)
            self.table.apply_announcement(build_announcement(boot=8, sequence=sequence))
        self.assertEqual(8, self.table.peers["b"].announcement.boot)
        self.assertEqual(["b"], self.list_live())

    def test_older_knowledge_of_a_third_node_is_no_news(self):
        far = {"data_centre": "north", "accepts_digests": True}
        self.table.apply_member(build_announcement(boot=8, **far), 99.5)
        self.table.apply_member(build_announcement(boot=7, sequence=90, **far), 98.0)
        self.assertEqual(8, self.table.peers["b"].announcement.boot)
        self.table.apply_member(build_announcement(boot=9, **far), 99.9)
        self.assertEqual(9, self.table.peers["b"].announcement.boot)
        self.table.apply_member(build_announcement(boot=8, **far), 100.0)
        self.assertEqual(8, self.table.peers["b"].announcement.boot)

    def test_silent_peer_is_not_live_but_stays_a_member(self):
        self.table.apply_announcement(build_announcement())
        self.assertEqual(1, len(self.table.list_live()))
        self.clock.advance(3.0)
        self.assertEqual([], self.table.list_live())
        self.assertEqual(2, self.table.count_members())
        self.clock.advance(30.0)
        self.table.remove_expired()
        self.assertEqual(1, self.table.count_members())

    def list_live(self):
        return [peer.name for peer in self.table.list_live()]

    def test_each_peer_expires_after_its_own_timeout(self):
        self.table.apply_announcement(build_announcement())
        self.clock.advance(1.0)
        self.table.apply_announcement(
            build_announcement(node="c", address="10.0.0.3:80")
        )
        self.assertEqual(["b", "c"], self.list_live())
        self.clock.advance(LIVE_TIMEOUT_S - 0.99)
        self.assertEqual(["c"], self.list_live())
        self.clock.advance(1.0)
        self.assertEqual([], self.list_live())

    def test_peer_that_keeps_announcing_stays_live(self):
        for sequence in range(1, 9):
            self.table.apply_announcement(build_announcement(sequence=sequence))
            self.assertEqual(["b"], self.list_live())
            self.clock.advance(LIVE_TIMEOUT_S - 0.1)
        self.assertEqual(["b"], self.list_live())

    def test_silent_peer_is_live_after_its_next_announcement(self):
        self.table.apply_announcement(build_announcement())
        self.clock.advance(MEMBER_TIMEOUT_S + 1.0)
        self.assertEqual(([], 1), (self.list_live(), self.table.count_members()))
        self.table.apply_announcement(build_announcement(sequence=2))
        self.assertEqual((["b"], 2), (self.list_live(), self.table.count_members()))

    def test_peer_that_moves_is_found_at_its_new_address(self):
        self.table.apply_announcement(build_announcement())
        self.table.list_live()
        self.table.apply_announcement(
            build_announcement(sequence=2, address="10.0.0.9:80")
        )
        self.assertEqual(
            ["10.0.0.9:80"], [peer.address for peer in self.table.list_live()]
        )

    def test_registered_node_is_a_member_and_live_after_an_announcement(self):
        self.assertEqual(([], 1), (self.list_live(), self.table.count_members()))
        self.table.add_registered("b", "10.0.0.2:80")
        self.assertEqual(([], 2), (self.list_live(), self.table.count_members()))
        self.clock.advance(MEMBER_TIMEOUT_S + 1.0)
        self.assertEqual(1, self.table.count_members())
        self.table.add_registered("b", "10.0.0.2:80")
        self.assertEqual(2, self.table.count_members())
        self.table.apply_announcement(build_announcement())
        self.assertEqual(["b"], self.list_live())

    def test_cached_lists_match_a_full_scan(self):
        rng = random.Random(4)
        for sequence in range(1, 2000):
            self.clock.advance(rng.choice((0.0, 0.01, 0.4, 3.0, 40.0)))
            name = rng.choice("bcdef")
            if rng.random() < 0.2:
                self.table.add_registered(name, f"10.0.0.{ord(name)}:80")
            elif rng.random() < 0.1:
                self.table.remove_expired()
            else:
                address = f"10.0.0.{ord(name)}:{rng.choice((80, 81))}"
                self.table.apply_announcement(
                    build_announcement(node=name, sequence=sequence, address=address)
                )
            self.assert_matches_full_scan()

    def assert_matches_full_scan(self):
        now, peers = self.clock.now(), self.table.peers.values()
        live = [peer for peer in peers if peer.is_live(now)]
        members = [peer for peer in peers if now - peer.last_seen_at < MEMBER_TIMEOUT_S]
        self.assertEqual(set(map(id, live)), set(map(id, self.table.list_live())))
        self.assertEqual(1 + len(members), self.table.count_members())

    def test_fresh_age_is_subtracted_from_the_echoed_send_time(self):
        self.table.send_times.record(9)
        self.clock.advance(4.0)
        # The datagram was queued in the socket while this VM was suspended.
        fresh_at = self.table.compute_fresh_at(build_announcement(echo=9, echo_boot=1))
        self.assertEqual(99.5, fresh_at)

    def test_freshness_without_matching_echo_is_unknown(self):
        self.table.send_times.record(9)
        self.assertIsNone(
            self.table.compute_fresh_at(build_announcement(echo=8, echo_boot=1))
        )
        self.assertIsNone(
            self.table.compute_fresh_at(build_announcement(echo=9, echo_boot=2))
        )
        stale = build_announcement(echo=9, echo_boot=1, fresh_age_s=-1.0)
        self.assertIsNone(self.table.compute_fresh_at(stale))

    def test_backoff_doubles_while_a_peer_is_unreachable(self):
        peer = self.table.apply_announcement(build_announcement())
        peer.mark_unreachable(100.0)
        self.assertEqual(101.0, peer.backoff_until)
        peer.mark_unreachable(101.0)
        self.assertEqual(103.0, peer.backoff_until)
        peer.mark_reachable()
        self.assertEqual(0.0, peer.backoff_until)

    def test_host_is_local_if_its_node_is_in_the_data_centre(self):
        self.table.apply_announcement(build_announcement())
        far = build_announcement(node="c", address="10.0.0.3:80", data_centre="north")
        self.table.apply_announcement(far)
        hosts = ("10.0.0.2", "10.0.0.3", "10.0.0.9")
        local = [self.table.is_local_host(host) for host in hosts]
        self.assertEqual([True, False, False], local)

    def test_relays_are_named_from_the_live_nodes_that_are_not_leaving(self):
        names = ("b", "c", "d", "e")
        for name in names:
            self.table.apply_announcement(
                build_announcement(
                    node=name, address=f"10.0.1.{ord(name)}:80", accepts_digests=True
                )
            )
        first, second, third, *_ = rank_relays("south", ["a", *names], 5)
        self.assertEqual([first, second], self.table.rank_relays("south"))
        for count in (1, 2, 3):
            expected = "a" in rank_relays("south", ["a", *names], count)
            self.assertEqual(expected, self.table.is_relay("south", count))
        leaving = first if first != "a" else second
        self.table.apply_announcement(
            build_announcement(
                node=leaving,
                address=f"10.0.1.{ord(leaving)}:80",
                sequence=2,
                leaving=True,
                accepts_digests=True,
            )
        )
        expected = [name for name in (first, second, third) if name != leaving]
        self.assertEqual(expected, self.table.rank_relays("south"))

    def test_relays_of_another_data_centre_are_its_own_nodes(self):
        self.table.apply_announcement(
            build_announcement(data_centre="north", accepts_digests=True)
        )
        self.assertEqual(["b"], self.table.rank_relays("north"))
        self.assertEqual(["a"], self.table.rank_relays("south"))
