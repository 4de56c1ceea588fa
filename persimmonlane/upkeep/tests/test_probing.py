import random

import testtools

from ..probing import MIN_GAP_S, PROBE_INTERVAL_S, ProbeSchedule


class Settings:
    document_apply_s = 2.0


class ProbeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.schedule = ProbeSchedule(Settings, random.Random(1))

    def is_due(self, now, age_s, is_relay=False):
        return self.schedule.is_due(now, age_s, lambda: is_relay)

    def test_node_asks_before_a_missed_change_is_late(self):
        self.assertFalse(self.is_due(100.0, 1.2))
        self.assertTrue(self.is_due(100.0, 1.6))

    def test_relay_asks_regularly(self):
        self.schedule.note_probe(100.0)
        self.assertFalse(self.is_due(100.0 + PROBE_INTERVAL_S / 2, 0.6, True))
        self.assertTrue(self.is_due(100.1 + PROBE_INTERVAL_S, 0.6, True))

    def test_probe_that_confirms_nothing_is_not_repeated_at_once(self):
        self.schedule.note_probe(100.0)
        self.assertFalse(self.is_due(100.1, 9.0))
        self.assertTrue(self.is_due(100.1 + MIN_GAP_S, 9.0))

    def test_bound_that_leaves_no_time_for_relays_is_met_by_asking_often(self):
        self.patch(Settings, "document_apply_s", 0.1)
        self.assertFalse(self.is_due(100.0, 0.1))
        self.assertTrue(self.is_due(100.0, 0.6))
