"""Reading of the document from the store, and confirmation that it is the newest."""

from ..peers.commands import FreshnessConfirmed
from ..platform.documents import DOCUMENT_KEY
from .probing import ProbeSchedule

# Number of nodes in each data centre that probe the store for the others.
PROBING_RELAYS = 1


class DocumentReader:
    """Reads the document, and probes whether it has changed since.

    Its methods raise `StoreError` if the store fails.

    Attributes:
        revision: Revision of the store at the last read, or None before the first.
    """

    __slots__ = (
        "revision",
        "_settings",
        "_clock",
        "_store",
        "_documents",
        "_gossip",
        "_table",
        "_probed_key",
        "_schedule",
    )

    def __init__(
        self, settings, clock, store, documents, gossip, table, probed_key, rng
    ):
        """Create a reader.

        Args:
            settings: The `FleetSettings`.
            clock: Clock that gives the time in seconds.
            store: The `SiteStore`.
            documents: The `DocumentHolder`.
            gossip: Actor that is told of the document's freshness.
            table: Table of the known nodes.
            probed_key: Callable that returns the key of a small item to probe with.
            rng: The `random.Random` that spreads the nodes' calls.
        """
        self.revision = None
        self._settings = settings
        self._clock = clock
        self._store = store
        self._documents = documents
        self._gossip = gossip
        self._table = table
        self._probed_key = probed_key
        self._schedule = ProbeSchedule(settings, rng)

    def run_due_probe(self, now):
        """Check whether the document is still the newest, if it is time to.

        Args:
            now: Clock seconds.
        """
        age_s = self._table.freshness.compute_age()
        if self._documents.version == 0 or self._schedule.is_due(
            now, age_s, self._is_probing_relay
        ):
            self._probe()
            self._schedule.note_probe(now)

    def read(self):
        """Read the document, and put it into force if it is newer."""
        started_at = self._clock.now()
        item = self._store.read(DOCUMENT_KEY)
        if item.value is not None and self._documents.apply(item.value, "the store"):
            self.revision = item.as_of
            self._gossip.tell(FreshnessConfirmed(started_at))

    def _probe(self):
        """Check that the document is still the newest, at the lowest cost.

        The store's revision increases with every change. While it is the same as at the
        last read of the document, the document has not changed, and reading the node's
        own small entry is enough to learn the revision.
        """
        if self.revision is None:
            self.read()
            return
        started_at = self._clock.now()
        item = self._store.read(self._probed_key())
        if item.as_of != self.revision:
            self.read()
        else:
            self._gossip.tell(FreshnessConfirmed(started_at))

    def _is_probing_relay(self):
        return self._table.is_relay(self._settings.data_centre, PROBING_RELAYS)
