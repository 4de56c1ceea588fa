"""Heartbeats and departures.

Decodes the calls by which a backend server reports its state to the node.
"""

import urllib.parse
from typing import Annotated

import msgspec

from ..decoding import decode_json
from ..owner.backend import Heartbeat, ServerState

INSTANCES_PATH = "/persimmonlane/instances/"
READY_PATH = "/persimmonlane/readyz"
# Bounds of numbers that nodes pass on to each other or count with.
MAX_SLOTS = 1 << 16
MAX_COLD_S = 3600.0
MAX_SEQUENCE = (1 << 53) - 1
MAX_BORN_MS = (1 << 53) - 1

BornMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
ColdSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COLD_S)]


class HeartbeatInfo(msgspec.Struct):
    """The part of a heartbeat that is constant while a backend server runs."""

    service: str = msgspec.field(name="Service")
    # Number of requests that the backend server can run concurrently.
    slots: Slots = msgspec.field(name="Slots")


class HeartbeatStatus(msgspec.Struct):
    """The part of a heartbeat that changes.

    `sequence` increases with each heartbeat until the backend server restarts.
    """

    state: ServerState = msgspec.field(name="State")
    sequence: Sequence = msgspec.field(name="Sequence")
    # Seconds until the backend server has warmed up after its start.
    cold_s: ColdSeconds = msgspec.field(name="ColdRemainingS", default=0.0)


class HeartbeatBody(msgspec.Struct):
    """The body of a heartbeat."""

    address: str = msgspec.field(name="Address")
    info: HeartbeatInfo = msgspec.field(name="Info")
    status: HeartbeatStatus = msgspec.field(name="Status")
    # Start time of the backend server, in Unix milliseconds.
    born: BornMs


class DepartureBody(msgspec.Struct):
    """The body of a departure, which may be empty."""

    # Start time of the backend server, in Unix milliseconds.
    born: BornMs | None = None


def parse_server_id(target):
    """Return the identifier of the backend server in a request target, or None."""
    path = target.partition("?")[0]
    if not path.startswith(INSTANCES_PATH):
        return None
    return urllib.parse.unquote(path[len(INSTANCES_PATH) :]) or None


def decode_heartbeat(server_id, raw):
    """Return the `Heartbeat` in a request body.

    Args:
        server_id: Identifier of the backend server.
        raw: The body in bytes.

    Raises:
        InputError: If the body is invalid, with code `heartbeat-invalid`; `place` names
            the invalid field if it is known.
    """
    body = decode_json(raw, HeartbeatBody, "heartbeat-invalid")
    return Heartbeat(
        server_id,
        body.info.service,
        body.address,
        body.born,
        body.status.sequence,
        body.status.state,
        body.info.slots,
        body.status.cold_s,
    )


def decode_departure(raw):
    """Return the start time in Unix milliseconds from a departure's body, or None.

    The body may be empty.

    Raises:
        InputError: If the body is invalid, with code `departure-invalid`.
    """
    if not raw:
        return None
    return decode_json(raw, DepartureBody, "departure-invalid").born
