"""Hosted server.

Which incarnation of the backend server beside the node is alive, by its heartbeats.
"""

import enum
import logging

log = logging.getLogger("persimmonlane.owner")

# A heartbeat may be seconds late; a server that crashed refuses connections, which
# the node notices sooner.
LOST_AFTER_HEARTBEATS = 6.0
KEPT_DEPARTURES = 64


class ServerState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat:
    """What a backend server says of itself.

    Attributes:
        server_id: Identifier of the backend server.
        service: Name of its service.
        address: Its address.
        born: Unix milliseconds of its start; tells incarnations apart.
        sequence: Number that rises with each heartbeat of an incarnation.
        state: The `ServerState`.
        slots: Requests that it runs at a time.
        cold_s: Seconds for which it is still slow after its start.
    """

    __slots__ = (
        "server_id",
        "service",
        "address",
        "born",
        "sequence",
        "state",
        "slots",
        "cold_s",
    )

    def __init__(
        self, server_id, service, address, born, sequence, state, slots, cold_s
    ):
        self.server_id = server_id
        self.service = service
        self.address = address
        self.born = born
        self.sequence = sequence
        self.state = state
        self.slots = slots
        self.cold_s = cold_s


class HostedServer:
    """The backend server beside the node, as its heartbeats tell.

    Attributes:
        current: The newest `Heartbeat` of the newest incarnation, or None.
        heard_at: Seconds at which it came.
        cold_until: Seconds until which the server is slow after its start.
    """

    __slots__ = (
        "current",
        "heard_at",
        "cold_until",
        "_address",
        "_service",
        "_clock",
        "_lost_s",
        "_departed",
        "_left",
    )

    def __init__(self, address, service, heartbeat_s, clock):
        self.current = None
        self.heard_at = None
        self.cold_until = 0.0
        self._address = address
        self._service = service
        self._clock = clock
        self._lost_s = heartbeat_s * LOST_AFTER_HEARTBEATS
        self._departed = {}
        self._left = False

    def note_heartbeat(self, heartbeat):
        """Take a heartbeat; return whether anything but its time has changed.

        Late heartbeats, and those of other servers, change nothing.
        """
        if not self._is_news(heartbeat):
            return False
        old = self.current
        now = self._clock.now()
        same = old is not None and self._is_same(old, heartbeat)
        changed = not same or old.state is not heartbeat.state
        if not same:
            self._left = False
        self.current = heartbeat
        self.heard_at = now
        self.cold_until = now + heartbeat.cold_s
        return changed

    def note_departure(self, server_id, born):
        """Take a departure; return whether the current incarnation has left.

        Args:
            server_id: Identifier of the backend server that leaves.
            born: Unix milliseconds of its start, or None if it is not said.
        """
        current = self.current
        if current is None or current.server_id != server_id:
            self._remember_departure(server_id, born or 0)
            return False
        if born is not None and born < current.born:
            return False
        self._remember_departure(server_id, max(born or 0, current.born))
        self._left = True
        return True

    def is_ready(self):
        """Return whether the backend server takes new requests."""
        return (
            self.current is not None
            and not self._left
            and self.current.state is ServerState.READY
            and self._clock.now() - self.heard_at < self._lost_s
        )

    def is_current(self, server_id):
        """Return whether an identifier is that of the living incarnation."""
        return self.current is not None and self.current.server_id == server_id

    def _is_news(self, heartbeat):
        if heartbeat.service != self._service or heartbeat.address != self._address:
            log.warning(
                "Owner: a heartbeat of %s names another server.", heartbeat.server_id
            )
            return False
        if heartbeat.slots < 1 or heartbeat.cold_s < 0:
            log.warning("Owner: a heartbeat of %s is absurd.", heartbeat.server_id)
            return False
        if heartbeat.born <= self._departed.get(heartbeat.server_id, -1):
            return False
        old = self.current
        if old is None:
            return True
        if self._is_same(old, heartbeat):
            return heartbeat.sequence > old.sequence
        return heartbeat.born > old.born

    def _is_same(self, old, heartbeat):
        return old.server_id == heartbeat.server_id and old.born == heartbeat.born

    def _remember_departure(self, server_id, born):
        self._departed[server_id] = max(born, self._departed.get(server_id, -1))
        while len(self._departed) > KEPT_DEPARTURES:
            self._departed.pop(next(iter(self._departed)))
