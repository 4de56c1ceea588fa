"""Messages that nodes exchange in datagrams.

The structs are encoded as arrays: the order of their fields and their tags are part of
the wire format.
"""

from typing import Annotated

import msgspec

from ..routing.metadata import Count, Fingerprint, Order, OwnerReport, Seconds
from .statuses import (
    Announcement,
    Delta,
    Digest,
    DigestRequest,
    MemberQuery,
    MemberResponse,
    strip_evacuations,
)

# Longer lists are refused, so that no datagram can keep the receiver busy.
MAX_CRASH_ENTRIES = 64
MAX_DEPARTED_PROCESSES = 16
MAX_RATE_ENTRIES = 32


class CrashEntry(msgspec.Struct, array_like=True):
    """A crash in which a request was running, or the clearance of a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        process: Number of the backend server's process that crashed; 0 for a clearance.
        age_ds: Tenths of a second since then; rounded up for crashes and down for
            clearances, so that a clearance is never taken for older than it is.
    """

    fingerprint: Fingerprint
    process: Fingerprint
    age_ds: Count


class CrashReport(msgspec.Struct, array_like=True, tag="c"):
    """Crashes and clearances that the sender knows of.

    Attributes:
        entries: The `CrashEntry`s.
        is_forwarded: Whether the addressee need not pass them on.
    """

    entries: Annotated[list[CrashEntry], msgspec.Meta(max_length=MAX_CRASH_ENTRIES)]
    is_forwarded: bool = False


class CrashQuery(msgspec.Struct, array_like=True, tag="e"):
    """Asks a node for all crashes and clearances that it knows of.

    Attributes:
        boot: Boot number of the sender.
    """

    boot: int


class DepartureNotice(msgspec.Struct, array_like=True, tag="f"):
    """Tells a restarted node that its backend server had said that it leaves.

    Attributes:
        server_id: Identifier of the backend server.
        born: Unix milliseconds of the start of its process.
    """

    server_id: str
    born: Annotated[int, msgspec.Meta(ge=1)]


class DepartedProcess(msgspec.Struct, array_like=True, frozen=True):
    """A process of a backend server that has said that it leaves.

    Attributes:
        server_id: Identifier of the backend server.
        born: Unix milliseconds of the start of its process.
    """

    server_id: str
    born: Annotated[int, msgspec.Meta(ge=1)]


class DepartureReport(msgspec.Struct, array_like=True, tag="y"):
    """Asks a node to remember departures which the store does not hold yet.

    Attributes:
        correlation_id: Number that matches the receipt to this message.
        processes: The `DepartedProcess`es.
    """

    correlation_id: int
    processes: Annotated[
        list[DepartedProcess], msgspec.Meta(max_length=MAX_DEPARTED_PROCESSES)
    ]


class DepartureReceipt(msgspec.Struct, array_like=True, tag="z"):
    """Says that the sender remembers the departures of a `DepartureReport`.

    Attributes:
        correlation_id: Number from the `DepartureReport`.
    """

    correlation_id: int


class RateRequest(msgspec.Struct, array_like=True, tag="q"):
    """Asks the holder of an organisation's rate whether to admit a request.

    Attributes:
        correlation_id: Number that matches the response to this message.
        organisation: Name of the organisation.
        node: Name of the sending node.
        relayed: Whether it is sent on behalf of another node.
        boot: Boot number of the process that decided on requests alone.
        granted_alone: Requests of the organisation that this process has granted
            without an answer since it started.
    """

    correlation_id: int
    organisation: str
    node: str
    relayed: bool = False
    boot: int = 0
    granted_alone: Count = 0


class RateResponse(msgspec.Struct, array_like=True, tag="r"):
    """Response to a `RateRequest`.

    Attributes:
        correlation_id: Number from the `RateRequest`.
        granted: Whether the request is within the rate.
        wait_s: If it is not, seconds until the next request will be.
    """

    correlation_id: int
    granted: bool
    wait_s: Annotated[float, msgspec.Meta(ge=-1e9)]


class RateEntry(msgspec.Struct, array_like=True):
    """What is handed over of one organisation's rate.

    Attributes:
        organisation: Name of the organisation.
        tokens: Number of tokens, which the sender has no longer.
    """

    organisation: str
    tokens: Count


