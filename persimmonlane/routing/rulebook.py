"""Rulebook.

The document in force as the nodes use it: routes, organisations, services, limits.
"""

import enum


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class WeightedService:
    """A service's part of a route.

    Attributes:
        service: Name of the service.
        weight: Its weight among the parts.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """Requests that are handled alike.

    Attributes:
        name: Name of the route.
        host: Host in lower case.
        prefix: Beginning of the path, with a slash at its end.
        kind: The `RouteKind`.
        services: The `WeightedService`s, one at least.
        timeout_s: Longest time that a request is kept waiting.
        objective_s: Latency objective in seconds.
        max_attempts: Most backend servers that one request may be sent to.
        priority: Rank, 0 is the most urgent.
        allow_anonymous: Whether requests need no key.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "services",
        "timeout_s",
        "objective_s",
        "max_attempts",
        "priority",
        "allow_anonymous",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE


class Organisation:
    """An organisation and its rate over all VMs.

    Attributes:
        name: Name of the organisation.
        rate: Requests per second; 0 means no limit.
        burst: Requests beyond the rate at once.
        priority: Rank that goes before the route's, or None.
    """

    __slots__ = ("name", "rate", "burst", "priority")

    def __init__(self, name, rate, burst, priority):
        self.name = name
        self.rate = rate
        self.burst = burst
        self.priority = priority


class CallerLimits:
    """Bounds on what callers may send.

    Attributes:
        header_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a body.
        header_timeout_s: Most seconds for a request's head.
        idle_timeout_s: Most seconds that a connection may be idle.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(self, header_bytes, body_bytes, header_timeout_s, idle_timeout_s):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Rulebook:
    """One version of the document, ready for look-ups.

    Attributes:
        version: Number of the version; later ones are larger.
        organisations: The `Organisation`s by name.
        limits: The `CallerLimits`.
        raw: The document in bytes, as it is passed on between nodes.
    """

    __slots__ = ("version", "organisations", "limits", "raw", "_by_host", "_by_key")

    def __init__(self, version, routes, organisations, keys, limits, raw=b""):
        self.version = version
        self.organisations = organisations
        self.limits = limits
        self.raw = raw
        self._by_key = keys
        self._by_host = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find_route(self, host, path):
        """Return the route of the longest prefix, or None."""
        for route in self._by_host.get(normalise_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key):
        """Return the organisation that holds a key, or None."""
        return self.organisations.get(self._by_key.get(key))


def normalise_host(host):
    """Return a Host header's name in lower case, without a port."""
    return host.strip().lower().rpartition("@")[2].split(":")[0]


def choose_service(route, rng):
    """Return the service for a request, in the proportion of the weights."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [part.weight for part in route.services]
    return rng.choices(route.services, weights)[0].service
