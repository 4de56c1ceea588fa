"""Publishing.

Puts a document into the store: its new parts first, then the root by
compare-and-swap.
"""

import time
import uuid

from ..errors import InputError, PersimmonError, StoreError
from ..store.client import VALUE_LIMIT_BYTES, StoreConflict, StoreUncertain
from .parts import split_document
from .root import (
    HISTORY_LENGTH,
    PENDING_KEY,
    ROOT_KEY,
    Change,
    PartRef,
    Pending,
    Retired,
    Root,
    compute_document_digest,
    decode_pending,
    encode,
    read_root,
)

WRITE_ATTEMPTS = 8
ATTEMPT_PAUSE_S = 0.5
RETIRED_S = 60.0
PENDING_S = 60.0
WRITER_LENGTH = 12


class RevisionConflict(PersimmonError):
    """Another revision was published meanwhile.

    Attributes:
        revision: The revision that the store holds.
    """

    code = "revision-conflict"

    def __init__(self, revision):
        super().__init__(f"the store is at revision {revision}")
        self.revision = revision


class PublishUncertain(PersimmonError):
    """The store did not say whether a change was accepted.

    Publishing again with the same change identifier is safe: the change is made
    at most once.

    Attributes:
        change: Identifier of the change.
    """

    code = "publish-uncertain"

    def __init__(self, change):
        super().__init__(
            f"the store gave no answer; publish again with change {change}"
        )
        self.change = change


def create_identifier():
    """Return a new identifier of 32 hexadecimal digits."""
    return uuid.uuid4().hex


