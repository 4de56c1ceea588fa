"""Command line of the soak tests."""

import pathlib
import shutil
import signal
import sys
import tempfile

from persimmonlane.application import EXIT_FAILED, EXIT_OK
from persimmonlane.errors import InputError
from persimmonlane.programs.common import create_program, run_program

from .losses import Tolerance
from .plan import draw_plan
from .report import describe_finding, describe_outcome, describe_totals
from .running import run_plan

SECONDS = 16.0

program = create_program("soak", "Run seeded soak tests of small sites on loopback.")


@program.default
def soak(
    seeds: str = "1-50",
    *,
    vms: int | None = None,
    seconds: float = SECONDS,
    crowd: int = 0,
    logs: pathlib.Path | None = None,
):
    """Run a soak test for each seed.

    Args:
        seeds: A seed, or the first and the last one, such as 1-50.
        vms: Number of VMs; drawn from the seed by default.
        seconds: Duration of the load for each seed, in seconds.
        crowd: Number of clients for each VM that misbehave beside the load.
        logs: Directory for the logs of failed seeds.
    """
    # Exit through SystemExit, so that the started nodes are stopped on SIGTERM too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_FAILED))
    directory = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    outcomes = []
    for seed in parse_seeds(seeds):
        outcomes.append(run_seed(seed, vms, seconds, crowd, directory))
    print(describe_totals(outcomes))
    if all(outcome.is_clean() for outcome in outcomes):
        return EXIT_OK
    print(f"logs of failed seeds: {directory}")
    return EXIT_FAILED


def parse_seeds(text):
    """Parse seeds such as `7` or `1-50`.

    Raises:
        InputError: If the text is neither a number nor a range.
    """
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise InputError(
            f"{text!r} is neither a seed nor a range of seeds", code="seeds-invalid"
        ) from error


def run_seed(seed, vms, seconds, crowd, directory):
    """Run one seed and print its result; return the `Outcome`.

    Args:
        seed: The seed.
        vms: Number of VMs, or None to draw it.
        seconds: Duration of the load in seconds.
        crowd: Number of clients for each VM that misbehave.
        directory: Directory for the logs.
    """
    own = directory / f"seed-{seed}"
    own.mkdir(parents=True)
    outcome = run_plan(draw_plan(seed, seconds, vms), own, Tolerance(), crowd)
    print(describe_outcome(outcome), flush=True)
    if outcome.is_clean():
        shutil.rmtree(own)
        return outcome
    paths = sorted(own.glob("*.log"))
    for finding in outcome.findings:
        print(describe_finding(outcome, finding, paths), flush=True)
    return outcome


if __name__ == "__main__":
    run_program(program)
