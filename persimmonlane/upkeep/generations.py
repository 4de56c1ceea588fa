"""Generations of the store.

A store that is restored from a copy has lost what was written after the copy, and gives
the same revisions and lease numbers out again. It starts a new generation then, and
names it in each of its answers.
"""

import logging
import threading

from ..errors import StoreError

log = logging.getLogger("persimmonlane.upkeep")

# Number of a generation that is not known, as of a store that names none.
UNKNOWN_GENERATION = 0
# Time after a restore in which those who wrote to the store write again what it lost.
SETTLE_S = 2.0
# So many answers in a row must contradict the generation that is known, before they
# are believed: a single one is more likely a fault.
MIN_CONTRADICTIONS = 5


class StoreRestored:
    """The store has started a new generation: numbers of the last one mean nothing.

    Attributes:
        previous: Number of the last generation, 0 if it is not known.
        generation: Number of the new generation, 0 if the store names none.
    """

    __slots__ = ("previous", "generation")

    def __init__(self, previous, generation):
        self.previous = previous
        self.generation = generation


class GenerationTracker:
    """The generation of the store, as its answers name it; thread-safe.

    Attributes:
        current: Number of the generation, 0 if it is not known.
        changed_at: Clock seconds at which this process has first seen it.
    """

    __slots__ = (
        "current",
        "changed_at",
        "_clock",
        "_lock",
        "_reported",
        "_settled_at",
        "_contradictions",
        "_listeners",
    )

    def __init__(self, clock):
        self.current = UNKNOWN_GENERATION
        self.changed_at = float("-inf")
        self._clock = clock
        self._lock = threading.Lock()
        self._reported = UNKNOWN_GENERATION
        self._settled_at = float("-inf")
        self._contradictions = 0
        self._listeners = []

    def add_listener(self, listener):
        """Register a function to call with each `StoreRestored`."""
        self._listeners.append(listener)

    def note_answer(self, named, known_before):
        """Note the generation that an answer of the store names.

        Args:
            named: Its number, 0 if the answer names none.
            known_before: The number that was known when the call was begun.

        Raises:
            StoreError: If the answer must not be used, with code `store-answer-late`
                or `store-generation-invalid`.
        """
        with self._lock:
            if named == self.current:
                self._contradictions = 0
                self._reported = named
                return
            if named < self.current:
                self._check_earlier(known_before)
            event = StoreRestored(self.current, named)
            self.current = self._reported = named
            self.changed_at = self._clock.now()
            self._settled_at = self.changed_at + SETTLE_S
            self._contradictions = 0
        if event.previous == UNKNOWN_GENERATION:
            log.info("Upkeep: the store is in generation %d.", event.generation)
        else:
            log.warning(
                "Upkeep: the store was restored: generation %d follows %d.",
                event.generation,
                event.previous,
            )
        for listener in self._listeners:
            listener(event)

    def report(self, generation):
        """Note that another node has seen a generation of the store."""
        with self._lock:
            self._reported = max(self._reported, generation)

    def is_behind(self):
        """Return whether other nodes have seen a later generation than this one.

        Their word is only a reason to ask the store.
        """
        return self._reported > self.current

    def settle(self, generation):
        """Note that a generation was settled before this process has seen it."""
        with self._lock:
            if generation == self.current:
                self._settled_at = float("-inf")

    def is_settled(self, generation, at):
        """Return whether nothing confirmed was missing in the store at a time.

        Shortly after a restore the store lacks what was confirmed and lost. Until that
        is written again, what the store holds may not be the newest.

        Args:
            generation: Number of the generation of the store.
            at: Clock seconds.
        """
        with self._lock:
            return generation == self.current and at >= self._settled_at

    def _check_earlier(self, known_before):
        if known_before != self.current:
            raise StoreError(
                "an answer of an earlier generation came late",
                code="store-answer-late",
            )
        self._contradictions += 1
        if self._contradictions < MIN_CONTRADICTIONS:
            raise StoreError(
                f"the answer names no generation or one before {self.current}",
                code="store-generation-invalid",
            )
