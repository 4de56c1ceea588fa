"""persimmon-node.

Runs one node: the sidecar role, the ingress role or both.
"""

from typing import Literal

from ..application import EXIT_OK
from ..logs import configure_logging
from ..node import build_node
from ..settings import read_settings
from .common import create_program, run_program

program = create_program("persimmon-node", "Run one node of the proxy fleet.")


@program.default
def run(
    settings: str,
    *,
    check: bool = False,
    log_format: Literal["text", "json"] | None = None,
):
    """Run a node until SIGTERM; a second SIGTERM ends it at once.

    Args:
        settings: Path of the settings file, in JSON.
        check: Only check the settings.
        log_format: Form of the log lines, instead of the settings' own.
    """
    values = read_settings(settings)
    if check:
        print("The settings are valid.")
        return EXIT_OK
    configure_logging(values.log_level, log_format or values.log_format)
    return build_node(values).run()


def main():
    """Run the program."""
    run_program(program)


if __name__ == "__main__":
    main()
