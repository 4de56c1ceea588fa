"""Backend servers.

The record by which the other slices know a backend server.
"""


class BackendServer:
    """A backend server that takes new work.

    Attributes:
        address: IP address and port of its HTTP endpoint; also its name.
        service: Name of its service.
        data_centre: Name of its data centre.
        slots: Requests that it runs at a time.
        incarnation: Number that rises with each restart.
        since: Monotonic seconds, by this node's clock, at which the incarnation
            began to take work.
    """

    __slots__ = (
        "address",
        "service",
        "data_centre",
        "slots",
        "incarnation",
        "since",
    )

    def __init__(self, address, service, data_centre, slots, incarnation=1, since=0.0):
        self.address = address
        self.service = service
        self.data_centre = data_centre
        self.slots = slots
        self.incarnation = incarnation
        self.since = since
