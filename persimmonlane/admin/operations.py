"""Operations.

The operators' verbs on the document, for the administration API and for
persimmonctl.
"""

import abc

import msgspec

from ..config.checks import validate
from ..config.loading import load_snapshot
from ..config.model import Document, Key
from ..config.parts import join_document
from ..config.publishing import Publisher
from ..config.root import ROOT_KEY, read_root
from ..errors import InputError, StoreError
from ..keys import compute_digest, create_key


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


class ChangeMade(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change.

    Attributes:
        revision: The revision that it made.
        digest: Digest of the document.
        change: Identifier of the change.
        author: Who published it.
        at: Time of publication in Unix seconds, by the publisher's clock.
    """

    revision: int
    digest: str
    change: str
    author: str
    at: float


class NodeState(msgspec.Struct, frozen=True, kw_only=True):
    """How far a node is with the document.

    Attributes:
        node: Name of the node.
        data_centre: Name of its data centre.
        reachable: Whether it answered; the other fields are empty if not.
        revision: Revision in force.
        digest: Digest of the document in force.
        lag_s: Seconds since a newer revision became known; 0 if none is.
        store_age_s: Seconds since the store was heard by any path, or None.
        isolated: Whether keyed requests are refused.
        relay: Whether the node follows the store.
    """

    node: str
    data_centre: str
    reachable: bool = True
    revision: int = 0
    digest: str = ""
    lag_s: float = 0.0
    store_age_s: float | None = None
    isolated: bool = False
    relay: bool = False


class KeyCreated(msgspec.Struct, frozen=True, kw_only=True):
    """A key that was granted; it is shown this once.

    Attributes:
        organisation: Name of the organisation.
        id: Name of the key.
        key: The key.
        revision: The revision that holds its digest.
    """

    organisation: str
    id: str
    key: str
    revision: int


class Operations(abc.ABC):
    """The operators' verbs."""

    @abc.abstractmethod
    def show(self):
        """Return the document that was last accepted, as a `Current`."""

    @abc.abstractmethod
    def publish(self, data, expected=None, author="", change=None):
        """Validate JSON text and publish it; return the `ChangeMade`."""

    @abc.abstractmethod
    def list_history(self):
        """Return the last changes as `ChangeMade`, the newest last."""

    @abc.abstractmethod
    def list_states(self):
        """Return the `NodeState` of each node."""

    def add_key(self, organisation, key_id, author=""):
        """Grant a new key to an organisation; return the `KeyCreated`.

        Only the key's digest goes into the document.
        """
        current = self.show()
        record = find_organisation(current.document, organisation)
        if any(key.id == key_id for key in record.keys):
            raise InputError(f"{key_id!r} is there already", code="duplicate-key-id")
        key = create_key(organisation)
        digest = compute_digest(current.document.fleet.key_salt, key)
        made = self._publish_keys(
            current, record, (*record.keys, Key(id=key_id, digest=digest)), author
        )
        return KeyCreated(
            organisation=organisation, id=key_id, key=key, revision=made.revision
        )

    def withdraw_key(self, organisation, key_id, author=""):
        """Withdraw a key of an organisation; return the `ChangeMade`."""
        current = self.show()
        record = find_organisation(current.document, organisation)
        keys = tuple(key for key in record.keys if key.id != key_id)
        if len(keys) == len(record.keys):
            raise InputError(f"there is no key {key_id!r}", code="unknown-key-id")
        return self._publish_keys(current, record, keys, author)

    def _publish_keys(self, current, record, keys, author):
        changed = msgspec.structs.replace(record, keys=keys)
        organisations = tuple(
            changed if other.name == record.name else other
            for other in current.document.organisations
        )
        document = msgspec.structs.replace(
            current.document, organisations=organisations
        )
        data = msgspec.json.encode(document)
        return self.publish(data, current.revision, author)


class StoreOperations(Operations):
    """The verbs, carried out on the store."""

    __slots__ = ("_store", "_publisher", "_list_states", "_get_view")

    def __init__(self, store, list_states=None, get_view=None):
        """Create the verbs.

        Args:
            store: The store's client.
            list_states: Returns the `NodeState` of each node; None if no node is
                at hand.
            get_view: Returns the `DocumentView` in force or None, to show while
                the store is away.
        """
        self._store = store
        self._publisher = Publisher(store)
        self._list_states = list_states
        self._get_view = get_view

    def show(self):
        """Return the document that was last accepted, as a `Current`.

        While the store is away, that is the newest that this node knows of.
        """
        try:
            snapshot = load_snapshot(self._store)
        except StoreError:
            view = self._get_view and self._get_view()
            if view is None:
                raise
            return describe_view(view)
        root = snapshot.root
        if not root.revision:
            raise InputError("nothing was ever published", code="document-missing")
        document = make_plain(join_document(root.parts, snapshot.contents))
        return Current(revision=root.revision, digest=root.digest, document=document)

    def publish(self, data, expected=None, author="", change=None):
        """Validate JSON text and publish it; return the `ChangeMade`."""
        made = self._publisher.publish(validate(data), expected, author, change)
        return describe_change(made)

    def list_history(self):
        """Return the last changes as `ChangeMade`, the newest last."""
        history = read_root(self._store.get(ROOT_KEY)).history
        return tuple(describe_change(made) for made in history)

    def list_states(self):
        """Return the `NodeState` of each node."""
        if self._list_states is None:
            raise InputError("only a node knows of the others", code="node-needed")
        return self._list_states()


def describe_view(view):
    """Return a view as a `Current`."""
    return Current(
        revision=view.revision, digest=view.digest, document=make_plain(view.document)
    )


def describe_change(made):
    """Return a change of the root as a `ChangeMade`."""
    return ChangeMade(**msgspec.structs.asdict(made))


def find_organisation(document, name):
    """Return the organisation with a name."""
    for organisation in document.organisations:
        if organisation.name == name:
            return organisation
    raise InputError(f"no organisation is named {name!r}", code="unknown-organisation")


def make_plain(document):
    """Return a document whose sections are plain tuples."""
    return msgspec.structs.replace(
        document,
        services=tuple(document.services),
        routes=tuple(document.routes),
        organisations=tuple(document.organisations),
    )
