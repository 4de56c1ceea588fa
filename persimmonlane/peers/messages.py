"""Messages.

What nodes send each other in datagrams.
"""

from typing import Annotated

import msgspec

from ..owner.standing import HealthState
from ..routing.orders import Order, OwnerReport

STANDINGS = tuple(standing.value for standing in HealthState)


class ServerNews(msgspec.Struct, array_like=True):
    """A backend server as its owner sees it.

    Attributes:
        server_id: Identifier of the backend server.
        service: Name of its service.
        ready: Whether it takes new requests.
        slots: Requests that it runs at a time.
        running: Requests that hold a slot.
        waiting: Requests that wait at the owner.
        standing: Value of its `HealthState`.
        cold_s: Seconds for which it is still slow after its start.
        suspect: Whether it is turned down for what can't be repeated.
    """

    server_id: str
    service: str
    ready: bool
    slots: int
    running: int
    waiting: int
    standing: str
    cold_s: float
    suspect: bool = False


class Announcement(msgspec.Struct, array_like=True, tag="a"):
    """What a node says of itself.

    Attributes:
        node: Name of the node.
        boot: Number drawn at the start of its process.
        sequence: Number that rises with each announcement.
        address: Address for requests from other nodes.
        data_centre: Name of its data centre.
        leaving: Whether the node is about to stop.
        version: Version of the document that it has in force.
        fresh_age_s: Seconds since that version was known to be the newest, or a
            negative number if that is not known.
        echo: Sequence of the newest announcement that came from the receiver.
        echo_boot: Boot number of that announcement.
        server: The backend server beside it, or None.
        takes_deltas: Whether the node takes a `Delta` in place of an announcement.
    """

    node: str
    boot: int
    sequence: int
    address: str
    data_centre: str
    leaving: bool
    version: int
    fresh_age_s: float
    echo: int
    echo_boot: int
    server: ServerNews | None
    takes_deltas: bool = False


class ServerLoad(msgspec.Struct, array_like=True):
    """The part of a `ServerNews` that changes all the time.

    Attributes:
        ready: As there.
        slots: As there.
        running: As there.
        waiting: As there.
        standing: Index of the standing in `STANDINGS`.
        cold_ms: Milliseconds for which the server is still slow after its start.
        suspect: As there.
    """

    ready: bool
    slots: int
    running: int
    waiting: int
    standing: Annotated[int, msgspec.Meta(ge=0, lt=len(STANDINGS))]
    cold_ms: int
    suspect: bool


class Delta(msgspec.Struct, array_like=True, tag="d"):
    """What has changed since an `Announcement` that the receiver has echoed.

    Attributes:
        boot: Boot number of the sender.
        sequence: As in the announcement.
        version: As there.
        fresh_age_ms: Milliseconds since that version was known to be the newest, or a
            negative number if that is not known.
        echo: As there.
        echo_boot: As there.
        load: The `ServerLoad` of the backend server beside it, or None.
    """

    boot: int
    sequence: int
    version: int
    fresh_age_ms: int
    echo: int
    echo_boot: int
    load: ServerLoad | None


class RateAsk(msgspec.Struct, array_like=True, tag="q"):
    """Asks the holder of an organisation's rate for leave to run a request.

    Attributes:
        number: Number by which the answer is found.
        organisation: Name of the organisation.
        node: Name of the node that asks.
        relayed: Whether it is asked on behalf of another node.
    """

    number: int
    organisation: str
    node: str
    relayed: bool = False


class RateAnswer(msgspec.Struct, array_like=True, tag="r"):
    """Answers a `RateAsk`.

    Attributes:
        number: Number of the question.
        granted: Whether the request is within the rate.
        wait_s: Seconds until the next one will be, if it is not.
    """

    number: int
    granted: bool
    wait_s: float


class RoomAsk(msgspec.Struct, array_like=True, tag="s"):
    """Asks the owner of a backend server whether it would take a request now.

    Attributes:
        number: Number by which the answer is found.
        order: The `Order` that would come with the request.
    """

    number: int
    order: Order


class RoomAnswer(msgspec.Struct, array_like=True, tag="t"):
    """Answers a `RoomAsk`.

    Attributes:
        number: Number of the question.
        report: The `OwnerReport`; its code is empty if there is room.
    """

    number: int
    report: OwnerReport


class WithdrawalAsk(msgspec.Struct, array_like=True, tag="w"):
    """Asks the owner of a backend server to keep a request from it from now on.

    Attributes:
        number: Number by which the answer is found.
        boot: Boot number of the process to which the request was sent.
        request_id: Identifier of the request.
    """

    number: int
    boot: int
    request_id: str


class WithdrawalAnswer(msgspec.Struct, array_like=True, tag="x"):
    """Answers a `WithdrawalAsk`.

    Attributes:
        number: Number of the question.
        never_runs: Whether the request is sure never to run there.
    """

    number: int
    never_runs: bool


Datagram = (
    Announcement
    | Delta
    | RateAsk
    | RateAnswer
    | RoomAsk
    | RoomAnswer
    | WithdrawalAsk
    | WithdrawalAnswer
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Datagram)
