"""Choice of the nodes that relay for their data centre.

Rendezvous hashing names them from the live nodes, without an election. Two nodes that
both take themselves for a relay only do the same work twice.
"""

from ..quotas.buckets import compute_weight

# A second relay bridges the time until the loss of the first is noticed.
RELAY_COUNT = 2


def rank_relays(data_centre, names, count=RELAY_COUNT):
    """Return the names of a data centre's relays, the first choice first.

    Args:
        data_centre: Name of the data centre.
        names: Names of its live nodes that are not leaving.
        count: Largest number of relays.
    """
    ranked = sorted(
        names, key=lambda name: compute_weight(data_centre, name), reverse=True
    )
    return ranked[:count]
