"""Queries to other nodes that are waiting for a response."""

import random
import threading

MAX_PENDING = 1000
FIRST_ID_LIMIT = 1 << 48


class PendingQueries:
    """Commands that wait for a response, by correlation identifier; thread-safe.

    When more than `MAX_PENDING` wait, the oldest is dropped.
    """

    __slots__ = ("_lock", "_last_id", "_pending")

    def __init__(self):
        self._lock = threading.Lock()
        # A random start keeps late responses to the previous process from matching.
        self._last_id = random.randrange(FIRST_ID_LIMIT)
        self._pending = {}

    def add(self, command):
        """Store a command and return the correlation identifier for its response."""
        with self._lock:
            self._last_id += 1
            self._pending[self._last_id] = command
            if len(self._pending) > MAX_PENDING:
                self._pending.pop(next(iter(self._pending)))
            return self._last_id

    def find(self, correlation_id, command_class):
        """Return the command that waits for several responses; see `pop`."""
        with self._lock:
            command = self._pending.get(correlation_id)
            return command if isinstance(command, command_class) else None

    def pop(self, correlation_id, command_class):
        """Remove and return the command that waits for a response.

        Args:
            correlation_id: Correlation identifier from the response.
            command_class: Class of the commands that such a response may answer.

        Returns:
            The command, or None if none of that class waits under the identifier, for
            instance because it was answered already.
        """
        with self._lock:
            if not isinstance(self._pending.get(correlation_id), command_class):
                return None
            return self._pending.pop(correlation_id)
