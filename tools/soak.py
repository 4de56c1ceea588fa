"""Long randomised runs.

Runs fleets of decision classes under random faults until the time is up; the seed
of each run is printed, and a seed given again repeats its run.
"""

import time

import cyclopts

from persimmonlane.invariants import InvariantError
from persimmonlane.trials.runs import run_randomised

app = cyclopts.App(name="soak", help="Run fleets under random faults.")


@app.default
def soak(
    *, seed: int = 1, minutes: float = 5.0, seconds: float = 60.0, once: bool = False
):
    """Run seeds one after the other until the time is up.

    Args:
        seed: First seed.
        minutes: Minutes to run for.
        seconds: Length of each run, in seconds of the trial.
        once: Whether to run the first seed alone and print its faults.
    """
    end = time.monotonic() + minutes * 60
    runs = failures = 0
    while not runs or (not once and time.monotonic() < end):
        print(f"seed {seed}:", end=" ", flush=True)
        try:
            result = run_randomised(seed, seconds)
            summary = result.summary
            print(
                f"{result.digest}, {summary.requests} requests, {len(result.faults)}"
                f" faults, {summary.detected} of {summary.failures} failures detected,"
                f" {summary.false_ejections} false ejections",
                flush=True,
            )
            if once:
                print("\n".join(result.faults))
        except InvariantError as error:
            failures += 1
            print(f"FAILED {error}", flush=True)
        runs += 1
        seed += 1
    print(f"{runs} runs, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    app()
