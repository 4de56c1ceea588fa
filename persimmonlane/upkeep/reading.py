"""Reading of the document from the store, and confirmation that it is the newest."""

import logging

from ..peers.commands import FreshnessConfirmed
from ..platform.documents import DOCUMENT_KEY, DOCUMENT_PREFIX
from ..platform.evacuations import EVACUATION_PREFIX, parse_data_centre
from ..platform.store import HistoryGone, LongAnswer, StorePosition
from .evacuations import EvacuationList
from .longreads import LongReads
from .probing import ProbeSchedule

log = logging.getLogger("persimmonlane.upkeep")

# Number of nodes in each data centre that probe the store for the others.
PROBING_RELAYS = 1


class Confirmation:
    """The store held what was read, in a generation at a time in seconds.

    Attributes:
        generation: Number of the generation.
        at: Clock seconds.
        evacuations: The `EvacuationList` that was read, or None if the document was.
    """

    __slots__ = ("generation", "at", "evacuations")

    def __init__(self, generation, at, evacuations=None):
        self.generation = generation
        self.at = at
        self.evacuations = evacuations


class DocumentReader:
    """Reads the document, and probes whether it has changed since.

    Its methods raise `StoreError` if the store fails.

    Attributes:
        position: The `StorePosition` at the last read, or None before the first.
    """

    __slots__ = (
        "position",
        "_settings",
        "_clock",
        "_store",
        "_generations",
        "_documents",
        "_gossip",
        "_table",
        "_schedule",
        "_evacuations",
        "_long_reads",
        "_unsettled",
        "_unsettled_list",
    )

    def __init__(
        self,
        settings,
        clock,
        store,
        generations,
        documents,
        gossip,
        table,
        rng,
        evacuations=None,
    ):
        """Create a reader.

        Args:
            settings: The `FleetSettings`.
            clock: Clock that gives the time in seconds.
            store: The `SiteStore`.
            generations: The `GenerationTracker` of the store.
            documents: The `DocumentHolder`.
            gossip: Actor that is told of the document's freshness.
            table: Table of the known nodes.
            rng: The `random.Random` that spreads the nodes' calls.
            evacuations: The `EvacuationHolder`; None where operators evacuate no data
                centres.
        """
        self.position = None
        self._settings = settings
        self._clock = clock
        self._store = store
        self._generations = generations
        self._documents = documents
        self._gossip = gossip
        self._table = table
        self._schedule = ProbeSchedule(settings, rng, evacuations is not None)
        self._evacuations = evacuations
        self._long_reads = LongReads(rng)
        self._unsettled = None
        self._unsettled_list = None

    def run_due_probe(self, now):
        """Check whether the document is still the newest, if it is time to.

        Args:
            now: Clock seconds.
        """
        if self._long_reads.is_waiting(now, self._documents.stamp):
            return
        age_s = self._table.freshness.compute_age()
        if (
            self._documents.version == 0
            or self._schedule.is_due(now, age_s, self.is_probing_relay)
            or (self._has_settled(now) and self.is_probing_relay())
        ):
            self.probe(now)

    def probe(self, now):
        """Check that the document is still the newest, at the lowest cost.

        A document may be long, and many nodes may ask at once over a narrow link. So
        the store is only asked for changes since it is known to have held the one in
        force, by this node or by the one that passed it on.

        Args:
            now: Clock seconds.
        """
        held = self._documents.held
        limit = self._long_reads.get_limit(now, held.stamp)
        try:
            if held.revision and held.stamp.generation == self._generations.current:
                self._ask_for_changes(held, limit)
            else:
                self.read(limit)
        except LongAnswer:
            self._long_reads.note_long(now, held.stamp)
            if self._evacuations is not None:
                self.list_evacuations(now)
        self._schedule.note_probe(now)

    def is_probing_relay(self):
        """Return whether this node probes the store for its data centre."""
        return self._table.is_relay(self._settings.data_centre, PROBING_RELAYS)

    def confirm_settled(self):
        """Confirm what was read before it was known that nothing was missing then."""
        self._settle_list()
        unsettled = self._unsettled
        if unsettled is not None and self._generations.is_settled(
            unsettled.generation, unsettled.at
        ):
            self._unsettled = None
            if self._evacuations is None or self._evacuations.covers(
                unsettled.generation
            ):
                self._gossip.tell(FreshnessConfirmed(unsettled.at))

    def read(self, max_bytes=None):
        """Read the document, and put it into force if it is newer.

        The evacuations are read with it.

        Args:
            max_bytes: Most bytes of the answer to read, or None.

        Raises:
            LongAnswer: If the answer is longer.
        """
        started_at = self._clock.now()
        item = self._store.read(DOCUMENT_KEY, max_bytes)
        # A long document takes its time to decode; evacuations do not wait for it.
        if self._evacuations is not None:
            self.list_evacuations(started_at)
        confirmation = self._apply_item(item, started_at)
        if confirmation is not None:
            self._confirm(confirmation)

    def take_evacuations(self, after, changes, started_at):
        """Apply the changes of evacuations, or list those that are in force.

        Args:
            after: The `StorePosition` after which changes were asked for.
            changes: The `Changes`.
            started_at: Clock seconds at which the call began.
        """
        if self._evacuations is None:
            return
        position = changes.position
        if self._evacuations.apply_changes(
            position.generation,
            after.revision,
            list_evacuation_changes(changes.events),
            position.revision,
        ):
            self._evacuations.confirm(started_at)
        else:
            self.list_evacuations(started_at)

    def list_evacuations(self, started_at):
        """Read all evacuations in force.

        Args:
            started_at: Clock seconds at which the reading began, in this or in an
                earlier call.
        """
        listing = self._store.list(EVACUATION_PREFIX)
        found = build_evacuation_list(listing)
        self._unsettled_list = Confirmation(listing.generation, started_at, found)
        self._settle_list()
        if self._unsettled_list is not None:
            self._evacuations.note_unsettled(found)
        self._evacuations.confirm(started_at)

    def _settle_list(self):
        """Put the list into force that was read, if nothing was missing then.

        That another node has put one of this generation into force shows it as well.
        """
        unsettled = self._unsettled_list
        if unsettled is not None and (
            self._evacuations.covers(unsettled.generation)
            or self._generations.is_settled(unsettled.generation, unsettled.at)
        ):
            self._unsettled_list = None
            self._evacuations.note_listing(unsettled.evacuations)

    def _apply_item(self, item, started_at):
        """Put a `ReadItem` into force if it is newer.

        Returns:
            The `Confirmation` that it is the document in force, or None.
        """
        if item.value is None:
            if self._documents.version > 0:
                log.warning("Upkeep: the store holds no document.")
            return None
        generation, revision = item.position.generation, item.position.revision
        if not self._documents.apply(item.value, "the store", generation, revision):
            return None
        self.position = item.position
        if not self._documents.holds(item.value):
            log.warning(
                "Upkeep: the store holds an older document than version %08x.",
                self._documents.version,
            )
            return None
        return Confirmation(generation, started_at)

    def _ask_for_changes(self, held, max_bytes):
        """Ask the store what has changed since it held a `HeldDocument`."""
        started_at = self._clock.now()
        generation = held.stamp.generation
        after = StorePosition(generation, held.revision)
        prefix = DOCUMENT_KEY if self._evacuations is None else DOCUMENT_PREFIX
        try:
            changes = self._store.watch(prefix, after, 0.0, max_bytes)
        except LongAnswer:
            # No other change is that long.
            self._documents.note_replaced(held.stamp)
            raise
        except HistoryGone:
            self.read(max_bytes)
            return
        self.take_evacuations(after, changes, started_at)
        values = [item.value for item in changes.events if item.key == DOCUMENT_KEY]
        revision = changes.position.revision
        if not values:
            self._documents.note_unchanged(held, generation, revision)
        elif values[-1] is None:
            log.warning("Upkeep: the store holds no document.")
            return
        elif not self._documents.apply(values[-1], "the store", generation, revision):
            return
        elif not self._documents.holds(values[-1]):
            self.read()
            return
        self.position = changes.position
        self._confirm(Confirmation(generation, started_at))

    def _has_settled(self, now):
        """Return whether a read would confirm now what the last one could not."""
        unsettled = self._unsettled
        return unsettled is not None and self._generations.is_settled(
            unsettled.generation, now
        )

    def _confirm(self, confirmation):
        self._unsettled = confirmation
        self.confirm_settled()


def build_evacuation_list(listing):
    """Return the `EvacuationList` of a `Listing`."""
    names = {parse_data_centre(item.key) for item in listing.items} - {None}
    revisions = [listing.revision, *(item.revision for item in listing.items)]
    revision = listing.revision or max(revisions)
    return EvacuationList(listing.generation, revision, tuple(sorted(names)))


def list_evacuation_changes(events):
    """Return the changes of evacuations among `StoreItem`s, for the holder."""
    return [
        (event.revision, (name, event.value is not None and not event.tombstone))
        for event in events
        if (name := parse_data_centre(event.key)) is not None
    ]
