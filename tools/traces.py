"""Traces.

Writes the traces that are kept with the code: those that are named, or those that
are missing. A recorded trace stays as it is when the code that gave it changes.
"""

import pathlib
import sys

from persimmonlane.traces.scenarios import scenarios

FOLDER = pathlib.Path(__file__).parent.parent / "traces"


def main():
    """Write the traces that are named or missing."""
    FOLDER.mkdir(exist_ok=True)
    for name in sys.argv[1:] or scenarios.names():
        path = FOLDER / f"{name}.jsonl"
        if path.exists() and not sys.argv[1:]:
            continue
        path.write_bytes(scenarios.get_by_name(name)().build())
        print(f"{path.name}: {path.stat().st_size} bytes")


if __name__ == "__main__":
    main()
