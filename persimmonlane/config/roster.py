"""Roster.

Which nodes of the fleet a node knows, and when each was last heard by any path.
"""

import math

FORGET_S = 30.0


class Heard:
    """When a node was last heard.

    Attributes:
        name: Name of the node.
        age_s: Seconds since then; None if it never was.
        gone: Whether it said that it leaves.
    """

    __slots__ = ("name", "age_s", "gone")

    def __init__(self, name, age_s, gone=False):
        self.name = name
        self.age_s = age_s
        self.gone = gone


class Roster:
    """The nodes of the fleet but this one.

    A node that vanishes without leaving stays in the roster, so that a few nodes
    that are cut off together do not take themselves for the fleet.
    """

    __slots__ = ("_name", "_clock", "_entries")

    def __init__(self, name, clock):
        self._name = name
        self._clock = clock
        self._entries = {}

    def add(self, name):
        """Add a node that was not heard yet."""
        if name != self._name:
            self._entries.setdefault(name, (None, False))

    def hear(self, name, at, gone=False):
        """Record that a node was heard at a time; older news changes nothing.

        Args:
            name: Name of the node.
            at: Monotonic seconds, or None if it never was heard.
            gone: Whether it said that it leaves.
        """
        if name == self._name:
            return
        known, _ = self._entries.get(name, (None, False))
        if known is None or (at is not None and at > known):
            self._entries[name] = (at, gone)

    def export(self):
        """Return all entries as `Heard`."""
        now = self._clock.now()
        return tuple(
            Heard(name, None if at is None else now - at, gone)
            for name, (at, gone) in self._entries.items()
        )

    def merge(self, entries, at, within_s=math.inf):
        """Take another node's entries, exported no earlier than a time.

        Args:
            entries: The entries, as `Heard`.
            at: Monotonic seconds.
            within_s: Entries of a greater age, or of none, are left out.
        """
        for entry in entries:
            age_s = math.inf if entry.age_s is None else entry.age_s
            if age_s > within_s:
                continue
            heard_at = None if entry.age_s is None else at - entry.age_s
            self.hear(entry.name, heard_at, entry.gone)

    def compute_majority_until(self, within_s):
        """Return until when more than half of the fleet counts as heard.

        This node counts as heard; nodes that said that they leave do not count.
        With no other node heard, that time has never been.

        Args:
            within_s: Seconds for which a node counts once it was heard.
        """
        present = [at for at, gone in self._entries.values() if not gone]
        heard = sorted((at for at in present if at is not None), reverse=True)
        needed = (len(present) + 1) // 2
        if not heard or needed > len(heard):
            return -math.inf
        return heard[max(needed, 1) - 1] + within_s

    def forget(self, names):
        """Drop nodes that were not heard for long, but for those named."""
        since = self._clock.now() - FORGET_S
        self._entries = {
            name: (at, gone)
            for name, (at, gone) in self._entries.items()
            if name in names or (at is not None and at >= since)
        }
