"""Configuration documents.

Decodes the platform's configuration document into a `Rulebook`, and encodes such
documents.
"""

import logging
import string
import urllib.parse
from typing import Annotated

import msgspec

from ..decoding import decode_json
from ..errors import InputError
from ..routing.rulebook import (
    CallerLimits,
    ColdStart,
    Organisation,
    Route,
    RouteKind,
    Rulebook,
    WeightedService,
    normalise_host,
)
from .headers import encode_name

log = logging.getLogger("persimmonlane.platform")

# Key of the document in the store, and the prefix under which it is watched.
DOCUMENT_KEY = "op/config"
DOCUMENT_PREFIX = "op/"
VERSION_RADIX = 16
# Nodes exchange versions as 64-bit integers.
VERSION_PATTERN = r"^[0-9A-Fa-f]{1,15}\Z"
DEFAULT_TIMEOUT_S = 30.0
# Values of `Resource.kind`; resources of other kinds are ignored.
ROUTES = "Routes"
SERVICES = "Services"
ORGANISATIONS = "Tenants"
LIMITS = "Limits"
DOCUMENT_INVALID = "document-invalid"

NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]


class TrafficSplitEntry(msgspec.Struct):
    """A service and its weight in a route's traffic split."""

    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight")


class RouteSpec(msgspec.Struct, rename="pascal"):
    """The `spec` of a route.

    A route without `traffic_split` sends all its requests to `service`.
    """

    host: str
    prefix: str
    kind: RouteKind
    # Longest time in seconds that a request may take.
    timeout_s: float = msgspec.field(name="TimeoutS", default=DEFAULT_TIMEOUT_S)
    # Latency objective in seconds; defaults to the timeout.
    target_latency_s: float | None = msgspec.field(name="TargetLatencyS", default=None)
    # 0 is the most urgent.
    priority: int = 0
    service: str | None = None
    traffic_split: list[TrafficSplitEntry] | None = None
    # Most backend servers that one request may be sent to.
    max_attempts: int = 1
    # Whether requests need no API key.
    allow_anonymous: bool = False
    # The only regions that may serve it; None or an empty list allows all.
    allowed_regions: list[str] | None = None


class ServiceSpec(msgspec.Struct):
    """The `spec` of a service."""

    # Path of the status check.
    status_path: str = msgspec.field(name="HealthPath", default="")
    # Seconds for which a backend server is cold after its start.
    cold_s: NotNegative = msgspec.field(name="ColdStartS", default=0.0)
    # Requests per second that a cold backend server takes; 0 means no limit.
    cold_per_s: NotNegative = msgspec.field(name="ColdPerS", default=0.0)


class OrganisationSpec(msgspec.Struct, rename="pascal"):
    """The `spec` of an organisation."""

    api_keys: list[str] = []
    # Overrides the priority of the route.
    priority: int | None = None
    # Requests per second in the whole fleet; None or 0 means no limit.
    rate_per_s: float | None = msgspec.field(name="RatePerS", default=None)
    # Requests allowed at once in excess of the rate.
    burst: float | None = None
    # The only regions that may serve its requests; None or an empty list allows all.
    allowed_regions: list[str] | None = None


class LimitsSpec(msgspec.Struct):
    """The `spec` of the limits on callers' requests and connections."""

    header_bytes: int = msgspec.field(name="MaxHeaderBytes", default=16384)
    body_bytes: int = msgspec.field(name="MaxBodyBytes", default=64 * 1024 * 1024)
    header_timeout_s: float = msgspec.field(name="HeaderTimeoutS", default=3.0)
    idle_timeout_s: float = msgspec.field(name="IdleTimeoutS", default=15.0)


class ResourceMetadata(msgspec.Struct):
    """The metadata of a resource."""

    name: str = msgspec.field(name="Name", default="")


class Resource(msgspec.Struct):
    """An entry of the document; `kind` determines the type of `spec`."""

    kind: str = msgspec.field(name="Type")
    spec: msgspec.Raw = msgspec.field(name="Spec")
    metadata: ResourceMetadata = msgspec.field(
        name="Metadata", default_factory=ResourceMetadata
    )


class ConfigDocument(msgspec.Struct):
    """The document in the platform's format; the version is a hexadecimal number."""

    version: Annotated[str, msgspec.Meta(pattern=VERSION_PATTERN)] = msgspec.field(
        name="Version"
    )
    resources: list[Resource] = msgspec.field(name="Resources")


