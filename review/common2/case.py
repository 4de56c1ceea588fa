"""What all cases have in common: the exit code and the record."""

import os
import pathlib
import sys
import traceback

from .site import CannotRun

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines that are written to `record.txt` in the folder of a case."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._lines = []

    def add(self, line):
        """Add a line, and print it."""
        self._lines.append(line)
        print(line, flush=True)

    def note(self, line):
        """Add a line without printing it."""
        self._lines.append(line)

    def save(self):
        """Write the lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


def has_trouble():
    """Return whether the disruption is made; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, play):
    """Play a case and exit.

    Args:
        folder: Folder of the case.
        play: Callable that takes the `Record` and whether to make the disruption, and
            returns whether the rule was broken.
    """
    record = Record(folder)
    trouble = has_trouble()
    record.add(f"disruption: {'yes' if trouble else 'no'}")
    try:
        is_broken = play(record, trouble)
        code = BROKEN if is_broken else HELD
        record.add("the rule was broken" if is_broken else "the rule held")
    except CannotRun as error:
        record.add(f"the case could not run: {error}")
        code = NOT_RUN
    except Exception:
        record.add(traceback.format_exc())
        code = NOT_RUN
    record.save()
    sys.exit(code)
