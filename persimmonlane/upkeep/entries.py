"""Entries of the nodes in the store.

An entry says where its node is reached. It also keeps what the node has acknowledged
for longer than its process lasts.
"""

import logging
import urllib.parse
from typing import Annotated

import msgspec

from ..decoding import decode_json
from ..errors import InputError
from ..owner.departures import MAX_DEPARTURES, Departure
from ..routing.metadata import Count

log = logging.getLogger("persimmonlane.upkeep")

NODE_PREFIX = "nodes/"
MAX_UNIX_MS = (1 << 53) - 1

UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class DepartureEntry(msgspec.Struct, array_like=True):
    """A process of a backend server that has said that it leaves.

    Attributes:
        server_id: Identifier of the backend server.
        born: Unix milliseconds of the start of its process, or None if that is not
            known.
        heard_ms: Unix milliseconds at which it said so.
    """

    server_id: str
    born: UnixMs | None
    heard_ms: UnixMs


class NodeEntry(msgspec.Struct):
    """A node's registration in the store.

    Attributes:
        address: Address for requests from other nodes.
        data_centre: Name of its data centre; empty in entries of older releases.
        generation: Generation of the store in which it was written, 0 if that is not
            known.
        is_settled: Whether the node knew then that the store lacked nothing that was
            lost in a restore.
        departures: The `DepartureEntry`s of the backend server beside the node.
    """

    address: str
    data_centre: str = ""
    generation: Count = 0
    is_settled: bool = False
    departures: Annotated[
        list[DepartureEntry], msgspec.Meta(max_length=MAX_DEPARTURES)
    ] = []


def build_entry_key(name):
    """Return the key of a node's entry."""
    return NODE_PREFIX + urllib.parse.quote(name, safe="")


def parse_name(item):
    """Return the name of the node whose entry a `StoreItem` holds."""
    return urllib.parse.unquote(item.key[len(NODE_PREFIX) :])


def decode_entry(item):
    """Return the `NodeEntry` in a `StoreItem`, or None if it is invalid."""
    try:
        return decode_json(item.value or b"", NodeEntry)
    except InputError as error:
        log.warning(
            "Upkeep: the store's entry of node %s is invalid: %s.",
            parse_name(item),
            error,
            extra={"event": "store-entry-invalid"},
        )
        return None


def encode_departures(departures):
    """Return the `DepartureEntry`s of `Departure`s."""
    return [
        DepartureEntry(item.server_id, item.born, item.heard_ms) for item in departures
    ]


def build_departures(entry):
    """Return the `Departure`s in a `NodeEntry`."""
    return [
        Departure(item.server_id, item.born, item.heard_ms) for item in entry.departures
    ]
