"""Conversion between announcements and the states of nodes in a digest."""

import math

from .deltas import apply_load, build_load
from .statuses import Announcement, Member, MemberState, strip_evacuations

DS_PER_S = 10
# Members in one datagram: their states, or whole announcements, which are longer.
STATES_PER_DATAGRAM = 60
ANNOUNCEMENTS_PER_DATAGRAM = 8


def build_member_state(announcement, age_s):
    """Return the `MemberState` of a node.

    Args:
        announcement: The node's newest `Announcement`.
        age_s: Seconds since it was received.
    """
    return MemberState(
        announcement.boot,
        announcement.revision,
        announcement.sequence,
        round_age_up(age_s),
        announcement.leaving,
        build_load(announcement.server),
    )


def build_member(announcement, age_s):
    """Return the `Member` of a node; the arguments are those of a `MemberState`."""
    return Member(strip_evacuations(announcement), round_age_up(age_s))


def round_age_up(age_s):
    """Return an age in tenths of a second, never smaller than it is."""
    return max(0, math.ceil(age_s * DS_PER_S))


def matches_state(announcement, state):
    """Return whether a `MemberState` can be applied to a known `Announcement`."""
    return announcement.revision == state.revision and (
        (announcement.server is None) == (state.load is None)
    )


def apply_member_state(state, known):
    """Return the `Announcement` of a node that a `MemberState` updates.

    Args:
        state: The `MemberState`.
        known: An earlier `Announcement` of the same process and revision.

    Raises:
        ValueError: If only one of the two has a backend server.
    """
    return Announcement(
        known.node,
        known.boot,
        state.sequence,
        known.address,
        known.data_centre,
        state.leaving,
        known.version,
        known.fresh_age_s,
        known.echo,
        known.echo_boot,
        apply_load(state.load, known.server),
        known.accepts_deltas,
        known.accepts_digests,
        known.revision,
        known.document_generation,
        known.store_generation,
        known.crash_digest,
        known.keeps_departures,
        known.evacuations,
    )


def split(items, size):
    """Return the consecutive parts of a list; a single empty one of an empty list.

    Args:
        items: The list.
        size: Largest length of a part.
    """
    return [items[at : at + size] for at in range(0, len(items), size)] or [[]]
