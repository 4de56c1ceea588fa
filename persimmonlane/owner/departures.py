"""What processes of backend servers have said of leaving.

A check-in may reach the node after the departure that followed it, also once the node
has been restarted, so departures outlive the heartbeats of their processes.
"""

import threading

# Each process of a backend server departs once.
MAX_DEPARTURES = 64


class Departure:
    """A process of a backend server that has said that it leaves.

    Attributes:
        server_id: Identifier of the backend server.
        born: Unix milliseconds of the start of its process, or None if that is not
            known.
        heard_ms: Unix milliseconds at which it said so.
    """

    __slots__ = ("server_id", "born", "heard_ms")

    def __init__(self, server_id, born, heard_ms):
        self.server_id = server_id
        self.born = born
        self.heard_ms = heard_ms

    @property
    def is_exact(self):
        """Whether it is known which process it was, not only that it ran then."""
        return self.born is not None

    def binds(self, heartbeat):
        """Return whether the process that sent a `Heartbeat` is to get no requests.

        A process that departed had started before; its successor under the same
        identifier starts later.
        """
        if heartbeat.server_id != self.server_id:
            return False
        if self.is_exact:
            return heartbeat.born == self.born
        return heartbeat.born <= self.heard_ms

    def covers(self, other):
        """Return whether all processes are bound that another `Departure` binds."""
        if self.server_id != other.server_id or self.is_exact != other.is_exact:
            return False
        if self.is_exact:
            return self.born == other.born
        return self.heard_ms >= other.heard_ms


class Departures:
    """The `Departure`s that this node knows of; thread-safe.

    When there are more than `MAX_DEPARTURES`, the oldest is forgotten.
    """

    __slots__ = ("_lock", "_departures")

    def __init__(self):
        self._lock = threading.Lock()
        self._departures = ()

    def add(self, departure):
        """Add a `Departure`; return whether it binds a process that was not bound."""
        with self._lock:
            if any(known.covers(departure) for known in self._departures):
                return False
            kept = [item for item in self._departures if not departure.covers(item)]
            self._departures = (*kept, departure)[-MAX_DEPARTURES:]
            return True

    def find(self, heartbeat):
        """Return a `Departure` that binds the sender of a `Heartbeat`, or None.

        One that names the process goes before one that does not.
        """
        found = [item for item in self._departures if item.binds(heartbeat)]
        return max(found, key=lambda item: item.is_exact, default=None)

    def names(self, heartbeat):
        """Return whether a departure names the process that sent a `Heartbeat`."""
        found = self.find(heartbeat)
        return found is not None and found.is_exact

    def find_last_born(self):
        """Return the start of the newest process that is known to depart, or None."""
        born = [item.born for item in self._departures if item.is_exact]
        return max(born, default=None)

    def list(self):
        """Return the `Departure`s in a tuple, the oldest first."""
        return self._departures
