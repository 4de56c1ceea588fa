"""Check-ins.

Decodes what a backend server says of itself.
"""

import urllib.parse

import msgspec

from ..errors import InputError
from ..owner.backend import Heartbeat, ServerState
from ..settings import describe_fault

PATH = "/persimmonlane/instances/"
READY_PATH = "/persimmonlane/readyz"
MS_PER_S = 1000.0


class InfoRow(msgspec.Struct):
    """What stays the same while a backend server lives."""

    service: str = msgspec.field(name="Service")
    slots: int = msgspec.field(name="Slots")


class StatusRow(msgspec.Struct):
    """What changes; `sequence` rises with each call of one incarnation."""

    state: ServerState = msgspec.field(name="State")
    sequence: int = msgspec.field(name="Sequence")
    cold_s: float = msgspec.field(name="ColdRemainingS", default=0.0)


class WireHeartbeat(msgspec.Struct):
    """A check-in; `born` is the Unix millisecond of the start."""

    address: str = msgspec.field(name="Address")
    info: InfoRow = msgspec.field(name="Info")
    status: StatusRow = msgspec.field(name="Status")
    born: int


class WireDeparture(msgspec.Struct):
    """The body of a departure, if it has one."""

    born: int | None = None


def find_server_id(target):
    """Return the backend server's identifier in a call's path, or None."""
    path = target.partition("?")[0]
    if not path.startswith(PATH):
        return None
    return urllib.parse.unquote(path[len(PATH) :]) or None


def decode_heartbeat(server_id, raw):
    """Return the `Heartbeat` that a check-in says.

    Raises:
        InputError: With code `heartbeat-invalid` and the place of the fault.
    """
    try:
        wire = msgspec.json.decode(raw, type=WireHeartbeat)
    except msgspec.MsgspecError as error:
        raise describe_fault(error, "heartbeat-invalid") from error
    except UnicodeDecodeError as error:
        raise InputError("it is not UTF-8", code="heartbeat-invalid") from error
    return Heartbeat(
        server_id,
        wire.info.service,
        wire.address,
        wire.born,
        wire.status.sequence,
        wire.status.state,
        wire.info.slots,
        wire.status.cold_s,
    )


def decode_departure(raw):
    """Return the start in Unix milliseconds that a departure names, or None."""
    try:
        return msgspec.json.decode(raw, type=WireDeparture).born if raw else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
