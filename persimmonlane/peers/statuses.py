"""Messages by which nodes tell of themselves and of each other.

The structs are encoded as arrays: the order of their fields and their tags are part of
the wire format.
"""

import operator
from typing import Annotated

import msgspec

from ..owner.health import HealthState
from ..routing.metadata import Count, Percent, Rate, Seconds, Standing
from ..routing.stamps import DocumentStamp
from ..upkeep.evacuations import EvacuationList

STANDINGS = tuple(standing.value for standing in HealthState)
# Longer lists are refused, so that no datagram can keep the receiver busy.
MAX_DIGEST_MEMBERS = 64
MAX_QUERIED_MEMBERS = 64


class ServerStatus(msgspec.Struct, array_like=True):
    """Status of a backend server as seen by its owner.

    Attributes:
        server_id: Identifier of the backend server.
        service: Name of its service.
        ready: Whether it accepts new requests.
        slots: Maximum number of concurrent requests.
        running: Number of requests that hold a slot.
        waiting: Number of requests queued at the owner.
        standing: Value of its `HealthState`.
        cold_s: Seconds until the end of its slow start.
        suspect: Whether it is refused non-idempotent requests.
        error_risk: Probability that it fails by errors, in percent.
        hang_risk: Probability that it hangs, in percent.
        limit: Requests per second that it takes, or None without a limit.
        born: Unix milliseconds of its start; 0 if it is not known.
        leaving: Whether it has said that it leaves, which its process does for good.
        probing: Whether it is half-open and takes no further probe now; None from
            nodes of older releases.
        quiet: Whether it got no request for a while.
    """

    server_id: str
    service: str
    ready: bool
    slots: Count
    running: Count
    waiting: Count
    standing: Standing
    cold_s: Seconds
    suspect: bool = False
    error_risk: Percent = 0
    hang_risk: Percent = 0
    limit: Rate | None = None
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    leaving: bool = False
    probing: bool | None = None
    quiet: bool = False

    @property
    def risk(self):
        """Probability that it fails, 0 to 1."""
        return min(1.0, (self.error_risk + self.hang_risk) / 100)

    @property
    def may_probe(self):
        """Whether it takes a probe now, if it is half-open."""
        if self.probing is None:
            return self.running == 0
        return not self.probing


class Announcement(msgspec.Struct, array_like=True, tag="a"):
    """Full announcement of a node's state.

    Attributes:
        node: Name of the node.
        boot: Random number that identifies its process.
        sequence: Number that increases with each round of announcements.
        address: Address for requests from other nodes.
        data_centre: Name of its data centre.
        leaving: Whether the node is shutting down.
        version: Version of the document in force.
        fresh_age_s: Seconds since that version was last confirmed as the newest,
            negative if unknown.
        echo: Sequence number of the newest announcement received from the addressee.
        echo_boot: Boot number of that announcement.
        server: `ServerStatus` of the node's backend server, or None.
        accepts_deltas: Whether the node accepts a `Delta` in place of an announcement.
        accepts_digests: Whether the node accepts a `Digest` about the nodes of another
            data centre in place of their announcements.
        revision: Number that rises whenever the node has another backend server.
        document_generation: Latest generation of the store that is known to hold that
            version, 0 if that is not known.
        store_generation: Latest generation of the store that the node has seen.
        crash_digest: Number that is the same on nodes which know of the same crashes;
            None from releases that don't know of any.
        keeps_departures: Whether the node answers a `DepartureReport`.
        evacuations: The `EvacuationList` in force at the node; None where operators
            evacuate no data centres, while it is not known, and from older releases.
    """

    node: str
    boot: int
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    address: str
    data_centre: str
    leaving: bool
    version: int
    fresh_age_s: Annotated[float, msgspec.Meta(ge=-1.0, le=1e9)]
    echo: int
    echo_boot: int
    server: ServerStatus | None
    accepts_deltas: bool = False
    accepts_digests: bool = False
    revision: Annotated[int, msgspec.Meta(ge=0)] = 0
    document_generation: Count = 0
    store_generation: Count = 0
    crash_digest: Count | None = None
    keeps_departures: bool = False
    evacuations: EvacuationList | None = None

    @property
    def stamp(self):
        """The `DocumentStamp` of the document in force at the node."""
        return DocumentStamp(self.version, self.document_generation)


class ServerLoad(msgspec.Struct, array_like=True):
    """The frequently changing fields of a `ServerStatus`.

    Attributes:
        ready: As in `ServerStatus`.
        slots: As in `ServerStatus`.
        running: As in `ServerStatus`.
        waiting: As in `ServerStatus`.
        standing: Index of the standing in `STANDINGS`.
        cold_ms: Milliseconds until the end of the server's slow start.
        suspect: As in `ServerStatus`.
        error_risk: As in `ServerStatus`.
        hang_risk: As in `ServerStatus`.
        limit: As in `ServerStatus`.
        probing: As in `ServerStatus`.
        quiet: As in `ServerStatus`.
    """

    ready: bool
    slots: Count
    running: Count
    waiting: Count
    standing: Annotated[int, msgspec.Meta(ge=0, lt=len(STANDINGS))]
    cold_ms: Count
    suspect: bool
    error_risk: Percent = 0
    hang_risk: Percent = 0
    limit: Rate | None = None
    probing: bool | None = None
    quiet: bool = False


