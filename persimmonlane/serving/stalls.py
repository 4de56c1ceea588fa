"""Connections that make no progress, and which of them is closed under pressure."""

import logging
import math
import threading
import time

log = logging.getLogger("persimmonlane.serving")

# A transfer has made progress once so many more bytes were read or written, so that
# single bytes now and then do not count.
MIN_PROGRESS_BYTES = 8 * 1024
# A transfer is left alone for this long, also under pressure. Packet loss on a sound
# link causes pauses of a few hundred milliseconds.
MIN_STALL_S = 1.0
# The same for an answer, which can't be had again if the request may run only once.
MIN_ANSWER_STALL_S = 5.0


class Transfer:
    """The reading of a request, or the writing of its answer, on a connection.

    Attributes:
        group: The server of the connection.
        held_bytes: Bytes that are held for it.
        is_answer: Whether an answer is written.
        has_worker: Whether a worker waits for it.
        progress_at: Time of the last progress, in seconds of the tracker's clock.
        deadline: Time in seconds at which the caller ceases to wait for the answer.
        is_closed: Whether it was ended for its lack of progress.
    """

    __slots__ = (
        "group",
        "held_bytes",
        "is_answer",
        "has_worker",
        "progress_at",
        "deadline",
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
        self.is_answer = False
        self.has_worker = True
        self.progress_at = 0.0
        self.deadline = math.inf
        self.is_closed = False
        self._tracker = tracker
        self._interrupt = interrupt
        self._pending_bytes = 0

    def begin(self, held_bytes=0):
        """Begin to read a request.

        Args:
            held_bytes: Bytes that are held meanwhile.
        """
        self._begin(held_bytes, False, math.inf)

    def begin_answer(self, held_bytes, left_s=math.inf):
        """Begin to write an answer.

        Args:
            held_bytes: Bytes that are held meanwhile.
            left_s: Seconds until the caller ceases to wait for it.
        """
        self._begin(held_bytes, True, self._tracker.now() + left_s)

    def _begin(self, held_bytes, is_answer, deadline):
        self.held_bytes = held_bytes
        self.is_answer = is_answer
        self.has_worker = True
        self.deadline = deadline
        self._pending_bytes = 0
        self.progress_at = self._tracker.now()
        self._tracker.add(self)

    def note(self, size):
        """Note that a number of bytes was read or written."""
        self._pending_bytes += size
        if self._pending_bytes >= MIN_PROGRESS_BYTES:
            self._pending_bytes = 0
            self.progress_at = self._tracker.now()

    def occupies(self, group):
        """Return whether a worker of a server waits for it."""
        return self.has_worker and self.group is group

    def end(self):
        """End the reading or writing; there may be more of it later."""
        self._tracker.discard(self)

    def compute_overdue_s(self, now):
        """Return for how many seconds it could have been closed under pressure.

        Args:
            now: Time in seconds.
        """
        min_stall_s = MIN_ANSWER_STALL_S if self.is_answer else MIN_STALL_S
        return max(now - self.progress_at - min_stall_s, now - self.deadline)

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
                if (group is None or transfer.occupies(group))
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
    """Return the `Transfer` that is overdue for longest, None if none is.

    Args:
        transfers: The `Transfer`s.
        now: Time in seconds.
    """
    overdue = [item for item in transfers if item.compute_overdue_s(now) >= 0]
    return max(overdue, key=lambda item: item.compute_overdue_s(now), default=None)
