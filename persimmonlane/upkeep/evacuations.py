"""Evacuations of data centres in force.

The store names the data centres whose backend servers must get no requests. Each node
holds the list; a later state of the store replaces an earlier one.
"""

import logging
import threading
from typing import Annotated

import msgspec

from ..routing.metadata import Count

log = logging.getLogger("persimmonlane.upkeep")

# Longer lists are not sent, so that announcements fit into a datagram. Every node then
# asks the store itself.
MAX_SENT_NAMES = 64
MAX_SENT_CHARS = 1024
# Part of the time in which an evacuation must be in force that is left for a request
# to reach its backend server.
DISPATCH_MARGIN_S = 0.4
# The age that confirmations reach while calls take as long as they may: an interval of
# the probes and two calls. A shorter limit would refuse requests without a cause.
MIN_MAX_AGE_S = 4.2


class EvacuationList(msgspec.Struct, frozen=True, array_like=True):
    """Data centres that were evacuated at a revision of the store.

    The order of the fields is part of the wire format.

    Attributes:
        generation: Generation of the store, 0 if the store names none.
        revision: Revision of the store in that generation.
        names: Names of the data centres, sorted.
    """

    generation: Count
    revision: Count
    names: Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_SENT_NAMES)] = ()

    def fits_datagram(self):
        """Return whether the list is short enough to be sent to other nodes."""
        return (
            len(self.names) <= MAX_SENT_NAMES
            and sum(map(len, self.names)) <= MAX_SENT_CHARS
        )


class EvacuationHolder:
    """The evacuations in force at this node; thread-safe.

    Attributes:
        held: The `EvacuationList` in force, or None before the first one.
        names: Frozenset of the names of the evacuated data centres. After a restore it
            also holds those that the store names before it has settled.
        confirmed_at: Clock seconds at which the names were those in the store.
        unreachable_at: Clock seconds at which the last call began that the store did
            not answer.
    """

    __slots__ = (
        "held",
        "names",
        "confirmed_at",
        "unreachable_at",
        "_settings",
        "_clock",
        "_lock",
        "_checked_revision",
        "_unsettled",
        "_listeners",
    )

    def __init__(self, settings, clock):
        """Create the holder of a node that knows no list yet.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
        """
        self.held = None
        self.names = frozenset()
        self.confirmed_at = float("-inf")
        self.unreachable_at = float("-inf")
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        # Up to this revision, in the generation of the list, its names have not
        # changed.
        self._checked_revision = 0
        self._unsettled = None
        self._listeners = []

    def add_listener(self, listener):
        """Register a function to call after the names have changed or become known."""
        self._listeners.append(listener)

    def is_known(self):
        """Return whether the store's list was ever received."""
        return self.held is not None

    def is_evacuated(self, data_centre):
        """Return whether the backend servers of a data centre must get no requests."""
        return data_centre in self.names

    def is_current(self):
        """Return whether no evacuation can have been missed for too long.

        A node that was suspended can't tell what was written meanwhile. A node that
        has asked the store without an answer can't know more, and goes on.
        """
        max_age_s = max(MIN_MAX_AGE_S, self._settings.evacuation_s - DISPATCH_MARGIN_S)
        asked_at = max(self.confirmed_at, self.unreachable_at)
        return self._clock.now() - asked_at <= max_age_s

    def may_send_to(self, data_centre):
        """Return whether a request may be sent to a data centre's backend servers."""
        return self.is_known() and not self.is_evacuated(data_centre)

    def covers(self, generation):
        """Return whether the list is of a generation of the store."""
        held = self.held
        return held is not None and held.generation == generation

    def get_sendable(self):
        """Return the `EvacuationList` for other nodes, None if it is not sent."""
        held = self.held
        return held if held is not None and held.fits_datagram() else None

    def confirm(self, at):
        """Record that the names were those in the store at a time in seconds."""
        with self._lock:
            self.confirmed_at = max(self.confirmed_at, at)

    def note_unreachable(self, at):
        """Record that a call which began at a time in seconds was not answered."""
        with self._lock:
            self.unreachable_at = max(self.unreachable_at, at)

    def merge(self, other):
        """Adopt the `EvacuationList` of another node if it is later."""
        with self._lock:
            if self.held is not None and self._get_position() >= (
                other.generation,
                other.revision,
            ):
                return
            changed = self._replace(other)
        self._notify(changed)

    def note_listing(self, found):
        """Adopt the `EvacuationList` that the store holds in its present generation.

        It also replaces that of a later generation: the store's answers have then
        contradicted that one for long enough to be believed.
        """
        with self._lock:
            if self.covers(found.generation) and (
                found.revision < self._checked_revision
            ):
                return
            changed = self._replace(found)
        self._notify(changed)

    def note_unsettled(self, found):
        """Add the `EvacuationList` of a store that may lack what a restore has lost.

        Its evacuations apply at once. None is lifted before the store has settled.
        """
        with self._lock:
            if self.covers(found.generation):
                return
            self._unsettled = found
            changed = self._update_names()
        self._notify(changed)

    def apply_changes(self, generation, after, changes, revision):
        """Apply changes in the store; return whether they continue the list.

        Args:
            generation: Generation of the store.
            after: Revision after which all changes are given.
            changes: Pairs of the revision and of a tuple with the data centre and
                whether it is evacuated, in order.
            revision: Revision up to which they are given.
        """
        with self._lock:
            if not self.covers(generation) or after > self._checked_revision:
                return False
            names, changed_at = set(self.held.names), self.held.revision
            for changed_revision, (name, is_evacuated) in changes:
                if changed_revision <= self._checked_revision:
                    continue
                changed_at = changed_revision
                (names.add if is_evacuated else names.discard)(name)
            checked = max(self._checked_revision, revision)
            updated = EvacuationList(generation, changed_at, tuple(sorted(names)))
            changed = updated != self.held and self._replace(updated)
            self._checked_revision = checked
        self._notify(changed)
        return True

    def _get_position(self):
        return self.held.generation, self._checked_revision

    def _replace(self, found):
        """Put a list into force; return whether listeners are to be told."""
        is_first = self.held is None
        self.held = found
        self._checked_revision = found.revision
        unsettled = self._unsettled
        if unsettled is not None and unsettled.generation <= found.generation:
            self._unsettled = None
        return self._update_names() or is_first

    def _update_names(self):
        names = set(self.held.names) if self.held is not None else set()
        if self._unsettled is not None:
            names.update(self._unsettled.names)
        before, self.names = self.names, frozenset(names)
        return before != self.names

    def _notify(self, changed):
        if changed:
            for listener in self._listeners:
                listener()
