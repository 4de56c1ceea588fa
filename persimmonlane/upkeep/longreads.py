"""When a node reads a long document from the store itself.

Nodes get documents from each other, compressed and from nearby. The store sends them
whole, and over a narrow link to another region many nodes that read a long one at once
take seconds. So a node that meets a long answer leaves it, and reads it only if no
other node has passed the document on after a while. The moments are spread: the first
one that has it tells the others.
"""

import logging

log = logging.getLogger("persimmonlane.upkeep")

# Longer answers are left at first.
LONG_ANSWER_BYTES = 128 * 1024
# The relays read at once, and need about this time.
RELAY_TIME_S = 0.3
# Over this time the nodes of a data centre are spread that read it all the same. Nodes
# without a document wait for no relay, as they don't know each other yet.
SPREAD_S = 1.0
FIRST_SPREAD_S = 2.0


class LongReads:
    """Decides for one node; not thread-safe."""

    __slots__ = ("_rng", "_stamp", "_read_at")

    def __init__(self, rng):
        """Create the decisions.

        Args:
            rng: The `random.Random` that spreads the nodes.
        """
        self._rng = rng
        self._stamp = None
        self._read_at = 0.0

    def is_waiting(self, now, stamp):
        """Return whether the node waits for others to pass the document on.

        Args:
            now: Clock seconds.
            stamp: The `DocumentStamp` in force.
        """
        return stamp == self._stamp and now < self._read_at

    def get_limit(self, now, stamp):
        """Return the most bytes to read now, or None to read all; see `is_waiting`."""
        if stamp == self._stamp and now >= self._read_at:
            return None
        return LONG_ANSWER_BYTES

    def note_long(self, now, stamp):
        """Note that the store's answer was longer than the limit; see `is_waiting`."""
        if stamp == self._stamp:
            return
        self._stamp = stamp
        if stamp.version:
            self._read_at = now + RELAY_TIME_S + SPREAD_S * self._rng.random()
        else:
            self._read_at = now + FIRST_SPREAD_S * self._rng.random()
        log.info(
            "Upkeep: the document is long; it is read in %.2f s if no node sends it.",
            self._read_at - now,
        )
