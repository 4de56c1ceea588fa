import unittest

from hypothesis import Phase, settings, stateful, strategies

from ...errors import PersimmonError
from ...store.memory import Faults
from ..root import ROOT_KEY, read_root
from .fleet import Fleet
from .test_publishing import build_document

SIZE = 6
IN_FORCE_S = 4.0
SLACK_S = 1.5

numbers = strategies.integers(0, SIZE - 1)


class SpreadMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; what must hold is checked after every step of time."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(SIZE)
        self.documents = 0
        self.publish()
        self.fleet.advance(5)
        self.floors = {}
        self.excused_at = self.fleet.clock.now()

    def node(self, number):
        return self.fleet.nodes[f"node-{number}"]

    @stateful.rule(lose=strategies.integers(0, 2))
    def publish(self, lose=0):
        self.documents += 1
        faults = self.fleet.store.faults
        self.fleet.store.set_faults(
            Faults(away=faults.away, stale_reads=faults.stale_reads, lose_answers=lose)
        )
        try:
            self.fleet.publish(build_document(self.documents))
        except PersimmonError:
            return
        finally:
            self.fleet.store.faults.lose_answers = 0

    @stateful.rule(away=strategies.booleans(), stale=strategies.booleans())
    def change_store(self, away, stale):
        self.fleet.store.set_faults(Faults(away=away, stale_reads=stale))

    @stateful.rule()
    def restore_store(self):
        if self.fleet.store.faults.away:
            return
        self.fleet.store.restore_entries(self.backup)

    @stateful.initialize()
    def back_up(self):
        self.backup = self.fleet.store.export_entries()

    @stateful.rule(a=numbers, b=numbers)
    def cut_one_way(self, a, b):
        self.fleet.cut_links.add((f"node-{a}", f"node-{b}"))

    @stateful.rule(names=strategies.sets(numbers, min_size=1, max_size=2))
    def cut_off(self, names):
        self.fleet.cut_off([f"node-{n}" for n in names])

    @stateful.rule(a=numbers)
    def cut_from_store(self, a):
        self.fleet.cut_from_store.add(f"node-{a}")

    @stateful.rule(a=numbers)
    def pause(self, a):
        self.node(a).paused = True

    @stateful.rule(a=numbers)
    def restart(self, a):
        self.floors.pop(f"node-{a}", None)
        self.node(a).start()

    @stateful.rule(a=numbers)
    def stop(self, a):
        self.floors.pop(f"node-{a}", None)
        self.node(a).alive = False

    @stateful.rule(hours=strategies.integers(1, 12))
    def skip_hours(self, hours):
        self.fleet.skip(hours * 3600)
        self.excused_at = self.fleet.clock.now()

    @stateful.rule(seconds=strategies.sampled_from((0.3, 1.0, 4.0, 12.0)))
    def advance(self, seconds):
        self.fleet.advance(seconds, self.check)

    @stateful.rule()
    def mend(self):
        self.fleet.mend()
        for node in self.fleet.nodes.values():
            if not node.alive:
                node.start()
        self.fleet.advance(6)
        self.check()
        self.publish()
        self.fleet.advance(IN_FORCE_S)
        self.check()
        expected = read_root(self.fleet.store.get(ROOT_KEY))
        for node in self.fleet.nodes.values():
            root = node.replica.root
            assert root.revision == expected.revision, (node.name, root.revision)
            assert root.digest == expected.digest, node.name
        assert not self.fleet.isolated()

    def check(self):
        for name, revision in self.fleet.revisions().items():
            assert revision >= self.floors.get(name, 0), name
            self.floors[name] = revision
        self.check_freshness()

    def check_freshness(self):
        """A node that serves keyed requests has missed no change for long.

        Excused is who hears more than half of the fleet while no one whom it can
        reach hears the store: it can't tell this from a store that is away.
        """
        now = self.fleet.clock.now()
        faulty = self.fleet.store.faults.away or self.fleet.store.faults.stale_reads
        if faulty:
            self.excused_at = now
            return
        # After a restore, a revision whose holders have all died is lost.
        entries = self.fleet.store.export_entries()
        held = [read_root(entries[ROOT_KEY]).revision, *self.floors.values()]
        due = [
            revision
            for at, revision in self.fleet.accepted
            if revision <= max(held)
            and max(at, self.excused_at) < now - self.fleet.isolation_s - SLACK_S
        ]
        isolated = self.fleet.isolated()
        for name, revision in self.fleet.revisions().items():
            if name in isolated or revision >= max(due, default=0):
                continue
            assert self.is_excused(name), (name, revision, due)

    def is_excused(self, name):
        reached = self.fleet.find_reached(name)
        return 2 * len(reached) > SIZE and not reached - self.fleet.cut_from_store


SpreadMachine.TestCase.settings = settings(
    max_examples=50, stateful_step_count=30, phases=(Phase.explicit, Phase.generate)
)


class SpreadMachineTests(SpreadMachine.TestCase, unittest.TestCase):
    pass