class Publisher:
    """Publishes documents.

    A part's key names the attempt that wrote it, and a later change refers to it
    only by a compare-and-swap of a root that still does; so a part that is no
    longer in the root can be deleted without harm to a publication under way.
    """

    __slots__ = ("_store", "_pause", "_wall", "_identify")

    def __init__(
        self, store, pause=time.sleep, wall=time.time, identify=create_identifier
    ):
        """Create a publisher.

        Args:
            store: The store's client.
            pause: Called with seconds between attempts.
            wall: Returns Unix seconds, for the history and the age of parts.
            identify: Returns a new identifier of 32 hexadecimal digits.
        """
        self._store = store
        self._pause = pause
        self._wall = wall
        self._identify = identify

    def publish(self, document, expected=None, author="", change=None):
        """Publish a document that was validated.

        Args:
            document: The `Document`.
            expected: Revision on which it builds; None takes the present one.
            author: Who publishes it.
            change: Identifier of the change, given again after an unanswered
                attempt; None makes a new one.

        Returns:
            The `Change` made; the present one if the document is no different.

        Raises:
            RevisionConflict: If the store is at another revision.
            PublishUncertain: If the store gave no answer to the last write.
            StoreError: If the store failed before the last write.
        """
        change = change or self._identify()
        entry = self._store.get(ROOT_KEY)
        root = read_root(entry)
        made = root.find_change(change)
        if made is not None:
            return made
        if expected is not None and root.revision != expected:
            raise RevisionConflict(root.revision)
        parts = split_document(document)
        for part in parts:
            check_size(f"part {part.bucket} of {part.section}", part.content)
        writer = self._identify()[:WRITER_LENGTH]
        refs = choose_refs(parts, root, writer)
        if root.revision and compute_document_digest(refs) == root.digest:
            return root.history[-1]
        keys = self._write_parts(parts, refs, writer, entry.version)
        now = self._wall()
        kept = self._delete_retired(root, now)
        made = Change(
            root.revision + 1, compute_document_digest(refs), change, author, now
        )
        following = build_root(root, refs, made, kept)
        check_size("the root", encode(following))
        try:
            made = self._swap_root(entry.version, following, change)
        except RevisionConflict:
            self._delete_parts(keys)
            raise
        finally:
            self._settle_pending()
        return made

    def _write_parts(self, parts, refs, writer, version):
        fresh = [
            (part, ref)
            for part, ref in zip(parts, refs, strict=True)
            if ref.writer == writer
        ]
        keys = tuple(ref.key for _, ref in fresh)
        entry = Pending(writer, version, self._wall(), keys)
        self._update_pending(lambda pending: (*pending, entry))
        for part, ref in fresh:
            self._write_part(ref.key, part.content)
        return keys

    def _write_part(self, key, content):
        for _ in range(WRITE_ATTEMPTS):
            try:
                self._store.compare_and_swap(key, content, 0)
                return
            except StoreConflict:
                # The write whose answer was lost took effect.
                return
            except StoreUncertain:
                self._pause(ATTEMPT_PAUSE_S)
        raise StoreError("the store did not take a part")

    def _swap_root(self, version, root, change):
        value = encode(root)
        for _ in range(WRITE_ATTEMPTS):
            try:
                self._store.compare_and_swap(ROOT_KEY, value, version)
                return root.history[-1]
            except StoreConflict as conflict:
                return self._judge_conflict(read_root(conflict.entry), change)
            except StoreError:
                self._pause(ATTEMPT_PAUSE_S)
            made = self._find_change(change)
            if made is not None:
                return made
        raise PublishUncertain(change)

    def _judge_conflict(self, root, change):
        made = root.find_change(change)
        if made is not None:
            return made
        raise RevisionConflict(root.revision)

    def _find_change(self, change):
        try:
            return read_root(self._store.get(ROOT_KEY)).find_change(change)
        except StoreError:
            return None

    def _delete_retired(self, root, now):
        """Delete parts that no reader can still need; return what is kept."""
        kept = []
        for retired in root.retired:
            if now - retired.at < RETIRED_S or not self._delete_parts(retired.keys):
                kept.append(retired)
        return tuple(kept)

    def _settle_pending(self):
        """Delete what publications that can't succeed any more have left."""
        try:
            entry = self._store.get(PENDING_KEY)
            root_entry = self._store.get(ROOT_KEY)
            needed = list_needed_keys(read_root(root_entry))
            settled = [
                pending
                for pending in read_pending(entry)
                if pending.version < root_entry.version
                and self._wall() - pending.at >= PENDING_S
            ]
            done = {
                pending.writer
                for pending in settled
                if self._delete_parts(set(pending.keys) - needed)
            }
            self._update_pending(
                lambda pending: tuple(p for p in pending if p.writer not in done)
            )
        except StoreError:
            # The next publication settles what is left.
            return

    def _update_pending(self, update):
        for _ in range(WRITE_ATTEMPTS):
            entry = self._store.get(PENDING_KEY)
            before = read_pending(entry)
            after = update(before)
            if after == before:
                return
            try:
                self._store.compare_and_swap(PENDING_KEY, encode(after), entry.version)
                return
            except (StoreConflict, StoreUncertain):
                continue
        raise StoreError("the store did not take the list of publications")

    def _delete_parts(self, keys):
        """Delete parts; return whether all are gone."""
        try:
            for key in keys:
                entry = self._store.get(key)
                if entry.version:
                    self._store.compare_and_swap(key, None, entry.version)
        except StoreError:
            return False
        return True


def check_size(what, value):
    """Refuse a document of which a value would be too large for the store."""
    if len(value) > VALUE_LIMIT_BYTES:
        raise InputError(f"{what} is too large", code="document-too-large")


def read_pending(entry):
    """Return the publications under way that a store entry holds."""
    return decode_pending(entry.value) if entry.version else ()


def choose_refs(parts, root, writer):
    """Return references to parts, taking those that the root already has."""
    known = {(ref.section, ref.bucket, ref.digest): ref for ref in root.parts}
    return tuple(
        known.get((part.section, part.bucket, part.digest))
        or PartRef(part.section, part.bucket, part.digest, writer)
        for part in parts
    )


def build_root(root, refs, made, kept):
    """Return the root that follows another.

    Args:
        root: The root in the store.
        refs: References of the new document's parts.
        made: The `Change` that it makes.
        kept: Parts that were retired earlier and are still there.
    """
    needed = {ref.key for ref in refs}
    dropped = tuple(ref.key for ref in root.parts if ref.key not in needed)
    retired = Retired(made.revision, made.at, dropped)
    return Root(
        revision=made.revision,
        digest=made.digest,
        parts=refs,
        history=(*root.history, made)[-HISTORY_LENGTH:],
        retired=(*kept, retired) if dropped else kept,
    )


def list_needed_keys(root):
    """Return the keys of all parts that readers of a root may need."""
    needed = {ref.key for ref in root.parts}
    for retired in root.retired:
        needed.update(retired.keys)
    return needed
