import json

import testtools

from ..entries import NODE_PREFIX
from .simulation import SyncedFleet

ODD_VALUES = (
    b'{"address": "10.0.0.9:80", "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"address": "10.0.0.9:80", "generation": 1' + b"0" * 400 + b"}",
    b'{"address": "127.0.0.1:99999"}',
    b'{"address": "127.0.0.1"}',
    b'{"address": "a\\u0000b:80"}',
    json.dumps({"address": "\u00e9" * 80 + ":80"}).encode(),
    b"\xff\xfe",
    b"",
)
SETTLE_S = 9.0


class OddEntryTests(testtools.TestCase):
    """Another writer has left odd entries among those of the nodes."""

    def start(self):
        self.fleet = SyncedFleet((3, 3), 1)
        for number, value in enumerate(ODD_VALUES):
            self.fleet.store.state.put(f"{NODE_PREFIX}0-odd-{number}", value)
        for node in self.fleet.synced.values():
            node.table.peers.clear()
            node.table._index()
        self.fleet.run(SETTLE_S)

    def test_odd_entries_do_not_keep_the_nodes_from_each_other(self):
        self.start()
        for host, node in self.fleet.synced.items():
            self.assertEqual(5, len(node.table.list_live()), host)

    def test_document_is_confirmed_beside_odd_entries_after_a_restore(self):
        self.start()
        self.fleet.store.state.restore(self.fleet.store.state.take_copy())
        self.fleet.run(SETTLE_S)
        for host, node in self.fleet.synced.items():
            age_s = self.fleet.clock.now() - (node.confirmed_at or 0.0)
            self.assertLess(age_s, 2.0, host)

    def test_odd_entries_cost_no_calls_of_the_store(self):
        self.start()
        counts = []
        for has_odd in (True, False):
            if not has_odd:
                self.fleet = SyncedFleet((3, 3), 1)
                self.fleet.run(SETTLE_S)
            before = self.fleet.store.call_count
            self.fleet.run(30.0)
            counts.append(self.fleet.store.call_count - before)
        self.assertLessEqual(counts[0], counts[1] * 1.1)


class PeriodicTaskTests(testtools.TestCase):
    """One of the periodic tasks fails, whenever it runs."""

    def test_task_that_fails_does_not_keep_the_others_from_running(self):
        for failing in range(3):
            for error in (RuntimeError("a fault"), OverflowError("a number")):
                runs = self.run_tasks(failing, error)
                del runs[failing]
                self.assertGreater(min(runs.values()), 3, failing)

    def run_tasks(self, failing, error):
        fleet = SyncedFleet((1,), 1)
        (node,) = fleet.synced.values()
        sync = node._sync
        runs = dict.fromkeys(range(3), 0)

        def build(number):
            def run(now):
                runs[number] += 1
                if number == failing:
                    raise error

            return run

        sync._tasks.clear()
        sync._tasks.extend(build(number) for number in range(3))
        for _ in range(20):
            sync.run_due_tasks()
            fleet.clock.advance(1.0)
        return runs
