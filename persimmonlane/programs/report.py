"""persimmon-report.

Reports the error-budget burn rates of the requests recorded in log files.
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
    "Report error-budget burn per service and organisation; exit code 3: a fast burn "
    "is on.",
)


@program.default
def report(
    *logs: str,
    format: Literal["text", "json", "html"] = "text",
    output: pathlib.Path | None = None,
):
    """Report the error-budget burn of recorded requests.

    Args:
        logs: Log files of the nodes.
        format: Format of the report.
        output: Path of the output file; standard output by default.
    """
    if not logs:
        raise InputError("at least one log file is required", code="source-missing")
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
