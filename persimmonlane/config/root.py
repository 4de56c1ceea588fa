"""Root.

The small value in the store that says which revision of the document is in force
and of which parts it consists.
"""

import hashlib

import msgspec

from ..errors import StoreError

ROOT_KEY = "config/root"
PENDING_KEY = "config/pending"
PART_PREFIX = "config/parts/"
FORMAT = 1
DIGEST_BYTES = 16
HISTORY_LENGTH = 64


class PartRef(msgspec.Struct, frozen=True, array_like=True):
    """A reference to one part of the document.

    Attributes:
        section: Name of the document's section.
        bucket: Number of the bucket within the section.
        digest: Digest of the part's content, in hexadecimal.
        writer: Identifier of the attempt at publishing that wrote the part.
    """

    section: str
    bucket: int
    digest: str
    writer: str

    @property
    def key(self):
        """Key of the part in the store."""
        return f"{PART_PREFIX}{self.digest}.{self.writer}"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One published revision, as the history shows it.

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


class Retired(msgspec.Struct, frozen=True, array_like=True):
    """Parts that a revision no longer needs.

    Attributes:
        revision: The first revision without them.
        at: Time of its publication in Unix seconds.
        keys: Their keys in the store.
    """

    revision: int
    at: float
    keys: tuple[str, ...]


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The root of one revision.

    Attributes:
        revision: The revision; 0 means that nothing was ever published.
        digest: Digest of the document.
        parts: References to its parts.
        history: The last changes, the newest last.
        retired: Parts of earlier revisions that may still be read.
        format: Version of the root's format.
    """

    revision: int = 0
    digest: str = ""
    parts: tuple[PartRef, ...] = ()
    history: tuple[Change, ...] = ()
    retired: tuple[Retired, ...] = ()
    format: int = FORMAT

    def find_change(self, change):
        """Return the `Change` with this identifier, or None."""
        for entry in reversed(self.history):
            if entry.change == change:
                return entry
        return None


class Pending(msgspec.Struct, frozen=True, array_like=True):
    """Parts that a publication under way may have written.

    Attributes:
        writer: Identifier of the attempt at publishing.
        version: Version of the root on which it builds.
        at: Time of its start in Unix seconds, by the publisher's clock.
        keys: Keys of its new parts in the store.
    """

    writer: str
    version: int
    at: float
    keys: tuple[str, ...]


EMPTY_ROOT = Root()

encode = msgspec.msgpack.Encoder().encode
decode_root = msgspec.msgpack.Decoder(Root).decode
decode_pending = msgspec.msgpack.Decoder(tuple[Pending, ...]).decode


def read_root(entry):
    """Return the root that a store entry holds; empty if the key is absent.

    Raises:
        StoreError: With code `root-unreadable` if it is of a later format or none.
    """
    if not entry.version:
        return EMPTY_ROOT
    try:
        root = decode_root(entry.value)
    except msgspec.MsgspecError as error:
        raise StoreError("the root can't be read", code="root-unreadable") from error
    if root.format > FORMAT:
        message = f"the root has format {root.format}"
        raise StoreError(message, code="root-unreadable")
    return root


def compute_part_digest(content):
    """Return the digest of a part's content, in hexadecimal."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def compute_document_digest(parts):
    """Return the digest of a document that consists of these parts."""
    lines = sorted(f"{ref.section}/{ref.bucket}/{ref.digest}" for ref in parts)
    return compute_part_digest("\n".join(lines).encode())
