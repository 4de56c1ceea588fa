"""Settings.

What one process knows of itself; policy comes from the document alone.
"""

from typing import Annotated, Literal

import msgspec

from .errors import InputError

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Role = Literal["ingress", "sidecar"]


class HostedServer(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A backend server beside this process.

    Attributes:
        address: IP address and port of its HTTP endpoint.
        service: Name of its service.
        slots: Requests that it runs at a time; None takes the service's default.
    """

    address: Address
    service: str
    slots: int | None = None


class NodeSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one node.

    Attributes:
        name: Name of the node, unique in the fleet.
        data_centre: Name of its data centre.
        roles: Roles that the process takes.
        http: Address for callers, needed for the ingress role.
        rpc: Address for calls between nodes.
        store: Address of the platform's key-value service.
        admin: Address of the administration API, or None.
        seeds: RPC addresses of a few nodes to begin from.
        servers: Backend servers beside this process.
        fleet_token: Secret shared by the processes of the fleet.
        statsd: UDP address for metrics, or None.
        log_level: Least level that is logged.
        log_format: Form of the log lines.
        threads: Requests served at a time by the ingress role.
        trace: File to which the decisions are recorded, or None.
        trace_limit_bytes: Most bytes of that file.
    """

    name: str
    data_centre: str
    rpc: Address
    store: Address
    fleet_token: Annotated[str, msgspec.Meta(min_length=16)]
    roles: tuple[Role, ...] = ("ingress", "sidecar")
    http: Address | None = None
    admin: Address | None = None
    seeds: tuple[Address, ...] = ()
    servers: tuple[HostedServer, ...] = ()
    statsd: Address | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["text", "json"] = "text"
    threads: Annotated[int, msgspec.Meta(ge=1, le=512)] = 48
    trace: str | None = None
    trace_limit_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 64 * 1024 * 1024


def read_settings(path, model=NodeSettings):
    """Read and check a settings file.

    Raises:
        InputError: If the file can't be read or a field is unknown or wrong.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise InputError(
            f"the file can't be read: {error.strerror}",
            code="settings-unreadable",
            place=path,
        ) from error
    try:
        settings = msgspec.json.decode(data, type=model)
    except msgspec.DecodeError as error:
        raise describe_fault(error, "settings-invalid") from error
    check_roles(settings)
    return settings


def check_roles(settings):
    """Check that a node has what its roles need.

    Raises:
        InputError: If the ingress role has no address.
    """
    if "ingress" in settings.roles and settings.http is None:
        raise InputError(
            "the ingress role needs an address for callers",
            code="settings-invalid",
            place="$.http",
        )


def describe_fault(error, code):
    """Return an `InputError` with the place that msgspec names."""
    message, _, place = str(error).partition(" - at `")
    return InputError(message, code=code, place=place.rstrip("`") or "$")


def split_address(address):
    """Return host and port of an address such as `127.0.0.1:80`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
