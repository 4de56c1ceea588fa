"""Hosted group.

The announcement of this node and of the backend servers beside it.
"""

import collections

import msgspec

from ..errors import PersimmonError
from .announcements import AnnouncedServer, Heartbeat

BEATS_REMEMBERED = 64
INFINITE_S = float("inf")


class HostedError(PersimmonError):
    """A request about a backend server that is not beside this node."""

    code = "server-not-hosted"


class HostedGroup:
    """What this node announces.

    Attributes:
        announcement: The present `Announcement`.
        beat: Number of the last heartbeat.
    """

    __slots__ = ("announcement", "beat", "_clock", "_loads", "_issued")

    def __init__(self, clock, announcement):
        self.announcement = announcement
        self.beat = 0
        self._clock = clock
        self._loads = {}
        self._issued = collections.OrderedDict()

    def renew(self):
        """Issue the next heartbeat and return it."""
        self.beat += 1
        self._issued[self.beat] = self._clock.now()
        if len(self._issued) > BEATS_REMEMBERED:
            self._issued.popitem(last=False)
        return self.heartbeat()

    def heartbeat(self):
        """Return the last heartbeat with its age."""
        return Heartbeat(
            group=self.announcement.group,
            incarnation=self.announcement.incarnation,
            version=self.announcement.version,
            beat=self.beat,
            age_s=self._clock.now() - self._issued.get(self.beat, self._clock.now()),
            loads=self._collect_loads(),
        )

    def bound_delay(self, heartbeats):
        """Return the most seconds for which a message was under way.

        A message that holds a heartbeat of this node was sent after it.

        Args:
            heartbeats: The heartbeats in the message.
        """
        for heartbeat in heartbeats:
            if self._is_own(heartbeat) and heartbeat.beat in self._issued:
                return self._clock.now() - self._issued[heartbeat.beat]
        return INFINITE_S

    def add(self, address, service, slots, incarnation):
        """Announce a backend server, or a new incarnation of one."""
        server = AnnouncedServer(
            address=address,
            service=service,
            slots=slots,
            incarnation=incarnation,
            first_beat=self.beat,
        )
        self._replace(address, server)

    def find(self, address):
        """Return the announced server with this address, or None."""
        for server in self.announcement.servers:
            if server.address == address:
                return server
        return None

    def leave(self, address=None):
        """Announce that a backend server is leaving; None means the whole group.

        Raises:
            HostedError: If the backend server is not announced here.
        """
        if address is None:
            self._leave_all()
            return
        server = self.find(address)
        if server is None:
            raise HostedError("no such backend server is announced", place=address)
        if not server.leaving:
            self._replace(address, msgspec.structs.replace(server, leaving=True))

    def report(self, address, running, waiting):
        """Take in the load of a hosted backend server."""
        self._loads[address] = (running, waiting)

    def total_load(self):
        """Return the requests that run and wait on all hosted backend servers."""
        return sum(running + waiting for running, waiting in self._loads.values())

    def _leave_all(self):
        servers = tuple(
            msgspec.structs.replace(server, leaving=True)
            for server in self.announcement.servers
        )
        self._change(servers=servers, leaving=True)

    def _replace(self, address, server):
        others = [
            other for other in self.announcement.servers if other.address != address
        ]
        leaving = server.leaving or self.announcement.leaving
        others.append(msgspec.structs.replace(server, leaving=leaving))
        self._change(servers=tuple(others))

    def _change(self, **changes):
        version = self.announcement.version + 1
        self.announcement = msgspec.structs.replace(
            self.announcement, version=version, **changes
        )
        self.renew()

    def _collect_loads(self):
        if not self._loads:
            return ()
        loads = []
        for server in self.announcement.servers:
            loads.extend(self._loads.get(server.address, (0, 0)))
        return tuple(loads)

    def _is_own(self, heartbeat):
        return (
            heartbeat.group == self.announcement.group
            and heartbeat.incarnation == self.announcement.incarnation
        )
