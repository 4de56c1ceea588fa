"""Fleet settings.

What a node beside a backend server knows of itself and of its site.
"""


class FleetSettings:
    """Settings of a node beside a backend server.

    Attributes:
        name: Name of the node, unique in the fleet.
        ip: Address of its VM.
        data_centre: Name of its data centre.
        caller_address: Address for callers and for the backend server's own calls.
        peer_address: Address for requests from other nodes.
        readiness_address: Address for questions whether the node is ready.
        heartbeat_address: Address for the backend server's heartbeats.
        gossip_port: UDP port for announcements between nodes.
        store: Address of the platform's key-value service.
        min_lease_s: Shortest lease that the store grants, in seconds.
        server: Address of the backend server.
        service: Name of its service.
        heartbeat_s: Interval of its heartbeats, in seconds.
        key_revocation_s: Seconds within which a withdrawn key stops working.
        grace_s: Seconds between the signals to stop and to end at once.
        retry_ratio: Second attempts allowed as a share of requests.
        retry_slack: Second attempts allowed besides, over the whole fleet.
    """

    DEFAULTS = {
        "key_revocation_s": 5.0,
        "grace_s": 6.0,
        "retry_ratio": 0.1,
        "retry_slack": 10.0,
    }

    __slots__ = (
        "name",
        "ip",
        "data_centre",
        "caller_address",
        "peer_address",
        "readiness_address",
        "heartbeat_address",
        "gossip_port",
        "store",
        "min_lease_s",
        "server",
        "service",
        "heartbeat_s",
        "key_revocation_s",
        "grace_s",
        "retry_ratio",
        "retry_slack",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def adopt(self, other):
        """Take the figures of other settings into force.

        Args:
            other: The `FleetSettings` read anew.

        Returns:
            Names of the fields that differ but need a new process.
        """
        for name in self.DEFAULTS:
            setattr(self, name, getattr(other, name))
        return [
            name
            for name in self.__slots__
            if getattr(self, name) != getattr(other, name)
        ]
