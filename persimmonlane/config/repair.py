"""Repair.

Brings a store that has gone back, as after a restore, up to what is in force.
"""

import msgspec

from ..store.client import StoreConflict
from .root import HISTORY_LENGTH, ROOT_KEY, encode, read_root


def repair_store(store, root, find_part):
    """Bring the store up to the revision in force, if it is behind.

    A store with an earlier revision of the same history gets the one in force. A
    document that was accepted by a store that had gone back gets the next revision
    and so comes into force.

    The root is swapped at the version read, so that a stale read does no harm.

    Args:
        store: The store's client.
        root: The root in force.
        find_part: Returns the content for a part's reference.

    Raises:
        StoreError: If the store failed or the root was changed meanwhile.
    """
    entry = store.get(ROOT_KEY)
    held = read_root(entry)
    if (held.revision, held.digest) == (root.revision, root.digest):
        return
    if held.revision > root.revision:
        return
    if descends(root, held):
        write_parts(store, root.parts, find_part)
        following = root
    else:
        following = lift_root(held, root)
    store.compare_and_swap(ROOT_KEY, encode(following), entry.version)


def descends(root, earlier):
    """Return whether a root follows another one in the same history."""
    if not earlier.revision:
        return True
    last = earlier.history[-1]
    return last in root.history or last.revision < root.history[0].revision


def lift_root(held, root):
    """Return the root held, as the revision that follows the one in force."""
    revision = root.revision + 1
    last = held.history[-1]
    made = msgspec.structs.replace(last, revision=revision)
    history = (*root.history, made)[-HISTORY_LENGTH:]
    return msgspec.structs.replace(held, revision=revision, history=history)


def write_parts(store, refs, find_part):
    """Write the parts that the store lacks."""
    for ref in refs:
        entry = store.get(ref.key)
        if entry.version:
            continue
        try:
            store.compare_and_swap(ref.key, find_part(ref), 0)
        except StoreConflict:
            # Another relay repairs the store too.
            continue