def decode_document(raw):
    """Decode a document into a `Rulebook`.

    Args:
        raw: The document in bytes.

    Raises:
        InputError: If the document is invalid, with code `document-invalid` and the
            path of the invalid field as `place`.
    """
    document = decode_json(raw, ConfigDocument, DOCUMENT_INVALID)
    return build_rulebook(document, bytes(raw))


def build_rulebook(document, raw):
    """Build a `Rulebook` from a decoded document.

    Args:
        document: The `ConfigDocument`.
        raw: The same document in bytes.

    Raises:
        InputError: If the `spec` of a resource is invalid.
    """
    routes, organisations, names_by_api_key = [], {}, {}
    status_paths, cold_starts = {}, {}
    limits = LimitsSpec()
    for resource in document.resources:
        name = resource.metadata.name
        if resource.kind == ROUTES:
            routes.append(build_route(name, decode_spec(resource, RouteSpec)))
        elif resource.kind == ORGANISATIONS:
            spec = decode_spec(resource, OrganisationSpec)
            organisations[name] = build_organisation(name, spec)
            for key in spec.api_keys:
                # The bytes of UTF-8 take precedence over those of Latin-1.
                names_by_api_key[encode_name(key)] = name
                names_by_api_key.setdefault(key, name)
        elif resource.kind == SERVICES:
            spec = decode_spec(resource, ServiceSpec)
            status_paths[name] = spec.status_path
            cold_starts[name] = ColdStart(spec.cold_s, spec.cold_per_s or None)
        elif resource.kind == LIMITS:
            limits = decode_spec(resource, LimitsSpec)
    return Rulebook(
        int(document.version, VERSION_RADIX),
        routes,
        organisations,
        names_by_api_key,
        CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        raw,
        status_paths,
        cold_starts,
    )


def encode_document(version, resources):
    """Encode a document in the platform's format.

    Args:
        version: Version number of the document.
        resources: List of `Resource`s.
    """
    return msgspec.json.encode(ConfigDocument(f"{version:08x}", resources))


def build_resource(kind, name, spec):
    """Return a `Resource` with an encoded `spec`.

    Args:
        kind: Kind of the resource, such as `ROUTES`.
        name: Name of the resource.
        spec: The specification, such as a `RouteSpec`.
    """
    return Resource(
        kind, msgspec.Raw(msgspec.json.encode(spec)), ResourceMetadata(name)
    )


def decode_spec(resource, spec_type):
    """Decode the `spec` of a resource.

    Args:
        resource: The `Resource`.
        spec_type: Type to decode to, such as `RouteSpec`.

    Raises:
        InputError: If `spec` is invalid, with code `document-invalid` and the kind and
            name of the resource in `place`.
    """
    try:
        return decode_json(resource.spec, spec_type)
    except InputError as error:
        raise InputError(
            str(error),
            code=DOCUMENT_INVALID,
            place=f"$.Resources[{resource.kind} {resource.metadata.name}]",
        ) from error


def encode_host(host):
    """Return a host in the form in which callers send it, which is ASCII."""
    if host.isascii():
        return host
    try:
        return host.encode("idna").decode("ascii")
    except UnicodeError as error:
        log.warning("Platform: host %r has no form in ASCII: %s.", host, error)
        return host


def build_route(name, spec):
    """Build a `Route` from its name and `RouteSpec`."""
    services = [
        WeightedService(entry.service, entry.weight)
        for entry in spec.traffic_split or ()
    ]
    if not services:
        services = [WeightedService(spec.service, 1.0)]
    return Route(
        name=name,
        host=encode_host(normalise_host(spec.host)),
        prefix=urllib.parse.quote(spec.prefix, safe=string.printable),
        kind=spec.kind,
        services=services,
        timeout_s=spec.timeout_s,
        objective_s=spec.target_latency_s or spec.timeout_s,
        max_attempts=spec.max_attempts,
        priority=spec.priority,
        allow_anonymous=spec.allow_anonymous,
        allowed_regions=build_regions(spec.allowed_regions),
    )


def build_organisation(name, spec):
    """Build an `Organisation` from its name and `OrganisationSpec`."""
    return Organisation(
        name,
        spec.rate_per_s or 0.0,
        spec.burst or 0.0,
        spec.priority,
        build_regions(spec.allowed_regions),
    )


def build_regions(names):
    """Return a set of the names of regions, or None if there is no restriction."""
    return frozenset(names) if names else None
