"""Heartbeats and departures.

Decodes the calls by which a backend server reports its state to the node.
"""

import urllib.parse

import msgspec

from ..errors import InputError
from ..owner.backend import Heartbeat, ServerState
from ..settings import build_input_error

INSTANCES_PATH = "/persimmonlane/instances/"
READY_PATH = "/persimmonlane/readyz"
MS_PER_S = 1000.0


class HeartbeatInfo(msgspec.Struct):
    """The part of a heartbeat that is constant while a backend server runs."""

    service: str = msgspec.field(name="Service")
    # Number of requests that the backend server can run concurrently.
    slots: int = msgspec.field(name="Slots")


class HeartbeatStatus(msgspec.Struct):
    """The part of a heartbeat that changes.

    `sequence` increases with each heartbeat until the backend server restarts.
    """

    state: ServerState = msgspec.field(name="State")
    sequence: int = msgspec.field(name="Sequence")
    # Seconds until the backend server has warmed up after its start.
    cold_s: float = msgspec.field(name="ColdRemainingS", default=0.0)


class HeartbeatBody(msgspec.Struct):
    """The body of a heartbeat."""

    address: str = msgspec.field(name="Address")
    info: HeartbeatInfo = msgspec.field(name="Info")
    status: HeartbeatStatus = msgspec.field(name="Status")
    # Start time of the backend server, in Unix milliseconds.
    born: int


class DepartureBody(msgspec.Struct):
    """The body of a departure, which may be empty."""

    # Start time of the backend server, in Unix milliseconds.
    born: int | None = None


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
    try:
        body = msgspec.json.decode(raw, type=HeartbeatBody)
    except msgspec.MsgspecError as error:
        raise build_input_error(error, "heartbeat-invalid") from error
    except UnicodeDecodeError as error:
        raise InputError("the body is not UTF-8", code="heartbeat-invalid") from error
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
    """Return the start time in Unix milliseconds from a departure's body.

    An empty or invalid body gives None.
    """
    try:
        return msgspec.json.decode(raw, type=DepartureBody).born if raw else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
