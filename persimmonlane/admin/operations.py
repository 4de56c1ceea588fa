"""Operations.

The operators' verbs on the document, for the administration API and for
persimmonctl.
"""

import msgspec

from ..config.checks import validate
from ..config.loading import load_snapshot
from ..config.model import Document
from ..config.parts import join_document
from ..config.publishing import Publisher
from ..config.root import ROOT_KEY, read_root
from ..errors import InputError


class Current(msgspec.Struct, frozen=True, kw_only=True):
    """A document with its revision.

    Attributes:
        revision: The revision.
        digest: Digest of the document.
        document: The document.
    """

    revision: int
    digest: str
    document: Document


class StoreOperations:
    """The verbs, carried out on the store."""

    __slots__ = ("_store", "_publisher")

    def __init__(self, store):
        self._store = store
        self._publisher = Publisher(store)

    def show(self):
        """Return the document that was last accepted, as a `Current`."""
        snapshot = load_snapshot(self._store)
        root = snapshot.root
        if not root.revision:
            raise InputError("nothing was ever published", code="document-missing")
        document = make_plain(join_document(root.parts, snapshot.contents))
        return Current(revision=root.revision, digest=root.digest, document=document)

    def publish(self, data, expected=None, author="", change=None):
        """Validate JSON text and publish it; return the `Change` made."""
        return self._publisher.publish(validate(data), expected, author, change)

    def list_history(self):
        """Return the last changes, the newest last."""
        return read_root(self._store.get(ROOT_KEY)).history


def make_plain(document):
    """Return a document whose sections are plain tuples."""
    return msgspec.structs.replace(
        document,
        services=tuple(document.services),
        routes=tuple(document.routes),
        organisations=tuple(document.organisations),
    )
