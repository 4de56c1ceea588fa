import pathlib
from unittest import mock

import testtools

from persimmonlane.config.publishing import Publisher
from persimmonlane.config.root import Root
from persimmonlane.ejection.ejector import Ejector
from persimmonlane.errors import StoreError
from persimmonlane.keys import KeyTable
from persimmonlane.limits.holder import Holder
from persimmonlane.membership.table import ServerTable
from persimmonlane.traces.files import read_trace
from persimmonlane.traces.replay import replay_trace
from persimmonlane.traces.scenarios import scenarios

FOLDER = pathlib.Path(__file__).parents[3] / "traces"


def replay(name):
    return replay_trace(read_trace(FOLDER / f"{name}.jsonl"))


class KeptTracesTest(testtools.TestCase):
    def check(self, name):
        difference = replay(name)
        self.assertIsNone(difference, str(difference))

    def test_slow(self):
        self.check("slow")

    def test_wrong_answers(self):
        self.check("wrong-answers")

    def test_hung(self):
        self.check("hung")

    def test_flapping(self):
        self.check("flapping")

    def test_silent_connection(self):
        self.check("silent-connection")

    def test_one_way_partition(self):
        self.check("one-way-partition")

    def test_leaving(self):
        self.check("leaving")

    def test_key_withdrawn(self):
        self.check("key-withdrawn")

    def test_store_away(self):
        self.check("store-away")

    def test_lost_answer(self):
        self.check("lost-answer")

    def test_lease_lapsed(self):
        self.check("lease-lapsed")

    def test_racing_operators(self):
        self.check("racing-operators")

    def test_every_scenario_is_kept(self):
        kept = sorted(path.stem for path in FOLDER.glob("*.jsonl"))
        self.assertEqual(scenarios.names(), kept)

    def test_written_traces_are_up_to_date(self):
        for name in scenarios.names():
            scenario = scenarios.get_by_name(name)
            if not hasattr(scenario, "failure"):
                data = (FOLDER / f"{name}.jsonl").read_bytes()
                self.assertEqual(scenario().build(), data, name)


class BrokenTest(testtools.TestCase):
    """Each kept trace finds a fault of the decisions that it is about."""

    def assert_found(self, owner, attribute, value, *names):
        for name in names:
            with mock.patch.object(owner, attribute, value):
                self.assertIsNotNone(replay(name), name)

    def test_no_detection(self):
        self.assert_found(
            Ejector, "tick", lambda self: None, "slow", "wrong-answers", "hung"
        )
        self.assert_found(Ejector, "tick", lambda self: None, "flapping")

    def test_old_connections_trusted(self):
        self.assert_found(
            Ejector, "connections_since", lambda self, a: 0.0, "silent-connection"
        )

    def test_relayed_heartbeats_ignored(self):
        self.assert_found(
            ServerTable, "renew", lambda self, h, delay_s=0: False, "one-way-partition"
        )

    def test_leaving_forgotten(self):
        self.assert_found(
            ServerTable, "_note_leaving", lambda self, announcement: None, "leaving"
        )

    def test_leases_without_end(self):
        self.assert_found(
            ServerTable, "_is_live", lambda self, group: True, "one-way-partition"
        )

    def test_withdrawn_keys_kept(self):
        find = KeyTable._find
        self.assert_found(
            KeyTable,
            "_find",
            lambda self, key: find(self, key) or "acme",
            "key-withdrawn",
        )

    def test_holder_lends_after_its_lease(self):
        extend = Holder.take

        def take(self, number, epoch, deadline, **options):
            extend(self, number, epoch, float("inf"), **options)

        self.assert_found(Holder, "take", take, "lease-lapsed")

    def test_publication_on_any_revision(self):
        publish = Publisher.publish

        def ignore_expected(self, document, expected=None, **options):
            return publish(self, document, None, **options)

        self.assert_found(Publisher, "publish", ignore_expected, "racing-operators")

    def test_changes_without_identifier(self):
        self.assert_found(Root, "find_change", lambda self, change: None, "lost-answer")

    def test_publication_given_up(self):
        def publish(self, *arguments, **options):
            raise StoreError("given up")

        self.assert_found(Publisher, "publish", publish, "store-away")
