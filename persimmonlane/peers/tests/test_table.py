import random

import testtools

from ...clocks import ManualClock
from ..messages import Announcement, decoder, encoder
from ..peer import LIVE_S, MEMBER_S
from ..table import PeerTable


def news(**changes):
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
        self.table = PeerTable("a", 1, self.clock)

    def test_announcement_survives_the_codec(self):
        message = decoder.decode(encoder.encode(news()))
        self.assertEqual(news(), message)

    def test_invalid_address_is_not_taken(self):
        self.assertRaises(
            ValueError, self.table.apply_announcement, news(address="nowhere")
        )
        self.table.note_listed({"c": "nowhere", "d": "10.0.0.4:80"})
        self.assertEqual(["d"], list(self.table.peers))
        self.table.apply_announcement(news())
        moved = news(sequence=2, address="nowhere")
        self.assertRaises(ValueError, self.table.apply_announcement, moved)
        self.assertEqual("10.0.0.2:80", self.table.peers["b"].address)

    def test_old_announcements_change_nothing(self):
        self.table.apply_announcement(news(sequence=5))
        self.assertIsNone(self.table.apply_announcement(news(sequence=4)))
        self.assertIsNotNone(self.table.apply_announcement(news(sequence=1, boot=8)))

    def test_silent_peer_is_not_live_but_stays_a_member(self):
        self.table.apply_announcement(news())
        self.assertEqual(1, len(self.table.find_live()))
        self.clock.advance(3.0)
        self.assertEqual([], self.table.find_live())
        self.assertEqual(2, self.table.count_members())
        self.clock.advance(30.0)
        self.table.drop_forgotten()
        self.assertEqual(1, self.table.count_members())

    def list_live(self):
        return [peer.name for peer in self.table.find_live()]

    def test_each_peer_lapses_on_its_own_time(self):
        self.table.apply_announcement(news())
        self.clock.advance(1.0)
        self.table.apply_announcement(news(node="c", address="10.0.0.3:80"))
        self.assertEqual(["b", "c"], self.list_live())
        self.clock.advance(LIVE_S - 0.99)
        self.assertEqual(["c"], self.list_live())
        self.clock.advance(1.0)
        self.assertEqual([], self.list_live())

    def test_peer_that_is_heard_again_stays_live(self):
        for sequence in range(1, 9):
            self.table.apply_announcement(news(sequence=sequence))
            self.assertEqual(["b"], self.list_live())
            self.clock.advance(LIVE_S - 0.1)
        self.assertEqual(["b"], self.list_live())

    def test_silent_peer_is_live_as_soon_as_it_is_heard(self):
        self.table.apply_announcement(news())
        self.clock.advance(MEMBER_S + 1.0)
        self.assertEqual(([], 1), (self.list_live(), self.table.count_members()))
        self.table.apply_announcement(news(sequence=2))
        self.assertEqual((["b"], 2), (self.list_live(), self.table.count_members()))

    def test_peer_that_moves_is_found_at_its_new_address(self):
        self.table.apply_announcement(news())
        self.table.find_live()
        self.table.apply_announcement(news(sequence=2, address="10.0.0.9:80"))
        self.assertEqual(
            ["10.0.0.9:80"], [peer.address for peer in self.table.find_live()]
        )

    def test_registered_node_is_a_member_at_once_and_live_once_heard(self):
        self.assertEqual(([], 1), (self.list_live(), self.table.count_members()))
        self.table.note_registered("b", "10.0.0.2:80")
        self.assertEqual(([], 2), (self.list_live(), self.table.count_members()))
        self.clock.advance(MEMBER_S + 1.0)
        self.assertEqual(1, self.table.count_members())
        self.table.note_registered("b", "10.0.0.2:80")
        self.assertEqual(2, self.table.count_members())
        self.table.apply_announcement(news())
        self.assertEqual(["b"], self.list_live())

    def test_answers_are_those_of_a_full_scan(self):
        rng = random.Random(4)
        for sequence in range(1, 2000):
            self.clock.advance(rng.choice((0.0, 0.01, 0.4, 3.0, 40.0)))
            name = rng.choice("bcdef")
            if rng.random() < 0.2:
                self.table.note_registered(name, f"{name}:80")
            elif rng.random() < 0.1:
                self.table.drop_forgotten()
            else:
                address = f"{name}:{rng.choice((80, 81))}"
                self.table.apply_announcement(
                    news(node=name, sequence=sequence, address=address)
                )
            self.assert_scanned()

    def assert_scanned(self):
        now, peers = self.clock.now(), self.table.peers.values()
        live = [peer for peer in peers if peer.is_live(now)]
        members = [peer for peer in peers if now - peer.known_at < MEMBER_S]
        self.assertEqual(set(map(id, live)), set(map(id, self.table.find_live())))
        self.assertEqual(1 + len(members), self.table.count_members())

    def test_freshness_counts_from_the_send_that_the_peer_echoes(self):
        self.table.note_sent(9)
        self.clock.advance(4.0)
        # The datagram lay in the socket while this VM was suspended.
        fresh_at = self.table.find_freshness(news(echo=9, echo_boot=1))
        self.assertEqual(99.5, fresh_at)

    def test_freshness_without_echo_is_not_known(self):
        self.table.note_sent(9)
        self.assertIsNone(self.table.find_freshness(news(echo=8, echo_boot=1)))
        self.assertIsNone(self.table.find_freshness(news(echo=9, echo_boot=2)))
        stale = news(echo=9, echo_boot=1, fresh_age_s=-1.0)
        self.assertIsNone(self.table.find_freshness(stale))

    def test_unreachable_peer_is_avoided_longer_each_time(self):
        peer = self.table.apply_announcement(news())
        peer.mark_unreachable(100.0)
        self.assertEqual(101.0, peer.backoff_until)
        peer.mark_unreachable(101.0)
        self.assertEqual(103.0, peer.backoff_until)
        peer.mark_reachable()
        self.assertEqual(0.0, peer.backoff_until)

    def test_relays_are_the_first_live_nodes_of_a_data_centre(self):
        self.table = PeerTable("c", 1, self.clock)
        self.assertTrue(self.table.is_relay("south", 1))
        self.table.apply_announcement(news(node="b"))
        self.assertFalse(self.table.is_relay("south", 1))
        self.assertTrue(self.table.is_relay("south", 2))
        self.table.apply_announcement(news(node="b", sequence=2, leaving=True))
        self.assertTrue(self.table.is_relay("south", 1))
