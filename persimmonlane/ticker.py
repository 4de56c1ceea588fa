"""Periodic work of a node."""

import logging
import threading

log = logging.getLogger("persimmonlane.node")

CONTROL_INTERVAL_S = 0.1
RELOAD_INTERVAL_S = 3.0
MEMORY_LOG_INTERVAL_S = 10.0


class Ticker:
    """Thread that ticks the owner, logs the memory in use and reloads the settings."""

    __slots__ = (
        "_clock",
        "_owner",
        "_memory",
        "_servers",
        "_reloader",
        "_stopping",
        "_thread",
    )

    def __init__(self, clock, owner, memory, servers, reloader, stopping):
        """Create the ticker.

        Args:
            clock: Clock in seconds.
            owner: The `Owner`.
            memory: The `MemoryAccount` of requests and responses.
            servers: The `NodeServers`.
            reloader: The `SettingsReloader`.
            stopping: The `threading.Event` that ends the thread.
        """
        self._clock = clock
        self._owner = owner
        self._memory = memory
        self._servers = servers
        self._reloader = reloader
        self._stopping = stopping
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def _run(self):
        reload_at = self._clock.now() + RELOAD_INTERVAL_S
        memory_log_at = self._clock.now() + MEMORY_LOG_INTERVAL_S
        while not self._stopping.wait(CONTROL_INTERVAL_S):
            self._tick_owner()
            if self._clock.now() >= memory_log_at:
                memory_log_at = self._clock.now() + MEMORY_LOG_INTERVAL_S
                self._log_memory()
            if self._reloader.is_requested or self._clock.now() >= reload_at:
                self._reloader.reload()
                reload_at = self._clock.now() + RELOAD_INTERVAL_S

    def _log_memory(self):
        peak_bytes = self._memory.take_peak_bytes()
        if not peak_bytes:
            return
        log.info(
            "Node: bodies took up to %d bytes of %d.",
            peak_bytes,
            self._memory.limit_bytes,
            extra={
                "event": "memory-used",
                "peak_bytes": peak_bytes,
                "limit_bytes": self._memory.limit_bytes,
                "connections": self._servers.count_open(),
            },
        )

    def _tick_owner(self):
        try:
            self._owner.tick()
        except Exception:
            log.exception("Node: the periodic work of the owner failed.")
