"""Documents.

The document in force, where it comes from, and that it never goes back.
"""

import logging
import threading

from ..errors import PersimmonError

FAR_DELAY_S = 0.15

log = logging.getLogger("persimmonlane.upkeep")


class Offer:
    """A node that has a newer version.

    Attributes:
        version: Number of the version.
        address: Address of the node.
        near: Whether the node is in this one's data centre.
    """

    __slots__ = ("version", "address", "near")

    def __init__(self, version, address, near):
        self.version = version
        self.address = address
        self.near = near


class DocumentHolder:
    """The document in force; may be used from any thread.

    Attributes:
        rulebook: The `Rulebook` in force, or None before the first.
    """

    __slots__ = (
        "rulebook",
        "_decode",
        "_lock",
        "_wanted",
        "_waker",
        "_ended",
        "_listeners",
    )

    def __init__(self, decode):
        self.rulebook = None
        self._decode = decode
        self._lock = threading.Lock()
        self._wanted = []
        self._waker = threading.Event()
        self._ended = threading.Event()
        self._listeners = []

    @property
    def version(self):
        """Number of the version in force, 0 before the first."""
        return self.rulebook.version if self.rulebook else 0

    def add_listener(self, listener):
        """Call a function with each `Rulebook` that comes into force."""
        self._listeners.append(listener)

    def apply(self, raw, source):
        """Take a document into force if it is newer; return whether it was valid.

        Args:
            raw: The document in bytes.
            source: Where it came from, for the log.
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

    def add_source(self, version, address, near):
        """Note that a node has a newer version.

        Args:
            version: Number of the version.
            address: Address of the node.
            near: Whether the node is in this one's data centre.
        """
        self._wanted.append(Offer(version, address, near))
        self._waker.set()

    def await_wanted(self, timeout_s):
        """Wait for a newer version; return the addresses that have one.

        Nodes of this data centre come first: the others' links are costly, and a node
        of this data centre is likely to have the version within a moment.
        """
        self._waker.wait(timeout_s)
        if not any(offer.near for offer in self._wanted):
            self._ended.wait(FAR_DELAY_S)
        self._waker.clear()
        wanted, self._wanted = self._wanted, []
        wanted.sort(key=lambda offer: not offer.near)
        return [offer.address for offer in wanted if offer.version > self.version]
