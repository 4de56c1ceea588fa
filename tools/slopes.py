"""Slopes.

Runs the slopes of all slices and keeps them as JSON for docs/CAPACITY.md.
"""

import importlib
import json
import pathlib
import platform
import sys
import time

import msgspec

FOLDER = pathlib.Path(__file__).parent
OUTPUT = FOLDER.parent / "bench" / "slopes.json"
SLICES = ("membership", "ejection", "limits", "config", "reporting")


class SliceSlopes(msgspec.Struct, frozen=True, kw_only=True):
    """The slopes of one slice.

    Attributes:
        slice: Name of the slice.
        command: Command that measures them.
        seconds: Time that the measurement took.
        slopes: The records that its `measure` returned.
    """

    slice: str
    command: str
    seconds: float
    slopes: list


def has_slopes(name):
    """Return whether a slice has slopes to measure."""
    return (FOLDER / f"slopes_{name}.py").exists()


def measure_slice(name):
    """Return the `SliceSlopes` of one slice."""
    module = importlib.import_module(f"tools.slopes_{name}")
    began = time.monotonic()
    found = module.measure()
    return SliceSlopes(
        slice=name,
        command=f"python -m tools.slopes {name}",
        seconds=round(time.monotonic() - began, 1),
        slopes=[msgspec.to_builtins(each) for each in found],
    )


def format_slope(slope):
    """Return one record as a line."""
    return ", ".join(f"{name}={value}" for name, value in slope.items())


def read_kept():
    """Return the slopes kept from earlier runs, by slice."""
    if not OUTPUT.exists():
        return {}
    return {each["slice"]: each for each in json.loads(OUTPUT.read_text())["slices"]}


def main():
    """Measure the slices that are named, or all, and keep the others' slopes."""
    names = sys.argv[1:] or SLICES
    kept = read_kept()
    for name in names:
        if not has_slopes(name):
            print(f"{name}: no slopes yet")
            continue
        measured = measure_slice(name)
        print(f"{name}: {measured.seconds} s")
        for slope in measured.slopes:
            print(f"  {format_slope(slope)}")
        kept[name] = msgspec.to_builtins(measured)
    OUTPUT.parent.mkdir(exist_ok=True)
    content = {
        "python": platform.python_version(),
        "slices": [kept[name] for name in sorted(kept)],
    }
    OUTPUT.write_text(json.dumps(content, indent=2) + "\n")


if __name__ == "__main__":
    main()
