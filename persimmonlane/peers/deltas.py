"""Conversion between full announcements and deltas."""

import math

from .statuses import STANDINGS, Announcement, Delta, ServerLoad, ServerStatus

MS_PER_S = 1000


def build_delta(announcement):
    """Return the `Delta` of an `Announcement`; times are rounded up to milliseconds."""
    age_ms = (
        math.ceil(announcement.fresh_age_s * MS_PER_S)
        if announcement.fresh_age_s >= 0
        else -1
    )
    return Delta(
        announcement.boot,
        announcement.sequence,
        announcement.version,
        age_ms,
        announcement.echo,
        announcement.echo_boot,
        build_load(announcement.server),
        announcement.document_generation,
        announcement.store_generation,
        announcement.crash_digest,
    )


def build_load(server):
    """Return the `ServerLoad` of a `ServerStatus`, or None if that is None."""
    if server is None:
        return None
    return ServerLoad(
        server.ready,
        server.slots,
        server.running,
        server.waiting,
        STANDINGS.index(server.standing),
        math.ceil(server.cold_s * MS_PER_S),
        server.suspect,
        server.error_risk,
        server.hang_risk,
        server.limit,
        server.probing,
        server.quiet,
    )


def apply_delta(delta, known):
    """Return the full `Announcement` for a `Delta`.

    Args:
        delta: The `Delta`.
        known: An earlier `Announcement` of the same process.

    Raises:
        ValueError: If only one of the two has a backend server.
    """
    return Announcement(
        known.node,
        delta.boot,
        delta.sequence,
        known.address,
        known.data_centre,
        known.leaving,
        delta.version,
        delta.fresh_age_ms / MS_PER_S,
        delta.echo,
        delta.echo_boot,
        apply_load(delta.load, known.server),
        known.accepts_deltas,
        known.accepts_digests,
        known.revision,
        delta.document_generation,
        delta.store_generation,
        delta.crash_digest,
        known.keeps_departures,
        known.evacuations,
    )


def apply_load(load, known):
    """Return the `ServerStatus` for a `ServerLoad`, or None if there is no server.

    Args:
        load: The `ServerLoad`, or None.
        known: The `ServerStatus` of an earlier announcement, or None.

    Raises:
        ValueError: If only one of them is None.
    """
    if load is None and known is None:
        return None
    if load is None or known is None:
        raise ValueError(
            "delta does not match the backend server of the earlier announcement"
        )
    return ServerStatus(
        known.server_id,
        known.service,
        load.ready,
        load.slots,
        load.running,
        load.waiting,
        STANDINGS[load.standing],
        load.cold_ms / MS_PER_S,
        load.suspect,
        load.error_risk,
        load.hang_risk,
        load.limit,
        known.born,
        known.leaving,
        load.probing,
        load.quiet,
    )
