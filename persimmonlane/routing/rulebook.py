"""Routing configuration: routes, organisations, services and caller limits.

A `Rulebook` is a decoded version of the configuration document.
"""

import enum
import itertools


class RouteKind(enum.Enum):
    """Whether requests of a route are idempotent, or upload data."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class WeightedService:
    """A service in the traffic split of a route.

    Attributes:
        service: Name of the service.
        weight: Its weight relative to the other services of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """A route, which selects requests by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case.
        prefix: Path prefix with a trailing slash.
        kind: The `RouteKind`.
        services: The `WeightedService`s, at least one.
        timeout_s: Longest time until a request is answered, in seconds.
        objective_s: Latency objective in seconds.
        max_attempts: Maximum number of backend servers that one request is sent to.
        priority: Priority of its requests; 0 is the most urgent.
        allow_anonymous: Whether requests need no API key.
        allowed_regions: Names of the only regions that may serve it, or None if all
            may.
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
        "allowed_regions",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def idempotent(self):
        """Whether requests may safely run more than once."""
        return self.kind is RouteKind.SAFE


class Organisation:
    """An organisation and its rate limit across all VMs.

    Attributes:
        name: Name of the organisation.
        rate: Requests per second; 0 means no limit.
        burst: Number of requests allowed at once beyond the rate.
        priority: Priority that takes precedence over the route's, or None.
        allowed_regions: Names of the only regions that may serve its requests, or None
            if all may.
    """

    __slots__ = ("name", "rate", "burst", "priority", "allowed_regions")

    def __init__(self, name, rate, burst, priority, allowed_regions=None):
        self.name = name
        self.rate = rate
        self.burst = burst
        self.priority = priority
        self.allowed_regions = allowed_regions


class ColdStart:
    """How the backend servers of a service start.

    Attributes:
        duration_s: Seconds for which a server is cold after its start.
        rate: Requests per second that a cold server takes, or None if it takes as many
            as a warm one.
    """

    __slots__ = ("duration_s", "rate")

    def __init__(self, duration_s=0.0, rate=None):
        self.duration_s = duration_s
        self.rate = rate


NO_COLD_START = ColdStart()


class CallerLimits:
    """Limits on callers' requests and connections.

    Attributes:
        header_bytes: Maximum size of the request line and headers, in bytes.
        body_bytes: Maximum size of a body, in bytes.
        header_timeout_s: Maximum time to receive a request's headers, in seconds.
        idle_timeout_s: Maximum time that a connection may be idle, in seconds.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(self, header_bytes, body_bytes, header_timeout_s, idle_timeout_s):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Rulebook:
    """One version of the document, indexed for lookups.

    Attributes:
        version: Version number; later versions have larger numbers.
        organisations: The `Organisation`s by name.
        limits: The `CallerLimits`.
        raw: The encoded document in bytes, as nodes pass it on.
        status_paths: Paths of the services' status checks, by service.
        cold_starts: The `ColdStart`s by service.
    """

    __slots__ = (
        "version",
        "organisations",
        "limits",
        "raw",
        "status_paths",
        "cold_starts",
        "_routes_by_host",
        "_organisations_by_key",
    )

    def __init__(
        self,
        version,
        routes,
        organisations,
        keys,
        limits,
        raw=b"",
        status_paths=None,
        cold_starts=None,
    ):
        self.version = version
        self.organisations = organisations
        self.limits = limits
        self.raw = raw
        self.status_paths = status_paths or {}
        self.cold_starts = cold_starts or {}
        self._organisations_by_key = keys
        self._routes_by_host = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(normalise_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_allowed_regions(self):
        """Return the sorted names of the regions in routes and organisations."""
        routes = itertools.chain.from_iterable(self._routes_by_host.values())
        names = set()
        for item in itertools.chain(routes, self.organisations.values()):
            names.update(item.allowed_regions or ())
        return sorted(names)

    def find_cold_start(self, service):
        """Return the `ColdStart` of a service."""
        return self.cold_starts.get(service, NO_COLD_START)

    def find_organisation(self, key):
        """Return the organisation that an API key belongs to, or None."""
        return self.organisations.get(self._organisations_by_key.get(key))


def normalise_host(host):
    """Return the host name of a Host header in lower case, without a port."""
    return host.strip().lower().rpartition("@")[2].split(":")[0]


def intersect_regions(route, organisation):
    """Return the names of the only regions that may serve a request, None for all.

    Args:
        route: The `Route`.
        organisation: The `Organisation`, or None.
    """
    allowed = None if organisation is None else organisation.allowed_regions
    if allowed is None or route.allowed_regions is None:
        return route.allowed_regions if allowed is None else allowed
    return allowed & route.allowed_regions


def choose_service(route, rng):
    """Return the name of a service, drawn at random by weight.

    Args:
        route: The `Route`.
        rng: The `random.Random` to draw with.
    """
    if len(route.services) == 1:
        return route.services[0].service
    weights = [item.weight for item in route.services]
    return rng.choices(route.services, weights)[0].service
