"""Platform settings file.

Decodes the platform's settings file into `FleetSettings`.
"""

import os
from typing import Annotated

import msgspec
import yaml

from ..decoding import decode_yaml
from ..errors import InputError
from ..fleetsettings import BYTES_PER_MIB, FleetSettings

PATH_ENV_VARIABLE = "PERSIMMONLANE_CONFIG"
DEFAULT_PATH = "/etc/persimmonlane/node.yaml"
# Names in `SettingsFile.contracts`: parts of the operators' rules that are in force.
EVACUATIONS = "places"
OVERLOAD = "pressure"
BYTES_PER_MBIT = 125_000.0


Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class ListenSettings(msgspec.Struct, rename="pascal"):
    """Addresses that the process listens on, each as `host:port`."""

    # For requests from other nodes.
    inbound: str
    # For callers, and for the backend server's own outgoing requests.
    outbound: str
    # For readiness checks.
    readiness: str
    # For the backend server's heartbeats.
    control: str


class StoreSettings(msgspec.Struct, rename="pascal"):
    """Settings of the platform's key-value service."""

    address: str
    # Shortest lease that the service grants, in seconds.
    ttl_min_s: float = msgspec.field(name="TtlMinS", default=1.0)


class LimitSettings(msgspec.Struct, rename="pascal"):
    """What the process may use of its VM."""

    # Memory in MiB.
    memory_mb: Positive = 300
    max_fds: Positive = 4096
    # Width of the VM's link in Mbit/s.
    link_mbps: Positive = 1000.0


class SettingsFile(msgspec.Struct, rename="pascal"):
    """The settings file; unknown fields are ignored."""

    node_name: str
    ip: str
    # Name of the data centre.
    zone: str
    listen: ListenSettings
    # The first port is the UDP port for gossip; the others are not used.
    internal_ports: list[int]
    platform: StoreSettings
    # Address of the backend server.
    app_addr: str
    service: str
    # Interval of the backend server's heartbeats, in seconds.
    heartbeat_s: float = msgspec.field(name="HeartbeatS", default=1.5)
    # Texts such as `GraceS=6`; see `parse_bounds`.
    bounds: list[str] = []
    # Names of the regions by data centre.
    zones: dict[str, str] = {}
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    contracts: list[str] = []


def render_settings(settings_file):
    """Return the YAML text of a `SettingsFile`."""
    return yaml.safe_dump(msgspec.to_builtins(settings_file))


def get_settings_path():
    """Return the path of the settings file, from the environment or the default."""
    return os.environ.get(PATH_ENV_VARIABLE, DEFAULT_PATH)


def read_fleet_settings(path):
    """Read a settings file into `FleetSettings`.

    Args:
        path: Path of the file.

    Raises:
        InputError: If the file can't be read, with code `settings-unreadable`, or
            is invalid, with code `settings-invalid`.
    """
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as error:
        raise InputError(
            "the settings file can't be read", code="settings-unreadable", place=path
        ) from error
    return build_settings(decode_yaml(raw, SettingsFile, "settings-invalid"))


def build_settings(settings_file):
    """Build `FleetSettings` from a `SettingsFile`.

    Raises:
        InputError: If a bound is invalid.
    """
    bounds = parse_bounds(settings_file.bounds)
    defaults = FleetSettings.DEFAULTS
    return FleetSettings(
        name=settings_file.node_name,
        ip=settings_file.ip,
        data_centre=settings_file.zone,
        caller_address=settings_file.listen.outbound,
        peer_address=settings_file.listen.inbound,
        readiness_address=settings_file.listen.readiness,
        heartbeat_address=settings_file.listen.control,
        gossip_port=settings_file.internal_ports[0],
        store=settings_file.platform.address,
        min_lease_s=settings_file.platform.ttl_min_s,
        server=settings_file.app_addr,
        service=settings_file.service,
        heartbeat_s=settings_file.heartbeat_s,
        document_apply_s=bounds.get("ConfigApplyS", defaults["document_apply_s"]),
        key_revocation_s=bounds.get("RevokeS", defaults["key_revocation_s"]),
        grace_s=bounds.get("GraceS", defaults["grace_s"]),
        retry_ratio=bounds.get("BudgetRatio", defaults["retry_ratio"]),
        retry_slack=bounds.get("BudgetSlack", defaults["retry_slack"]),
        retry_window_s=bounds.get("BudgetWindowS", defaults["retry_window_s"]),
        evacuation_s=bounds.get("EvacS", defaults["evacuation_s"]),
        cold_ratio=bounds.get("ColdOver", defaults["cold_ratio"]),
        cold_slack=bounds.get("ColdSlack", defaults["cold_slack"]),
        regions=settings_file.zones,
        has_evacuations=EVACUATIONS in settings_file.contracts,
        has_overload=OVERLOAD in settings_file.contracts,
        memory_bytes=int(settings_file.limits.memory_mb * BYTES_PER_MIB),
        max_descriptors=int(settings_file.limits.max_fds),
        link_bytes_per_s=settings_file.limits.link_mbps * BYTES_PER_MBIT,
    )


def parse_bounds(texts):
    """Parse bounds such as `GraceS=6` into a dict of numbers by name.

    Bounds with the value `true` or `false` are ignored.

    Raises:
        InputError: If a value is missing or not a number, with code
            `settings-invalid`.
    """
    bounds = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if value in ("true", "false"):
            continue
        try:
            bounds[name] = float(value)
        except ValueError as error:
            raise InputError(
                f"{text!r} is not of the form NAME=NUMBER",
                code="settings-invalid",
                place="$.Bounds",
            ) from error
    return bounds
