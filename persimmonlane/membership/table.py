"""Server table.

The announcements that this node knows, each a lease that heartbeats renew.
"""

import msgspec

from ..invariants import check_invariant
from .announcements import Exchange, Heartbeat
from .messages import LoadReported
from .peers import Peer
from .servers import BackendServer

BEAT_S = 0.5
FORGET_S = 60.0
# A heartbeat that is fresher by less than this is not passed on.
AGE_GAIN_S = 0.05
NEVER = float("-inf")
FOREVER = float("inf")


class Group:
    """What is known of one group.

    Attributes:
        announcement: The newest list, or None.
        known: Highest incarnation and version heard of.
        beat: Highest beat heard for the list.
        heard_at: Monotonic seconds at which its group lived for certain.
        touched_at: Monotonic seconds of the last message about the group.
        loads: Loads that came with the beat.
        first_seen: Monotonic seconds by address and incarnation.
    """

    __slots__ = (
        "announcement",
        "known",
        "beat",
        "heard_at",
        "touched_at",
        "loads",
        "first_seen",
    )

    def __init__(self):
        self.announcement = None
        self.known = (0, 0)
        self.beat = 0
        self.heard_at = NEVER
        self.touched_at = NEVER
        self.loads = ()
        self.first_seen = {}

    @property
    def stamp(self):
        """Incarnation and version of the list that is held."""
        return self.announcement.stamp if self.announcement else (0, 0)


