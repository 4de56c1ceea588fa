"""persimmon-sidecar.

Runs the node beside a backend server.
"""

import os
import signal

from ..clocks import BootClock
from ..logs import configure_logging
from ..platform.settings import get_settings_path, read_fleet_settings
from ..sitenode import build_site_node
from .common import create_program, run_program

program = create_program(
    "persimmon-sidecar", "Run the node beside a backend server of the platform."
)


@program.default
def run():
    """Run the node until SIGTERM, with the settings file that the environment names."""
    # The platform may send SIGHUP before the node can reload its settings; the default
    # action would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    writer = configure_logging(read_settings().name, BootClock())
    status = build_site_node(read_settings).run()
    writer.stop()
    # Exits without joining threads, since those that wait for callers would delay it.
    os._exit(status)


def read_settings():
    """Read the platform's settings file and return the `FleetSettings`."""
    return read_fleet_settings(get_settings_path())


def main():
    """Run the program."""
    run_program(program)


if __name__ == "__main__":
    main()
