"""Document in force.

Holds the document in force, which only a newer version replaces, and the nodes from
which a newer version can be fetched.
"""

import logging
import random
import threading
import zlib

from ..errors import PersimmonError
from ..localities import Locality
from ..routing.stamps import DocumentStamp

# Time for a node of this data centre to get a new version, before it is fetched from
# another data centre.
REMOTE_FETCH_DELAY_S = 0.15
# The fastest level: nodes wait for the document, and routes repeat each other's words.
COMPRESSION_LEVEL = 1

log = logging.getLogger("persimmonlane.upkeep")


class HeldDocument:
    """A document that is in force.

    Attributes:
        rulebook: The `Rulebook`, or None before the first document.
        stamp: Its `DocumentStamp`.
        revision: Latest revision of the store in the stamp's generation at which it is
            known to have been the newest, 0 if none is known.
    """

    __slots__ = ("rulebook", "stamp", "revision", "_compressed", "_lock")

    def __init__(self, rulebook, stamp, revision=0):
        self.rulebook = rulebook
        self.stamp = stamp
        self.revision = revision
        self._compressed = None
        # Many nodes fetch a new document at the same moment.
        self._lock = threading.Lock()

    def compress(self):
        """Return the encoded document, compressed with zlib."""
        with self._lock:
            if self._compressed is None:
                self._compressed = zlib.compress(self.rulebook.raw, COMPRESSION_LEVEL)
            return self._compressed


class DocumentSource:
    """A node that has a newer document.

    Attributes:
        stamp: The `DocumentStamp` of its document.
        address: Address of the node.
        locality: The `Locality` of the node's data centre.
    """

    __slots__ = ("stamp", "address", "locality")

    def __init__(self, stamp, address, locality):
        self.stamp = stamp
        self.address = address
        self.locality = locality


class DocumentHolder:
    """The document in force; thread-safe.

    Args:
        decode: Function that decodes a document in bytes into a `Rulebook` and raises
            `PersimmonError` if it is invalid.
        locate: Function that returns the `Locality` of a data centre.
        rng: The `random.Random` that spreads the nodes over those they fetch from.

    Attributes:
        held: The `HeldDocument` in force.
    """

    __slots__ = (
        "held",
        "_decode",
        "_locate",
        "_rng",
        "_newest_stamp",
        "_replaced_stamp",
        "_lock",
        "_sources",
        "_source_added",
        "_stopped",
        "_listeners",
    )

    def __init__(self, decode, locate=lambda _: Locality.DATA_CENTRE, rng=None):
        self.held = HeldDocument(None, DocumentStamp())
        self._decode = decode
        self._locate = locate
        self._rng = rng or random.Random()
        # The greatest stamp that another node has named.
        self._newest_stamp = DocumentStamp()
        # Stamp in force when the store was found to hold another document.
        self._replaced_stamp = None
        self._lock = threading.Lock()
        self._sources = []
        self._source_added = threading.Event()
        self._stopped = threading.Event()
        self._listeners = []

    @property
    def rulebook(self):
        """The `Rulebook` in force, or None before the first document."""
        return self.held.rulebook

    @property
    def stamp(self):
        """The `DocumentStamp` of the document in force."""
        return self.held.stamp

    @property
    def version(self):
        """Version number of the document in force, or 0 before the first document."""
        return self.held.stamp.version

    def add_listener(self, listener):
        """Register a function to call with each `Rulebook` that comes into force."""
        self._listeners.append(listener)

    def holds(self, raw):
        """Return whether a document in bytes is the one in force."""
        rulebook = self.held.rulebook
        return rulebook is not None and rulebook.raw == raw

    def is_superseded(self):
        """Return whether a newer document than the one in force is known to exist."""
        stamp = self.stamp
        return self._newest_stamp > stamp or self._replaced_stamp == stamp

    def note_replaced(self, stamp):
        """Note that the store holds another document than the one with a stamp."""
        self._replaced_stamp = stamp

    def apply(self, raw, source, generation=0, revision=0):
        """Put a document into force if it is newer; return whether it was valid.

        Args:
            raw: The document in bytes.
            source: Origin of the document, for the log.
            generation: Generation of the store that is known to hold it, 0 if that is
                not known.
            revision: Revision of the store in that generation at which it was the
                newest, 0 if that is not known.
        """
        if self._note_held(raw, generation, revision):
            return True
        try:
            rulebook = self._decode(raw)
        except PersimmonError as error:
            log.error("Upkeep: a document from %s is invalid: %s.", source, error)
            return False
        stamp = DocumentStamp(rulebook.version, generation)
        with self._lock:
            before = self.held.stamp
            if stamp <= before:
                return True
            self.held = HeldDocument(rulebook, stamp, revision)
        log.info("Upkeep: version %08x is in force, from %s.", rulebook.version, source)
        if rulebook.version == before.version:
            log.warning(
                "Upkeep: version %08x of generation %d was never confirmed.",
                before.version,
                before.generation,
            )
        for listener in self._listeners:
            listener(rulebook)
        return True

    def note_unchanged(self, held, generation, revision):
        """Note that a `HeldDocument` was still the newest at a revision of the store.

        Args:
            held: The `HeldDocument` that was in force when the store was asked.
            generation: Generation of the store.
            revision: The revision.
        """
        with self._lock:
            if held is self.held:
                self._raise_position(generation, revision)

    def _note_held(self, raw, generation, revision):
        """Note that a generation holds a document; return whether it is in force."""
        with self._lock:
            if not self.holds(raw):
                return False
            self._raise_position(generation, revision)
            return True

    def _raise_position(self, generation, revision):
        held = self.held
        if generation > held.stamp.generation:
            stamp = DocumentStamp(held.stamp.version, generation)
            self.held = HeldDocument(held.rulebook, stamp, revision)
        elif generation == held.stamp.generation:
            held.revision = max(held.revision, revision)

    def add_source(self, stamp, address, data_centre):
        """Record that a node has a newer document.

        Args:
            stamp: The `DocumentStamp` of its document.
            address: Address of the node.
            data_centre: Name of its data centre.
        """
        source = DocumentSource(stamp, address, self._locate(data_centre))
        with self._lock:
            self._sources.append(source)
            self._newest_stamp = max(self._newest_stamp, stamp)
        self._source_added.set()

    def wait_for_sources(self, timeout_s):
        """Wait for nodes with a newer version and return their `DocumentSource`s.

        The nearest nodes come first: links to other data centres are costly, and a
        node of this data centre is likely to have the version shortly. Among equally
        near ones the order is random, so that no node has to send the document to all
        others.

        Args:
            timeout_s: Longest time in seconds to wait for a first node.
        """
        self._source_added.wait(timeout_s)
        if not self._has_local_source():
            self._stopped.wait(REMOTE_FETCH_DELAY_S)
        self._source_added.clear()
        with self._lock:
            sources, self._sources = self._sources, []
        sources = [source for source in sources if source.stamp > self.stamp]
        self._rng.shuffle(sources)
        return sorted(sources, key=lambda source: source.locality)

    def _has_local_source(self):
        with self._lock:
            return any(
                source.locality is Locality.DATA_CENTRE for source in self._sources
            )
