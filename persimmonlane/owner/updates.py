"""Updates of what is known of the local backend server's process."""

import logging

log = logging.getLogger("persimmonlane.owner")


class ServerUpdates:
    """Applies heartbeats and departures of the backend server; thread-safe."""

    __slots__ = (
        "_lock",
        "_hosted",
        "_admission_queue",
        "_crashes",
        "_reset",
        "_update_slots",
        "_on_change",
    )

    def __init__(
        self, lock, hosted, admission_queue, crashes, reset, update_slots, on_change
    ):
        """Create the updates.

        Args:
            lock: Lock of the owner, which guards the server and the queue.
            hosted: The `HostedServer`.
            admission_queue: The `AdmissionQueue`.
            crashes: The `CrashObserver`.
            reset: Callable that is called with the lock after another process has
                come into use.
            update_slots: Callable that is called with the lock after each update.
            on_change: Callable that is called without the lock after the server's
                status has changed.
        """
        self._lock = lock
        self._hosted = hosted
        self._admission_queue = admission_queue
        self._crashes = crashes
        self._reset = reset
        self._update_slots = update_slots
        self._on_change = on_change

    def apply(self, change, *arguments):
        """Change what is known of the backend server.

        Args:
            change: Method of the `HostedServer` that returns whether it has changed.
            arguments: Its arguments.
        """
        with self._lock:
            before, held_before = self._hosted.current, self._hosted.newcomers.held
            changed = change(*arguments)
            current, held = self._hosted.current, self._hosted.newcomers.held
            is_new = changed and (before is None or before.born != current.born)
            if is_new:
                self._reset()
            if current is not before:
                self._admission_queue.cold.note_heartbeat(current.cold_s)
            self._update_slots()
        if not changed:
            if held is not None and held_before is None:
                log.info("Owner: %s waits for what is known of it.", held.server_id)
                self._on_change()
            return
        log.info("Owner: %s is %s.", current.server_id, self._describe_state())
        if is_new and before is not None:
            self._crashes.note_started(before)
        self._on_change()

    def apply_departure(self, server_id, born):
        """Apply the departure of the backend server; return whether it was believed.

        Args:
            server_id: Identifier of the backend server that departs.
            born: Unix milliseconds of its start, or None if not given.
        """
        with self._lock:
            known = self._hosted.departures.list()
            is_believed = self._hosted.may_depart(server_id, born)
            changed = self._hosted.apply_departure(server_id, born)
            self._update_slots()
        if changed:
            log.info("Owner: %s has departed.", server_id)
            self._on_change()
        elif known != self._hosted.departures.list():
            log.info(
                "Owner: %s, born %s, says that it leaves; in use is %s.",
                server_id,
                born,
                self._describe_current(),
                extra={"event": "departure-of-another"},
            )
        return is_believed

    def _describe_state(self):
        return "leaving" if self._hosted.is_leaving() else "ready"

    def _describe_current(self):
        current = self._hosted.current
        return "none" if current is None else f"{current.server_id}, {current.born}"
