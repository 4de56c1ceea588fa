"""The record of a case: what was sent, answered and run, and when."""

import threading
import time


class Record:
    """Writes one line an event to `record.txt`; thread-safe.

    Attributes:
        started_at: Monotonic seconds at which the record began.
    """

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()

    def now_s(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self.started_at

    def note(self, event, **fields):
        """Write an event with its fields; return the seconds that stand with it."""
        at_s = self.now_s()
        words = [f"{name}={value}" for name, value in fields.items()]
        with self._lock:
            self._file.write(" ".join([f"{at_s:9.3f}", event, *words]) + "\n")
            self._file.flush()
        return at_s
