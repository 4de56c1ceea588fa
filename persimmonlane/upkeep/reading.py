"""Reading of the document from the store, and confirmation that it is the newest."""

import logging

from ..peers.commands import FreshnessConfirmed
from ..platform.documents import DOCUMENT_KEY
from ..platform.store import HistoryGone, StorePosition
from .probing import ProbeSchedule

log = logging.getLogger("persimmonlane.upkeep")

# Number of nodes in each data centre that probe the store for the others.
PROBING_RELAYS = 1


class Confirmation:
    """The store held the document in force, in a generation at a time in seconds."""

    __slots__ = ("generation", "at")

    def __init__(self, generation, at):
        self.generation = generation
        self.at = at


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
        "_unsettled",
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
        """
        self.position = None
        self._settings = settings
        self._clock = clock
        self._store = store
        self._generations = generations
        self._documents = documents
        self._gossip = gossip
        self._table = table
        self._schedule = ProbeSchedule(settings, rng)
        self._unsettled = None

    def run_due_probe(self, now):
        """Check whether the document is still the newest, if it is time to.

        Args:
            now: Clock seconds.
        """
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
        if held.revision and held.stamp.generation == self._generations.current:
            self._ask_for_changes(held)
        else:
            self.read()
        self._schedule.note_probe(now)

    def is_probing_relay(self):
        """Return whether this node probes the store for its data centre."""
        return self._table.is_relay(self._settings.data_centre, PROBING_RELAYS)

    def confirm_settled(self):
        """Confirm what was read before it was known that nothing was missing then."""
        unsettled = self._unsettled
        if unsettled is not None and self._generations.is_settled(
            unsettled.generation, unsettled.at
        ):
            self._unsettled = None
            self._gossip.tell(FreshnessConfirmed(unsettled.at))

    def read(self):
        """Read the document, and put it into force if it is newer."""
        started_at = self._clock.now()
        item = self._store.read(DOCUMENT_KEY)
        if item.value is None:
            if self._documents.version > 0:
                log.warning("Upkeep: the store holds no document.")
            return
        generation, revision = item.position.generation, item.position.revision
        if not self._documents.apply(item.value, "the store", generation, revision):
            return
        self.position = item.position
        if not self._documents.holds(item.value):
            log.warning(
                "Upkeep: the store holds an older document than version %08x.",
                self._documents.version,
            )
            return
        self._confirm(Confirmation(generation, started_at))

    def _ask_for_changes(self, held):
        """Ask the store what has changed since it held a `HeldDocument`."""
        started_at = self._clock.now()
        generation = held.stamp.generation
        try:
            changes = self._store.watch(
                DOCUMENT_KEY, StorePosition(generation, held.revision), 0.0
            )
        except HistoryGone:
            self.read()
            return
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