class RateHandover(msgspec.Struct, array_like=True, tag="j"):
    """Hands the rates that the sender held over to the node that holds them now.

    Attributes:
        boot: Boot number of the sender.
        sequence: Number that increases with each handover of the sender. The message
            is repeated, and its tokens count once.
        entries: The `RateEntry`s.
        receiver: Boot number of the process that it is for, 0 from nodes of older
            releases.
    """

    boot: int
    sequence: Count
    entries: Annotated[list[RateEntry], msgspec.Meta(max_length=MAX_RATE_ENTRIES)]
    receiver: int = 0


class LoanRequest(msgspec.Struct, array_like=True, tag="l"):
    """Asks the holder of an organisation's rate to lend tokens to a data centre.

    Attributes:
        correlation_id: Number that matches the response to this message.
        organisation: Name of the organisation.
        borrower: Boot number of the node that borrows.
        sequence: Number that increases with each request of the borrower.
        want: Number of tokens asked for.
        needed: Number of those that are spent as soon as they arrive.
        unspent: Number of tokens that are still borrowed.
        granted_alone: Requests that the borrower has granted without a lender since
            its process started.
        relayed: Whether it is sent on behalf of another node.
    """

    correlation_id: int
    organisation: str
    borrower: int
    sequence: Count
    want: Count
    needed: Count
    unspent: Count
    granted_alone: Count
    relayed: bool = False


class LoanResponse(msgspec.Struct, array_like=True, tag="k"):
    """Response to a `LoanRequest`.

    Attributes:
        correlation_id: Number from the `LoanRequest`.
        tokens: Number of tokens that are lent.
        wait_s: If there are none, seconds until the lender has one.
    """

    correlation_id: int
    tokens: Count
    wait_s: Seconds


class RetryRequest(msgspec.Struct, array_like=True, tag="u"):
    """Asks the node that keeps a service's retry tokens for one, or only reports.

    Attributes:
        correlation_id: Number that matches the response to this message; 0 if there
            is to be none.
        service: Name of the service.
        boot: Boot number of the sender.
        requests: Requests to the service that it has got since its start.
    """

    correlation_id: int
    service: str
    boot: int
    requests: Count


class RetryResponse(msgspec.Struct, array_like=True, tag="v"):
    """Response to a `RetryRequest`.

    Attributes:
        correlation_id: Number from the `RetryRequest`.
        granted: Whether there is a token.
    """

    correlation_id: int
    granted: bool


class CapacityRequest(msgspec.Struct, array_like=True, tag="s"):
    """Asks the owner of a backend server whether it would accept a request now.

    Attributes:
        correlation_id: Number that matches the response to this message.
        order: The `Order` that would be sent with the request.
    """

    correlation_id: int
    order: Order


class CapacityResponse(msgspec.Struct, array_like=True, tag="t"):
    """Response to a `CapacityRequest`.

    Attributes:
        correlation_id: Number from the `CapacityRequest`.
        report: The `OwnerReport`; its code is empty if there is capacity.
    """

    correlation_id: int
    report: OwnerReport


class CancellationRequest(msgspec.Struct, array_like=True, tag="w"):
    """Asks the owner of a backend server not to start a request from now on.

    Attributes:
        correlation_id: Number that matches the response to this message.
        boot: Boot number of the process to which the request was sent.
        request_id: Identifier of the request.
        time_left_s: Seconds until its deadline; 0 from nodes of older releases.
    """

    correlation_id: int
    boot: int
    request_id: str
    time_left_s: Seconds = 0.0


class CancellationResponse(msgspec.Struct, array_like=True, tag="x"):
    """Response to a `CancellationRequest`.

    Attributes:
        correlation_id: Number from the `CancellationRequest`.
        never_runs: Whether the request is certain never to run there.
    """

    correlation_id: int
    never_runs: bool


Datagram = (
    Announcement
    | Delta
    | Digest
    | DigestRequest
    | CrashReport
    | CrashQuery
    | DepartureNotice
    | DepartureReport
    | DepartureReceipt
    | MemberQuery
    | MemberResponse
    | RateRequest
    | RateResponse
    | RateHandover
    | LoanRequest
    | LoanResponse
    | RetryRequest
    | RetryResponse
    | CapacityRequest
    | CapacityResponse
    | CancellationRequest
    | CancellationResponse
)


class DatagramEncoder:
    """Encodes messages; without evacuations as releases that know none encode them."""

    __slots__ = ("_encoder",)

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message):
        """Return the bytes of a message."""
        if getattr(message, "evacuations", None) is None:
            message = strip_evacuations(message)
        return self._encoder.encode(message)


encoder = DatagramEncoder()
decoder = msgspec.msgpack.Decoder(Datagram)
