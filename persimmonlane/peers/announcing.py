"""Announcing.

Builds what this node says of itself to each peer: in full until the peer has echoed an
announcement that still holds, in the short form from then on. A silent peer may be
another process by now, so that it gets the full form again.
"""

import copy

from .deltas import build_delta
from .messages import Announcement


class Identity:
    """The part of an announcement that a `Delta` leaves out."""

    __slots__ = ("leaving", "server_id", "service")

    def __init__(self, news):
        server = news.server
        self.leaving = news.leaving
        self.server_id = server.server_id if server is not None else None
        self.service = server.service if server is not None else None

    def matches(self, other):
        """Return whether another identity says the same."""
        return (self.leaving, self.server_id, self.service) == (
            other.leaving,
            other.server_id,
            other.service,
        )


class AnnouncementBuilder:
    """Builds the announcements of one process of a node.

    Attributes:
        boot: Number drawn at the start of the process.
        sequence: Number of the present round.
    """

    __slots__ = (
        "boot",
        "sequence",
        "_settings",
        "_clock",
        "_identity",
        "_stated_at",
        "_full",
        "_delta",
    )

    def __init__(self, settings, clock, boot):
        self.boot = boot
        self.sequence = 0
        self._settings = settings
        self._clock = clock
        self._identity = None
        self._stated_at = 0
        self._full = None
        self._delta = None

    def begin_round(self):
        """Begin a round; return its sequence number."""
        self.sequence += 1
        return self.sequence

    def describe(self, news, version, fresh_age_s):
        """Take what all peers are told in this round.

        Args:
            news: The `OwnNews`.
            version: Version of the document in force.
            fresh_age_s: Seconds since it was known to be the newest, negative if that
                is not known.
        """
        identity = Identity(news)
        if self._identity is None or not identity.matches(self._identity):
            self._identity = identity
            self._stated_at = self.sequence
        self._full = Announcement(
            self._settings.name,
            self.boot,
            self.sequence,
            self._settings.nodes,
            self._settings.data_centre,
            news.leaving,
            version,
            fresh_age_s,
            0,
            0,
            news.server,
            True,
        )
        self._delta = build_delta(self._full)

    def build_full(self):
        """Return the `Announcement` for a node that is not known."""
        return self._full

    def build(self, peer):
        """Return the `Announcement` or `Delta` for a `Peer`."""
        heard = peer.announcement
        if heard is None:
            return self._full
        is_known = self._has_echoed(heard) and peer.is_live(self._clock.now())
        message = copy.copy(self._delta if is_known else self._full)
        message.echo = heard.sequence
        message.echo_boot = heard.boot
        return message

    def _has_echoed(self, heard):
        return (
            heard.takes_deltas
            and heard.echo_boot == self.boot
            and heard.echo >= self._stated_at
        )
