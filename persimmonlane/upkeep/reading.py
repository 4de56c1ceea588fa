"""Reading of the document from the store, and confirmation that it is the newest."""

import logging

from ..peers.commands import FreshnessConfirmed
from ..platform.documents import DOCUMENT_KEY
from .entries import build_entry_key
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
        "_probed_key",
        "_schedule",
        "_held_version",
        "_held_at",
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
        self._probed_key = build_entry_key(settings.name)
        self._schedule = ProbeSchedule(settings, rng)
        # Version that the store held at the last read, and position of that read.
        self._held_version = None
        self._held_at = None
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

        The store's revision increases with every change. While it is the same as at the
        last read of the document, the document has not changed, and reading the node's
        own small entry is enough to learn the revision.

        Args:
            now: Clock seconds.
        """
        if self._held_at is None or self._held_version != self._documents.version:
            self.read()
        else:
            self._compare_position()
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
        generation = item.position.generation
        if not self._documents.apply(item.value, "the store", generation):
            return
        self.position = item.position
        if not self._documents.holds(item.value):
            self._held_at = None
            log.warning(
                "Upkeep: the store holds an older document than version %08x.",
                self._documents.version,
            )
            return
        self._held_version = self._documents.version
        self._held_at = item.position
        self._confirm(Confirmation(generation, started_at))

    def _compare_position(self):
        started_at = self._clock.now()
        item = self._store.read(self._probed_key)
        if item.position != self._held_at:
            self.read()
        else:
            self._confirm(Confirmation(item.position.generation, started_at))

    def _has_settled(self, now):
        """Return whether a read would confirm now what the last one could not."""
        unsettled = self._unsettled
        return unsettled is not None and self._generations.is_settled(
            unsettled.generation, now
        )

    def _confirm(self, confirmation):
        self._unsettled = confirmation
        self.confirm_settled()
