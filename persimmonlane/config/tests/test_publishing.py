import hypothesis
import testtools
from hypothesis import strategies

from ...clocks import ManualClock
from ...errors import InputError, StoreError
from ...store.memory import Faults, MemoryStore
from ..loading import load_snapshot
from ..model import Document, FleetPolicy, Key, Organisation
from ..parts import join_document, split_document
from ..publishing import (
    RETIRED_S,
    Publisher,
    PublishUncertain,
    RevisionConflict,
    list_needed_keys,
)
from ..root import PART_PREFIX, ROOT_KEY, read_root
from .turns import Crash, Turns

SALT = "00112233445566778899aabbccddeeff"


def build_document(number, organisations=3):
    rates = [1 + (number + n) % 5 for n in range(organisations)]
    return Document(
        fleet=FleetPolicy(key_salt=SALT, loan_s=1.0 + number),
        organisations=tuple(
            Organisation(name=f"org-{n}", rate=rate, burst=2)
            for n, rate in enumerate(rates)
        ),
    )


def ignore_pause(seconds):
    pass


def create_publisher(store, wall):
    return Publisher(store, pause=ignore_pause, wall=wall.now)


def list_parts(store):
    return {key for key in store.export_entries() if key.startswith(PART_PREFIX)}


class PartTests(testtools.TestCase):
    def test_document_survives_splitting(self):
        document = build_document(1, organisations=500)
        parts = split_document(document)
        contents = {part.digest: part.content for part in parts}
        joined = join_document(parts, contents)
        self.assertEqual(set(document.organisations), set(joined.organisations))
        self.assertEqual(document.fleet, joined.fleet)
        found = joined.organisations.find("org-77")
        self.assertEqual("org-77", found.name)
        self.assertIsNone(joined.organisations.find("org-500"))

    def test_a_change_of_one_organisation_changes_one_part(self):
        before = {p.digest for p in split_document(build_document(0, 1000))}
        document = build_document(0, 1000)
        first = Organisation(name="org-0", rate=99, burst=2)
        changed = Document(
            fleet=document.fleet, organisations=(first, *document.organisations[1:])
        )
        after = {p.digest for p in split_document(changed)}
        self.assertEqual(1, len(after - before))


class PublisherTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.wall = ManualClock(1000.0)
        self.store = MemoryStore(self.wall)
        self.publisher = create_publisher(self.store, self.wall)

    def test_revisions_rise_by_one_and_are_read_back(self):
        for revision in (1, 2, 3):
            made = self.publisher.publish(build_document(revision), revision - 1)
            self.assertEqual(revision, made.revision)
        snapshot = load_snapshot(self.store)
        document = join_document(snapshot.root.parts, snapshot.contents)
        self.assertEqual(build_document(3).fleet, document.fleet)

    def test_other_expected_revision_is_a_conflict(self):
        self.publisher.publish(build_document(1), 0)
        error = self.assertRaises(
            RevisionConflict, self.publisher.publish, build_document(2), 0
        )
        self.assertEqual(1, error.revision)

    def test_part_over_the_limit_is_refused(self):
        keys = tuple(Key(id=f"{n}", digest=f"{n:064x}") for n in range(30_000))
        document = Document(
            fleet=FleetPolicy(key_salt=SALT),
            organisations=(Organisation(name="a", rate=1, burst=1, keys=keys),),
        )
        error = self.assertRaises(InputError, self.publisher.publish, document)
        self.assertEqual("document-too-large", error.code)
        self.assertEqual({}, self.store.export_entries())

    def test_same_document_makes_no_revision(self):
        self.publisher.publish(build_document(1))
        self.assertEqual(1, self.publisher.publish(build_document(1)).revision)

    def test_lost_answers_are_resolved(self):
        self.store.set_faults(Faults(lose_answers=3))
        made = self.publisher.publish(build_document(1), 0)
        self.assertEqual(1, made.revision)
        self.assertEqual(1, read_root(self.store.get(ROOT_KEY)).revision)

    def test_change_is_made_once_though_published_again(self):
        first = self.publisher.publish(build_document(1), 0, change="c1")
        self.publisher.publish(build_document(2), 1)
        again = self.publisher.publish(build_document(1), 0, change="c1")
        self.assertEqual(first, again)

    def test_no_answer_at_all_is_uncertain_and_names_the_change(self):
        store = self.store

        class SilentAfterSwap(MemoryStore):
            def compare_and_swap(self, key, *args):
                entry = store.compare_and_swap(key, *args)
                if key == ROOT_KEY:
                    store.set_faults(Faults(away=True))
                    raise StoreError("gone")
                return entry

            def get(self, key):
                return store.get(key)

        publisher = create_publisher(SilentAfterSwap(self.wall), self.wall)
        error = self.assertRaises(
            PublishUncertain, publisher.publish, build_document(1), 0
        )
        store.set_faults(Faults())
        made = self.publisher.publish(build_document(1), 0, change=error.change)
        self.assertEqual(1, made.revision)

    def test_retired_parts_are_deleted_only_when_old(self):
        self.publisher.publish(build_document(0))
        self.publisher.publish(build_document(1))
        first = list_parts(self.store)
        self.wall.advance(RETIRED_S - 1)
        self.publisher.publish(build_document(2))
        self.assertTrue(first <= list_parts(self.store))
        self.wall.advance(RETIRED_S)
        self.publisher.publish(build_document(3))
        self.wall.advance(RETIRED_S)
        self.publisher.publish(build_document(4))
        root = read_root(self.store.get(ROOT_KEY))
        self.assertEqual(list_needed_keys(root), list_parts(self.store))


