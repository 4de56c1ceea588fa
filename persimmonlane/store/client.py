"""Store client.

The interface to the platform's key-value service, and the registry of clients.
"""

import abc

from ..errors import StoreError
from ..registries import Registry

VALUE_LIMIT_BYTES = 1024 * 1024

clients = Registry("store client")


class Entry:
    """A key's value in the store.

    Attributes:
        key: The key.
        value: The value in bytes; at most `VALUE_LIMIT_BYTES`.
        version: Number that rises with each write of the key; 0 means absent.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value=b"", version=0):
        self.key = key
        self.value = value
        self.version = version


class StoreConflict(StoreError):
    """A compare-and-swap found another version.

    Attributes:
        entry: What the store holds now.
    """

    code = "store-conflict"

    def __init__(self, entry):
        super().__init__(f"{entry.key} is at version {entry.version}")
        self.entry = entry


class StoreUncertain(StoreError):
    """A write's answer was lost: it may have taken effect."""

    code = "store-uncertain"


class StoreClient(abc.ABC):
    """Access to the platform's key-value service; every method may block.

    All methods raise `StoreError` when the store can't be reached in time.
    """

    @abc.abstractmethod
    def get(self, key):
        """Return the `Entry` of a key; version 0 if there is none."""

    @abc.abstractmethod
    def compare_and_swap(self, key, value, version, lease=None):
        """Write a key that is at a given version; 0 means absent.

        Args:
            key: The key.
            value: Bytes to write, or None to delete the key.
            version: The version expected.
            lease: Identifier of a lease; the key goes when the lease lapses.

        Returns:
            The new `Entry`.

        Raises:
            StoreConflict: If the key is at another version.
            StoreUncertain: If the answer was lost.
        """

    @abc.abstractmethod
    def grant_lease(self, duration_s):
        """Return the identifier of a new lease of a duration in seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Renew a lease; raise `StoreError` with code `lease-lapsed` if it is gone."""

    @abc.abstractmethod
    def watch(self, key, version, timeout_s):
        """Wait until a key is past a version; return its `Entry`, or None."""
