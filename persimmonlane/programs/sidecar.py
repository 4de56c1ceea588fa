"""persimmon-sidecar.

Runs the node beside a backend server on the users' platform.
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
    """Run the node until SIGTERM; the settings file is named by the environment."""
    # The platform may ask for the settings to be read anew before that is possible.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    writer = configure_logging(read_settings().name, BootClock())
    status = build_site_node(read_settings).run()
    writer.stop()
    # Threads that wait for callers must not hold the end of the process up.
    os._exit(status)


def read_settings():
    """Return the settings as the platform's file gives them now."""
    return read_fleet_settings(get_settings_path())


def main():
    """Run the program."""
    run_program(program)


if __name__ == "__main__":
    main()
