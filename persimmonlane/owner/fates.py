"""Fates.

Which requests were handed to the backend server, and which never will be. Answers hops
that break while nobody can tell whether a request has run.
"""

# Longer than a request can last.
KEPT_S = 60.0


class Fates:
    """What became of the requests of late; not thread-safe."""

    __slots__ = ("_clock", "_handed", "_withdrawn")

    def __init__(self, clock):
        self._clock = clock
        # Both hold the seconds of each entry, the oldest first.
        self._handed = {}
        self._withdrawn = {}

    def hand(self, request_id):
        """Note that a request goes to the backend server now.

        Returns:
            Whether it may; a request that was withdrawn may not.
        """
        if request_id in self._withdrawn:
            return False
        self._note(self._handed, request_id)
        return True

    def withdraw(self, request_id):
        """Keep a request from the backend server from now on.

        Returns:
            Whether it was never handed over, and so never runs.
        """
        if request_id in self._handed:
            return False
        self._note(self._withdrawn, request_id)
        return True

    def _note(self, entries, request_id):
        now = self._clock.now()
        entries.pop(request_id, None)
        entries[request_id] = now
        while entries[oldest := next(iter(entries))] < now - KEPT_S:
            del entries[oldest]