class ServerTable:
    """The backend servers and nodes that were heard of within the lease.

    A heartbeat renews only the list with its very incarnation and version: word
    that a newer list exists renews nothing. The time at which a heartbeat was
    issued is never taken to be later than it was: ages and the most time that a
    message can have been under way are both subtracted, so neither a delay nor a
    pause makes old news fresh.

    What is listed is worked out anew only after a change or a lapse.
    """

    __slots__ = (
        "_lease_s",
        "_clock",
        "_groups",
        "_left",
        "_reports",
        "_servers",
        "_peers",
        "_lapse_at",
    )

    def __init__(self, clock, lease_s):
        self._lease_s = lease_s
        self._clock = clock
        self._groups = {}
        self._left = {}
        self._reports = {}
        self._servers = ()
        self._peers = ()
        self._lapse_at = NEVER

    @property
    def lease_s(self):
        """Time an announcement stands without renewal, in seconds."""
        return self._lease_s

    @lease_s.setter
    def lease_s(self, lease_s):
        self._lease_s = lease_s
        self._lapse_at = NEVER

    def apply(self, announcement):
        """Take in a list; return whether it is newer than the one held."""
        group = self._touch(announcement.group)
        if not self._is_newer(group, announcement):
            return False
        if announcement.incarnation != group.stamp[0]:
            group.heard_at = NEVER
        group.announcement = keep_leaving(group.announcement, announcement)
        group.known = announcement.stamp
        group.beat = 0
        group.loads = ()
        self._note_leaving(group.announcement)
        self._lapse_at = NEVER
        return True

    def renew(self, heartbeat, delay_s=0.0):
        """Take in a heartbeat; return whether it renewed a list.

        Args:
            heartbeat: The heartbeat, with its age at the sender.
            delay_s: Seconds for which the message was under way.
        """
        group = self._touch(heartbeat.group)
        if heartbeat.stamp > group.known or not self._is_live(group):
            group.known = heartbeat.stamp
        heard_at = self._clock.now() - heartbeat.age_s - delay_s
        if heartbeat.stamp != group.stamp or heard_at <= group.heard_at:
            return False
        if not self._is_live(group):
            self._lapse_at = NEVER
        group.heard_at = heard_at
        if heartbeat.beat <= group.beat:
            return False
        group.beat = heartbeat.beat
        group.loads = heartbeat.loads
        self._note_servers(group)
        self._note_loads(group)
        return True

    def digest(self):
        """Return the heartbeats of all groups that were heard within the lease."""
        return tuple(
            self._export(name, group)
            for name, group in self._groups.items()
            if self._is_live(group)
        )

    def answer(self, request):
        """Return what the sender of a request lacks, and what this node lacks."""
        offered = {item.group: item for item in request.heartbeats}
        heartbeats = []
        announcements = []
        for name, group in self._groups.items():
            if not self._is_live(group):
                continue
            theirs = offered.get(name)
            if theirs is None or group.stamp > theirs.stamp:
                announcements.append(group.announcement)
            if theirs is None or self._is_fresher(group, theirs):
                heartbeats.append(self._export(name, group))
        return Exchange(
            heartbeats=tuple(heartbeats),
            announcements=tuple(announcements),
            wanted=self.wanted(),
        )

    def wanted(self):
        """Return the names of groups of which another list is in force."""
        return tuple(
            name for name, group in self._groups.items() if group.known != group.stamp
        )

    def get_announcements(self, names):
        """Return the lists of these groups, as far as they stand."""
        groups = [self._groups.get(name) for name in names]
        return tuple(
            group.announcement
            for group in groups
            if group is not None and self._is_live(group)
        )

    def servers(self):
        """Return the backend servers that take new work, sorted by address.

        The same tuple is returned until something has changed.
        """
        self._refresh()
        return self._servers

    def peers(self):
        """Return the nodes that were heard within the lease, sorted by name.

        The same tuple is returned until something has changed.
        """
        self._refresh()
        return self._peers

    def take_loads(self):
        """Return the load reports since the last call, as `LoadReported`."""
        now = self._clock.now()
        reports = tuple(
            LoadReported(address, running, waiting, now - at)
            for address, (running, waiting, at) in self._reports.items()
        )
        self._reports.clear()
        return reports

    def forget(self):
        """Drop the groups that nothing was heard of for a long time."""
        limit = self._clock.now() - FORGET_S
        for name, group in list(self._groups.items()):
            if group.touched_at < limit:
                del self._groups[name]
        self._left.clear()
        for group in self._groups.values():
            if group.announcement is not None:
                self._note_leaving(group.announcement)

    def _refresh(self):
        if self._clock.now() <= self._lapse_at:
            return
        live = [group for group in self._groups.values() if self._is_live(group)]
        heard_at = min((group.heard_at for group in live), default=FOREVER)
        self._lapse_at = heard_at + self._lease_s
        self._servers = self._list_servers(live)
        self._check_leaving(self._servers)
        peers = [create_peer(group.announcement) for group in live]
        self._peers = tuple(sorted(peers, key=lambda peer: peer.name))

    def _list_servers(self, live):
        found = {}
        for group in live:
            self._collect(group, found)
        return tuple(found[address] for address in sorted(found))

    def _touch(self, name):
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = Group()
        group.touched_at = self._clock.now()
        return group

    def _is_newer(self, group, announcement):
        if announcement.incarnation < group.stamp[0]:
            # The VM's clock was set back, or these are words of an earlier life,
            # which no heartbeat will renew.
            return not self._is_live(group)
        return announcement.stamp > group.stamp

    def _is_live(self, group):
        return self._clock.now() - group.heard_at <= self._lease_s

    def _is_fresher(self, group, theirs):
        if group.stamp != theirs.stamp:
            return group.stamp > theirs.stamp
        age_s = self._clock.now() - group.heard_at
        return age_s + AGE_GAIN_S < theirs.age_s

    def _export(self, name, group):
        return Heartbeat(
            group=name,
            incarnation=group.stamp[0],
            version=group.stamp[1],
            beat=group.beat,
            age_s=max(0.0, self._clock.now() - group.heard_at),
            loads=group.loads,
        )

    def _note_leaving(self, announcement):
        for server in announcement.servers:
            if server.leaving:
                left = self._left.get(server.address, 0)
                self._left[server.address] = max(left, server.incarnation)

    def _note_servers(self, group):
        seen = {}
        for server in group.announcement.servers:
            key = (server.address, server.incarnation)
            uptime = max(0, group.beat - server.first_beat) * BEAT_S
            since = group.heard_at - uptime
            seen[key] = group.first_seen.get(key, since)
        group.first_seen = seen

    def _note_loads(self, group):
        pairs = zip(group.loads[::2], group.loads[1::2], strict=False)
        for server, (running, waiting) in zip(
            group.announcement.servers, pairs, strict=False
        ):
            self._reports[server.address] = (running, waiting, group.heard_at)

    def _collect(self, group, found):
        for server in group.announcement.servers:
            if server.incarnation <= self._left.get(server.address, 0):
                continue
            other = found.get(server.address)
            if other is None or other.incarnation < server.incarnation:
                found[server.address] = self._create_server(group, server)

    def _create_server(self, group, server):
        key = (server.address, server.incarnation)
        return BackendServer(
            server.address,
            server.service,
            group.announcement.data_centre,
            server.slots,
            server.incarnation,
            group.first_seen.get(key, group.heard_at),
        )

    def _check_leaving(self, servers):
        for server in servers:
            check_invariant(
                "leaving",
                server.incarnation > self._left.get(server.address, 0),
                f"{server.address} takes new work after it said that it leaves",
            )


def keep_leaving(held, announcement):
    """Return an announcement in which no leaving server has come back.

    Args:
        held: The list held before, or None.
        announcement: The list that replaces it.
    """
    if held is None or held.incarnation != announcement.incarnation:
        return announcement
    left = {
        (server.address, server.incarnation)
        for server in held.servers
        if server.leaving
    }
    servers = tuple(
        msgspec.structs.replace(server, leaving=True)
        if (server.address, server.incarnation) in left
        else server
        for server in announcement.servers
    )
    leaving = held.leaving or announcement.leaving
    return msgspec.structs.replace(announcement, servers=servers, leaving=leaving)


def create_peer(announcement):
    """Return the `Peer` that an announcement describes."""
    return Peer(
        announcement.group,
        announcement.data_centre,
        announcement.rpc,
        announcement.ingress,
        announcement.incarnation,
        announcement.leaving,
    )
