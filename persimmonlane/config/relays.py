"""Relays.

The few nodes of a data centre that follow the store for the others.
"""

import hashlib

RELAYS = 2
STANDBYS = 2


def rank_node(name, data_centre, peers):
    """Return the place of a node among those of its data centre, from 0.

    Rendezvous hashing: each node has the same score wherever it is computed, so
    nodes that know the same peers choose the same relays.

    Args:
        name: Name of the node.
        data_centre: Name of its data centre.
        peers: The `Peer`s heard of lately.
    """
    own = compute_score(data_centre, name)
    return sum(
        1
        for peer in peers
        if peer.data_centre == data_centre
        and compute_score(data_centre, peer.name) < own
    )


def choose_relays(data_centre, peers):
    """Return the names of the peers in a data centre with the lowest scores."""
    names = [peer.name for peer in peers if peer.data_centre == data_centre]
    names.sort(key=lambda name: compute_score(data_centre, name))
    return names[:RELAYS]


def compute_score(data_centre, name):
    """Return the score of a node; the lowest scores make the relays."""
    return hashlib.blake2b(f"{data_centre}/{name}".encode(), digest_size=8).digest()
