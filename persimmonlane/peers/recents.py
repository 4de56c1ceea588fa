"""Recents.

The peers whose last sign is recent, found anew only once that may have changed.
"""


class Found:
    """Peers that were found, and the seconds until which this holds."""

    __slots__ = ("peers", "until")

    def __init__(self, peers, until):
        self.peers = peers
        self.until = until


NOTHING = Found([], float("-inf"))


class RecentPeers:
    """Peers with a sign within a span of time.

    `get` may be called from any thread, the other methods by one at a time.
    """

    __slots__ = ("_span_s", "_find_time", "_found")

    def __init__(self, span_s, find_time):
        """Begin with nothing found.

        Args:
            span_s: Seconds for which a sign is recent.
            find_time: Callable that returns the seconds of a `Peer`'s last sign, or
                None.
        """
        self._span_s = span_s
        self._find_time = find_time
        self._found = NOTHING

    def get(self, now):
        """Return the list that was found last, or None if it may not hold any more."""
        found = self._found
        return found.peers if now < found.until else None

    def find(self, peers, now):
        """Return the list of the recent ones among some `Peer`s."""
        recent, earliest = [], float("inf")
        for peer in peers:
            at = self._find_time(peer)
            if at is not None and now - at < self._span_s:
                recent.append(peer)
                earliest = min(earliest, at)
        self._found = Found(recent, earliest + self._span_s)
        return recent

    def discard(self):
        """Find anew the next time: a peer has come, or has given a sign again."""
        self._found = NOTHING
