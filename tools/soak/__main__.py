"""Command line of the soak."""

import pathlib
import shutil
import signal
import sys
import tempfile

from persimmonlane.application import EXIT_FAILED, EXIT_OK
from persimmonlane.errors import InputError
from persimmonlane.programs.common import create_program, run_program

from .losses import Patience
from .plan import draw_plan
from .report import describe_finding, describe_outcome, describe_totals
from .running import run_plan

SECONDS = 16.0

program = create_program("soak", "Run seeded soaks of small sites on loopback.")


@program.default
def soak(
    seeds: str = "1-50",
    *,
    vms: int | None = None,
    seconds: float = SECONDS,
    logs: pathlib.Path | None = None,
):
    """Run a soak for each seed.

    Args:
        seeds: A seed, or the first and the last one, such as 1-50.
        vms: Number of VMs; drawn from the seed if it is not given.
        seconds: Seconds of load for each seed.
        logs: Directory for the logs of failed seeds.
    """
    # The nodes that were started are to be stopped whatever ends the program.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_FAILED))
    directory = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    outcomes = []
    for seed in parse_seeds(seeds):
        outcomes.append(run_seed(seed, vms, seconds, directory))
    print(describe_totals(outcomes))
    if all(outcome.is_clean() for outcome in outcomes):
        return EXIT_OK
    print(f"logs of failed seeds: {directory}")
    return EXIT_FAILED


def parse_seeds(text):
    """Return the seeds of a text such as `7` or `1-50`.

    Raises:
        InputError: If the text is neither.
    """
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise InputError(
            f"{text!r} is no seed and no span of seeds", code="seeds-invalid"
        ) from error


def run_seed(seed, vms, seconds, directory):
    """Run one seed and print what was seen; return its `Outcome`.

    Args:
        seed: The seed.
        vms: Number of VMs, or None.
        seconds: Seconds of load.
        directory: Directory for the logs.
    """
    own = directory / f"seed-{seed}"
    own.mkdir(parents=True)
    outcome = run_plan(draw_plan(seed, seconds, vms), own, Patience())
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
