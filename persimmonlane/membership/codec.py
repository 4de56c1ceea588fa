"""Codec.

Between the records of this slice and their form on the wire.
"""

from . import membership_pb2 as wire
from .announcements import AnnouncedServer, Announcement, Exchange, Heartbeat

MS_PER_S = 1000
AGE_LIMIT_MS = 2**31


def encode_request(exchange):
    """Return the wire form of the request side of an exchange."""
    return wire.ExchangeRequest(
        sender=exchange.sender,
        heartbeats=map(encode_heartbeat, exchange.heartbeats),
        announcements=map(encode_announcement, exchange.announcements),
    )


def encode_reply(exchange):
    """Return the wire form of the reply side of an exchange."""
    return wire.ExchangeReply(
        heartbeats=map(encode_heartbeat, exchange.heartbeats),
        announcements=map(encode_announcement, exchange.announcements),
        wanted=exchange.wanted,
    )


def decode_request(message):
    """Return the `Exchange` in a request."""
    return Exchange(
        sender=message.sender,
        heartbeats=tuple(map(decode_heartbeat, message.heartbeats)),
        announcements=tuple(map(decode_announcement, message.announcements)),
    )


def decode_reply(message):
    """Return the `Exchange` in a reply."""
    return Exchange(
        heartbeats=tuple(map(decode_heartbeat, message.heartbeats)),
        announcements=tuple(map(decode_announcement, message.announcements)),
        wanted=tuple(message.wanted),
    )


def encode_heartbeat(heartbeat):
    """Return the wire form of a heartbeat; its age is rounded up."""
    age_ms = min(int(heartbeat.age_s * MS_PER_S) + 1, AGE_LIMIT_MS)
    return wire.Heartbeat(
        group=heartbeat.group,
        incarnation=heartbeat.incarnation,
        version=heartbeat.version,
        beat=heartbeat.beat,
        age_ms=age_ms,
        loads=heartbeat.loads,
    )


def decode_heartbeat(message):
    """Return the `Heartbeat` of a message."""
    return Heartbeat(
        group=message.group,
        incarnation=message.incarnation,
        version=message.version,
        beat=message.beat,
        age_s=message.age_ms / MS_PER_S,
        loads=tuple(message.loads),
    )


def encode_announcement(announcement):
    """Return the wire form of an announcement."""
    return wire.Announcement(
        group=announcement.group,
        data_centre=announcement.data_centre,
        rpc=announcement.rpc,
        ingress=announcement.ingress,
        incarnation=announcement.incarnation,
        version=announcement.version,
        leaving=announcement.leaving,
        servers=map(encode_server, announcement.servers),
    )


def decode_announcement(message):
    """Return the `Announcement` of a message."""
    return Announcement(
        group=message.group,
        data_centre=message.data_centre,
        rpc=message.rpc,
        ingress=message.ingress,
        incarnation=message.incarnation,
        version=message.version,
        leaving=message.leaving,
        servers=tuple(map(decode_server, message.servers)),
    )


def encode_server(server):
    """Return the wire form of an announced backend server."""
    return wire.Server(
        address=server.address,
        service=server.service,
        slots=server.slots,
        incarnation=server.incarnation,
        leaving=server.leaving,
        first_beat=server.first_beat,
    )


def decode_server(message):
    """Return the `AnnouncedServer` of a message."""
    return AnnouncedServer(
        address=message.address,
        service=message.service,
        slots=message.slots,
        incarnation=message.incarnation,
        leaving=message.leaving,
        first_beat=message.first_beat,
    )