class RaceTests(testtools.TestCase):
    """Three operators and a reader, one store call at a time."""

    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.sampled_from("ssssssslcp")
            ),
            max_size=120,
        )
    )
    @hypothesis.settings(max_examples=150)
    def test_races_lost_answers_and_crashes(self, steps):
        wall = ManualClock(1000.0)
        store = MemoryStore(wall)
        create_publisher(store, wall).publish(build_document(0), 0, change="first")
        turns = Turns(store)
        operators = [self.add_operator(turns, wall, n) for n in (1, 2, 3)]
        reader = turns.add(load_snapshot)
        for index, kind in steps:
            if kind == "l":
                store.set_faults(Faults(lose_answers=1))
            if kind == "p":
                wall.advance(RETIRED_S)
            turns.step(index, crash=kind == "c" and index < 3)
        store.set_faults(Faults())
        turns.finish()
        if not isinstance(reader.error, Crash):
            self.assertIsNone(reader.error)
        self.check_outcomes(store, operators)
        if {"c", "p"} <= {kind for _, kind in steps}:
            # A publisher that is slow and then crashes may leave parts behind.
            return
        self.check_nothing_is_left(store, wall)

    def add_operator(self, turns, wall, number):
        def publish_twice(store):
            publisher = create_publisher(store, wall)
            results = []
            for attempt in (1, 2):
                change = f"change-{number}-{attempt}"
                document = build_document(number * 7 + attempt)
                # The second attempt goes back to what may just have been retired.
                document = build_document(0) if attempt == 2 else document
                expected = 1 if attempt == 1 else None
                try:
                    made = publisher.publish(document, expected, change=change)
                    results.append((change, expected, made))
                except RevisionConflict:
                    results.append((change, expected, None))
            return results

        return turns.add(publish_twice)

    def check_outcomes(self, store, operators):
        root = read_root(store.get(ROOT_KEY))
        revisions = [made.revision for made in root.history]
        self.assertEqual(list(range(1, root.revision + 1)), revisions)
        changes = [made.change for made in root.history]
        self.assertEqual(len(changes), len(set(changes)))
        results = [r for operator in operators for r in operator.result or ()]
        for change, _, made in results:
            if made is None:
                self.assertNotIn(change, changes)
            else:
                self.assertIn(made, root.history)
        winners = [c for c, expected, made in results if made and expected == 1]
        self.assertTrue(len(winners) <= 1, winners)
        for operator in operators:
            if not isinstance(operator.error, Crash):
                self.assertIsNone(operator.error)
        load_snapshot(store)

    def check_nothing_is_left(self, store, wall):
        for number in (20, 21):
            wall.advance(RETIRED_S)
            create_publisher(store, wall).publish(build_document(number))
        root = read_root(store.get(ROOT_KEY))
        self.assertEqual(list_needed_keys(root), list_parts(store))
