"""Document in force.

Holds the document in force, which only a newer version replaces, and the nodes from
which a newer version can be fetched.
"""

import logging
import threading

from ..errors import PersimmonError

# Time for a node of this data centre to get a new version, before it is fetched from
# another data centre.
REMOTE_FETCH_DELAY_S = 0.15

log = logging.getLogger("persimmonlane.upkeep")


class DocumentSource:
    """A node that has a newer version of the document.

    Attributes:
        version: Version number of its document.
        address: Address of the node.
        is_local: Whether the node is in this one's data centre.
    """

    __slots__ = ("version", "address", "is_local")

    def __init__(self, version, address, is_local):
        self.version = version
        self.address = address
        self.is_local = is_local


class DocumentHolder:
    """The document in force; thread-safe.

    Args:
        decode: Function that decodes a document in bytes into a `Rulebook` and raises
            `PersimmonError` if it is invalid.

    Attributes:
        rulebook: The `Rulebook` in force, or None before the first document.
    """

    __slots__ = (
        "rulebook",
        "_decode",
        "_lock",
        "_sources",
        "_source_added",
        "_stopped",
        "_listeners",
    )

    def __init__(self, decode):
        self.rulebook = None
        self._decode = decode
        self._lock = threading.Lock()
        self._sources = []
        self._source_added = threading.Event()
        self._stopped = threading.Event()
        self._listeners = []

    @property
    def version(self):
        """Version number of the document in force, or 0 before the first document."""
        return self.rulebook.version if self.rulebook else 0

    def add_listener(self, listener):
        """Register a function to call with each `Rulebook` that comes into force."""
        self._listeners.append(listener)

    def apply(self, raw, source):
        """Put a document into force if it is newer; return whether it was valid.

        Args:
            raw: The document in bytes.
            source: Origin of the document, for the log.
        """
        try:
            rulebook = self._decode(raw)
        except PersimmonError as error:
            log.error("Upkeep: a document from %s is invalid: %s.", source, error)
            return False
        with self._lock:
            if rulebook.version <= self.version:
                return True
            self.rulebook = rulebook
        log.info("Upkeep: version %08x is in force, from %s.", rulebook.version, source)
        for listener in self._listeners:
            listener(rulebook)
        return True

    def add_source(self, version, address, is_local):
        """Record that a node has a newer version of the document.

        Args:
            version: Version number of its document.
            address: Address of the node.
            is_local: Whether the node is in this one's data centre.
        """
        source = DocumentSource(version, address, is_local)
        with self._lock:
            self._sources.append(source)
        self._source_added.set()

    def wait_for_sources(self, timeout_s):
        """Wait for nodes with a newer version and return their `DocumentSource`s.

        Nodes of this data centre come first: links to other data centres are costly,
        and a node of this data centre is likely to have the version shortly.

        Args:
            timeout_s: Longest time in seconds to wait for a first node.
        """
        self._source_added.wait(timeout_s)
        if not self._has_local_source():
            self._stopped.wait(REMOTE_FETCH_DELAY_S)
        self._source_added.clear()
        with self._lock:
            sources, self._sources = self._sources, []
        sources = [source for source in sources if source.version > self.version]
        return sorted(sources, key=lambda source: not source.is_local)

    def _has_local_source(self):
        with self._lock:
            return any(source.is_local for source in self._sources)
