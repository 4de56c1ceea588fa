"""Invariants.

Checks that are always on inside the decision classes, each with a stable code.
"""

import logging

from .errors import PersimmonError

log = logging.getLogger("persimmonlane.invariants")

CODES = {
    "floor": "Ejection leaves healthy capacity at or above the floor.",
    "organisation": "A request runs only for the organisation of its key.",
    "key-hidden": "No backend server sees a key.",
    "key-withdrawn": "A withdrawn key is refused.",
    "rate": "Admissions of an organisation stay within its rate and burst.",
    "whole-answer": "A caller gets the whole answer to its own request.",
    "not-run": "A request refused as not run did not run.",
    "at-most-once": "A non-idempotent request runs at most once.",
    "leaving": "A leaving backend server gets no new work.",
    "graceful": "A planned stop cuts no request.",
    "revision": "The revision in force never falls.",
}


class InvariantError(PersimmonError):
    """An invariant does not hold."""

    code = "invariant"


class Monitor:
    """Counts the broken invariants of this process.

    Attributes:
        counts: Number of violations by code.
        listener: Called with the code at each violation, or None.
    """

    __slots__ = ("counts", "listener")

    def __init__(self):
        self.counts = dict.fromkeys(CODES, 0)
        self.listener = None

    def record(self, code, message):
        """Count and log one violation."""
        self.counts[code] += 1
        log.error("Invariants: %s does not hold: %s.", code, message)
        if self.listener is not None:
            self.listener(code)


monitor = Monitor()


def check_invariant(code, holds, message):
    """Record and raise if an invariant does not hold.

    Args:
        code: One of `CODES`.
        holds: Whether the invariant holds.
        message: Sentence on what was seen, without keys or bodies.

    Raises:
        InvariantError: If `holds` is false.
    """
    if holds:
        return
    monitor.record(code, message)
    raise InvariantError(message, code=f"invariant-{code}")
