"""Common.

Exit codes and error output that the programs share.
"""

import sys

import cyclopts

from .. import __version__
from ..application import EXIT_FAILED, EXIT_INPUT, EXIT_OK
from ..errors import InputError, PersimmonError

EXIT_CODES = """
Exit codes: 0 success, 1 failure, 2 invalid input.
"""


def create_program(name, description):
    """Return the cyclopts application of a program.

    Args:
        name: Name of the program.
        description: Summary for its help text, in one sentence.
    """
    return cyclopts.App(
        name=name, help=f"{description}\n{EXIT_CODES}", version=__version__
    )


def run_program(program, arguments=None):
    """Run a program's command line and exit with its exit code.

    Args:
        program: The `cyclopts.App`.
        arguments: Command-line arguments; those of the process by default.
    """
    try:
        status = program(arguments, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        sys.exit(EXIT_INPUT)
    except InputError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_INPUT)
    except PersimmonError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(status or EXIT_OK)
