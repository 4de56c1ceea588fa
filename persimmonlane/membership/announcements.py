"""Announcements.

What a node says of itself and of the backend servers beside it.
"""

import msgspec


class AnnouncedServer(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server, as its sidecar announces it.

    Attributes:
        address: IP address and port of its HTTP endpoint.
        service: Name of its service.
        slots: Requests that it runs at a time; 0 takes the service's default.
        incarnation: Number that rises with each restart.
        leaving: Whether it takes no new work; final within an incarnation.
        first_beat: Beat of the group with which the incarnation began.
    """

    address: str
    service: str
    slots: int
    incarnation: int
    leaving: bool = False
    first_beat: int = 0


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """A node and the backend servers beside it.

    Attributes:
        group: Name of the node, which is also the name of the group.
        data_centre: Name of its data centre.
        rpc: IP address and port for calls between nodes.
        ingress: Whether the node takes callers' requests.
        incarnation: Number that rises with each restart of the node.
        version: Number that rises with each change of the list.
        leaving: Whether the node stops; final within an incarnation.
        servers: The backend servers.
    """

    group: str
    data_centre: str
    rpc: str
    incarnation: int
    version: int
    ingress: bool = True
    leaving: bool = False
    servers: tuple[AnnouncedServer, ...] = ()

    @property
    def stamp(self):
        """Incarnation and version, which order the lists of a group."""
        return (self.incarnation, self.version)


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Renews the announcement with the same incarnation and version.

    Attributes:
        group: Name of the group.
        incarnation: Incarnation of the group.
        version: Version of its list.
        beat: Number that rises with each heartbeat of the incarnation.
        age_s: Seconds since the group sent it.
        loads: Requests that run and that wait, two numbers for each server.
    """

    group: str
    incarnation: int
    version: int
    beat: int
    age_s: float = 0.0
    loads: tuple[int, ...] = ()

    @property
    def stamp(self):
        """Incarnation and version of the list that it renews."""
        return (self.incarnation, self.version)


class Exchange(msgspec.Struct, frozen=True, kw_only=True):
    """One side of an exchange between two nodes.

    Attributes:
        sender: Name of the sending node; empty in replies.
        heartbeats: Heartbeats that the sender knows.
        announcements: Lists that the sender passes on.
        wanted: Groups of which the sender wants the list.
    """

    sender: str = ""
    heartbeats: tuple[Heartbeat, ...] = ()
    announcements: tuple[Announcement, ...] = ()
    wanted: tuple[str, ...] = ()
