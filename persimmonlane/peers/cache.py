"""Cached lists of peers that were active recently."""


class CachedPeers:
    """A cached list of peers and the clock seconds at which it expires."""

    __slots__ = ("peers", "expires_at")

    def __init__(self, peers, expires_at):
        self.peers = peers
        self.expires_at = expires_at


EMPTY_CACHE = CachedPeers([], float("-inf"))


class RecentPeers:
    """Cache of the peers that were active within a time window.

    `get` is thread-safe; calls of the other methods must be serialised.
    """

    __slots__ = ("_window_s", "_get_time", "_cached")

    def __init__(self, window_s, get_time):
        """Create an empty cache.

        Args:
            window_s: Seconds for which a peer counts as active after its last sign of
                activity.
            get_time: Callable that takes a `Peer` and returns the clock seconds of its
                last activity, or None.
        """
        self._window_s = window_s
        self._get_time = get_time
        self._cached = EMPTY_CACHE

    def get(self, now):
        """Return the cached list, or None if it has expired."""
        cached = self._cached
        return cached.peers if now < cached.expires_at else None

    def refresh(self, peers, now):
        """Return the active ones among some `Peer`s and cache the list."""
        recent, earliest = [], float("inf")
        for peer in peers:
            at = self._get_time(peer)
            if at is not None and now - at < self._window_s:
                recent.append(peer)
                earliest = min(earliest, at)
        self._cached = CachedPeers(recent, earliest + self._window_s)
        return recent

    def invalidate(self):
        """Invalidate the cache, since a peer was added or became active again."""
        self._cached = EMPTY_CACHE
