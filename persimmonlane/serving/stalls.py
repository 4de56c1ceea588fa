"""Connections that make no progress, and which of them is closed under pressure."""

import logging
import threading
import time

log = logging.getLogger("persimmonlane.serving")

# A transfer has made progress once so many more bytes were read or written, so that
# single bytes now and then do not count.
MIN_PROGRESS_BYTES = 8 * 1024
# A transfer is left alone for this long, also under pressure. Packet loss on a sound
# link causes pauses of a few hundred milliseconds.
MIN_STALL_S = 1.0


class Transfer:
    """The reading of a request, or the writing of its answer, on a connection.

    Attributes:
        group: The server of the connection.
        held_bytes: Bytes that are held for it.
        progress_at: Time of the last progress, in seconds of the tracker's clock.
        is_closed: Whether it was ended for its lack of progress.
    """

    __slots__ = (
        "group",
        "held_bytes",
        "progress_at",
        "is_closed",
        "_tracker",
        "_interrupt",
        "_pending_bytes",
    )

    def __init__(self, tracker, group, interrupt):
        """Create a transfer, which `begin` starts.

        Args:
            tracker: The `StallTracker`.
            group: The server of the connection.
            interrupt: Callable that makes the reading or writing thread go on.
        """
        self.group = group
        self.held_bytes = 0
        self.progress_at = 0.0
        self.is_closed = False
        self._tracker = tracker
        self._interrupt = interrupt
        self._pending_bytes = 0

    def begin(self, held_bytes=0):
        """Begin to read or to write.

        Args:
            held_bytes: Bytes that are held meanwhile.
        """
        self.held_bytes = held_bytes
        self._pending_bytes = 0
        self.progress_at = self._tracker.now()
        self._tracker.add(self)

    def note(self, size):
        """Note that a number of bytes was read or written."""
        self._pending_bytes += size
        if self._pending_bytes >= MIN_PROGRESS_BYTES:
            self._pending_bytes = 0
            self.progress_at = self._tracker.now()

    def end(self):
        """End the reading or writing; there may be more of it later."""
        self._tracker.discard(self)

    def close(self):
        """End the transfer; the tracker calls this under its lock."""
        self.is_closed = True
        self._interrupt()


class StallTracker:
    """The transfers of a process. Thread-safe."""

    __slots__ = ("now", "_lock", "_transfers")

    def __init__(self, now=time.monotonic):
        """Create a tracker.

        Args:
            now: Callable that returns the time in seconds.
        """
        self.now = now
        self._lock = threading.Lock()
        self._transfers = set()

    def add(self, transfer):
        """Add a `Transfer` that begins."""
        with self._lock:
            self._transfers.add(transfer)

    def discard(self, transfer):
        """Remove a `Transfer` that has ended, if it is there."""
        with self._lock:
            self._transfers.discard(transfer)

    def close_longest(self, group=None, min_held_bytes=0):
        """Close the transfer that has made no progress for longest.

        Args:
            group: The server whose workers are used up, or None for all.
            min_held_bytes: Bytes that must be held for the transfer.

        Returns:
            Whether one was closed.
        """
        now = self.now()
        with self._lock:
            candidates = [
                transfer
                for transfer in self._transfers
                if group in (None, transfer.group)
                and transfer.held_bytes >= min_held_bytes
            ]
            transfer = choose_stalled(candidates, now)
            if transfer is None:
                return False
            self._transfers.remove(transfer)
            transfer.close()
        log.warning(
            "Serving: closed a connection that made no progress for %.1f s.",
            now - transfer.progress_at,
            extra={"event": "transfer-stalled"},
        )
        return True


def choose_stalled(transfers, now):
    """Return the `Transfer` without progress for longest, None if all make progress.

    Args:
        transfers: The `Transfer`s.
        now: Time in seconds.
    """
    longest = min(transfers, key=lambda transfer: transfer.progress_at, default=None)
    if longest is None or now - longest.progress_at < MIN_STALL_S:
        return None
    return longest
