"""When refused callers are asked to return.

Callers that are told the same moment come back together; the first of them gets what
the servers take by then, and the others are refused again.
"""

BACKLOG_WINDOW_S = 1.0
MIN_RETURN_S = 0.05
MAX_RETURN_S = 10.0
MIN_RATE = 0.1


class ReturnSchedule:
    """Spreads the returns of refused callers by what limited servers take.

    Not thread-safe.
    """

    __slots__ = ("_clock", "_rng", "_refused_at")

    def __init__(self, clock, rng):
        """Create the schedule.

        Args:
            clock: Clock in seconds.
            rng: The `random.Random` to draw the moments with.
        """
        self._clock = clock
        self._rng = rng
        self._refused_at = {}

    def choose_s(self, service, wait_s, limits, node_count):
        """Return the seconds after which a refused caller should return.

        Args:
            service: Name of the service.
            wait_s: Seconds until one of its servers expects to take a request.
            limits: Limits of its servers in requests per second, None for a server
                without a limit. If there is one of these, `wait_s` is all that counts.
            node_count: Number of nodes that refuse requests as this one does.
        """
        backlog = self._count_refused(service) * node_count
        if limits and None not in limits:
            spread_s = backlog / max(MIN_RATE, sum(limits))
            wait_s += spread_s * self._rng.random()
        return min(MAX_RETURN_S, max(MIN_RETURN_S, wait_s))

    def _count_refused(self, service):
        """Count a refusal; return how many there were within the window."""
        now = self._clock.now()
        recent = [
            at
            for at in self._refused_at.get(service, ())
            if now - at < BACKLOG_WINDOW_S
        ]
        self._refused_at[service] = [*recent, now]
        return len(recent)
