"""Questions.

What was asked of other nodes and is not answered yet.
"""

import random
import threading

MOST_ASKS = 1000
FIRST_LIMIT = 1 << 48


class OpenQuestions:
    """Questions by number; may be used from any thread."""

    __slots__ = ("_lock", "_last", "_wanted")

    def __init__(self):
        self._lock = threading.Lock()
        # Late answers to the process before find nothing.
        self._last = random.randrange(FIRST_LIMIT)
        self._wanted = {}

    def keep(self, wanted):
        """Return the number under which an answer finds what waits for it."""
        with self._lock:
            self._last += 1
            self._wanted[self._last] = wanted
            if len(self._wanted) > MOST_ASKS:
                self._wanted.pop(next(iter(self._wanted)))
            return self._last

    def take(self, number, cls):
        """Return what waits for an answer, or None; no second answer finds it.

        Args:
            number: Number of the question.
            cls: Class of what may wait for such an answer.
        """
        with self._lock:
            if not isinstance(self._wanted.get(number), cls):
                return None
            return self._wanted.pop(number)
