"""State that this node keeps about another node."""

from ..addresses import split_node_address

# A peer without an announcement for this long gets no requests.
LIVE_TIMEOUT_S = 2.6
# The same for a peer that is known from digests: these take up to three rounds, and
# their ages include the time since the message that they echo.
REMOTE_LIVE_TIMEOUT_S = 7.0
# A peer that is not seen for this long no longer counts as a member of the fleet.
MEMBER_TIMEOUT_S = 30.0
BACKOFF_FIRST_S = 1.0
BACKOFF_MAX_S = 4.0


class Peer:
    """Another node.

    Attributes:
        name: Name of the node.
        address: Address for requests from other nodes.
        host: The host of that address.
        data_centre: Name of its data centre, empty if it is not known yet.
        accepts_digests: Whether it learns of other data centres from digests.
        announcement: Its newest `Announcement`, or None before the first one.
        started_at: Clock seconds at which its present process was first heard of.
        heard_at: Clock seconds at which that was received, or None; in another data
            centre, a time at which the peer was alive for certain.
        live_until: Clock seconds until which the peer counts as live.
        last_seen_at: Clock seconds at which the store or a datagram last named it.
        backoff_until: Clock seconds until which it gets no requests.
        in_flight: Number of requests of this node that it is processing.
        previous_boot: Boot number of its previous process, or None.
    """

    __slots__ = (
        "name",
        "address",
        "host",
        "data_centre",
        "accepts_digests",
        "announcement",
        "started_at",
        "heard_at",
        "live_until",
        "last_seen_at",
        "backoff_until",
        "in_flight",
        "previous_boot",
        "_failures",
    )

    def __init__(self, name, address, last_seen_at, data_centre=""):
        """Create a peer that has not announced itself yet.

        Args:
            name: Name of the node.
            address: Address for requests from other nodes.
            last_seen_at: Clock seconds at which the store or a datagram named it.
            data_centre: Name of its data centre, if the store tells it. Only releases
                that accept digests register it.

        Raises:
            ValueError: If the address is invalid.
        """
        self.name = name
        self.address = address
        self.host, _ = split_node_address(address)
        self.data_centre = data_centre
        self.accepts_digests = bool(data_centre)
        self.announcement = None
        self.started_at = float("-inf")
        self.heard_at = None
        self.live_until = float("-inf")
        self.last_seen_at = last_seen_at
        self.backoff_until = 0.0
        self.in_flight = 0
        self.previous_boot = None
        self._failures = 0

    def apply_announcement(self, announcement, heard_at, timeout_s=LIVE_TIMEOUT_S):
        """Apply an `Announcement` that is not stale.

        Args:
            announcement: The `Announcement`.
            heard_at: Clock seconds at which it was received.
            timeout_s: Seconds from then for which the peer counts as live.
        """
        latest = self.announcement
        if latest is None or latest.boot != announcement.boot:
            self.mark_reachable()
            self.started_at = heard_at
            self.heard_at = None
        if latest is not None and latest.boot != announcement.boot:
            self.previous_boot = latest.boot
        self.announcement = announcement
        self.data_centre = announcement.data_centre
        self.accepts_digests = announcement.accepts_digests
        self.extend_life(heard_at, timeout_s)

    def extend_life(self, heard_at, timeout_s):
        """Record that the peer was alive at a time.

        Args:
            heard_at: Clock seconds of that time.
            timeout_s: Seconds from then for which the peer counts as live.
        """
        if self.heard_at is None or heard_at > self.heard_at:
            self.heard_at = heard_at
        self.last_seen_at = max(self.last_seen_at, heard_at)
        self.live_until = max(self.live_until, heard_at + timeout_s)

    def mark_unreachable(self, now):
        """Start a backoff that doubles with each failure, up to a maximum."""
        backoff_s = BACKOFF_FIRST_S * 2**self._failures
        self._failures += 1
        self.backoff_until = now + min(BACKOFF_MAX_S, backoff_s)

    def mark_reachable(self):
        """Reset the backoff."""
        self._failures = 0
        self.backoff_until = 0.0

    def apply_report(self, server_id, report):
        """Update the status of the peer's backend server from a report.

        The report is ignored if the peer has announced another backend server since.

        Args:
            server_id: Identifier of the backend server that the report is about.
            report: The `OwnerReport`.
        """
        server = self.announcement.server if self.announcement is not None else None
        if server is None or server.server_id != server_id:
            return
        server.running = report.running
        server.waiting = report.waiting
        server.standing = report.standing
        server.suspect = report.suspect
        server.error_risk = report.error_risk
        server.hang_risk = report.hang_risk
        server.limit = report.limit
        server.probing = report.probing
        server.quiet = report.quiet

    def is_stale(self, announcement, now):
        """Return whether an `Announcement` is no newer than the latest one.

        All announcements of the peer's previous process are stale while the present one
        is live. Which of two processes is the newer one can't be told from the order of
        two datagrams alone, so the one that goes on announcing itself prevails.
        """
        latest = self.announcement
        if latest is None:
            return False
        if latest.boot == announcement.boot:
            return latest.sequence >= announcement.sequence
        return announcement.boot == self.previous_boot and self.is_live(now)

    def is_outdated(self, announcement, heard_at):
        """Return whether what a third node knows of the peer is no news.

        Args:
            announcement: The `Announcement` that the third node has received.
            heard_at: Clock seconds at which its process was alive for certain.
        """
        latest = self.announcement
        if latest is None:
            return False
        if latest.boot == announcement.boot:
            return latest.sequence >= announcement.sequence
        return self.heard_at is not None and self.heard_at >= heard_at

    def is_live(self, now):
        """Return whether the peer has announced itself recently."""
        return now < self.live_until

    def get_member_until(self):
        """Return the clock seconds until which the peer counts as a member."""
        return self.last_seen_at + MEMBER_TIMEOUT_S


def create_moved_peer(known, announcement, now):
    """Return a `Peer` for a node at a new address.

    Args:
        known: The `Peer` at its former address, or None.
        announcement: The `Announcement` with the new address.
        now: Clock seconds.

    Raises:
        ValueError: If the address is invalid.
    """
    peer = Peer(announcement.node, announcement.address, now)
    if known is not None:
        peer.announcement = known.announcement
        peer.previous_boot = known.previous_boot
    return peer
