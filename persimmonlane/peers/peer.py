"""Peer.

Another node as this one knows it.
"""

from ..settings import split_address

# A peer that is silent for longer is not sent requests.
LIVE_S = 2.6
# A peer that is silent for longer no longer counts as a member.
MEMBER_S = 30.0
UNREACHABLE_FIRST_S = 1.0
UNREACHABLE_LONGEST_S = 4.0


class Peer:
    """Another node.

    Attributes:
        name: Name of the node.
        address: Address for requests from other nodes.
        host: The host of that address.
        data_centre: Name of its data centre, empty before it was heard.
        news: Its newest `Announcement`, or None before it was heard.
        heard_at: Seconds at which that came.
        known_at: Seconds at which the store or a datagram last named it.
        avoided_until: Seconds until which it is not sent requests.
        pending: Requests of this node that are at it now.
        past_boot: Boot number of its process before the present one, or None.
    """

    __slots__ = (
        "name",
        "address",
        "host",
        "data_centre",
        "news",
        "heard_at",
        "known_at",
        "avoided_until",
        "pending",
        "past_boot",
        "_failures",
    )

    def __init__(self, name, address, known_at):
        """Begin with a node that was not heard yet.

        Args:
            name: Name of the node.
            address: Address for requests from other nodes.
            known_at: Seconds.

        Raises:
            ValueError: If the address is invalid.
        """
        self.name = name
        self.address = address
        self.host, _ = split_address(address)
        self.data_centre = ""
        self.news = None
        self.heard_at = None
        self.known_at = known_at
        self.avoided_until = 0.0
        self.pending = 0
        self.past_boot = None
        self._failures = 0

    def accept(self, news, now):
        """Take an `Announcement` that is not stale."""
        old = self.news
        if old is None or old.boot != news.boot:
            self.note_reached()
        if old is not None and old.boot != news.boot:
            self.past_boot = old.boot
        self.news = news
        self.data_centre = news.data_centre
        self.heard_at = self.known_at = now

    def note_unreachable(self, now):
        """Avoid the peer for a while; longer each time until it is reached."""
        avoided_s = UNREACHABLE_FIRST_S * 2**self._failures
        self._failures += 1
        self.avoided_until = now + min(UNREACHABLE_LONGEST_S, avoided_s)

    def note_reached(self):
        """Trust the path to the peer again."""
        self._failures = 0
        self.avoided_until = 0.0

    def note_report(self, server_id, report):
        """Take what the peer tells of its backend server with an answer.

        Args:
            server_id: Identifier of the backend server that was asked for.
            report: The `OwnerReport`.
        """
        server = self.news.server if self.news is not None else None
        if server is None or server.server_id != server_id:
            return
        server.running = report.running
        server.waiting = report.waiting
        server.standing = report.standing
        server.suspect = report.suspect

    def is_stale(self, news):
        """Return whether an `Announcement` was sent before the newest one."""
        old = self.news
        if old is None:
            return False
        if old.boot == news.boot:
            return old.sequence >= news.sequence
        return news.boot == self.past_boot

    def is_live(self, now):
        """Return whether the peer was heard of late."""
        return self.heard_at is not None and now - self.heard_at < LIVE_S


def move_peer(known, news, now):
    """Return the `Peer` at a new address.

    Args:
        known: The `Peer` at its address until now, or None.
        news: The `Announcement` that names the new address.
        now: Seconds.
    """
    peer = Peer(news.node, news.address, now)
    if known is not None:
        peer.news = known.news
        peer.past_boot = known.past_boot
    return peer
