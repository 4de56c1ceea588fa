"""Traces.

Writes the traces that are kept with the code.
"""

import pathlib

from persimmonlane.traces.scenarios import scenarios

FOLDER = pathlib.Path(__file__).parent.parent / "traces"


def main():
    """Write one file for each scenario."""
    FOLDER.mkdir(exist_ok=True)
    for name in scenarios.names():
        path = FOLDER / f"{name}.jsonl"
        path.write_bytes(scenarios.get_by_name(name)().build())
        print(f"{path.name}: {path.stat().st_size} bytes")


if __name__ == "__main__":
    main()
