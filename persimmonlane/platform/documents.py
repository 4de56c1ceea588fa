"""Documents.

Decodes the platform's configuration into a `Rulebook`.
"""

import msgspec

from ..errors import InputError
from ..routing.rulebook import (
    CallerLimits,
    Organisation,
    Route,
    RouteKind,
    Rulebook,
    WeightedService,
    normalise_host,
)
from ..settings import build_input_error

DOCUMENT_KEY = "op/config"
DOCUMENT_PREFIX = "op/"
VERSION_BASE = 16
DEFAULT_TIMEOUT_S = 30.0
# Kinds of entries.
ROUTES = "Routes"
ORGANISATIONS = "Tenants"
LIMITS = "Limits"


class SplitRow(msgspec.Struct):
    """One part of a split."""

    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight")


class RouteSpec(msgspec.Struct, rename="pascal"):
    """A route as the platform writes it."""

    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float = msgspec.field(name="TimeoutS", default=DEFAULT_TIMEOUT_S)
    target_latency_s: float | None = msgspec.field(name="TargetLatencyS", default=None)
    priority: int = 0
    service: str | None = None
    traffic_split: list[SplitRow] | None = None
    max_attempts: int = 1
    allow_anonymous: bool = False


class OrganisationSpec(msgspec.Struct, rename="pascal"):
    """An organisation as the platform writes it."""

    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = msgspec.field(name="RatePerS", default=None)
    burst: float | None = None


class LimitsSpec(msgspec.Struct):
    """Bounds on callers as the platform writes them."""

    header_bytes: int = msgspec.field(name="MaxHeaderBytes", default=16384)
    body_bytes: int = msgspec.field(name="MaxBodyBytes", default=64 * 1024 * 1024)
    header_timeout_s: float = msgspec.field(name="HeaderTimeoutS", default=3.0)
    idle_timeout_s: float = msgspec.field(name="IdleTimeoutS", default=15.0)


class NameRow(msgspec.Struct):
    """The part of an entry that names it."""

    name: str = msgspec.field(name="Name", default="")


class Resource(msgspec.Struct):
    """An entry of the document; `kind` tells how `spec` reads."""

    kind: str = msgspec.field(name="Type")
    spec: msgspec.Raw = msgspec.field(name="Spec")
    meta: NameRow = msgspec.field(name="Metadata", default_factory=NameRow)


class WireDocument(msgspec.Struct):
    """The document as the platform writes it; the version is in hexadecimal."""

    version: str = msgspec.field(name="Version")
    resources: list[Resource] = msgspec.field(name="Resources")


def decode_document(raw):
    """Return the `Rulebook` of a document.

    Args:
        raw: The document in bytes.

    Raises:
        InputError: With code `document-invalid` and the place of the fault.
    """
    try:
        document = msgspec.json.decode(raw, type=WireDocument)
        return build_rulebook(document, bytes(raw))
    except msgspec.MsgspecError as error:
        raise build_input_error(error, "document-invalid") from error
    except ValueError as error:
        raise InputError(
            "the version is not a hexadecimal number",
            code="document-invalid",
            place="$.Version",
        ) from error


def build_rulebook(document, raw):
    """Return the `Rulebook` of a decoded document."""
    routes, organisations, keys = [], {}, {}
    limits = LimitsSpec()
    for resource in document.resources:
        name = resource.meta.name
        if resource.kind == ROUTES:
            routes.append(build_route(name, decode_spec(resource, RouteSpec)))
        elif resource.kind == ORGANISATIONS:
            spec = decode_spec(resource, OrganisationSpec)
            organisations[name] = build_organisation(name, spec)
            keys.update(dict.fromkeys(spec.api_keys, name))
        elif resource.kind == LIMITS:
            limits = decode_spec(resource, LimitsSpec)
    return Rulebook(
        int(document.version, VERSION_BASE),
        routes,
        organisations,
        keys,
        CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        raw,
    )


def encode_document(version, resources):
    """Return a document in bytes, as the operator writes it.

    Args:
        version: Number of the version.
        resources: The `Resource`s.
    """
    return msgspec.json.encode(WireDocument(f"{version:08x}", resources))


def build_resource(kind, name, spec):
    """Return the `Resource` of a specification."""
    return Resource(kind, msgspec.Raw(msgspec.json.encode(spec)), NameRow(name))


def decode_spec(resource, model):
    """Return an entry's `spec` in its typed form.

    Raises:
        InputError: With code `document-invalid` and the entry's name.
    """
    try:
        return msgspec.json.decode(resource.spec, type=model)
    except msgspec.MsgspecError as error:
        raise InputError(
            str(error),
            code="document-invalid",
            place=f"$.Resources[{resource.kind} {resource.meta.name}]",
        ) from error


def build_route(name, spec):
    """Return the `Route` of a decoded entry."""
    services = [
        WeightedService(row.service, row.weight) for row in spec.traffic_split or ()
    ]
    if not services:
        services = [WeightedService(spec.service, 1.0)]
    return Route(
        name=name,
        host=normalise_host(spec.host),
        prefix=spec.prefix,
        kind=spec.kind,
        services=services,
        timeout_s=spec.timeout_s,
        objective_s=spec.target_latency_s or spec.timeout_s,
        max_attempts=spec.max_attempts,
        priority=spec.priority,
        allow_anonymous=spec.allow_anonymous,
    )


def build_organisation(name, spec):
    """Return the `Organisation` of a decoded entry."""
    return Organisation(name, spec.rate_per_s or 0.0, spec.burst or 0.0, spec.priority)
