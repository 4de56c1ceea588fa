"""persimmon-report.

Reports the service-level burn of recorded requests.
"""

import pathlib
import sys
from typing import Literal

from ..application import EXIT_OK
from ..errors import InputError
from ..reporting.burn import compute_burns
from ..reporting.formats import create_report, formats
from ..reporting.records import read_records
from .common import create_program, run_program

EXIT_FAST_BURN = 3

program = create_program(
    "persimmon-report",
    "Report service-level burn per service and organisation; exit code 3: a fast burn "
    "is on.",
)


@program.default
def report(
    *logs: str,
    format: Literal["text", "json", "html"] = "text",
    output: pathlib.Path | None = None,
):
    """Report the burn of recorded requests.

    Args:
        logs: Files with the log lines of nodes.
        format: Form of the report.
        output: File to write to; standard output by default.
    """
    if not logs:
        raise InputError("give a file", code="source-missing")
    records = [record for path in logs for record in read_records(path)]
    result = create_report(records, compute_burns(records))
    text = formats.get_by_name(format)().write(result, records)
    if output is None:
        sys.stdout.write(text)
    else:
        output.write_text(text)
    return EXIT_FAST_BURN if result.fast else EXIT_OK


def main(arguments=None):
    """Run the program and exit."""
    run_program(program, arguments)
