"""Loading.

Reads the root and the parts of a revision from the store.
"""

from types import MappingProxyType

from .parts import PartMissing
from .root import ROOT_KEY, compute_part_digest, read_root

READ_ATTEMPTS = 5
NOTHING_HELD = MappingProxyType({})


class Snapshot:
    """One revision with the contents of all its parts.

    Attributes:
        root: The root.
        contents: Contents of the parts by digest.
    """

    __slots__ = ("root", "contents")

    def __init__(self, root, contents):
        self.root = root
        self.contents = contents


def load_snapshot(store, held=NOTHING_HELD):
    """Return the revision that the store holds.

    Args:
        store: The store's client.
        held: Contents by digest that need no reading.

    Raises:
        StoreError: If the store can't be read.
        PartMissing: If parts stay missing while the root doesn't change.
    """
    for _ in range(READ_ATTEMPTS):
        root = read_root(store.get(ROOT_KEY))
        try:
            return Snapshot(root, fetch_contents(store, root.parts, held))
        except PartMissing as error:
            # A later revision may have retired the part meanwhile.
            missing = error
    raise missing


def fetch_contents(store, refs, held=NOTHING_HELD):
    """Return the contents of parts by digest, reading those that aren't held."""
    contents = {}
    for ref in refs:
        contents[ref.digest] = held.get(ref.digest) or fetch_part(store, ref)
    return contents


def fetch_part(store, ref):
    """Return the content of one part.

    Raises:
        PartMissing: If the store doesn't hold it, or holds something else.
    """
    entry = store.get(ref.key)
    if not entry.version or compute_part_digest(entry.value) != ref.digest:
        raise PartMissing(f"part {ref.digest} is not in the store")
    return entry.value
