import testtools

from .simulation import APPLY_S, SyncedFleet

LIMIT_S = 6.0
SETTLE_S = 9.0
MAX_PHASE_S = 2.0
SEEDS = range(24)


class LatenessTests(testtools.TestCase):
    def measure(self, sizes, relay_count, silence):
        """Return the seeds whose change was late, with the seconds it took."""
        late = {}
        for seed in SEEDS:
            fleet = SyncedFleet(sizes, seed)
            fleet.run(SETTLE_S)
            fleet.run(fleet.rng.random() * MAX_PHASE_S)
            for data_centre in fleet.list_data_centres():
                for host in fleet.list_relays(data_centre, relay_count):
                    silence(fleet, host)
            fleet.run(fleet.rng.random())
            lateness_s = fleet.measure_lateness(LIMIT_S)
            if lateness_s > APPLY_S:
                late[seed] = round(lateness_s, 1)
        return late

    def test_change_is_in_force_in_time_while_all_relays_are_frozen(self):
        self.assertEqual({}, self.measure((4, 4, 4), 2, freeze))

    def test_change_is_in_force_in_time_while_all_relays_are_cut_off(self):
        self.assertEqual({}, self.measure((3, 3, 3), 2, cut_off))

    def test_change_is_in_force_in_time_while_many_nodes_are_frozen(self):
        self.assertEqual({}, self.measure((7, 7), 5, freeze))


def freeze(fleet, host):
    fleet.paused.add(host)


def cut_off(fleet, host):
    fleet.store.cut.add(host)
