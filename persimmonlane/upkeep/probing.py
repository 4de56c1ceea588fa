"""When a node asks the store whether its document is still the newest."""

PROBE_INTERVAL_S = 1.2
# Part of the time in which a new version must be in force that is left for reading it.
READ_MARGIN_S = 0.4
# Keeps the nodes from asking at the same moment when their relays fall silent: the
# first one tells the others.
ASK_SPREAD_S = 0.3
# Between two probes of a node, if the first one confirmed nothing.
MIN_GAP_S = 0.7
# The shortest age that the confirmations of a relay have when they arrive.
MIN_MAX_AGE_S = 0.5


class ProbeSchedule:
    """Decides when a node probes the store.

    A relay does so regularly. The others rely on the relays, but only as long as a new
    version that the relays miss can still be in force in time: a relay that is frozen
    or cut off from the store looks alive for a while.
    """

    __slots__ = ("_settings", "_spread_s", "_probed_at", "_has_evacuations")

    def __init__(self, settings, rng, has_evacuations=False):
        """Create the schedule.

        Args:
            settings: The `FleetSettings`.
            rng: The `random.Random` that spreads the nodes.
            has_evacuations: Whether a probe also asks for evacuations, which must be
                in force in their own time.
        """
        self._has_evacuations = has_evacuations
        self._settings = settings
        self._spread_s = ASK_SPREAD_S * rng.random()
        self._probed_at = float("-inf")

    def is_due(self, now, age_s, is_relay):
        """Return whether to probe now.

        Args:
            now: Clock seconds.
            age_s: Seconds since the document was last confirmed as the newest.
            is_relay: Callable that tells whether this node probes for the others.
        """
        pause_s = now - self._probed_at
        if age_s > self._compute_max_age_s():
            return pause_s >= MIN_GAP_S
        return pause_s >= PROBE_INTERVAL_S and is_relay()

    def note_probe(self, now):
        """Record that the node has probed at a time in seconds."""
        self._probed_at = now

    def _compute_max_age_s(self):
        apply_s = self._settings.document_apply_s
        if self._has_evacuations:
            apply_s = min(apply_s, self._settings.evacuation_s)
        return max(MIN_MAX_AGE_S, apply_s - READ_MARGIN_S) - self._spread_s
