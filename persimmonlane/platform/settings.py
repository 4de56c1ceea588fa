"""Settings.

Reads the settings file of the platform into the node's own settings.
"""

import os

import msgspec
import yaml

from ..errors import InputError
from ..fleetsettings import FleetSettings
from ..settings import build_input_error

PATH_VARIABLE = "PERSIMMONLANE_CONFIG"
DEFAULT_PATH = "/etc/persimmonlane/node.yaml"


class ListenRow(msgspec.Struct, rename="pascal"):
    """Addresses on which the process listens."""

    inbound: str
    outbound: str
    readiness: str
    control: str


class StoreRow(msgspec.Struct, rename="pascal"):
    """Where the platform's key-value service is."""

    address: str
    ttl_min_s: float = msgspec.field(name="TtlMinS", default=1.0)


class WireSettings(msgspec.Struct, rename="pascal"):
    """The settings file; fields that are not named here are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: ListenRow
    internal_ports: list[int]
    platform: StoreRow
    app_addr: str
    service: str
    heartbeat_s: float = msgspec.field(name="HeartbeatS", default=1.5)
    bounds: list[str] = []


def render_settings(wire):
    """Return the text of a settings file for `WireSettings`."""
    return yaml.safe_dump(msgspec.to_builtins(wire))


def find_path():
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_fleet_settings(path):
    """Return the `FleetSettings` of a settings file.

    Raises:
        InputError: If the file can't be read or a field is wrong.
    """
    try:
        with open(path, "rb") as file:
            raw = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        raise InputError(
            "the settings file can't be read", code="settings-unreadable", place=path
        ) from error
    try:
        wire = msgspec.convert(raw, WireSettings)
    except msgspec.MsgspecError as error:
        raise build_input_error(error, "settings-invalid") from error
    return build_settings(wire)


def build_settings(wire):
    """Return the `FleetSettings` of a decoded file."""
    bounds = parse_bounds(wire.bounds)
    defaults = FleetSettings.DEFAULTS
    return FleetSettings(
        name=wire.node_name,
        ip=wire.ip,
        data_centre=wire.zone,
        caller_address=wire.listen.outbound,
        peer_address=wire.listen.inbound,
        readiness_address=wire.listen.readiness,
        heartbeat_address=wire.listen.control,
        gossip_port=wire.internal_ports[0],
        store=wire.platform.address,
        min_lease_s=wire.platform.ttl_min_s,
        server=wire.app_addr,
        service=wire.service,
        heartbeat_s=wire.heartbeat_s,
        key_revocation_s=bounds.get("RevokeS", defaults["key_revocation_s"]),
        grace_s=bounds.get("GraceS", defaults["grace_s"]),
        retry_ratio=bounds.get("BudgetRatio", defaults["retry_ratio"]),
        retry_slack=bounds.get("BudgetSlack", defaults["retry_slack"]),
    )


def parse_bounds(texts):
    """Return the figures of texts such as `GraceS=6`.

    Raises:
        InputError: If a text has no name or no figure.
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
                f"{text!r} is not a name and a figure",
                code="settings-invalid",
                place="$.Bounds",
            ) from error
    return bounds
