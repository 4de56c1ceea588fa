"""Bytes that a node may exchange with other regions.

The links between regions are narrow, and their width is not known to the nodes. Each
node starts from a share of its own link, and lowers it while round trips to a region
take longer than the shortest one by more than queueing in a usable link explains.
"""

import threading

# Part of the width of the VM's link that traffic with one region may take.
LINK_SHARE = 0.25
# Seconds of the budget that may be spent at once.
BURST_S = 1.0
# Seconds by which a round trip exceeds the shortest one if the link is full.
QUEUEING_S = 0.02
# The budget's factor while the link is full, applied once per interval, and what each
# interval without such a sign adds.
DECREASE = 0.6
INCREASE = 0.05
MIN_FACTOR = 0.01
ADJUST_INTERVAL_S = 0.5
# The shortest round trip is forgotten after one to two of these windows, as a route
# may become longer for good.
WINDOW_S = 60.0


class RegionLink:
    """State of the link to one region.

    Attributes:
        factor: Fraction of the budget that may be used now.
        tokens: Bytes that may be spent now; negative after a long response.
        filled_at: Clock seconds at which the tokens were computed.
        adjusted_at: Clock seconds of the last change of the factor.
        shortest_s: Shortest round trip of the current window, or None.
        former_shortest_s: The same of the window before, or None.
        window_at: Clock seconds at which the current window began.
        round_trip_s: The last round trip, or None.
    """

    __slots__ = (
        "factor",
        "tokens",
        "filled_at",
        "adjusted_at",
        "shortest_s",
        "former_shortest_s",
        "window_at",
        "round_trip_s",
    )

    def __init__(self, tokens, now):
        self.factor = 1.0
        self.tokens = tokens
        self.filled_at = now
        self.adjusted_at = now
        self.shortest_s = None
        self.former_shortest_s = None
        self.window_at = now
        self.round_trip_s = None

    def note_shortest(self, round_trip_s, now):
        """Return the shortest known round trip in seconds, this one included."""
        if now - self.window_at >= WINDOW_S:
            self.former_shortest_s, self.shortest_s = self.shortest_s, None
            self.window_at = now
        if self.shortest_s is None or round_trip_s < self.shortest_s:
            self.shortest_s = round_trip_s
        if self.former_shortest_s is None:
            return self.shortest_s
        return min(self.shortest_s, self.former_shortest_s)


class LinkBudget:
    """Token buckets in bytes, one for each other region; thread-safe."""

    __slots__ = ("_clock", "_rate", "_links", "_lock")

    def __init__(self, link_bytes_per_s, clock):
        """Create the budget.

        Args:
            link_bytes_per_s: Width of the VM's link, in bytes per second.
            clock: Clock in seconds.
        """
        self._clock = clock
        self._rate = link_bytes_per_s * LINK_SHARE
        self._links = {}
        self._lock = threading.Lock()

    def allows(self, region, size):
        """Return whether a request may be sent to a region now.

        A request that is longer than the whole budget is sent when that is full.

        Args:
            region: Name of the region.
            size: Bytes of the request.
        """
        with self._lock:
            link = self._fill(region)
            return link.tokens >= min(size, self._rate * link.factor * BURST_S)

    def spend(self, region, size):
        """Count bytes that were sent to a region or received from it."""
        with self._lock:
            self._fill(region).tokens -= size

    def note_round_trip(self, region, round_trip_s):
        """Adapt the budget to a measured round trip.

        Args:
            region: Name of the region.
            round_trip_s: Its duration in seconds.
        """
        with self._lock:
            link = self._fill(region)
            now = self._clock.now()
            link.round_trip_s = round_trip_s
            queued_s = round_trip_s - link.note_shortest(round_trip_s, now)
            if now - link.adjusted_at < ADJUST_INTERVAL_S:
                return
            link.adjusted_at = now
            if queued_s > QUEUEING_S:
                link.factor = max(MIN_FACTOR, link.factor * DECREASE)
            else:
                link.factor = min(1.0, link.factor + INCREASE)

    def get_round_trip_s(self, region):
        """Return the last round trip to a region in seconds, or None."""
        with self._lock:
            return self._fill(region).round_trip_s

    def get_rate(self, region):
        """Return the bytes per second that may be exchanged with a region."""
        with self._lock:
            return self._rate * self._fill(region).factor

    def describe(self):
        """Return the fields of a log line for each region, by name of the region."""
        with self._lock:
            return {
                region: {
                    "factor": round(link.factor, 3),
                    "bytes_per_s": round(self._rate * link.factor),
                    "round_trip_s": round(link.round_trip_s or 0.0, 4),
                }
                for region, link in self._links.items()
            }

    def _fill(self, region):
        """Return the `RegionLink`, with the tokens that it has earned by now."""
        now = self._clock.now()
        link = self._links.get(region)
        if link is None:
            link = self._links[region] = RegionLink(self._rate * BURST_S, now)
        rate = self._rate * link.factor
        earned = rate * (now - link.filled_at)
        link.tokens = min(rate * BURST_S, link.tokens + earned)
        link.filled_at = now
        return link
