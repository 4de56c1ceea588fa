"""Deltas.

Turns what a node says of itself into the short form and back.
"""

import math

from .messages import STANDINGS, Announcement, Delta, ServerLoad, ServerNews

MS_PER_S = 1000


def shorten(news):
    """Return the `Delta` of an `Announcement`; times are rounded up."""
    age_ms = math.ceil(news.fresh_age_s * MS_PER_S) if news.fresh_age_s >= 0 else -1
    return Delta(
        news.boot,
        news.sequence,
        news.version,
        age_ms,
        news.echo,
        news.echo_boot,
        shorten_server(news.server),
    )


def shorten_server(server):
    """Return the `ServerLoad` of a `ServerNews`, or None."""
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
    )


def expand(delta, known):
    """Return the `Announcement` of a `Delta`.

    Args:
        delta: The `Delta`.
        known: An earlier `Announcement` of the same process.

    Raises:
        ValueError: If the delta does not go with that announcement.
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
        expand_server(delta.load, known.server),
        known.takes_deltas,
    )


def expand_server(load, known):
    """Return the `ServerNews` of a `ServerLoad`, or None.

    Args:
        load: The `ServerLoad`, or None.
        known: The `ServerNews` of an earlier announcement, or None.

    Raises:
        ValueError: If only one of them is None.
    """
    if load is None and known is None:
        return None
    if load is None or known is None:
        raise ValueError("a delta tells of another backend server")
    return ServerNews(
        known.server_id,
        known.service,
        load.ready,
        load.slots,
        load.running,
        load.waiting,
        STANDINGS[load.standing],
        load.cold_ms / MS_PER_S,
        load.suspect,
    )