class Delta(msgspec.Struct, array_like=True, tag="d"):
    """Short announcement, based on an `Announcement` that the receiver has echoed.

    Attributes:
        boot: Boot number of the sender.
        sequence: As in `Announcement`.
        version: As in `Announcement`.
        fresh_age_ms: Milliseconds since that version was last confirmed as the newest,
            negative if unknown.
        echo: As in `Announcement`.
        echo_boot: As in `Announcement`.
        load: `ServerLoad` of the node's backend server, or None.
        document_generation: As in `Announcement`.
        store_generation: As in `Announcement`.
        crash_digest: As in `Announcement`.
    """

    boot: int
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    version: int
    fresh_age_ms: int
    echo: int
    echo_boot: int
    load: ServerLoad | None
    document_generation: Count = 0
    store_generation: Count = 0
    crash_digest: Count | None = None


class MemberState(msgspec.Struct, array_like=True):
    """State of one node in a `Digest`, without what its boot number and revision imply.

    Attributes:
        boot: Boot number of the node.
        revision: As in `Announcement`.
        sequence: Sequence number of the node's newest announcement.
        age_ds: Tenths of a second since that announcement, rounded up.
        leaving: As in `Announcement`.
        load: `ServerLoad` of the node's backend server, or None.
    """

    boot: int
    revision: Annotated[int, msgspec.Meta(ge=0)]
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    age_ds: Annotated[int, msgspec.Meta(ge=0)]
    leaving: bool
    load: ServerLoad | None


class Digest(msgspec.Struct, array_like=True, tag="g"):
    """States of several nodes, as their sender knows them.

    Relays send the nodes of their own data centre to the relays of the others, and the
    nodes of the others to the nodes of their own.

    Attributes:
        boot: Boot number of the sender.
        sequence: Number that increases with each message of the sender.
        version: Version of the document in force at the sender.
        fresh_age_ms: Milliseconds since that version was last confirmed as the newest,
            negative if unknown.
        echo: Sequence number of the newest message received from the addressee.
        echo_boot: Boot number of the process that sent that message.
        members: The `MemberState`s.
        is_answer: Whether it is sent only because the addressee sends digests.
        document_generation: As in `Announcement`.
        store_generation: As in `Announcement`.
        crash_digest: As in `Announcement`.
        evacuations: As in `Announcement`.
    """

    boot: int
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    version: Annotated[int, msgspec.Meta(ge=0)]
    fresh_age_ms: int
    echo: int
    echo_boot: int
    members: Annotated[list[MemberState], msgspec.Meta(max_length=MAX_DIGEST_MEMBERS)]
    is_answer: bool = False
    document_generation: Count = 0
    store_generation: Count = 0
    crash_digest: Count | None = None
    evacuations: EvacuationList | None = None

    @property
    def stamp(self):
        """The `DocumentStamp` of the document in force at the sender."""
        return DocumentStamp(self.version, self.document_generation)


class DigestRequest(msgspec.Struct, array_like=True, tag="h"):
    """Asks a node for a `Digest` of its data centre.

    Attributes:
        boot: Boot number of the sender.
        sequence: Number that increases with each message of the sender.
    """

    boot: int
    sequence: Annotated[int, msgspec.Meta(ge=0)]


class MemberQuery(msgspec.Struct, array_like=True, tag="m"):
    """Asks the sender of a `Digest` for the announcements of some of its nodes.

    Attributes:
        correlation_id: Number that matches the responses to this message.
        boots: Boot numbers of the nodes.
    """

    correlation_id: int
    boots: Annotated[list[int], msgspec.Meta(max_length=MAX_QUERIED_MEMBERS)]


class Member(msgspec.Struct, array_like=True):
    """The newest announcement of a node, as another node knows it.

    Attributes:
        announcement: The `Announcement`; its echo is meaningless.
        age_ds: Tenths of a second since it was received, rounded up.
    """

    announcement: Announcement
    age_ds: Annotated[int, msgspec.Meta(ge=0)]


class MemberResponse(msgspec.Struct, array_like=True, tag="n"):
    """One of the responses to a `MemberQuery`.

    Attributes:
        correlation_id: Number from the `MemberQuery`.
        members: The `Member`s.
    """

    correlation_id: int
    members: Annotated[list[Member], msgspec.Meta(max_length=MAX_DIGEST_MEMBERS)]


def define_plain_class(message_class):
    """Return the struct of a message without its last field, the evacuations.

    An array holds all fields, also those with their default. A field that is added
    after `evacuations` would be left out as well: this function must then change.
    """
    return msgspec.defstruct(
        f"Plain{message_class.__name__}",
        message_class.__struct_fields__[:-1],
        array_like=True,
        tag=message_class.__struct_config__.tag,
    )


PLAIN_CLASSES = {
    message_class: define_plain_class(message_class)
    for message_class in (Announcement, Digest)
}
# Faster than reading each field by its name.
READ_PLAIN_FIELDS = {
    message_class: operator.attrgetter(*plain_class.__struct_fields__)
    for message_class, plain_class in PLAIN_CLASSES.items()
}


def strip_evacuations(message):
    """Return the message that is encoded as an `Announcement` or `Digest` without them.

    Args:
        message: Any message; others are returned as they are.
    """
    plain_class = PLAIN_CLASSES.get(type(message))
    if plain_class is None:
        return message
    return plain_class(*READ_PLAIN_FIELDS[type(message)](message))
