"""Peers.

The record by which the other slices know a node.
"""


class Peer:
    """A node of the fleet that was heard of lately.

    Attributes:
        name: Name of the node.
        data_centre: Name of its data centre.
        rpc: IP address and port for calls between nodes.
        ingress: Whether the node takes callers' requests.
        incarnation: Number that rises with each restart.
        leaving: Whether the node has said that it stops.
    """

    __slots__ = ("name", "data_centre", "rpc", "ingress", "incarnation", "leaving")

    def __init__(
        self, name, data_centre, rpc, ingress=True, incarnation=1, leaving=False
    ):
        self.name = name
        self.data_centre = data_centre
        self.rpc = rpc
        self.ingress = ingress
        self.incarnation = incarnation
        self.leaving = leaving
