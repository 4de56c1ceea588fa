"""Building of this node's announcements.

A peer gets full announcements until it has echoed one whose static fields are still
current, and deltas from then on. A silent peer may have been restarted in the meantime,
so it gets full announcements again.
"""

import copy

from .deltas import build_delta
from .statuses import Announcement


class StaticFields:
    """The rarely changing fields of an announcement that a `Delta` leaves out."""

    __slots__ = (
        "leaving",
        "server_id",
        "service",
        "born",
        "is_server_leaving",
        "evacuations",
    )

    def __init__(self, state, evacuations=None):
        server = state.server
        self.leaving = state.leaving
        self.server_id = server.server_id if server is not None else None
        self.service = server.service if server is not None else None
        self.born = server.born if server is not None else None
        self.is_server_leaving = server is not None and server.leaving
        self.evacuations = evacuations

    def matches(self, other):
        """Return whether all fields are equal to those of another instance."""
        return (
            self.leaving == other.leaving
            and self.evacuations == other.evacuations
            and self.has_server_of(other)
        )

    def has_server_of(self, other):
        """Return whether the backend server is that of another instance."""
        return self._identify_server() == other._identify_server()

    def _identify_server(self):
        return self.server_id, self.service, self.born, self.is_server_leaving


class AnnouncementBuilder:
    """Builds the announcements of one process of a node.

    Attributes:
        boot: Random number that identifies the process.
        sequence: Sequence number of the current round.
    """

    __slots__ = (
        "boot",
        "sequence",
        "_settings",
        "_clock",
        "_static_fields",
        "_static_since",
        "_revision",
        "_full",
        "_delta",
    )

    def __init__(self, settings, clock, boot):
        self.boot = boot
        self.sequence = 0
        self._settings = settings
        self._clock = clock
        self._static_fields = None
        self._static_since = 0
        self._revision = 0
        self._full = None
        self._delta = None

    def begin_round(self):
        """Start a round of announcements and return its sequence number."""
        self.sequence += 1
        return self.sequence

    def update(
        self,
        state,
        stamp,
        fresh_age_s,
        store_generation=0,
        crash_digest=0,
        evacuations=None,
    ):
        """Set the state to announce in this round.

        Args:
            state: The `NodeState`.
            stamp: The `DocumentStamp` of the document in force.
            fresh_age_s: Seconds since that document was last confirmed as the newest,
                negative if unknown.
            store_generation: Latest generation of the store that the node has seen.
            crash_digest: Digest of the node's `CrashLedger`.
            evacuations: The `EvacuationList` in force, or None.
        """
        fields = StaticFields(state, evacuations)
        if self._static_fields is None or not fields.matches(self._static_fields):
            if self._static_fields and not fields.has_server_of(self._static_fields):
                self._revision += 1
            self._static_fields = fields
            self._static_since = self.sequence
        self._full = Announcement(
            self._settings.name,
            self.boot,
            self.sequence,
            self._settings.peer_address,
            self._settings.data_centre,
            state.leaving,
            stamp.version,
            fresh_age_s,
            0,
            0,
            state.server,
            True,
            True,
            self._revision,
            stamp.generation,
            store_generation,
            crash_digest,
            True,
            evacuations,
        )
        self._delta = build_delta(self._full)

    def build_full(self):
        """Return the full `Announcement`, without an echo, for an unknown node."""
        return self._full

    def build(self, peer):
        """Return the `Announcement` or `Delta` for a `Peer`."""
        latest = peer.announcement
        if latest is None:
            return self._full
        can_expand = self._has_echoed_static_fields(latest) and peer.is_live(
            self._clock.now()
        )
        message = copy.copy(self._delta if can_expand else self._full)
        message.echo = latest.sequence
        message.echo_boot = latest.boot
        return message

    def _has_echoed_static_fields(self, latest):
        return (
            latest.accepts_deltas
            and latest.echo_boot == self.boot
            and latest.echo >= self._static_since
        )
