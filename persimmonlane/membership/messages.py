"""Membership messages.

What the membership part tells its subscribers.
"""


class ServersChanged:
    """The backend servers that take new work have changed.

    Attributes:
        servers: All of them, as a tuple of `BackendServer`.
    """

    __slots__ = ("servers",)

    def __init__(self, servers):
        self.servers = servers


class PeersChanged:
    """The nodes that were heard of lately have changed.

    Attributes:
        peers: All of them but this one, as a tuple of `Peer`.
    """

    __slots__ = ("peers",)

    def __init__(self, peers):
        self.peers = peers


class LoadReported:
    """A sidecar has reported the load of its backend server.

    Attributes:
        address: Address of the backend server.
        running: Requests that it runs.
        waiting: Requests that wait on it.
        age_s: Seconds since the load was read.
    """

    __slots__ = ("address", "running", "waiting", "age_s")

    def __init__(self, address, running, waiting, age_s):
        self.address = address
        self.running = running
        self.waiting = waiting
        self.age_s = age_s
