"""Indexing.

Builds the key table of a revision apart from the request path.
"""

import logging

from ..actors import Actor, tell
from ..config.messages import DocumentChanged, FreshnessChanged
from ..keys import KeyTable

log = logging.getLogger("persimmonlane.forwarding")


class DocumentIndexed:
    """A revision is ready to come into force on the request path.

    Attributes:
        view: The `DocumentView`.
        keys: Its `KeyTable`.
    """

    __slots__ = ("view", "keys")

    def __init__(self, view, keys):
        self.view = view
        self.keys = keys


class Indexer(Actor):
    """Hands each revision to the traffic actor once its keys are indexed."""

    handlers = {DocumentChanged: "index", FreshnessChanged: "note_freshness"}

    def __init__(self, application, traffic):
        """Begin without a revision.

        Args:
            application: The application that owns the actor.
            traffic: The traffic actor.
        """
        super().__init__(application)
        self._traffic = traffic

    def index(self, message):
        """Build the key table of a revision and hand both on."""
        keys = KeyTable(message.view.document)
        tell(self._traffic, DocumentIndexed(message.view, keys))

    def note_freshness(self, message):
        """Log whether keyed requests are refused; the forwarder asks for itself."""
        state = "isolated" if message.isolated else "informed"
        log.warning("Forwarding: the node is %s.", state)
