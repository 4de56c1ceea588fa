"""Fleet settings.

The settings of a node and of the site that it belongs to.
"""

from .localities import RegionMap

BYTES_PER_MIB = 1024 * 1024


class FleetSettings:
    """Settings of a node beside a backend server.

    Attributes:
        name: Name of the node, unique in the fleet.
        ip: IP address of its VM.
        data_centre: Name of its data centre.
        caller_address: Listening address for requests of callers and for nested calls
            of the backend server, as `host:port` like the other addresses.
        peer_address: Listening address for requests from other nodes.
        readiness_address: Listening address for readiness probes.
        heartbeat_address: Listening address for heartbeats of the backend server.
        gossip_port: UDP port for announcements between nodes.
        store: Address of the platform's key-value store.
        min_lease_s: Shortest lease that the store grants, in seconds.
        server: Address of the backend server.
        service: Name of the backend server's service.
        heartbeat_s: Interval between the backend server's heartbeats, in seconds.
        document_apply_s: Seconds within which a new version of the document applies.
        key_revocation_s: Seconds within which a revoked API key is rejected.
        grace_s: Seconds between SIGTERM and SIGKILL.
        retry_ratio: Retries allowed, as a fraction of the requests.
        retry_slack: Retries allowed in addition, over the whole fleet.
        retry_window_s: Time window in which both count, in seconds.
        evacuation_s: Seconds within which an evacuation of a data centre applies.
        cold_ratio: Requests that a cold backend server may get in one second, as a
            multiple of what it names.
        cold_slack: Requests that it may get in one second in addition.
        regions: Dict of the names of the regions by data centre; empty if the site
            has no regions.
        has_evacuations: Whether operators may evacuate data centres.
        has_overload: Whether overload is in force: callers may send more than the
            backend servers can process, for longer than a burst.
        memory_bytes: Memory that the process may use, in bytes.
        max_descriptors: Number of descriptors that the process may have open.
        link_bytes_per_s: Width of the VM's link, in bytes per second.
    """

    DEFAULTS = {
        "document_apply_s": 2.0,
        "key_revocation_s": 5.0,
        "grace_s": 6.0,
        "retry_ratio": 0.1,
        "retry_slack": 10.0,
        "retry_window_s": 10.0,
        "evacuation_s": 5.0,
        "cold_ratio": 1.0,
        "cold_slack": 0.0,
    }
    # Fields that need not be given, and whose change needs a restart.
    SITE_DEFAULTS = {
        "regions": {},
        "has_evacuations": False,
        "has_overload": False,
        "memory_bytes": 300 * BYTES_PER_MIB,
        "max_descriptors": 4096,
        "link_bytes_per_s": 125_000_000.0,
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
        "document_apply_s",
        "key_revocation_s",
        "grace_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "evacuation_s",
        "cold_ratio",
        "cold_slack",
        "regions",
        "has_evacuations",
        "has_overload",
        "memory_bytes",
        "max_descriptors",
        "link_bytes_per_s",
    )

    def __init__(self, **fields):
        fields = {**self.SITE_DEFAULTS, **fields}
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def build_region_map(self):
        """Return the `RegionMap` as seen from this node's data centre."""
        return RegionMap(self.data_centre, self.regions)

    def apply_reloadable(self, other):
        """Apply the fields in `DEFAULTS`, which can change without a restart.

        Args:
            other: The newly read `FleetSettings`.

        Returns:
            Names of the other fields that differ, whose change needs a restart.
        """
        for name in self.DEFAULTS:
            setattr(self, name, getattr(other, name))
        return [
            name
            for name in self.__slots__
            if getattr(self, name) != getattr(other, name)
        ]
