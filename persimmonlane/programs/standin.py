"""persimmon-standin.

Runs stand-ins of outside systems, for development only.
"""

import signal
import sys
import threading

import msgspec

from ..errors import InputError
from ..settings import describe_fault, split_address
from ..standins.backend import BackendStandin, Behaviour
from ..standins.control import ControlServer
from ..standins.store import run_store
from .common import create_program, run_program

SWITCH_INTERVAL_S = 0.0005

program = create_program(
    "persimmon-standin", "Run stand-ins of outside systems, for development only."
)


class ServerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of one backend server stand-in.

    Attributes:
        address: Address to bind.
        service: Name of its service.
        slots: Requests that it runs at a time.
        seed: Seed of its random choices.
        behaviour: How it behaves at first.
    """

    address: str
    service: str
    slots: int = 4
    seed: int = 0
    behaviour: Behaviour = msgspec.field(default_factory=Behaviour)


class StandinSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a process of backend server stand-ins.

    Attributes:
        servers: The stand-ins.
        control: Address at which a test may change and count them.
        secrets: Strings that must never reach a backend server.
    """

    servers: tuple[ServerSettings, ...]
    control: str
    secrets: tuple[str, ...] = ()


@program.command
def store(address: str):
    """Run the key-value service stand-in until SIGTERM.

    Args:
        address: Address to bind, such as 127.0.0.1:7000.
    """
    run_store(address)


@program.command
def backends(settings: str):
    """Run backend server stand-ins until SIGTERM.

    Args:
        settings: Path of a JSON file with the stand-ins.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    ended = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: ended.set())
    values = read(settings)
    standins = [create_standin(item, values) for item in values.servers]
    servers = [*standins, ControlServer(split_address(values.control), standins)]
    for server in servers:
        server.start()
    ended.wait()
    for server in servers:
        server.stop()


def read(path):
    """Read a settings file of stand-ins.

    Raises:
        InputError: If it can't be read or is wrong.
    """
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=StandinSettings)
    except OSError as error:
        raise InputError("the file can't be read", place=path) from error
    except msgspec.DecodeError as error:
        raise describe_fault(error, "settings-invalid") from error


def create_standin(item, settings):
    """Return one stand-in."""
    return BackendStandin(
        split_address(item.address),
        item.service,
        item.slots,
        item.behaviour,
        item.seed,
        settings.secrets,
    )


def main():
    """Run the program."""
    run_program(program)


if __name__ == "__main__":
    main()
