"""Lease records.

What the store keeps of each shard, and the steps that keepers ask their shell
to take.
"""

import msgspec

from ..errors import InputError

PREFIX = "limits/leases/"
COUNT_KEY = "limits/shards"


class Member(msgspec.Struct, frozen=True):
    """A node named in a lease.

    Attributes:
        name: Name of the node.
        rpc: IP address and port for calls between nodes.
    """

    name: str
    rpc: str


class Lease(msgspec.Struct, frozen=True):
    """The lease of one shard, as the store keeps it.

    Without successors the holder renews the lease in the store, and anyone may
    claim it once it has lapsed. With successors only they may claim it, each
    once its own promise to the holder has run out.

    Attributes:
        epoch: Number that rises with each holder.
        holder: The node that holds the shard.
        incarnation: Tells the holder's process from those before it.
        successors: Nodes that may claim the shard after the holder.
        released: Whether the holder has given the shard up.
        longest_loan_s: Longest loan that the holder makes.
        touched: Number that rises with each renewal.
    """

    epoch: int
    holder: Member
    incarnation: str
    successors: tuple[Member, ...] = ()
    released: bool = False
    longest_loan_s: float = 2.0
    touched: int = 0

    def names_successor(self, name):
        """Return whether a node is one of the successors."""
        return any(member.name == name for member in self.successors)


def get_key(shard):
    """Return the store's key of a shard's lease."""
    return f"{PREFIX}{shard}"


def encode_lease(lease):
    """Return a lease in bytes."""
    return msgspec.json.encode(lease)


def decode_lease(data):
    """Return the lease of a value in the store.

    Raises:
        InputError: With code `lease-invalid` if the value makes no sense.
    """
    try:
        return msgspec.json.decode(data, type=Lease)
    except msgspec.DecodeError as error:
        raise InputError(str(error), code="lease-invalid") from error


class ReadKey:
    """Asks the shell to read a key of the store."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class WriteKey:
    """Asks the shell to write a key of the store at an expected version."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class AskPromise:
    """Asks the shell to ask a node for promises.

    Attributes:
        member: The node to ask.
        shards: Pairs of shard and epoch, as a tuple of `ShardEpoch`.
        sent_at: Monotonic seconds before the sending.
    """

    __slots__ = ("member", "shards", "sent_at")

    def __init__(self, member, shards, sent_at):
        self.member = member
        self.shards = shards
        self.sent_at = sent_at


class ShardEpoch(msgspec.Struct, frozen=True):
    """A shard under one epoch.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of its lease.
    """

    shard: int
    epoch: int
