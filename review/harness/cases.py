"""Running a case: its exit status, its record, and its end."""

import os
import pathlib
import sys
import traceback

from .record import Record
from .site import CaseUnableError

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_UNABLE = 2


def is_troubled():
    """Return whether the case is to have its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(script, run):
    """Run a case and exit with its status.

    Args:
        script: Path of the script; the record is written beside it.
        run: Callable that takes the `Record` and returns whether the rule held.
    """
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record.note("begin", trouble=int(is_troubled()))
    try:
        status = EXIT_HELD if run(record) else EXIT_BROKEN
    except CaseUnableError as error:
        record.note("unable", why=str(error).replace(" ", "-"))
        status = EXIT_UNABLE
    except Exception:
        traceback.print_exc()
        status = EXIT_UNABLE
    record.note("end", status=status)
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
