"""Local backend server.

Tracks by heartbeats which incarnation of the local backend server is alive.
"""

import enum
import logging

from .departures import Departure, Departures
from .incarnations import MS_PER_S, IncarnationOrder, is_same_incarnation
from .newcomers import Newcomers

log = logging.getLogger("persimmonlane.owner")

# Heartbeat intervals without a heartbeat after which a server counts as lost.
# Heartbeats may be several seconds late. A crashed server is noticed sooner, because it
# refuses connections.
LOST_AFTER_HEARTBEATS = 6.0
# The time of day may jump by seconds.
MAX_CLOCK_STEP_S = 10.0
# No heartbeat is as late as this.
MAX_DEPARTURE_AGE_S = 3600.0


class ServerState(enum.Enum):
    """State that a backend server reports in its heartbeats."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat:
    """A heartbeat of a backend server.

    Attributes:
        server_id: Identifier of the backend server.
        service: Name of its service.
        address: Its address.
        born: Unix milliseconds of its start; distinguishes incarnations.
        sequence: Number that increases with each heartbeat of an incarnation.
        state: The `ServerState`.
        slots: Number of requests that it runs concurrently.
        cold_s: Seconds for which it remains slow after its start.
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
    """The local backend server as known from its heartbeats.

    Attributes:
        current: The newest `Heartbeat` of the newest incarnation, or None.
        received_at: Clock time at which it was received, in seconds.
        cold_until: Clock time until which the server is slow after its start, in
            seconds.
        departures: The `Departures` of its processes.
        newcomers: The `Newcomers` among them.
    """

    __slots__ = (
        "current",
        "received_at",
        "cold_until",
        "departures",
        "newcomers",
        "_address",
        "_service",
        "_clock",
        "_wall_clock",
        "_unseen_until_ms",
        "_heartbeat_timeout_s",
        "_has_departed",
        "_crashed",
        "_order",
    )

    def __init__(self, address, service, heartbeat_s, clock, wall_clock):
        """Create it before its first heartbeat.

        Args:
            address: Address of the backend server.
            service: Name of its service.
            heartbeat_s: Interval of its heartbeats, in seconds.
            clock: Clock in seconds.
            wall_clock: Clock in seconds of Unix time.
        """
        self.current = None
        self.received_at = None
        self.cold_until = 0.0
        self.departures = Departures()
        self.newcomers = Newcomers(heartbeat_s, clock)
        self._address = address
        self._service = service
        self._clock = clock
        self._wall_clock = wall_clock
        # Processes that start later say all that they say to this process.
        self._unseen_until_ms = (wall_clock.now() + MAX_CLOCK_STEP_S) * MS_PER_S
        self._heartbeat_timeout_s = heartbeat_s * LOST_AFTER_HEARTBEATS
        self._has_departed = False
        self._crashed = None
        self._order = IncarnationOrder(heartbeat_s, clock, wall_clock)

    def apply_heartbeat(self, heartbeat):
        """Apply a heartbeat; return whether the incarnation or its state changed.

        Outdated heartbeats, those of other servers and odd ones are ignored. Those of
        a process that the node does not know yet may be held back.
        """
        if not self._supersedes_current(heartbeat):
            return False
        if heartbeat.state is ServerState.DRAINING:
            self._add_departure(heartbeat.server_id, heartbeat.born)
        elif self._may_have_departed(heartbeat):
            is_doubted = self.departures.find(heartbeat) is not None
            self.newcomers.hold(heartbeat, is_doubted)
            return self.use_newcomer()
        return self._use(heartbeat)

    def use_newcomer(self):
        """Use the process that is held back if it may be; return whether it is used."""
        heartbeat = self.newcomers.release()
        return heartbeat is not None and self._use(heartbeat)

    def learn_departures(self, departures):
        """Learn of departures that the node's last process has acknowledged.

        Args:
            departures: The `Departure`s.

        Returns:
            Whether the current incarnation has departed by them.
        """
        oldest_ms = (self._wall_clock.now() - MAX_DEPARTURE_AGE_S) * MS_PER_S
        changed = False
        for departure in departures:
            if departure.heard_ms < oldest_ms:
                continue
            self.departures.add(departure)
            if self.current is not None and departure.binds(self.current):
                changed = changed or not self._has_departed
                self._has_departed = True
        self._drop_departed_newcomer()
        return changed

    def _use(self, heartbeat):
        old = self.current
        now = self._clock.now()
        same = self.is_incarnation(heartbeat)
        if not same:
            self.newcomers.drop()
            self._has_departed = False
        self._crashed = None
        self.current = heartbeat
        self.received_at = now
        self.cold_until = now + heartbeat.cold_s
        return not same or old.state is not heartbeat.state

    def may_depart(self, server_id, born):
        """Return whether a departure can be true.

        Args:
            server_id: Identifier of the backend server that departs.
            born: Unix milliseconds of its start, or None if not given.
        """
        if born is None or not self._order.is_in_future(born):
            return True
        return self.is_current(server_id) and self.current.born == born

    def apply_departure(self, server_id, born):
        """Apply a departure; return whether the current incarnation departs by it.

        Args:
            server_id: Identifier of the backend server that departs.
            born: Unix milliseconds of its start, or None if not given.
        """
        if not self.may_depart(server_id, born):
            log.warning("Owner: ignored a departure of %s in the future.", server_id)
            return False
        if not self.is_current(server_id):
            held = self.newcomers.held
            if born is None and held is not None and held.server_id == server_id:
                born = held.born
            self._add_departure(server_id, born)
            return False
        if born is not None and born < self.current.born:
            self._add_departure(server_id, born)
            return False
        self._add_departure(server_id, self.current.born)
        if born is not None:
            self._add_departure(server_id, born)
        changed = not self._has_departed
        self._has_departed = True
        return changed

    def is_ready(self):
        """Return whether the backend server takes new requests."""
        return (
            self.current is not None
            and not self._has_departed
            and self._crashed is not self.current
            and self.current.state is ServerState.READY
            and self._clock.now() - self.received_at < self._heartbeat_timeout_s
        )

    def is_leaving(self):
        """Return whether the current incarnation has said that it leaves."""
        return self.current is not None and (
            self._has_departed or self.current.state is ServerState.DRAINING
        )

    def may_crash(self, heartbeat):
        """Return whether the end of a process would be a crash, not a departure.

        Args:
            heartbeat: A `Heartbeat` of the process.
        """
        return self.is_incarnation(heartbeat) and not self.is_leaving()

    def ended_without_notice(self, heartbeat):
        """Return whether a process, by its last `Heartbeat`, has not said it leaves."""
        is_ready = heartbeat.state is ServerState.READY
        return is_ready and not self.departures.names(heartbeat)

    def note_crash(self, heartbeat):
        """Note that the process of a `Heartbeat` has ended, until it is heard of."""
        if self.is_incarnation(heartbeat):
            self._crashed = self.current

    def is_current(self, server_id):
        """Return whether an identifier is that of the current incarnation."""
        return self.current is not None and self.current.server_id == server_id

    def is_incarnation(self, heartbeat):
        """Return whether a `Heartbeat` came from the current incarnation."""
        return self.current is not None and is_same_incarnation(self.current, heartbeat)

    def _supersedes_current(self, heartbeat):
        if heartbeat.service != self._service or heartbeat.address != self._address:
            log.warning(
                "Owner: ignored a heartbeat of %s for another server.",
                heartbeat.server_id,
            )
            return False
        if self.departures.names(heartbeat):
            return False
        departed_born = self.departures.find_last_born()
        return self._order.supersedes(self.current, heartbeat, departed_born)

    def _may_have_departed(self, heartbeat):
        """Return whether what this process knows is not enough to use a process."""
        if self.is_incarnation(heartbeat):
            return False
        if self.departures.find(heartbeat) is not None:
            return True
        return heartbeat.born <= self._unseen_until_ms

    def _add_departure(self, server_id, born):
        heard_ms = round(self._wall_clock.now() * MS_PER_S)
        self.departures.add(Departure(server_id, born, heard_ms))
        self._drop_departed_newcomer()

    def _drop_departed_newcomer(self):
        held = self.newcomers.held
        if held is not None and self.departures.names(held):
            self.newcomers.drop()
