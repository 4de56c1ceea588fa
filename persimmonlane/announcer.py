"""Announcements of a node to the other nodes."""

import threading

from .actors import Tick
from .peers.gossip import ANNOUNCE_S


class Announcer:
    """Sends the announcements of the node, periodically and after each change."""

    __slots__ = ("_gossip", "_rng", "_wake_event", "_stopped", "_thread")

    def __init__(self, gossip, rng):
        self._gossip = gossip
        self._rng = rng
        self._wake_event = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread that sends announcements."""
        self._thread.start()

    def stop(self):
        """Stop the thread."""
        self._stopped = True
        self._wake_event.set()

    def wake(self):
        """Send the next announcement without delay."""
        self._wake_event.set()

    def _run(self):
        tick = Tick()
        while not self._stopped:
            self._gossip.tell(tick)
            self._wake_event.wait(ANNOUNCE_S * (0.9 + 0.2 * self._rng()))
            self._wake_event.clear()
