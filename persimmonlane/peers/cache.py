"""Cached lists of peers that were active recently."""


class CachedPeers:
    """A cached list of peers and the clock seconds at which it expires."""

    __slots__ = ("peers", "expires_at")

    def __init__(self, peers, expires_at):
        self.peers = peers
        self.expires_at = expires_at


EMPTY_CACHE = CachedPeers([], float("-inf"))


class RecentPeers:
    """Cache of the peers that count as active until a time of their own.

    `get` is thread-safe; calls of the other methods must be serialised.
    """

    __slots__ = ("_get_expiry", "_cached")

    def __init__(self, get_expiry):
        """Create an empty cache.

        Args:
            get_expiry: Callable that takes a `Peer` and returns the clock seconds until
                which it counts as active.
        """
        self._get_expiry = get_expiry
        self._cached = EMPTY_CACHE

    def get(self, now):
        """Return the cached list, or None if it has expired."""
        cached = self._cached
        return cached.peers if now < cached.expires_at else None

    def refresh(self, peers, now):
        """Return the active ones among some `Peer`s and cache the list."""
        recent, earliest = [], float("inf")
        for peer in peers:
            expires_at = self._get_expiry(peer)
            if now < expires_at:
                recent.append(peer)
                earliest = min(earliest, expires_at)
        self._cached = CachedPeers(recent, earliest)
        return recent

    def invalidate(self):
        """Invalidate the cache, since a peer was added or became active again."""
        self._cached = EMPTY_CACHE
