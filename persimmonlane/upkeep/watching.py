"""Watch of the document in the store."""

import logging

from ..errors import StoreError
from ..platform.documents import DOCUMENT_KEY, DOCUMENT_PREFIX
from ..platform.store import HistoryGone, LongAnswer, StorePosition
from .longreads import LONG_ANSWER_BYTES, RELAY_TIME_S

log = logging.getLogger("persimmonlane.upkeep")

# Number of nodes in each data centre that watch the document for the others.
WATCHING_RELAYS = 2
WATCH_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.7


class DocumentWatch:
    """Waits for changes of the document, as long as this node is a relay."""

    __slots__ = (
        "_settings",
        "_clock",
        "_store",
        "_documents",
        "_reader",
        "_table",
        "_after",
        "_left_stamp",
    )

    def __init__(self, settings, clock, store, documents, reader, table):
        """Create a watch.

        Args:
            settings: The `FleetSettings`.
            clock: Clock that gives the time in seconds.
            store: The `SiteStore`.
            documents: The `DocumentHolder`.
            reader: The `DocumentReader`.
            table: Table of the known nodes.
        """
        self._settings = settings
        self._clock = clock
        self._store = store
        self._documents = documents
        self._reader = reader
        self._table = table
        self._after = None
        # Stamp of the document in force when a long answer was left to the first relay.
        self._left_stamp = None

    def wait(self):
        """Wait for the next changes; return the seconds to pause before the next call.

        No error is raised; they are logged.
        """
        if not self._table.is_relay(self._settings.data_centre, WATCHING_RELAYS):
            self._after = None
            return RETRY_DELAY_S
        if self._reader.position is None:
            return 0.0
        try:
            self._apply_changes(self._find_start())
        except LongAnswer:
            self._left_stamp = self._documents.stamp
            return RELAY_TIME_S
        except HistoryGone:
            log.warning(
                "Upkeep: the store doesn't have the changes; reading the document."
            )
            # The watch goes on at the position of that read.
            self._after = None
            self._read_document()
        except StoreError as error:
            log.warning("Upkeep: watching the document failed: %s.", error)
            return RETRY_DELAY_S
        except Exception:
            log.exception("Upkeep: unexpected error while watching the document.")
            return RETRY_DELAY_S
        return 0.0

    def _find_start(self):
        """Return the position to watch from: one of the store's present generation."""
        read_at = self._reader.position
        if self._after is None or self._after.generation != read_at.generation:
            return read_at
        held = self._documents.held
        held_at = StorePosition(held.stamp.generation, held.revision)
        if self._left_stamp not in (None, held.stamp) and (
            held_at.generation == self._after.generation
            and held_at.revision > self._after.revision
        ):
            # Another node has passed the document on that was left.
            self._left_stamp = None
            return held_at
        return self._after

    def _choose_limit(self):
        """Return the most bytes to read, or None.

        The second relay leaves a long document to the first one for a while.
        """
        if self._documents.stamp == self._left_stamp:
            return None
        if self._table.is_relay(self._settings.data_centre, 1):
            return None
        return LONG_ANSWER_BYTES

    def _apply_changes(self, after):
        started_at = self._clock.now()
        changes = self._store.watch(
            DOCUMENT_PREFIX, after, WATCH_TIMEOUT_S, self._choose_limit()
        )
        self._reader.take_evacuations(after, changes, started_at)
        for event in changes.events:
            if event.key == DOCUMENT_KEY and event.value is not None:
                position = changes.position
                self._documents.apply(
                    event.value, "a watch", position.generation, event.revision
                )
        self._after = changes.position

    def _read_document(self):
        try:
            self._reader.read()
        except StoreError as error:
            log.warning("Upkeep: reading the document failed: %s.", error)
