import testtools

from persimmonlane.clocks import ManualClock
from persimmonlane.invariants import InvariantError
from persimmonlane.membership.announcements import (
    AnnouncedServer,
    Announcement,
    Heartbeat,
)
from persimmonlane.membership.table import FORGET_S, ServerTable

LEASE_S = 3.0


class ServerTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.table = ServerTable(self.clock, LEASE_S)

    def announce(self, group="a", version=1, incarnation=1, leaving=False, beat=1):
        server = AnnouncedServer(
            address="10.0.0.1:80",
            service="prices",
            slots=4,
            incarnation=incarnation,
            leaving=leaving,
        )
        self.table.apply(
            Announcement(
                group=group,
                data_centre="dc0",
                rpc="10.0.0.9:1",
                incarnation=1,
                version=version,
                servers=(server,),
            )
        )
        self.renew(group, version, beat)

    def renew(self, group="a", version=1, beat=1, age_s=0.0, delay_s=0.0, loads=()):
        heartbeat = Heartbeat(
            group=group,
            incarnation=1,
            version=version,
            beat=beat,
            age_s=age_s,
            loads=loads,
        )
        return self.table.renew(heartbeat, delay_s)

    def list_incarnations(self):
        return [server.incarnation for server in self.table.servers()]

    def test_lapses_and_returns(self):
        self.announce()
        self.clock.advance(LEASE_S)
        self.assertEqual([1], self.list_incarnations())
        self.clock.advance(0.01)
        self.assertEqual([], self.list_incarnations())
        self.renew(beat=2, age_s=1.0)
        self.assertEqual([1], self.list_incarnations())

    def test_age_and_delay_count_against_the_lease(self):
        self.announce()
        self.clock.advance(LEASE_S + 1)
        self.renew(beat=2, age_s=2.0, delay_s=1.01)
        self.assertEqual([], self.list_incarnations())

    def test_word_of_a_newer_list_renews_nothing(self):
        self.announce()
        self.clock.advance(2.0)
        self.assertFalse(self.renew(version=2, beat=5))
        self.assertEqual(("a",), self.table.wanted())
        self.clock.advance(1.01)
        self.assertEqual([], self.list_incarnations())

    def test_highest_incarnation_of_several_groups(self):
        self.announce("a", incarnation=1)
        self.announce("b", incarnation=2)
        self.announce("c", incarnation=1)
        self.assertEqual([2], self.list_incarnations())

    def test_leaving_in_any_group_wins(self):
        self.announce("a")
        self.announce("b")
        self.announce("b", version=2, leaving=True, beat=2)
        self.assertEqual([], self.list_incarnations())
        self.announce("c", incarnation=2)
        self.assertEqual([2], self.list_incarnations())

    def test_origin_that_takes_leaving_back_is_not_believed(self):
        self.announce()
        self.announce(version=2, leaving=True, beat=2)
        self.announce(version=3, leaving=False, beat=3)
        self.table.forget()
        self.assertEqual([], self.list_incarnations())

    def test_invariant(self):
        self.announce()
        [server] = self.table.servers()
        self.announce(version=2, leaving=True, beat=2)
        self.assertRaises(InvariantError, self.table._check_leaving, [server])

    def test_uptime_comes_with_the_beat(self):
        self.announce(beat=41)
        [server] = self.table.servers()
        self.assertEqual(100.0 - 20.5, server.since)

    def test_loads(self):
        self.announce()
        self.renew(beat=2, age_s=0.0)
        self.clock.advance(1.0)
        self.renew(beat=3, age_s=0.25, loads=(3, 1))
        [report] = self.table.take_loads()
        self.assertEqual((3, 1, 0.25), (report.running, report.waiting, report.age_s))
        self.assertEqual((), self.table.take_loads())

    def test_forgets(self):
        self.announce()
        self.clock.advance(FORGET_S + 1)
        self.table.forget()
        self.assertEqual((), self.table.get_announcements(["a"]))
        self.assertEqual((), self.table.wanted())
