"""Polling of the local backend server's status.

Decides when the backend server is asked for its status, and applies its answers.
"""

import logging

from .newcomers import Condition, ServerStatement

log = logging.getLogger("persimmonlane.owner")


class StatusPoller:
    """Polls the status of held-back processes and of cold servers; thread-safe."""

    __slots__ = (
        "_lock",
        "_hosted",
        "_admission_queue",
        "_status_check",
        "_find_path",
        "_updates",
        "_on_change",
    )

    def __init__(
        self,
        lock,
        hosted,
        admission_queue,
        status_check,
        find_path,
        updates,
        on_change,
    ):
        """Create the poller.

        Args:
            lock: Lock of the owner, which guards the server and the queue.
            hosted: The `HostedServer`.
            admission_queue: The `AdmissionQueue`.
            status_check: The `StatusCheck`.
            find_path: Callable that returns the path of the status check; empty if the
                server has none, None if that is not known yet.
            updates: The `ServerUpdates`.
            on_change: Callable that is called without the lock after the server has
                become cold or warm.
        """
        self._lock = lock
        self._hosted = hosted
        self._admission_queue = admission_queue
        self._status_check = status_check
        self._find_path = find_path
        self._updates = updates
        self._on_change = on_change

    def check_newcomer(self):
        """Ask a process that is held back for its status, if it is time to."""
        path = self._find_path()
        if path is None:
            return
        with self._lock:
            heartbeat = self._hosted.newcomers.begin_check()
        if heartbeat is None:
            return
        if not path:
            absent = ServerStatement("", Condition.ABSENT)
            self._note_statement(heartbeat, absent)
            return
        self._status_check.begin(
            path, lambda statement: self._note_statement(heartbeat, statement)
        )

    def check_cold(self):
        """Ask the backend server whether it is cold, if this is to be known now."""
        path = self._find_path()
        if not path:
            return
        with self._lock:
            asked_at = self._admission_queue.cold.begin_check()
            current = self._hosted.current
        if asked_at is not None:
            self._status_check.begin(
                path,
                lambda statement: self._note_cold(asked_at, current, statement),
            )

    def _note_statement(self, heartbeat, statement):
        with self._lock:
            self._hosted.newcomers.note_statement(heartbeat, statement)
        if statement.condition is Condition.ILL:
            log.info("Owner: %s says that it leaves or fails.", heartbeat.server_id)
        self._updates.apply(self._hosted.use_newcomer)

    def _note_cold(self, asked_at, incarnation, statement):
        with self._lock:
            if statement.is_cold_malformed:
                self._admission_queue.cold.note_malformed()
            is_same = self._hosted.is_incarnation(incarnation)
            is_same = is_same and statement.server_id == incarnation.server_id
            changed = self._admission_queue.cold.note_statement(
                asked_at, statement.cold_s if is_same else None
            )
            self._admission_queue.admit_waiting()
        if changed:
            is_cold = statement.cold_s > 0.0
            log.info("Owner: the backend server is %s.", "cold" if is_cold else "warm")
            self._on_change()
